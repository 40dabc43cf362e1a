//! Components of both entries and sidecars: messages, operator port, metrics, registration and
//! connections to sidecars.

pub mod call_outcome;
pub mod dialer;
pub mod mail;
pub mod metrics;
pub mod operator;
pub mod registration;
pub mod sidecar_calls;
pub mod wait;

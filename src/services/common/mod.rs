//! What both processes run: messages, operator port, metrics, registration, connections.

pub mod dialer;
pub mod mail;
pub mod metrics;
pub mod operator;
pub mod registration;
pub mod sidecar_calls;
pub mod wait;

//! Router for language-model traffic with long shared prompts.
//!
//! The crate is laid out as a micro-kernel ([`kernel`]) with services that find each other by
//! name; docs/DESIGN.md describes the parts.

pub mod ctl;
pub mod decide;
pub mod kernel;
pub mod platform;
pub mod services;
pub mod standin;
pub mod wire;

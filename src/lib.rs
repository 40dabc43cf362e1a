//! Router for language-model traffic with long shared prompts.
//!
//! The crate is laid out as a micro-kernel ([`kernel`]) with services that find each other by
//! name; docs/DESIGN.md describes the parts.

pub mod ctl;
pub mod decide;
pub mod entry;
pub mod entry_cli;
pub mod events;
pub mod gateway;
pub mod gateway_cli;
pub mod kernel;
pub mod load;
pub mod log_queue;
pub mod platform;
pub mod process;
pub mod services;
pub mod settings;
pub mod shared_parts;
pub mod sidecar;
pub mod sidecar_cli;
pub mod standin;
pub mod wire;

//! Request router for large language models whose prompts share long prefixes.
//!
//! A micro-kernel ([`kernel`]) runs services and I/O tasks, which find each other by name and
//! exchange messages. docs/DESIGN.md describes the modules.

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
pub mod shared_components;
pub mod sidecar;
pub mod sidecar_cli;
pub mod standin;
pub mod wire;

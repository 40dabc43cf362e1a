//! Services and I/O tasks: those of an entry, those of a sidecar, and those that both use.

pub mod caller_side;
pub mod common;
pub mod configuration;
pub mod upstream_side;

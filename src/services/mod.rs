//! Services and I/O tasks of the binaries, grouped by the process that runs them.

pub mod caller_side;
pub mod common;
pub mod configuration;
pub mod upstream_side;

//! Services and I/O tasks that the binaries are put together from, by owner.

pub mod caller_side;
pub mod common;
pub mod configuration;
pub mod upstream_side;

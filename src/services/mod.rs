//! Services and I/O tasks that the binaries are put together from.

pub mod config;
pub mod log_reader;
pub mod mail;

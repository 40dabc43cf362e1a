//! Services and I/O tasks that the binaries are put together from.

pub mod mail;

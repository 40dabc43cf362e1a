//! Configuration of a process: a replica that is read from the log or from sidecars and served to
//! other processes. Entries and sidecars both run it.

pub mod config;
mod config_dump;
pub mod config_history;
pub mod log_reader;
pub mod peer_reader;
pub mod snapshot_writer;

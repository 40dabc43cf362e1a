//! Configuration: reads it, keeps what is in force and passes it on; run by both processes.

pub mod config;
mod config_dump;
pub mod config_history;
pub mod log_reader;
pub mod peer_reader;
pub mod snapshot_writer;

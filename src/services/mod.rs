//! Services and I/O tasks that the binaries are put together from.

pub mod cache_watch;
pub mod caller_answer;
pub mod callers;
pub mod claim_log;
pub mod claims;
pub mod config;
pub mod config_feed;
pub mod dialer;
pub mod engine_stream;
pub mod engine_task;
pub mod engine_watch;
pub mod ledger;
pub mod ledger_state;
pub mod log_reader;
pub mod mail;
pub mod metrics;
pub mod operator;
pub mod registration;
pub mod request_runner;
pub mod sidecar_calls;
pub mod sidecar_rpc;
pub mod stream_buffer;
pub mod tickets;
pub mod upstream_choice;

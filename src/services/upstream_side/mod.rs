//! Services and I/O tasks of a sidecar: ticket ledger, queue, claims and load orders.

pub mod cache_watch;
pub mod claim_log;
pub mod claims;
pub mod config_feed;
pub mod engine_notice;
pub mod engine_requests;
pub mod engine_stream;
pub mod engine_task;
pub mod engine_watch;
pub mod lease_log;
pub mod leaving_watch;
pub mod ledger;
pub mod orders;
pub mod sidecar_rpc;
pub mod stream_buffer;
pub mod suspect_feed;

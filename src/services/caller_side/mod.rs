//! Services and I/O tasks of an entry: accept requests, choose upstreams and send responses.

pub mod callers;
pub mod journal;
pub mod key_claim;
pub mod model_response;
pub mod plain_response;
pub mod rejection;
pub mod request_metrics;
pub mod request_runner;
pub mod retry_hint;
pub mod tickets;
pub mod upstream_choice;
pub mod upstream_request;

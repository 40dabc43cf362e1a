//! The gateway process, which runs on the platform's front instances: accepts callers' requests and
//! forwards each to an upstream. The request queue, the load of the upstreams and the index of
//! their KV caches are kept in the same process.

pub mod abandonment;
pub mod attempts;
pub mod attempts_outcome;
pub mod caller_server;
pub mod cancellation;
pub mod counters;
pub mod crash_probe;
pub mod dispatch;
pub mod identity;
pub mod internal_server;
pub mod mail;
pub mod memory_guard;
pub mod metrics_server;
pub mod order_delivery;
pub mod orders;
pub mod origin_log;
pub mod origin_search;
pub mod patience;
pub mod peer_connection;
pub mod peer_exchange;
pub mod peer_failures;
mod peer_news;
pub mod peer_server;
pub mod peer_table;
pub mod placement;
pub mod placement_guard;
pub mod readiness;
pub mod record_reader;
pub mod relay;
pub mod relay_body;
pub mod request;
pub mod response_body;
pub mod settings_watch;
pub mod start;
pub mod store_watch;
pub mod stream_backlog;
pub mod stream_origin;
pub mod stream_source;
pub mod upstream_call;
pub mod upstream_notices;

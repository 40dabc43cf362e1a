//! The entry of the platform's front instances: takes callers' requests and runs each at an
//! upstream itself, with the upstreams' queue, load and memory index in the same process.

pub mod attempts;
pub mod caller_front;
pub mod counters;
pub mod dispatch;
pub mod identity;
pub mod mail;
pub mod metrics_port;
pub mod order_delivery;
pub mod orders;
pub mod peer_connection;
pub mod peer_exchange;
pub mod placement_guard;
pub mod readiness;
pub mod relay;
pub mod request;
pub mod settings_watch;
pub mod small_port;
pub mod start;
pub mod store_watch;
pub mod upstream_call;

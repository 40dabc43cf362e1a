//! Stand-ins: simulated external systems, as described in `docs/UPSTREAM-INTERFACES.md`.
//!
//! Each system is one or more kernel services that own their state; an HTTP server turns calls
//! into messages to them.

pub mod append_log;
pub mod batch;
pub mod cache_feed;
pub mod engine;
pub mod engine_http;
pub mod engine_mail;
pub mod engine_request;
pub mod engine_service;
pub mod engine_wire;
pub mod group_calls;
pub mod http_call;
pub mod kv_store;
pub mod load_history;
pub mod log_service;
pub mod mail;
pub mod notice;
pub mod options;
pub mod plain;
pub mod plain_http;
pub mod platform_http;
pub mod prefix_cache;
pub mod roles;
pub mod token_text;
pub mod topic_groups;
pub mod volatile_state;
pub mod weight_service;
pub mod weight_store;

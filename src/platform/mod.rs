//! Protocols of the platform: settings file, store, configuration documents, request headers and
//! engine calls, and the HTTP client and server that the programs share.
//!
//! This module makes no decisions: it decodes documents into the types of [`crate::decide`], where
//! the meaning of their fields is documented.

pub mod bounded_stream;
pub mod config_document;
pub mod connection_aborter;
pub mod connection_registry;
pub mod engine_calls;
pub mod http_client;
pub mod http_connection;
pub mod http_server;
pub mod instance_topics;
pub mod log_client;
pub mod paced_body;
pub mod request_headers;
pub mod server_connection;
pub mod settings_file;
pub mod store_client;
pub mod store_records;
pub mod topic_listing;
pub mod upstream_entry;
pub mod upstream_notice;

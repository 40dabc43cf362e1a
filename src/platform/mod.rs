//! The platform's names, formats and calls, and the HTTP helpers that they and the servers share.
//!
//! Nothing here decides: documents are decoded into the types of [`crate::decide`], whose fields
//! say what they hold.

pub mod config_document;
pub mod engine_calls;
pub mod http_client;
pub mod http_link;
pub mod http_server;
pub mod instance_topics;
pub mod log_client;
pub mod request_headers;
pub mod settings_file;
pub mod store_client;
pub mod store_records;
pub mod upstream_entry;

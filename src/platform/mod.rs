//! Clients of the platform and the HTTP helpers that they and the servers share.

pub mod http_client;
pub mod http_server;
pub mod instance_client;
pub mod log_client;

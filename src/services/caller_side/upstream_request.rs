//! Request as an entry sends it to upstreams, the same for all of its attempts.

use crate::decide::suspects::Fingerprint;

/// HTTP request that is sent to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// Method of the request.
    pub method: String,
    /// Path and query string of the request.
    pub path: String,
    /// Header names and values of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Maximum number of output tokens; 0 if the caller set none.
    pub output_tokens: u32,
    /// Hash of the caller's request, the same for requests with equal content.
    pub fingerprint: Fingerprint,
}

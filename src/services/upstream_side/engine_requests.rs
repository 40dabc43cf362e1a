//! HTTP requests to the upstream for one ticket.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::Ticket;
use crate::platform::http_client::{self, HttpError};
use crate::wire::rpc::SubmitCall;

/// Builds the request that submits a ticket.
///
/// # Errors
///
/// Returns [`HttpError::Build`] if a header or the path of the call is not valid.
pub fn submit_request(
    target: EngineTarget,
    ticket: Ticket,
    call: &SubmitCall,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::POST);
    let mut builder = http_client::request(method, target.address, &call.path);
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    builder = builder.header("x-request-id", ticket.to_string());
    if target.kind == EngineKind::Model {
        let keys: Vec<String> = call
            .prefix_keys
            .iter()
            .map(|key| format!("{key:016x}"))
            .collect();
        builder = builder
            .header("x-priority", call.rank.0.to_string())
            .header("x-weights-version", &call.version)
            .header("x-prefix-keys", keys.join(","));
    }
    builder
        .body(Full::new(Bytes::from(call.body.clone())))
        .map_err(HttpError::Build)
}

/// Builds the request that reads the stream of a ticket at a model engine from event `from_event` on.
///
/// # Errors
///
/// Returns [`HttpError::Build`] if the request cannot be built.
pub fn resume_request(
    target: EngineTarget,
    ticket: Ticket,
    from_event: u64,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let path = format!("/requests/{ticket}/stream?from={from_event}");
    let builder = http_client::request(Method::GET, target.address, &path);
    builder.body(Full::default()).map_err(HttpError::Build)
}

/// Builds the request that cancels a ticket at a model engine.
///
/// # Errors
///
/// Returns [`HttpError::Build`] if the request cannot be built.
pub fn cancel_request(
    target: EngineTarget,
    ticket: Ticket,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let path = format!("/requests/{ticket}");
    let builder = http_client::request(Method::DELETE, target.address, &path);
    builder.body(Full::default()).map_err(HttpError::Build)
}

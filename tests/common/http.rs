//! Calls over HTTP, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::platform::http_client::{CompleteResponse, call, request};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::Value;

/// Time allowed for one call.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Body as text.
    pub text: String,
    /// Status, headers and body as received.
    pub response: CompleteResponse,
}

impl Answer {
    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.response.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Returns the code of an error body; empty if it has none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }
}

/// Builds a request with headers given as pairs.
pub fn build(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut builder = request(method, address, path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(body.into())).expect("a request")
}

/// Sends a request and reads the whole answer.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    let request = build(method, address, path, headers, body);
    let response = call(address, request, CALL_LIMIT).await;
    let response = response.unwrap_or_else(|error| panic!("{address}{path}: {error}"));
    Answer {
        status: response.status.as_u16(),
        text: String::from_utf8_lossy(&response.body).into_owned(),
        response,
    }
}

/// Sends a GET.
pub async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    send(Method::GET, address, path, headers, "").await
}

/// Sends a POST.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    send(Method::POST, address, path, headers, body).await
}

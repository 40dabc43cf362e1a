//! HTTP requests and responses of all stand-ins: full request bodies, JSON responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use quick_error::quick_error;
use serde_json::json;

use super::mail::StandinMail;
use crate::kernel::{Directory, Moment};
use crate::platform::http_server::{ResponseBody, json_response};

/// Largest request body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Directory through which messages are sent to the services of a stand-in.
pub type StandinDirectory = Directory<StandinMail>;

quick_error! {
    /// Reason for which a stand-in rejects an HTTP request before a service sees it.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallError {
        /// The body is malformed.
        BadBody {
            display("bad_body")
        }
        /// The body is too large or incomplete.
        UnreadableBody {
            display("unreadable_body")
        }
        /// No call has this method and path.
        UnknownPath {
            display("unknown_path")
        }
    }
}

impl From<CallError> for Response<ResponseBody> {
    fn from(error: CallError) -> Self {
        let status = match error {
            CallError::BadBody => StatusCode::BAD_REQUEST,
            CallError::UnreadableBody => StatusCode::PAYLOAD_TOO_LARGE,
            CallError::UnknownPath => StatusCode::NOT_FOUND,
        };
        error_response(status, &error.to_string())
    }
}

/// An HTTP request with its full body.
#[derive(Debug)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: String,
    /// Query of the URL without the question mark; empty if missing.
    pub query: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Full body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads a request and its full body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::UnreadableBody`] if the body is too large or incomplete.
    pub async fn read(request: Request<Incoming>) -> Result<Self, CallError> {
        let (head, body) = request.into_parts();
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let Ok(collected) = collected else {
            return Err(CallError::UnreadableBody);
        };
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body: collected.to_bytes(),
        })
    }

    /// Returns the method and the non-empty segments of the path.
    #[must_use]
    pub fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (self.method.as_str(), parts.collect())
    }

    /// Returns the value of a query parameter.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns a query parameter as a number, or the default if it is missing or malformed.
    #[must_use]
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.parameter(name);
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    }

    /// Returns the deadline that a query parameter gives as a time from now in milliseconds.
    #[must_use]
    pub fn deadline(&self, name: &str, now: Moment) -> Moment {
        now.after(Duration::from_millis(self.number(name, 0)))
    }

    /// Returns the value of a header, if it is visible ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Builds an error response with a JSON error code.
#[must_use]
pub fn error_response(status: StatusCode, code: &str) -> Response<ResponseBody> {
    json_response(status, &json!({ "error": { "code": code } }))
}

/// Builds the response to a successful call that has no result.
#[must_use]
pub fn done_response() -> Response<ResponseBody> {
    json_response(StatusCode::OK, &json!({}))
}

/// Builds the response with the state dump of each service.
pub async fn dump_response(directory: &StandinDirectory) -> Response<ResponseBody> {
    json_response(StatusCode::OK, &directory.dump().await)
}

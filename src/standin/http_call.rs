//! HTTP front shared by the stand-ins: whole requests in, JSON out.

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

/// Sends mail to the services of a stand-in.
pub type StandinDirectory = Directory<StandinMail>;

quick_error! {
    /// Why a request cannot be handed to a service.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallError {
        /// The body is not what the call takes.
        BadBody {
            display("bad_body")
        }
        /// The body is too large or was cut short.
        UnreadableBody {
            display("unreadable_body")
        }
        /// There is no such call.
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

/// A request that was read whole.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::UnreadableBody`] when the body is too large or cut short.
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

    /// Returns the method and the parts of the path.
    #[must_use]
    pub fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (self.method.as_str(), parts.collect())
    }

    /// Returns a parameter of the query.
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

    /// Returns a parameter that is a number, or its default when it is missing or malformed.
    #[must_use]
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.parameter(name);
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    }

    /// Returns the deadline that lies a parameter's milliseconds ahead.
    #[must_use]
    pub fn deadline(&self, name: &str, now: Moment) -> Moment {
        now.after(Duration::from_millis(self.number(name, 0)))
    }

    /// Returns a header that is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Builds an error response with a stable code.
#[must_use]
pub fn error_response(status: StatusCode, code: &str) -> Response<ResponseBody> {
    json_response(status, &json!({ "error": { "code": code } }))
}

/// Builds the response to a call that has no result.
#[must_use]
pub fn done_response() -> Response<ResponseBody> {
    json_response(StatusCode::OK, &json!({}))
}

/// Builds the response that shows the state of each service.
pub async fn dump_response(directory: &StandinDirectory) -> Response<ResponseBody> {
    json_response(StatusCode::OK, &directory.dump().await)
}

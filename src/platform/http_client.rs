//! HTTP client calls with a time limit, each over a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode};
use quick_error::quick_error;
use tokio::time::timeout;

use super::http_connection::{
    ConnectionError, ConnectionGuard, MAX_RESPONSE_BYTES, OpenConnection, dial, dial_bounded,
};

quick_error! {
    /// Error of an HTTP client call.
    #[derive(Debug)]
    pub enum HttpError {
        /// No connection could be made, so nothing was sent.
        Connect(error: std::io::Error) {
            display("cannot connect: {}", error)
            source(error)
        }
        /// The connection failed after the request may have been sent.
        Exchange(error: hyper::Error) {
            display("exchange failed: {}", error)
            source(error)
        }
        /// The request could not be built.
        Build(error: hyper::http::Error) {
            display("invalid request: {}", error)
            source(error)
        }
        /// The response body was truncated or is too long.
        Body(message: String) {
            display("cannot read response body: {}", message)
        }
        /// Only interim responses arrived; the request may have been executed.
        Interim {
            display("too many interim responses")
        }
        /// No response arrived in time; the request may have been executed.
        Timeout {
            display("no answer in time")
        }
    }
}

impl HttpError {
    /// Returns whether the peer was silent, as opposed to closing or refusing the connection.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::Timeout => true,
            Self::Connect(error) => error.kind() == std::io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Returns whether it is certain that no part of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Build(_))
    }
}

impl From<ConnectionError> for HttpError {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Dial(error) => Self::Connect(error),
            ConnectionError::Broken(error) => Self::Exchange(error),
            ConnectionError::Body(message) => Self::Body(message),
            ConnectionError::Interim => Self::Interim,
            ConnectionError::Timeout => Self::Timeout,
        }
    }
}

/// A response whose body is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct OpenResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Keeps the connection open until it is dropped.
    pub connection: ConnectionGuard,
}

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: hyper::HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Returns a request builder for a path at an address, with the `host` header set.
#[must_use]
pub fn request(method: Method, address: SocketAddr, path: &str) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
}

/// Connects, sends a request and waits for the response head. The connection breaks after
/// [`MAX_RESPONSE_BYTES`] of the response.
///
/// # Errors
///
/// Returns [`HttpError`] when the connection fails or no response head arrives within `limit`.
pub async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse, HttpError> {
    let connection = dial(address, limit).await?;
    exchange_head(connection, request, limit).await
}

async fn exchange_head(
    mut connection: OpenConnection,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse, HttpError> {
    let response = timeout(limit, connection.send(request)).await;
    let response = response
        .map_err(|_elapsed| HttpError::Timeout)?
        .map_err(ConnectionError::from)?;
    Ok(OpenResponse {
        response,
        connection: connection.guard,
    })
}

/// Connects, sends a request and reads the complete response of at most [`MAX_RESPONSE_BYTES`].
///
/// # Errors
///
/// Returns [`HttpError`] when the exchange fails or does not end within `limit`.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<CompleteResponse, HttpError> {
    call_bounded(address, request, limit, MAX_RESPONSE_BYTES).await
}

/// Connects, sends a request and reads the complete response of at most `max_response_bytes`,
/// counted with its head and framing.
///
/// # Errors
///
/// Returns [`HttpError`] when the exchange fails or does not end within `limit`.
pub async fn call_bounded(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    max_response_bytes: usize,
) -> Result<CompleteResponse, HttpError> {
    let exchange = async {
        let connection = dial_bounded(address, limit, max_response_bytes).await?;
        let OpenResponse {
            response,
            connection,
        } = exchange_head(connection, request, limit).await?;
        let (head, body) = response.into_parts();
        let collected = body.collect().await;
        let body = collected
            .map_err(|error| HttpError::Body(error.to_string()))?
            .to_bytes();
        drop(connection);
        Ok(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    timeout(limit, exchange)
        .await
        .map_err(|_elapsed| HttpError::Timeout)?
}

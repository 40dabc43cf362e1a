//! HTTP client calls with a deadline, one connection for each call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode};
use quick_error::quick_error;
use tokio::time::timeout;

use super::http_link::{ConnectionGuard, LinkError, MAX_BODY_BYTES, OpenLink, dial};

quick_error! {
    /// Why a call failed.
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
        /// The body was cut short or too long.
        Body(message: String) {
            display("body failed: {}", message)
        }
        /// No answer came in time; the request may have been acted on.
        Timeout {
            display("no answer in time")
        }
    }
}

impl HttpError {
    /// Tells whether the request certainly never left this process.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Build(_))
    }
}

impl From<LinkError> for HttpError {
    fn from(error: LinkError) -> Self {
        match error {
            LinkError::Dial(error) => Self::Connect(error),
            LinkError::Broken(error) => Self::Exchange(error),
            LinkError::Body(message) => Self::Body(message),
            LinkError::Silent => Self::Timeout,
        }
    }
}

/// A response whose body is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct OpenResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub connection: ConnectionGuard,
}

/// A response that was read whole.
#[derive(Debug)]
pub struct WholeResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Starts a request for an upstream address; headers and body are added by the caller.
#[must_use]
pub fn request(method: Method, address: SocketAddr, path: &str) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
}

/// Sends a request and waits for the response head.
///
/// # Errors
///
/// Returns [`HttpError`] when the connection fails or no head came within `limit`.
pub async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse, HttpError> {
    let OpenLink { mut sender, guard } = dial(address, limit).await?;
    let exchange = timeout(limit, sender.send_request(request)).await;
    let response = exchange
        .map_err(|_elapsed| HttpError::Timeout)?
        .map_err(HttpError::Exchange)?;
    Ok(OpenResponse {
        response,
        connection: guard,
    })
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Returns [`HttpError`] when the exchange fails or is not over within `limit`.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<WholeResponse, HttpError> {
    let exchange = async {
        let OpenResponse {
            response,
            connection,
        } = open(address, request, limit).await?;
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = collected
            .map_err(|error| HttpError::Body(error.to_string()))?
            .to_bytes();
        drop(connection);
        Ok(WholeResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    timeout(limit, exchange)
        .await
        .map_err(|_elapsed| HttpError::Timeout)?
}

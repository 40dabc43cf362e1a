//! HTTP server loop: one task for each connection, a bounded number of them.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout;

/// Time within which a caller must have sent its request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Body of a response.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Future of one response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Marks, as an extension of a response, that the connection is closed in place of an answer.
#[derive(Debug, Clone, Copy)]
pub struct CutConnection;

/// Answers requests; shared by all connections of a server.
#[derive(Clone)]
pub struct RequestHandler {
    handle: Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>,
}

impl fmt::Debug for RequestHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RequestHandler")
    }
}

impl RequestHandler {
    /// Creates a handler from an async closure.
    #[must_use]
    pub fn new<F: Future<Output = Response<ResponseBody>> + Send + 'static>(
        handle: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    ) -> Self {
        Self {
            handle: Arc::new(move |request| Box::pin(handle(request))),
        }
    }
}

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections served at the same time; further ones wait in the listen queue.
    pub max_connections: usize,
    /// Longest time in milliseconds that a stop waits for open exchanges.
    pub drain_ms: u64,
}

/// Accepts connections until `stop` resolves, then lets open exchanges finish.
pub async fn serve(
    listener: TcpListener,
    handler: RequestHandler,
    limits: ServerLimits,
    stop: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let accepting = async {
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let Ok((stream, _peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Small writes must not wait for acknowledgements; a failure only costs latency.
            drop(stream.set_nodelay(true));
            let handler = handler.clone();
            let answer = service_fn(move |request| {
                let response = (handler.handle)(request);
                async move {
                    let response = response.await;
                    match response.extensions().get::<CutConnection>() {
                        Some(_) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                        None => Ok(response),
                    }
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), answer);
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                // A broken connection concerns its caller only.
                drop(connection.await);
                drop(slot);
            });
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = stop => {}
    }
    drop(listener);
    // Exchanges that outlast the drain time are cut when the process ends.
    drop(timeout(Duration::from_millis(limits.drain_ms), graceful.shutdown()).await);
}

/// Returns a response that closes the connection in place of an answer.
#[must_use]
pub fn cut_response() -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    response.extensions_mut().insert(CutConnection);
    response
}

/// Wraps bytes as a whole body.
#[must_use]
pub fn whole_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Builds a JSON response.
#[must_use]
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(value.to_string()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

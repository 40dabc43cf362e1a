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
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::timeout;

/// Time within which a caller must have sent its request headers, where no limit is stated; it
/// bounds idle connections too, as the library has one timer for both.
pub const HEADER_TIMEOUT_MS: u64 = 5_000;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after the port is closed for requests that are on their way on open connections.
const IDLE_GRACE: Duration = Duration::from_millis(200);

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
    /// Time in milliseconds within which a caller must have sent its request headers, and for which
    /// a connection may be idle.
    pub header_timeout_ms: u64,
    /// Connections served at the same time; further ones wait in the listen queue.
    pub max_connections: usize,
    /// Time in milliseconds after the stop during which new connections are still accepted, so
    /// that a balancer can turn away first; each answer then closes its connection.
    pub leave_ms: u64,
    /// Longest time in milliseconds that a stop then waits for open exchanges.
    pub drain_ms: u64,
}

/// What every connection of a server needs.
struct ServerShare {
    handler: RequestHandler,
    graceful: GracefulShutdown,
    slots: Arc<Semaphore>,
    header_timeout: Duration,
    is_leaving: watch::Receiver<bool>,
}

/// Accepts connections until `stop` resolves, then leaves and lets open exchanges finish.
///
/// Requests that wait in the listen queue or on open connections at the stop are answered.
pub async fn serve(
    listener: TcpListener,
    handler: RequestHandler,
    limits: ServerLimits,
    stop: oneshot::Receiver<()>,
) {
    let (leave, is_leaving) = watch::channel(false);
    let share = ServerShare {
        handler,
        graceful: GracefulShutdown::new(),
        slots: Arc::new(Semaphore::new(limits.max_connections)),
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        is_leaving,
    };
    tokio::select! {
        () = accept_all(&listener, &share) => {}
        _ = stop => {}
    }
    leave.send_replace(true);
    let leaving = Duration::from_millis(limits.leave_ms);
    // The time to leave is up either way.
    drop(timeout(leaving, accept_all(&listener, &share)).await);
    let drain = share.drain(listener, limits.max_connections);
    // Exchanges that outlast the drain time are cut when the process ends.
    drop(timeout(Duration::from_millis(limits.drain_ms), drain).await);
}

async fn accept_all(listener: &TcpListener, share: &ServerShare) {
    while let Some(slot) = share.free_slot().await {
        match listener.accept().await {
            Ok((stream, _peer)) => share.serve_connection(stream, slot),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Closes a listener and returns the connections that were waiting in its queue.
fn queued_connections(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    if let Ok(listener) = listener.into_std() {
        // The listener does not block: an empty queue is an error.
        while let Ok((stream, _peer)) = listener.accept() {
            if stream.set_nonblocking(true).is_ok() {
                streams.extend(TcpStream::from_std(stream).ok());
            }
        }
    }
    streams
}

impl ServerShare {
    /// Serves what is open or queued until it is over.
    async fn drain(self, listener: TcpListener, max_connections: usize) {
        for stream in queued_connections(listener) {
            let Some(slot) = self.free_slot().await else {
                return;
            };
            self.serve_connection(stream, slot);
        }
        let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
        // Connections that are still open then are idle or in the middle of an exchange.
        drop(timeout(IDLE_GRACE, self.slots.acquire_many(all)).await);
        self.graceful.shutdown().await;
    }

    /// Waits for a place among the connections; `None` never comes while the server runs.
    async fn free_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    fn serve_connection(&self, stream: TcpStream, slot: OwnedSemaphorePermit) {
        // Small writes must not wait for acknowledgements; a failure only costs latency.
        drop(stream.set_nodelay(true));
        let handler = self.handler.clone();
        let is_leaving = self.is_leaving.clone();
        let answer = service_fn(move |request| {
            let response = (handler.handle)(request);
            let is_leaving = is_leaving.clone();
            async move {
                let mut response = response.await;
                if *is_leaving.borrow() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                match response.extensions().get::<CutConnection>() {
                    Some(_) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                    None => Ok(response),
                }
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.header_timeout)
            .serve_connection(TokioIo::new(stream), answer);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection concerns its caller only.
            drop(connection.await);
            drop(slot);
        });
    }
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
    let json = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

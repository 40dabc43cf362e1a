//! HTTP server loop with one task for each connection and a limited number of connections.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::timeout;

use super::connection_registry::{ConnectionEntry, ConnectionRegistry};
use super::server_connection::ConnectionSettings;

/// Default time limit for a client to send its request headers, in milliseconds. It is also the
/// idle timeout, because hyper has one timer for both.
pub const HEADER_TIMEOUT_MS: u64 = 5_000;

/// Default time without a byte read by a client after which a response to it is broken off, in
/// milliseconds.
pub const WRITE_TIMEOUT_MS: u64 = 30_000;

/// Default size of a connection's buffers, in bytes.
pub const BUFFER_BYTES: usize = 408 * 1024;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Most refused connections that are kept open until their callers have read the response; further
/// ones are closed at once.
const MAX_REFUSALS: usize = 1_024;

/// Time without bytes from a refused caller after which its connection is closed.
const REFUSAL_QUIET: Duration = Duration::from_millis(100);

/// Longest time for which a refused connection is kept open.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a new connection waits for the place of an idle one that is closing.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(100);

/// Response to a connection above the limit.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.00\r\n\
    connection: close\r\ncontent-length: 11\r\n\r\nconnections";

/// Time after the port is closed in which open connections still accept requests in transit.
const IN_TRANSIT_GRACE: Duration = Duration::from_millis(200);

/// Largest request, in bytes, with its head and framing; the connection breaks after it.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Body of a response, complete or streamed.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Future that resolves to one response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Response extension: the server closes the connection instead of sending the response.
#[derive(Debug, Clone, Copy)]
pub struct CloseConnection;

/// Closure that responds to requests, shared by all connections of a server.
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

    /// Responds to a request.
    #[must_use]
    pub fn respond(&self, request: Request<Incoming>) -> ResponseFuture {
        (self.handle)(request)
    }
}

/// What a server does with a connection above its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FullPolicy {
    /// Leaves it in the listen queue.
    Queue,
    /// Closes the longest idle connection in its favour; without one, responds with status 503 and
    /// closes it.
    Refuse,
}

/// Time limits and connection limit of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time limit for a client to send its request headers, and idle timeout of a connection, in
    /// milliseconds.
    pub header_timeout_ms: u64,
    /// Time without a byte read by a client after which its connection is closed, in milliseconds.
    pub write_timeout_ms: u64,
    /// Most connections that are served at the same time.
    pub max_connections: usize,
    /// What happens to further connections.
    pub when_full: FullPolicy,
    /// Largest read and write buffer of a connection, and largest request head, in bytes.
    pub buffer_bytes: usize,
    /// Time after the stop signal in which new connections are still accepted, in milliseconds, so
    /// that a balancer can remove the server first. Each response then closes its connection.
    pub leave_ms: u64,
    /// Longest wait for open requests after `leave_ms` has passed, in milliseconds.
    pub drain_ms: u64,
}

/// Right to accept a connection.
enum AcceptSlot {
    /// The connection is served.
    Serve(OwnedSemaphorePermit),
    /// The connection is refused unless a served one is closed first.
    Refuse,
}

/// State that the accept loop shares with all connections.
struct ServerContext {
    slots: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    when_full: FullPolicy,
    connections: ConnectionSettings,
    /// Tells all connections to close after their open requests.
    closing: watch::Sender<bool>,
}

/// Serves connections until `stop` resolves, then shuts down gracefully within the time limits.
///
/// Requests that wait in the listen queue or on open connections at the stop are still served.
pub async fn serve(
    listener: TcpListener,
    handler: RequestHandler,
    limits: ServerLimits,
    stop: oneshot::Receiver<()>,
) {
    let (leave, is_leaving) = watch::channel(false);
    let (closing, is_closing) = watch::channel(false);
    let context = ServerContext {
        slots: Arc::new(Semaphore::new(limits.max_connections)),
        refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
        when_full: limits.when_full,
        connections: ConnectionSettings {
            handler,
            buffer_bytes: limits.buffer_bytes,
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            write_timeout: Duration::from_millis(limits.write_timeout_ms),
            is_leaving,
            is_closing,
        },
        closing,
    };
    let mut registry = ConnectionRegistry::new(limits.max_connections);
    tokio::select! {
        () = accept_connections(&listener, &context, &mut registry) => {}
        _ = stop => {}
    }
    leave.send_replace(true);
    let leave_time = Duration::from_millis(limits.leave_ms);
    // The result does not matter: the time to leave has passed in either case.
    let leaving = accept_connections(&listener, &context, &mut registry);
    drop(timeout(leave_time, leaving).await);
    let drain = context.drain(listener, registry, limits.max_connections);
    // Requests that are still open after the drain time are aborted when the process ends.
    drop(timeout(Duration::from_millis(limits.drain_ms), drain).await);
}

async fn accept_connections(
    listener: &TcpListener,
    context: &ServerContext,
    registry: &mut ConnectionRegistry,
) {
    loop {
        let (stream, slot) = tokio::select! {
            biased;
            Some(report) = registry.next_report() => {
                registry.apply(&report);
                continue;
            }
            Some(accepted) = context.accept(listener) => accepted,
            else => return,
        };
        match slot {
            AcceptSlot::Serve(slot) => context.serve_connection(stream, slot, registry.open()),
            AcceptSlot::Refuse => match Arc::clone(&context.slots).try_acquire_owned() {
                Ok(slot) => context.serve_connection(stream, slot, registry.open()),
                Err(_full) if registry.close_longest_idle() => {
                    context.replace_connection(stream, registry.open());
                }
                Err(_full) => refuse_connection(stream, &context.refusals),
            },
        }
    }
}

/// Responds to a connection with status 503 before its request is read, and closes it.
fn refuse_connection(stream: TcpStream, refusals: &Arc<Semaphore>) {
    // The send buffer of a new connection has room for the response.
    drop(stream.try_write(REFUSAL));
    if let Ok(refusal) = Arc::clone(refusals).try_acquire_owned() {
        tokio::spawn(close_refused(stream, refusal));
    }
}

/// Closes a connection that was refused, once its caller has read the response.
async fn close_refused(mut stream: TcpStream, refusal: OwnedSemaphorePermit) {
    let closing = async {
        stream.shutdown().await?;
        // Closing a socket with unread bytes would reset it, and the response could be lost.
        let mut unread = [0; 1024];
        while let Ok(read) = timeout(REFUSAL_QUIET, stream.read(&mut unread)).await {
            if read? == 0 {
                break;
            }
        }
        io::Result::Ok(())
    };
    // A caller that keeps its side open, or sends without end, is cut off.
    drop(timeout(REFUSAL_TIMEOUT, closing).await);
    drop(refusal);
}

/// Closes a listener and returns the connections that were waiting in its queue.
fn close_and_take_queue(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    if let Ok(listener) = listener.into_std() {
        // The listener is non-blocking, so an empty queue gives an error.
        while let Ok((stream, _peer)) = listener.accept() {
            if stream.set_nonblocking(true).is_ok() {
                streams.extend(TcpStream::from_std(stream).ok());
            }
        }
    }
    streams
}

impl ServerContext {
    /// Closes the port and serves open and queued connections until their requests have ended.
    async fn drain(
        self,
        listener: TcpListener,
        mut registry: ConnectionRegistry,
        max_connections: usize,
    ) {
        registry.stop();
        for stream in close_and_take_queue(listener) {
            let Some(slot) = self.acquire_slot().await else {
                return;
            };
            self.serve_connection(stream, slot, registry.open());
        }
        let all_slots = u32::try_from(max_connections).unwrap_or(u32::MAX);
        // Connections that are open after this time are idle or have a request in progress.
        drop(timeout(IN_TRANSIT_GRACE, self.slots.acquire_many(all_slots)).await);
        self.closing.send_replace(true);
        drop(self.slots.acquire_many(all_slots).await);
    }

    /// Waits for a free connection slot; returns `None` only if the semaphore is closed, which
    /// never happens.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    /// Waits until a connection may be accepted.
    async fn acquire_accept_slot(&self) -> Option<AcceptSlot> {
        if self.when_full == FullPolicy::Queue {
            return self.acquire_slot().await.map(AcceptSlot::Serve);
        }
        let slot = Arc::clone(&self.slots).try_acquire_owned();
        Some(slot.map_or(AcceptSlot::Refuse, AcceptSlot::Serve))
    }

    /// Waits for a new connection, and for the right to accept it if the server is full.
    async fn accept(&self, listener: &TcpListener) -> Option<(TcpStream, AcceptSlot)> {
        loop {
            let slot = self.acquire_accept_slot().await?;
            if let Ok((stream, _peer)) = listener.accept().await {
                return Some((stream, slot));
            }
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        slot: OwnedSemaphorePermit,
        entry: ConnectionEntry,
    ) {
        tokio::spawn(self.connections.clone().serve(stream, slot, entry));
    }

    /// Serves a connection as soon as an idle one has closed, or refuses it.
    fn replace_connection(&self, stream: TcpStream, entry: ConnectionEntry) {
        let slot = Arc::clone(&self.slots).acquire_owned();
        let refusals = Arc::clone(&self.refusals);
        let connections = self.connections.clone();
        tokio::spawn(async move {
            if let Ok(Ok(slot)) = timeout(REPLACE_TIMEOUT, slot).await {
                return connections.serve(stream, slot, entry).await;
            }
            refuse_connection(stream, &refusals);
            entry.reporter.close().await;
        });
    }
}

/// Creates a response that makes the server close the connection without responding.
#[must_use]
pub fn close_connection_response() -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    response.extensions_mut().insert(CloseConnection);
    response
}

/// Creates a response body from bytes.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

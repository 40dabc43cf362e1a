//! HTTP/1.1 client connection that is opened on demand and used for one call at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, ext};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::bounded_stream::BoundedStream;
use super::paced_body::collect_paced;

/// Largest response that client calls receive, in bytes, with its head and framing.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Largest response head, in bytes; also the most that is received ahead of its reader.
pub const MAX_HEAD_BYTES: usize = 20 * 1024;

/// Maximum number of interim responses (status 1xx) to one request.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Timeout for connecting; the round trip between instances takes a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection with unacknowledged data is closed; also the idle time before TCP
/// keepalive probes and their interval.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bytes of a request that the kernel holds beyond what the peer's receive window takes. A response that
/// ends before the rest is taken is known to be early.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

quick_error! {
    /// Error of a connection or of a call over one.
    #[derive(Debug)]
    pub enum ConnectionError {
        /// No connection could be made; nothing was sent.
        Dial(error: std::io::Error) {
            display("cannot connect: {}", error)
            source(error)
        }
        /// The connection broke; the request may have arrived.
        Broken(error: hyper::Error) {
            display("connection failed: {}", error)
            source(error)
        }
        /// The response body was truncated or is too long.
        Body(message: String) {
            display("cannot read response body: {}", message)
        }
        /// Only interim responses arrived; the request may have arrived.
        Interim {
            display("too many interim responses")
        }
        /// No response arrived in time; the request may have arrived.
        Timeout {
            display("no answer in time")
        }
    }
}

/// Aborts the task that drives a connection when it is dropped, which closes the connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    driver: JoinHandle<()>,
}

impl ConnectionGuard {
    /// Creates the guard of the task `driver`.
    #[must_use]
    pub const fn new(driver: JoinHandle<()>) -> Self {
        Self { driver }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Open connection with the guard of the task that drives it.
#[derive(Debug)]
pub struct OpenConnection {
    /// Sends requests over the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Closes the connection when it is dropped.
    pub guard: ConnectionGuard,
}

/// Why a request on an open connection got no response.
#[derive(Debug)]
pub enum SendError {
    /// The connection was closed before any part of the request was written.
    Unsent(hyper::Error),
    /// The connection broke, or sent no valid response head; the request may have arrived.
    Broken(hyper::Error),
    /// Only interim responses arrived; the request may have arrived.
    Interim,
}

impl From<SendError> for ConnectionError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(error) | SendError::Broken(error) => Self::Broken(error),
            SendError::Interim => Self::Interim,
        }
    }
}

impl OpenConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] when no final response arrives; the connection is then of no use.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let (reporter, mut reports) = mpsc::channel(MAX_INTERIM_RESPONSES);
        ext::on_informational(&mut request, move |_interim| {
            // Reports beyond the maximum are not needed.
            let _outcome = reporter.try_send(());
        });
        let mut received = Vec::new();
        let too_many_interim = async {
            while received.len() < MAX_INTERIM_RESPONSES {
                if reports.recv_many(&mut received, 1).await == 0 {
                    std::future::pending::<()>().await;
                }
            }
        };
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = too_many_interim => return Err(SendError::Interim),
        };
        match response {
            // hyper returns a switch of protocols, which no request asks for, as a final response.
            Ok(response) if response.status().is_informational() => Err(SendError::Interim),
            Ok(response) => Ok(response),
            // hyper returns the request only if no part of it was written to the connection.
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::Unsent(error.into_error())),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}

impl OpenConnection {
    /// Waits until the connection is free, sends a request and waits for the head of its response.
    async fn respond(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let ready = self.sender.ready().await;
        ready.map_err(ConnectionError::Broken)?;
        Ok(self.send(request).await?)
    }
}

/// Opens a connection to an address, whose responses have at most [`MAX_RESPONSE_BYTES`].
///
/// # Errors
///
/// Returns [`ConnectionError::Dial`] when no connection is open within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> Result<OpenConnection, ConnectionError> {
    dial_bounded(address, limit, MAX_RESPONSE_BYTES).await
}

/// Opens a connection to an address, which breaks after `max_response_bytes` of a response,
/// counted with its head and framing.
///
/// # Errors
///
/// Returns [`ConnectionError::Dial`] when no connection is open within `limit`.
pub async fn dial_bounded(
    address: SocketAddr,
    limit: Duration,
    max_response_bytes: usize,
) -> Result<OpenConnection, ConnectionError> {
    let stream = connect(address, limit).await?;
    handshake(stream, max_response_bytes).await
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectionError> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(ConnectionError::Dial)?,
        Err(_) => return Err(ConnectionError::Dial(std::io::ErrorKind::TimedOut.into())),
    };
    set_tcp_options(&stream);
    Ok(stream)
}

async fn handshake(
    stream: TcpStream,
    max_response_bytes: usize,
) -> Result<OpenConnection, ConnectionError> {
    // An error is ignored: without the option, less is known of early responses to short requests.
    drop(SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES));
    let stream = BoundedStream::new(stream, max_response_bytes);
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(ConnectionError::Broken)?;
    // The call that uses the connection receives its errors as well.
    let driver = tokio::spawn(async move { drop(connection.await) });
    Ok(OpenConnection {
        sender,
        guard: ConnectionGuard::new(driver),
    })
}

/// Sets TCP options that close a connection to an unreachable peer after a short timeout and send
/// small writes without delay.
pub fn set_tcp_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(UNACKNOWLEDGED_TIMEOUT)
        .with_interval(UNACKNOWLEDGED_TIMEOUT);
    // Errors are ignored: calls have their own time limits and work without these options.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
}

/// Client for one address, whose connection is reopened after a failure.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    max_response_bytes: usize,
    /// Time for which the kernel tries to deliver a request; `None` for the usual one.
    delivery_limit: Option<Duration>,
    open: Option<OpenConnection>,
}

impl HttpConnection {
    /// Creates a client without an open connection, for responses of at most
    /// `max_response_bytes`.
    #[must_use]
    pub const fn new(address: SocketAddr, max_response_bytes: usize) -> Self {
        Self {
            address,
            max_response_bytes,
            delivery_limit: None,
            open: None,
        }
    }

    /// Drops requests that are not delivered in a time, or when their call fails or the process ends,
    /// instead of letting the kernel deliver them later.
    #[must_use]
    pub const fn with_delivery_limit(mut self, limit: Duration) -> Self {
        self.delivery_limit = Some(limit);
        self
    }

    /// Makes one call and returns the status and the complete body of the response.
    ///
    /// The connection is closed on any failure.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] when no complete response arrives within `limit`.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let response = self.exchange(request, limit).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Makes one call as [`Self::exchange`] does, but the body may take as long as it makes progress.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] when the head does not arrive within `wait` plus `patience`, or
    /// the body makes no progress for `patience`.
    pub async fn call_paced(
        &mut self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        patience: Duration,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let request = self.addressed(request);
        let exchange = async {
            let mut connection = self.connect().await?;
            let response = connection.respond(request).await?;
            Ok::<_, ConnectionError>((connection, response))
        };
        let answered = timeout(wait + patience, exchange).await;
        let (connection, response) = answered.map_err(|_elapsed| ConnectionError::Timeout)??;
        let (head, body) = response.into_parts();
        let body = collect_paced(body, patience).await?;
        self.open = Some(connection);
        Ok(Response::from_parts(head, body))
    }

    /// Takes the open connection out for a call, so that a failed or cancelled call closes it, or
    /// opens one.
    async fn connect(&mut self) -> Result<OpenConnection, ConnectionError> {
        let open = self.open.take();
        match open.filter(|connection| !connection.sender.is_closed()) {
            Some(connection) => Ok(connection),
            None => self.dial().await,
        }
    }

    async fn dial(&self) -> Result<OpenConnection, ConnectionError> {
        let stream = connect(self.address, CONNECT_TIMEOUT).await?;
        if let Some(limit) = self.delivery_limit {
            let socket = SockRef::from(&stream);
            // Closing then resets the connection, which drops what has not been sent or acknowledged.
            let is_reset = socket.set_linger(Some(Duration::ZERO));
            is_reset.map_err(ConnectionError::Dial)?;
            let is_limited = socket.set_tcp_user_timeout(Some(limit));
            is_limited.map_err(ConnectionError::Dial)?;
        }
        handshake(stream, self.max_response_bytes).await
    }

    /// Adds the address to a request.
    fn addressed(&self, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        request
    }

    /// Sends a request as [`Self::call`] does, and returns the response with its headers.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] when no complete response arrives within `limit`.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let mut connection = self.connect().await?;
        let request = self.addressed(request);
        let exchange = async {
            let (head, body) = connection.respond(request).await?.into_parts();
            let collected = body.collect().await;
            let body = collected.map_err(|error| ConnectionError::Body(error.to_string()))?;
            Ok::<_, ConnectionError>(Response::from_parts(head, body.to_bytes()))
        };
        let response = timeout(limit, exchange)
            .await
            .map_err(|_elapsed| ConnectionError::Timeout)??;
        self.open = Some(connection);
        Ok(response)
    }
}

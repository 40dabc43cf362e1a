//! HTTP/1.1 client connection that is opened on demand and used for one call at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Largest response body that client calls buffer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Largest read and write buffer of a connection, and largest response head, in bytes.
const BUFFER_BYTES: usize = 20 * 1024;

/// Timeout for connecting; the round trip between instances takes a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection with unacknowledged data is closed; also the idle time before TCP
/// keepalive probes and their interval.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

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
        /// The response body was truncated or exceeds [`MAX_BODY_BYTES`].
        Body(message: String) {
            display("cannot read response body: {}", message)
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

/// Opens a connection to an address.
///
/// # Errors
///
/// Returns [`ConnectionError::Dial`] when no connection is open within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> Result<OpenConnection, ConnectionError> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(ConnectionError::Dial)?,
        Err(_) => return Err(ConnectionError::Dial(std::io::ErrorKind::TimedOut.into())),
    };
    set_tcp_options(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
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
    open: Option<OpenConnection>,
}

impl HttpConnection {
    /// Creates a client without an open connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
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
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        // The connection is taken out for the call, so that a failed or cancelled call closes it.
        let open = self.open.take();
        let mut connection = match open.filter(|connection| !connection.sender.is_closed()) {
            Some(connection) => connection,
            None => dial(self.address, CONNECT_TIMEOUT).await?,
        };
        let exchange = async {
            connection
                .sender
                .ready()
                .await
                .map_err(ConnectionError::Broken)?;
            let response = connection.sender.send_request(request).await;
            let (head, body) = response.map_err(ConnectionError::Broken)?.into_parts();
            let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = collected.map_err(|error| ConnectionError::Body(error.to_string()))?;
            Ok((head.status, body.to_bytes()))
        };
        let response = timeout(limit, exchange)
            .await
            .map_err(|_elapsed| ConnectionError::Timeout)??;
        self.open = Some(connection);
        Ok(response)
    }
}

//! One HTTP/1.1 connection that is dialled on need and used for one call at a time.

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

/// Largest response body that [`call`] collects, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Longest time for a dial; instances are a few milliseconds apart.
pub const DIAL_LIMIT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged bytes break a connection that has gone silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why a call over a link failed.
    #[derive(Debug)]
    pub enum LinkError {
        /// No connection could be made; nothing was sent.
        Dial(error: std::io::Error) {
            display("cannot connect: {}", error)
            source(error)
        }
        /// The connection broke; the call may have arrived.
        Broken(error: hyper::Error) {
            display("connection broke: {}", error)
            source(error)
        }
        /// The body of the answer was cut short or too long.
        Body(message: String) {
            display("answer cut short: {}", message)
        }
        /// No answer came in time; the call may have arrived.
        Silent {
            display("no answer in time")
        }
    }
}

/// Ends the task that drives a connection when the exchange is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    driver: JoinHandle<()>,
}

impl ConnectionGuard {
    /// Guards the task that drives a connection.
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

/// An open connection and the task that drives it.
#[derive(Debug)]
pub struct OpenLink {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Ends the driving task when the link is dropped.
    pub guard: ConnectionGuard,
}

/// Dials an address.
///
/// # Errors
///
/// Returns [`LinkError::Dial`] when no connection is open within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> Result<OpenLink, LinkError> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(LinkError::Dial)?,
        Err(_) => return Err(LinkError::Dial(std::io::ErrorKind::TimedOut.into())),
    };
    watch_for_silence(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(LinkError::Broken)?;
    // Errors of the connection also reach the call that uses it.
    let driver = tokio::spawn(async move { drop(connection.await) });
    Ok(OpenLink {
        sender,
        guard: ConnectionGuard::new(driver),
    })
}

/// Makes a connection break when its other end has gone silent; small writes go at once.
pub fn watch_for_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(SILENCE_LIMIT)
        .with_interval(SILENCE_LIMIT);
    // A socket that refuses an option still works; calls have time limits of their own.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
    drop(socket.set_tcp_user_timeout(Some(SILENCE_LIMIT)));
}

/// A connection to one address that is dialled again after a failure.
#[derive(Debug)]
pub struct HttpLink {
    address: SocketAddr,
    open: Option<OpenLink>,
}

impl HttpLink {
    /// Creates a link that is not connected yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Makes one call and reads the whole answer; the connection is dropped on any failure.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] when no whole answer came within `limit`.
    pub async fn call(
        &mut self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), LinkError> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        // The link is taken out for the call, so that a failed or dropped call closes it.
        let open = self.open.take();
        let mut link = match open.filter(|link| !link.sender.is_closed()) {
            Some(link) => link,
            None => dial(self.address, DIAL_LIMIT).await?,
        };
        let exchange = async {
            link.sender.ready().await.map_err(LinkError::Broken)?;
            let response = link.sender.send_request(request).await;
            let (head, body) = response.map_err(LinkError::Broken)?.into_parts();
            let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = collected.map_err(|error| LinkError::Body(error.to_string()))?;
            Ok((head.status, body.to_bytes()))
        };
        let answer = timeout(limit, exchange)
            .await
            .map_err(|_elapsed| LinkError::Silent)??;
        self.open = Some(link);
        Ok(answer)
    }
}

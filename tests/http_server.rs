//! Shutdown of the HTTP server loop, and its choice of connections when it is full.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bulrushslip::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, WRITE_TIMEOUT_MS,
    full_body, serve,
};
use hyper::Response;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Connections that wait in the listen queue when the server stops.
const QUEUED: usize = 8;

/// Number of runs; the order in which tasks see the stop and the connections varies between them.
const ROUNDS: usize = 16;

/// Limits without a leave time, so that the port is closed at once.
const LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: HEADER_TIMEOUT_MS,
    write_timeout_ms: WRITE_TIMEOUT_MS,
    max_connections: QUEUED,
    when_full: FullPolicy::Queue,
    buffer_bytes: BUFFER_BYTES,
    leave_ms: 0,
    drain_ms: 5_000,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_the_listen_queue_at_shutdown_are_served() {
    for round in 0..ROUNDS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut callers: Vec<TcpStream> = (0..QUEUED)
            .map(|_| {
                let mut caller = TcpStream::connect(address).expect("a connection");
                let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
                caller.write_all(request).expect("a sent request");
                caller
            })
            .collect();
        let (stop, stopped) = oneshot::channel();
        stop.send(()).expect("a receiver");
        let handler = RequestHandler::new(|_| async { Response::new(full_body("answered")) });
        tokio::spawn(serve(listener, handler, LIMITS, stopped));
        for caller in &mut callers {
            let read_timeout = Some(Duration::from_secs(5));
            caller
                .set_read_timeout(read_timeout)
                .expect("a read timeout");
            let mut answer = String::new();
            let read = caller.read_to_string(&mut answer);
            assert!(
                read.is_ok() && answer.ends_with("answered"),
                "{round}: {read:?} {answer}"
            );
        }
    }
}

/// Connections of a server that refuses further ones.
const PLACES: usize = 3;

/// Limits with an idle timeout that is longer than the tests.
const FULL_LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: 60_000,
    max_connections: PLACES,
    when_full: FullPolicy::Refuse,
    ..LIMITS
};

/// Time within which a new caller gets the place of an idle connection.
const REPLACE_LIMIT: Duration = Duration::from_secs(3);

/// Starts a server that never responds to the path `/hang`.
async fn full_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = RequestHandler::new(|request| async move {
        if request.uri().path() == "/hang" {
            return std::future::pending().await;
        }
        Response::new(full_body("answered"))
    });
    tokio::spawn(async move {
        let (_stop, stopped) = oneshot::channel();
        serve(listener, handler, FULL_LIMITS, stopped).await;
    });
    address
}

/// Opens a connection and sends bytes over it.
fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut caller = TcpStream::connect(address).expect("a connection");
    caller.write_all(bytes).expect("sent bytes");
    let limit = Some(REPLACE_LIMIT);
    caller.set_read_timeout(limit).expect("a read timeout");
    caller
}

/// Returns the status of a response to a new caller.
fn new_caller(address: SocketAddr) -> String {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let mut caller = connect(address, request);
    let mut answer = String::new();
    drop(caller.read_to_string(&mut answer));
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Repeats a new caller's request until it is served.
fn assert_gets_place(address: SocketAddr) {
    let started = Instant::now();
    while new_caller(address) != "200" {
        assert!(started.elapsed() < REPLACE_LIMIT, "not served");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_caller_gets_the_place_of_an_idle_connection() {
    for sent in [
        "",
        "GET / HTTP/1.1\r\nho",
        "GET / HTTP/1.1\r\nhost: x\r\n\r\n",
    ] {
        let address = full_server().await;
        let idle: Vec<TcpStream> = (0..PLACES)
            .map(|_| connect(address, sent.as_bytes()))
            .collect();
        assert_gets_place(address);
        drop(idle);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_with_an_open_request_keeps_its_place() {
    let address = full_server().await;
    let request = b"GET /hang HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut open: Vec<TcpStream> = (0..PLACES).map(|_| connect(address, request)).collect();
    let started = Instant::now();
    while started.elapsed() < REPLACE_LIMIT / 2 {
        assert_eq!(new_caller(address), "503");
    }
    for caller in &mut open {
        caller.set_nonblocking(true).expect("an open socket");
        let read = caller.read(&mut [0; 1]).map_err(|error| error.kind());
        assert_eq!(read, Err(std::io::ErrorKind::WouldBlock));
    }
}

//! Clients of the HTTP server that send or read slowly, or do not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, WRITE_TIMEOUT_MS,
    full_body, serve,
};
use hyper::Response;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Most connections of the servers.
const MAX_CONNECTIONS: usize = 8;

/// Limits of the servers.
const LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: HEADER_TIMEOUT_MS,
    write_timeout_ms: WRITE_TIMEOUT_MS,
    max_connections: MAX_CONNECTIONS,
    when_full: FullPolicy::Queue,
    buffer_bytes: BUFFER_BYTES,
    leave_ms: 0,
    drain_ms: 5_000,
};

/// Body that the kernel's buffers of a connection do not hold.
const LARGE_BODY: &[u8] = &[b'a'; 32 * 1024 * 1024];

/// Largest part of it that a slow client reads, in bytes.
const SLOW_READ_BYTES: usize = 1024 * 1024;

/// Starts a server that sends the large body and breaks off after 500 ms without a write.
async fn serve_large_body() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = RequestHandler::new(|_| async { Response::new(full_body(LARGE_BODY)) });
    let limits = ServerLimits {
        max_connections: 1,
        write_timeout_ms: 500,
        ..LIMITS
    };
    tokio::spawn(async move {
        let (_running, never_stopped) = oneshot::channel();
        serve(listener, handler, limits, never_stopped).await;
    });
    address
}

fn send_request(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    client.write_all(request).expect("a sent request");
    let read_timeout = Some(Duration::from_secs(5));
    client
        .set_read_timeout(read_timeout)
        .expect("a read timeout");
    client
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_does_not_read_gives_its_connection_up_to_others() {
    let address = serve_large_body().await;
    let _silent = send_request(address);
    let mut other = send_request(address);
    let sent = Instant::now();
    let mut first = [0; 8];
    let read = other.read_exact(&mut first);
    assert!(read.is_ok(), "{read:?} after {:?}", sent.elapsed());
    assert_eq!(&first, b"HTTP/1.1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_reads_byte_by_byte_gives_its_connection_up_to_others() {
    let address = serve_large_body().await;
    let mut slow = send_request(address);
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let reader = std::thread::spawn(move || {
        let mut byte = [0];
        let pace = Duration::from_millis(10);
        while stopped.recv_timeout(pace) == Err(RecvTimeoutError::Timeout) {
            if !matches!(slow.read(&mut byte), Ok(1)) {
                return;
            }
        }
    });
    let mut other = send_request(address);
    let mut first = [0; 8];
    let read = other.read_exact(&mut first);
    assert!(read.is_ok(), "{read:?}");
    drop(stop);
    reader.join().expect("a reader");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_reads_slowly_receives_the_whole_response() {
    let address = serve_large_body().await;
    let mut client = send_request(address);
    let mut part = vec![0; SLOW_READ_BYTES];
    let mut received = 0;
    let begun = Instant::now();
    loop {
        let count = client.read(&mut part).expect("a read");
        if count == 0 {
            break;
        }
        received += count;
        // Stays behind the server, which waits for this client many times.
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(received > LARGE_BODY.len(), "{received} bytes");
    assert!(begun.elapsed() > Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_comes_byte_by_byte_is_limited_as_a_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = RequestHandler::new(|_| async { Response::new(full_body("answered")) });
    let limits = ServerLimits {
        header_timeout_ms: 500,
        ..LIMITS
    };
    let (_running, never_stopped) = oneshot::channel();
    tokio::spawn(serve(listener, handler, limits, never_stopped));
    let mut client = TcpStream::connect(address).expect("a connection");
    let begun = Instant::now();
    while client.write_all(b"G").is_ok() {
        let held = begun.elapsed();
        assert!(held < Duration::from_secs(2), "open after {held:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

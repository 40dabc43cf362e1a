//! Shutdown of the HTTP server loop.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bulrushslip::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, full_body, serve,
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

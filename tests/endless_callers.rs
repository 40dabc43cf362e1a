//! Callers that send bytes without end: their connections are closed, and others are served
//! meanwhile.

mod gateway_world;

use std::time::{Duration, Instant};

use bulrushslip::platform::http_server::MAX_REQUEST_BYTES;
use gateway_world::{Behaviour, Gateway, TestEnvironment, Upstream, route};
use hyper::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which a connection must be closed: the time limit for slow heads, which is the idle
/// timeout of the configuration, and half a second.
const CLOSE_LIMIT: Duration = Duration::from_millis(15_500);

/// Time within which another caller must be answered: the target latency of the route.
const OTHER_LIMIT: Duration = Duration::from_millis(500);

/// Bytes of a request that may be taken, with those in the kernel's buffers.
const REQUEST_BYTES: usize = MAX_REQUEST_BYTES + 8 * 1024 * 1024;

macro_rules! chunked {
    ($key:literal) => {
        concat!(
            "POST /once/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: r2\r\n",
            "x-deadline-ms: 2000\r\nx-api-key: ",
            $key,
            "\r\ntransfer-encoding: chunked\r\n\r\n"
        )
    };
}

/// Start of a request, and bytes that are repeated without end.
const REQUESTS: [(&str, &str, &str); 12] = [
    ("empty lines", "", "\r\n"),
    ("junk", "", "\u{1}\u{2}"),
    ("method", "", "A"),
    ("target", "GET /", "a"),
    ("header lines", "POST /once/ HTTP/1.1\r\n", "x-a: b\r\n"),
    ("header value", "POST /once/ HTTP/1.1\r\nx-a: ", "a"),
    ("chunks", chunked!("key"), "4\r\naaaa\r\n"),
    ("chunk size", chunked!("key"), "0"),
    ("chunk extension", concat!(chunked!("key"), "4;a="), "a"),
    ("trailers", concat!(chunked!("key"), "0\r\n"), "x-a: b\r\n"),
    ("refused", chunked!("unknown"), "4\r\naaaa\r\n"),
    ("refused, chunk size", chunked!("unknown"), "0"),
];

/// Sends bytes until the connection is closed; returns their number.
async fn send_endless(gateway: &Gateway, start: &str, repeated: &str) -> usize {
    let address = gateway.process.port("callers");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let block = repeated.repeat(64 * 1024 / repeated.len());
    let mut written = 0;
    if stream.write_all(start.as_bytes()).await.is_err() {
        return written;
    }
    while stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len();
    }
    written
}

#[tokio::test]
async fn requests_without_end_are_closed_and_hold_up_no_others() {
    let world = TestEnvironment::start();
    world
        .configure(1, &[route("/once/", "non_idempotent", 2)])
        .await;
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    world.announce("i-0", &upstream, "ready").await;
    let gateway = world.gateway("g");
    gateway.ready().await;
    let mut failed = Vec::new();
    for (name, start, repeated) in REQUESTS {
        let endless = timeout(CLOSE_LIMIT, send_endless(&gateway, start, repeated));
        let others = async {
            let mut slowest = Duration::ZERO;
            for _ in 0..5 {
                let sent = Instant::now();
                let response = gateway.send("/once/").await.expect("a response");
                assert_eq!(response.status, StatusCode::OK, "{name}");
                slowest = slowest.max(sent.elapsed());
            }
            slowest
        };
        let begun = Instant::now();
        let (written, slowest) = tokio::join!(endless, others);
        println!(
            "{name}: {written:?} bytes, {:?}, others {slowest:?}",
            begun.elapsed()
        );
        let is_bounded = written.is_ok_and(|written| written <= REQUEST_BYTES);
        if !is_bounded || slowest > OTHER_LIMIT {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "failed: {failed:?}");
}

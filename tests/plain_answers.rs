//! Responses of plain services that real processes forward.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bulrushslip::platform::http_client::{HttpError, call};
use common::{API_KEY, Fleet, FleetOptions, build, get};
use hyper::Method;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Complete stream of events, and its length up to the middle of the second event.
const EVENTS: (&str, usize) = ("data: a\n\ndata: b\n\n", 16);

/// Starts a service that sends two chunks, or closes after the first one on the path `/truncated`;
/// on the paths `/events` and `/truncated-events` it sends unframed events.
fn truncating_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || respond(stream));
        }
    });
    address
}

fn respond(mut stream: TcpStream) {
    let mut request = [0; 4096];
    let length = stream.read(&mut request).unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let Some(path) = request.split(' ').nth(1) else {
        // The sidecar connects without a request to check that the port is open.
        return;
    };
    if path == "/leaving" {
        let head = "HTTP/1.1 200 OK\r\nserver-leaving: 1\r\ncontent-length: 2\r\n\r\nok";
        drop(stream.write_all(head.as_bytes()));
        return;
    }
    if path.ends_with("events") {
        let events = match path {
            "/truncated-events" => &EVENTS.0[..EVENTS.1],
            _ => EVENTS.0,
        };
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        drop(stream.write_all(format!("{head}{events}").as_bytes()));
        return;
    }
    let head = "HTTP/1.1 200 OK\r\netag: \"7\"\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
    let rest = if path == "/truncated" {
        ""
    } else {
        "4\r\nlast\r\n0\r\n\r\n"
    };
    // If the write fails, the caller's response fails the test.
    drop(stream.write_all(format!("{head}{rest}").as_bytes()));
}

#[tokio::test]
async fn a_truncated_response_of_a_plain_service_does_not_look_complete() {
    let options = FleetOptions {
        plain_address: Some(truncating_service()),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let headers = [("authorization", &*format!("Bearer {API_KEY}"))];
    let complete = get(fleet.entry(0), "/services/gates/complete", &headers).await;
    assert_eq!(
        (complete.status, complete.text.as_str()),
        (200, "firstlast")
    );
    assert_eq!(complete.header("x-run-status"), "complete");
    assert_eq!(complete.header("etag"), "\"7\"");
    assert_truncated(&fleet, "/services/gates/truncated").await;
}

#[tokio::test]
async fn an_unframed_event_stream_of_a_plain_service_that_ends_inside_an_event_does_not_look_complete()
 {
    let options = FleetOptions {
        plain_address: Some(truncating_service()),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let headers = [("authorization", &*format!("Bearer {API_KEY}"))];
    let complete = get(fleet.entry(0), "/services/gates/events", &headers).await;
    assert_eq!((complete.status, complete.text.as_str()), (200, EVENTS.0));
    assert_eq!(complete.header("x-run-status"), "complete");
    assert_truncated(&fleet, "/services/gates/truncated-events").await;
}

async fn assert_truncated(fleet: &Fleet, path: &str) {
    let headers = [("authorization", &*format!("Bearer {API_KEY}"))];
    let request = build(Method::GET, fleet.entry(0), path, &headers, "");
    match call(fleet.entry(0), request, TIMEOUT).await {
        Err(HttpError::Body(_)) => {}
        Ok(answer) => assert_eq!(answer.status, 502, "{path}: {:?}", answer.body),
        Err(other) => panic!("{path}: {other}"),
    }
}

/// Guards against a sidecar that does not read what its upstream says of itself.
#[tokio::test]
async fn a_plain_service_whose_response_says_that_it_leaves_gets_no_more_requests() {
    let options = FleetOptions {
        plain_address: Some(truncating_service()),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let headers = [("authorization", &*format!("Bearer {API_KEY}"))];
    let last = get(fleet.entry(0), "/services/gates/leaving", &headers).await;
    assert_eq!((last.status, last.text.as_str()), (200, "ok"));
    let refused = get(fleet.entry(0), "/services/gates/complete", &headers).await;
    assert_eq!(refused.header("x-run-status"), "not-run");
}

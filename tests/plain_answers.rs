//! Responses of plain services that real processes forward.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bulrushslip::platform::http_client::{HttpError, call};
use common::{API_KEY, Fleet, FleetOptions, build, get};
use hyper::Method;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a service that sends two chunks, or closes after the first one on the path `/truncated`.
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
    let request = build(
        Method::GET,
        fleet.entry(0),
        "/services/gates/truncated",
        &headers,
        "",
    );
    let truncated = call(fleet.entry(0), request, TIMEOUT).await;
    match truncated {
        Err(HttpError::Body(_)) => {}
        Ok(answer) => assert_eq!(answer.status, 502, "{:?}", answer.body),
        Err(other) => panic!("{other}"),
    }
}

//! Responses of upstreams in trouble whose heads are not valid: none reaches a caller as a response.

mod gateway_world;
mod scripted_upstream;

use std::time::Duration;

use bulrushslip::platform::http_client::{call, request};
use bulrushslip::platform::http_connection::HttpConnection;
use bytes::Bytes;
use gateway_world::{Gateway, TestEnvironment, route};
use http_body_util::Full;
use hyper::{Method, StatusCode};
use scripted_upstream::{ScriptedResponse, ScriptedUpstream};

/// Timeout of one call.
const LIMIT: Duration = Duration::from_secs(5);

/// Rest of a sound response after its status line.
const REST: &str = "x-request-id: {id}\r\nx-server-seal: seal\r\ncontent-length: 2\r\n\r\nok";

/// Statuses that are not three digits from 100 on.
const STATUSES: [&str; 12] = [
    "000", "00", "0", "001", "099", "20", "2", "2000", "-200", "+20", "2x0", "",
];

/// Lines that are no field of a head.
const FIELDS: [&str; 17] = [
    "x odd: 1",
    "x-odd : 1",
    " x-odd: 1",
    "\tx-odd: 1",
    "x\todd: 1",
    "x-odd\t: 1",
    "x\u{0}odd: 1",
    "x\u{1}odd: 1",
    "x\u{1b}odd: 1",
    "x\u{7f}odd: 1",
    "x\rodd: 1",
    ": 1",
    "x-odd",
    "x(odd): 1",
    "content-length : 1",
    "content length: 1",
    "transfer-encoding\u{1}: chunked",
];

/// Returns the responses, each with the text that is wrong with it.
fn invalid_responses() -> Vec<(String, String)> {
    let statuses = STATUSES.map(|status| {
        let text = format!("HTTP/1.1 {status} OK\r\n{REST}");
        (format!("status {status:?}"), text)
    });
    let first = FIELDS.map(|field| {
        let text = format!("HTTP/1.1 200 OK\r\n{field}\r\n{REST}");
        (format!("first field {field:?}"), text)
    });
    let last = FIELDS.map(|field| {
        let rest = REST.replace("\r\n\r\n", &format!("\r\n{field}\r\n\r\n"));
        (
            format!("last field {field:?}"),
            format!("HTTP/1.1 200 OK\r\n{rest}"),
        )
    });
    let interim = FIELDS.map(|field| {
        let text = format!("HTTP/1.1 103 Hints\r\n{field}\r\n\r\nHTTP/1.1 200 OK\r\n{REST}");
        (format!("interim field {field:?}"), text)
    });
    let trailers = FIELDS.map(|field| {
        let rest = REST.replace(
            "content-length: 2\r\n\r\nok",
            "transfer-encoding: chunked\r\n\r\n",
        );
        let text = format!("HTTP/1.1 200 OK\r\n{rest}2\r\nok\r\n0\r\n{field}\r\n\r\n");
        (format!("trailer {field:?}"), text)
    });
    [&statuses[..], &first, &last, &interim, &trailers].concat()
}

async fn start(responses: Vec<ScriptedResponse>) -> (TestEnvironment, ScriptedUpstream, Gateway) {
    let world = TestEnvironment::start();
    let routes = [
        route("/once/", "non_idempotent", 2),
        route("/again/", "idempotent", 1),
        route("/stream/", "streaming", 1),
        route("/resumable/", "streaming", 1),
    ];
    world.configure(1, &routes).await;
    let upstream = ScriptedUpstream::start_in_turn(responses).await;
    world.announce_at("i-0", upstream.address, "ready").await;
    let gateway = world.gateway("g");
    gateway.ready().await;
    (world, upstream, gateway)
}

#[tokio::test]
async fn a_response_with_an_invalid_head_reaches_no_caller() {
    let cases = invalid_responses();
    let paths = ["/once/", "/again/", "/stream/", "/resumable/"];
    let scripted = cases.iter().flat_map(|(_, text)| {
        let each = paths.map(|_| ScriptedResponse::closing(text));
        each.into_iter()
    });
    let (_world, mut upstream, gateway) = start(scripted.collect()).await;
    for (name, _) in &cases {
        for path in paths {
            let Ok(response) = gateway.send(path).await else {
                // The connection was aborted within the response.
                continue;
            };
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{name} {path}");
            let seal = response.headers.get("x-server-seal");
            assert_eq!(seal, None, "{name} {path}");
        }
    }
    assert_eq!(upstream.received().len(), cases.len() * paths.len());
}

/// The second response of a connection follows a sound one.
#[tokio::test]
async fn an_invalid_head_on_a_reused_connection_reaches_no_caller() {
    let cases = invalid_responses();
    let sound = format!("HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\n{REST}");
    let scripted = cases.iter().flat_map(|(_, text)| {
        [
            ScriptedResponse::kept(&sound),
            ScriptedResponse::closing(text),
        ]
    });
    let (_world, mut upstream, gateway) = start(scripted.collect()).await;
    for (name, _) in &cases {
        let response = gateway.send("/once/").await.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "before {name}");
        assert_eq!(response.body, "ok", "before {name}");
        let response = gateway.send("/once/").await.expect("a response");
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{name}");
    }
    assert_eq!(upstream.received().len(), cases.len() * 2);
}

/// Reports, responses to orders, the store and sidecars are read by these clients.
#[tokio::test]
async fn a_response_with_an_invalid_head_is_an_error_of_each_client() {
    let get = |address| {
        let request = request(Method::GET, address, "/").header("x-request-id", "r1");
        request.body(Full::<Bytes>::default()).expect("a request")
    };
    for (name, text) in invalid_responses() {
        let responses = vec![ScriptedResponse::closing(text)];
        let upstream = ScriptedUpstream::start(responses).await;
        let address = upstream.address;
        let response = call(address, get(address), LIMIT).await;
        assert!(response.is_err(), "{name}: {response:?}");
        let mut connection = HttpConnection::new(address, 1_000);
        let response = connection.exchange(get(address), LIMIT).await;
        assert!(response.is_err(), "{name}: {response:?}");
        let response = connection.call_paced(get(address), LIMIT, LIMIT).await;
        assert!(response.is_err(), "{name}: {response:?}");
    }
}

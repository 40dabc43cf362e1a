//! Invalid requests and disconnecting callers against real processes: each request gets its status
//! and code, connections are closed, and other streams continue.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::{OpenResponse, open};
use common::{API_KEY, ChildProcess, Fleet, FleetOptions, MODEL, OTHER_KEY, build, get, send};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

/// Time within which the counts and open files must have the expected values.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which the entry must close a connection with incomplete headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(8);

/// An invalid request, and the status and error code that it must get.
struct InvalidRequest {
    status: u16,
    code: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
}

fn chat(model: &str, max_tokens: u32, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "rules ".repeat(200)}]);
    json!({"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream})
        .to_string()
}

fn bearer(key: &str) -> (&'static str, String) {
    ("authorization", format!("Bearer {key}"))
}

fn as_str_pairs<'a>(headers: &'a [(&'a str, String)]) -> Vec<(&'a str, &'a str)> {
    headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}

/// Sends a streaming request and returns the response after its first frame.
async fn open_stream(
    entry: SocketAddr,
    max_tokens: u32,
    extra_headers: &[(&str, &str)],
) -> OpenResponse {
    let headers = [bearer(API_KEY)];
    let mut headers = as_str_pairs(&headers);
    headers.extend(extra_headers);
    let body = chat(MODEL, max_tokens, true);
    let request = build(Method::POST, entry, CHAT, &headers, body);
    let mut exchange = open(entry, request, SETTLE_TIMEOUT).await.expect("a head");
    assert_eq!(exchange.response.status(), 200);
    let first = exchange.response.body_mut().frame().await;
    assert!(first.is_some_and(|frame| frame.is_ok()));
    exchange
}

/// Runs one request, so that the entry has open connections to the sidecars.
async fn warm_up(entry: SocketAddr) {
    let headers = [bearer(API_KEY)];
    let body = chat(MODEL, 5, false);
    let answer = send(Method::POST, entry, CHAT, &as_str_pairs(&headers), body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

/// Returns the sum of one counter over all engines.
async fn engine_count(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        let stats = get(engine.port("engine"), "/admin/stats", &[]).await;
        sum += stats.json()[name].as_u64().expect("a count");
    }
    sum
}

/// Waits until the sum of one counter over all engines has the expected value.
async fn wait_for_engine_count(fleet: &Fleet, name: &str, expected: u64) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while engine_count(fleet, name).await != expected {
        assert!(
            Instant::now() < deadline,
            "{name} is not {expected} in time"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the number of open file descriptors of a process.
fn open_files(process: &ChildProcess) -> usize {
    let files = std::fs::read_dir(format!("/proc/{}/fd", process.id()));
    files.expect("a running process").count()
}

/// Waits until a process has at most `before` open file descriptors.
async fn wait_for_closed_files(process: &ChildProcess, before: usize) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while open_files(process) > before {
        assert!(Instant::now() < deadline, "{} files", open_files(process));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn invalid_requests_get_their_error_codes_and_do_not_run() {
    let options = FleetOptions {
        entry: vec!["--body-limit-bytes", "8192"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let entry = fleet.entry(0);
    let mut other_stream = open_stream(entry, 300, &[]).await;
    let before = open_files(&fleet.entries[0]);
    let good = chat(MODEL, 1, false);
    let agency = [bearer(API_KEY)];
    let holdings = [bearer(OTHER_KEY), ("x-rank", "urgent".to_owned())];
    let no_rank = [bearer(API_KEY), ("x-rank", "soon".to_owned())];
    let unknown_key = [bearer("nobody-knows-this-key")];
    let no_field = json!({"model": MODEL}).to_string();
    let other_model = chat("no-such-model", 1, false);
    let case = |status, code, headers: &[(&'static str, String)], body: &str| InvalidRequest {
        status,
        code,
        method: Method::POST,
        path: CHAT,
        headers: headers.to_vec(),
        body: body.to_owned(),
    };
    let requests = [
        case(413, "body_too_large", &agency, &"x".repeat(8193)),
        case(400, "malformed_json", &agency, "{\"model\""),
        case(400, "invalid_value", &agency, &no_field),
        case(404, "model_not_found", &agency, &other_model),
        case(401, "missing_api_key", &[], &good),
        case(401, "invalid_api_key", &unknown_key, &good),
        case(403, "rank_not_allowed", &holdings, &good),
        case(400, "invalid_value", &no_rank, &good),
        InvalidRequest {
            method: Method::GET,
            ..case(405, "method_not_allowed", &agency, "")
        },
        InvalidRequest {
            path: "/v2/chat",
            ..case(404, "unknown_path", &agency, &good)
        },
        InvalidRequest {
            path: "/services/nowhere/x",
            ..case(404, "service_not_found", &agency, &good)
        },
    ];
    for invalid in requests {
        let headers = as_str_pairs(&invalid.headers);
        let answer = send(invalid.method, entry, invalid.path, &headers, invalid.body).await;
        let code = invalid.code;
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (invalid.status, code)
        );
        assert_eq!(answer.header("x-run-status"), "not-run", "{code}");
        assert_eq!(answer.header("x-should-retry"), "false", "{code}");
    }
    wait_for_closed_files(&fleet.entries[0], before).await;
    let rest = other_stream
        .response
        .body_mut()
        .collect()
        .await
        .expect("a body");
    let rest = String::from_utf8(rest.to_bytes().to_vec()).expect("text");
    assert!(rest.trim_end().ends_with("data: [DONE]"), "{rest}");
    assert_eq!(engine_count(&fleet, "started").await, 1);
}

#[tokio::test]
async fn connections_with_slow_headers_are_closed_while_others_are_served() {
    let fleet = Fleet::start().await;
    let entry = fleet.entry(0);
    warm_up(entry).await;
    let before = open_files(&fleet.entries[0]);
    let mut slow = Vec::new();
    for _ in 0..32 {
        let mut connection = TcpStream::connect(entry).expect("a connection");
        let part = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
        connection.write_all(part).expect("sent");
        slow.push(connection);
    }
    warm_up(entry).await;
    let deadline = Instant::now() + HEADER_TIMEOUT;
    for connection in &mut slow {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let limit = Some(remaining.max(Duration::from_millis(1)));
        connection.set_read_timeout(limit).expect("a limit");
        let read = connection.read_to_end(&mut Vec::new());
        assert!(
            read.is_ok(),
            "a connection with slow headers was not closed in time"
        );
    }
    wait_for_closed_files(&fleet.entries[0], before).await;
}

#[tokio::test]
async fn a_disconnect_during_a_stream_cancels_idempotent_work_only() {
    let fleet = Fleet::start().await;
    warm_up(fleet.entry(0)).await;
    let before = open_files(&fleet.entries[0]);
    drop(open_stream(fleet.entry(0), 60_000, &[]).await);
    wait_for_engine_count(&fleet, "cancelled", 1).await;
    wait_for_engine_count(&fleet, "running", 0).await;
    drop(open_stream(fleet.entry(0), 100, &[("x-idempotent", "false")]).await);
    wait_for_engine_count(&fleet, "finished", 2).await;
    assert_eq!(engine_count(&fleet, "cancelled").await, 1);
    wait_for_closed_files(&fleet.entries[0], before).await;
}

#[tokio::test]
async fn a_disconnect_before_the_first_token_cancels_the_request() {
    let options = FleetOptions {
        engine: vec!["--prefill-us", "60000000"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    for stream in [true, false] {
        let mut connection = TcpStream::connect(fleet.entry(0)).expect("a connection");
        let body = chat(MODEL, 5, stream);
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write_all(head.as_bytes()).expect("sent");
        wait_for_engine_count(&fleet, "running", 1).await;
        drop(connection);
        wait_for_engine_count(&fleet, "running", 0).await;
    }
    assert_eq!(engine_count(&fleet, "finished").await, 0);
    let state = get(fleet.sidecars[0].port("operator"), "/dump", &[])
        .await
        .json();
    assert_eq!(state["ledger"]["queued"], Value::from(0));
}

//! Bad input against real processes: each gets its status and code, nothing leaks, and other
//! streams go on.

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

/// Time within which the fleet must have settled after a caller has left.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// Time that the entry allows for the headers of a request, with some slack.
const HEADER_LIMIT: Duration = Duration::from_secs(8);

/// A request that is turned away.
struct Fault {
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

fn borrowed<'a>(headers: &'a [(&'a str, String)]) -> Vec<(&'a str, &'a str)> {
    headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}

/// Opens a stream and returns it after its first part has come.
async fn open_stream(entry: SocketAddr, max_tokens: u32, more: &[(&str, &str)]) -> OpenResponse {
    let headers = [bearer(API_KEY)];
    let mut headers = borrowed(&headers);
    headers.extend(more);
    let body = chat(MODEL, max_tokens, true);
    let request = build(Method::POST, entry, CHAT, &headers, body);
    let mut exchange = open(entry, request, SETTLE_LIMIT).await.expect("a head");
    assert_eq!(exchange.response.status(), 200);
    let first = exchange.response.body_mut().frame().await;
    assert!(first.is_some_and(|frame| frame.is_ok()));
    exchange
}

/// Runs one request; the entry keeps its connections to the sidecars from then on.
async fn warm_up(entry: SocketAddr) {
    let headers = [bearer(API_KEY)];
    let body = chat(MODEL, 5, false);
    let answer = send(Method::POST, entry, CHAT, &borrowed(&headers), body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

/// Adds up one count over the engines.
async fn engine_count(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        let stats = get(engine.port("engine"), "/admin/stats", &[]).await;
        sum += stats.json()[name].as_u64().expect("a count");
    }
    sum
}

async fn until_engine_count(fleet: &Fleet, name: &str, wanted: u64) {
    let deadline = Instant::now() + SETTLE_LIMIT;
    while engine_count(fleet, name).await != wanted {
        assert!(Instant::now() < deadline, "{name} is not {wanted} in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn open_files(process: &ChildProcess) -> usize {
    let files = std::fs::read_dir(format!("/proc/{}/fd", process.id()));
    files.expect("a running process").count()
}

/// Waits until a process has no more open files than before.
async fn until_files_closed(process: &ChildProcess, before: usize) {
    let deadline = Instant::now() + SETTLE_LIMIT;
    while open_files(process) > before {
        assert!(Instant::now() < deadline, "{} files", open_files(process));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn faulty_requests_get_their_codes_and_do_not_run() {
    let options = FleetOptions {
        entry: vec!["--body-limit-bytes", "8192"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let entry = fleet.entry(0);
    let mut beside = open_stream(entry, 300, &[]).await;
    let before = open_files(&fleet.entries[0]);
    let good = chat(MODEL, 1, false);
    let agency = [bearer(API_KEY)];
    let holdings = [bearer(OTHER_KEY), ("x-rank", "urgent".to_owned())];
    let no_rank = [bearer(API_KEY), ("x-rank", "soon".to_owned())];
    let stranger = [bearer("nobody-knows-this-key")];
    let no_field = json!({"model": MODEL}).to_string();
    let other_model = chat("no-such-model", 1, false);
    let case = |status, code, headers: &[(&'static str, String)], body: &str| Fault {
        status,
        code,
        method: Method::POST,
        path: CHAT,
        headers: headers.to_vec(),
        body: body.to_owned(),
    };
    let faults = [
        case(413, "body_too_large", &agency, &"x".repeat(8193)),
        case(400, "malformed_json", &agency, "{\"model\""),
        case(400, "invalid_value", &agency, &no_field),
        case(404, "model_not_found", &agency, &other_model),
        case(401, "missing_api_key", &[], &good),
        case(401, "invalid_api_key", &stranger, &good),
        case(403, "rank_not_allowed", &holdings, &good),
        case(400, "invalid_value", &no_rank, &good),
        Fault {
            method: Method::GET,
            ..case(405, "method_not_allowed", &agency, "")
        },
        Fault {
            path: "/v2/chat",
            ..case(404, "unknown_path", &agency, &good)
        },
        Fault {
            path: "/services/nowhere/x",
            ..case(404, "service_not_found", &agency, &good)
        },
    ];
    for fault in faults {
        let headers = borrowed(&fault.headers);
        let answer = send(fault.method, entry, fault.path, &headers, fault.body).await;
        let code = fault.code;
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (fault.status, code)
        );
        assert_eq!(answer.header("x-run-status"), "not-run", "{code}");
        assert_eq!(answer.header("x-should-retry"), "false", "{code}");
    }
    until_files_closed(&fleet.entries[0], before).await;
    let rest = beside.response.body_mut().collect().await.expect("a body");
    let rest = String::from_utf8(rest.to_bytes().to_vec()).expect("text");
    assert!(rest.trim_end().ends_with("data: [DONE]"), "{rest}");
    assert_eq!(engine_count(&fleet, "started").await, 1);
}

#[tokio::test]
async fn senders_of_slow_headers_are_cut_while_others_are_served() {
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
    let deadline = Instant::now() + HEADER_LIMIT;
    for connection in &mut slow {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let limit = Some(remaining.max(Duration::from_millis(1)));
        connection.set_read_timeout(limit).expect("a limit");
        let read = connection.read_to_end(&mut Vec::new());
        assert!(read.is_ok(), "a slow sender was not cut in time");
    }
    until_files_closed(&fleet.entries[0], before).await;
}

#[tokio::test]
async fn a_caller_that_leaves_mid_stream_cancels_repeatable_work_only() {
    let fleet = Fleet::start().await;
    warm_up(fleet.entry(0)).await;
    let before = open_files(&fleet.entries[0]);
    drop(open_stream(fleet.entry(0), 60_000, &[]).await);
    until_engine_count(&fleet, "cancelled", 1).await;
    until_engine_count(&fleet, "running", 0).await;
    drop(open_stream(fleet.entry(0), 100, &[("x-idempotent", "false")]).await);
    until_engine_count(&fleet, "finished", 2).await;
    assert_eq!(engine_count(&fleet, "cancelled").await, 1);
    until_files_closed(&fleet.entries[0], before).await;
}

#[tokio::test]
async fn a_caller_that_leaves_before_the_first_token_cancels_its_work() {
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
        until_engine_count(&fleet, "running", 1).await;
        drop(connection);
        until_engine_count(&fleet, "running", 0).await;
    }
    assert_eq!(engine_count(&fleet, "finished").await, 0);
    let state = get(fleet.sidecars[0].port("operator"), "/dump", &[])
        .await
        .json();
    assert_eq!(state["ledger"]["queued"], Value::from(0));
}

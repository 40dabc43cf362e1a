//! Start and planned stop of real processes: settings, exit codes and open requests.

mod common;

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use bulrushslip::platform::http_client::{OpenResponse, open};
use common::{API_KEY, Answer, Fleet, FleetOptions, MODEL, build, get, send};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";
/// Timeout of the response head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Tokens of a response that is still streaming when a stop begins, at 1 ms each.
const LONG_RESPONSE: u32 = 400;

/// Returns the value of the `authorization` header.
fn bearer() -> String {
    format!("Bearer {API_KEY}")
}

/// Returns the body of a chat request.
fn chat_body(stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "rules ".repeat(200)}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": LONG_RESPONSE, "stream": stream})
        .to_string()
}

/// Sends a streaming request and returns the response once its first frame has arrived.
async fn open_stream(entry: SocketAddr) -> OpenResponse {
    let headers = [("authorization", &*bearer())];
    let request = build(Method::POST, entry, CHAT, &headers, chat_body(true));
    let mut stream = open(entry, request, HEAD_TIMEOUT)
        .await
        .expect("a response head");
    let first = stream.response.body_mut().frame().await;
    assert!(first.is_some_and(|frame| frame.is_ok()));
    stream
}

/// Reads the rest of a stream and returns whether it ends with `[DONE]`.
async fn is_complete(mut stream: OpenResponse) -> bool {
    let rest = stream.response.body_mut().collect().await;
    let Ok(rest) = rest else { return false };
    String::from_utf8_lossy(&rest.to_bytes())
        .trim_end()
        .ends_with("data: [DONE]")
}

/// Sends a request without streaming and returns the response.
async fn send_chat(entry: SocketAddr) -> Answer {
    send(
        Method::POST,
        entry,
        CHAT,
        &[("authorization", &*bearer())],
        chat_body(false),
    )
    .await
}

#[tokio::test]
async fn a_stopping_entry_completes_open_requests_and_accepts_no_new_connection() {
    let mut fleet = Fleet::start().await;
    let entry = fleet.entry(0);
    let streamed = open_stream(entry).await;
    let unstreamed = tokio::spawn(send_chat(entry));
    // The second stream has begun, so the entry has accepted the request sent before it.
    let second = open_stream(entry).await;
    fleet.entries[0].terminate();
    assert!(is_complete(streamed).await);
    assert!(is_complete(second).await);
    let unstreamed = unstreamed.await.expect("a response");
    assert_eq!(
        (unstreamed.status, unstreamed.header("x-run-status")),
        (200, "complete")
    );
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let refused = TcpStream::connect(entry).expect_err("a closed port");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    assert_eq!(send_chat(fleet.entry(1)).await.status, 200);
}

#[tokio::test]
async fn a_leaving_entry_reports_it_and_still_serves_new_connections() {
    let options = FleetOptions {
        entry: vec!["--leave-ms", "2000"],
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_with(&options).await;
    let (entry, operator) = (fleet.entry(0), fleet.entries[0].port("operator"));
    assert_eq!(get(operator, "/health", &[]).await.status, 200);
    fleet.entries[0].terminate();
    while get(operator, "/health", &[]).await.status == 200 {
        tokio::task::yield_now().await;
    }
    let late = send_chat(entry).await;
    assert_eq!((late.status, late.header("connection")), (200, "close"));
    let health = get(operator, "/health", &[]).await;
    assert_eq!(
        (health.status, health.json()["status"].as_str()),
        (503, Some("leaving"))
    );
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

#[tokio::test]
async fn a_stopping_sidecar_completes_open_requests_and_new_ones_run_elsewhere() {
    let mut fleet = Fleet::start().await;
    let entry = fleet.entry(0);
    let before = open_stream(entry).await;
    let stopping = busy_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    let after = open_stream(entry).await;
    assert!(is_complete(before).await);
    assert!(is_complete(after).await);
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(send_chat(entry).await.status, 200);
}

/// Returns the index of the sidecar whose engine runs a request.
async fn busy_sidecar(fleet: &Fleet) -> usize {
    for (i, engine) in fleet.engines.iter().enumerate() {
        let stats = common::get(engine.port("engine"), "/admin/stats", &[]).await;
        if stats.json()["running"] != json!(0) {
            return i;
        }
    }
    panic!("no engine runs a request");
}

#[test]
fn invalid_settings_end_a_process_with_code_2_and_a_message_for_each() {
    for binary in [
        env!("CARGO_BIN_EXE_bulrushslip-entry"),
        env!("CARGO_BIN_EXE_bulrushslip-sidecar"),
    ] {
        let output = Command::new(binary)
            .args(["--listen", "localhost:1", "--operator-listen", "0.0.0.0:0"])
            .env("BULRUSHSLIP_DRAIN_MS", "soon")
            .output()
            .expect("the binary runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        for setting in ["listen", "operator-token", "platform", "name", "drain-ms"] {
            assert!(
                errors.contains(&format!("--{setting} (BULRUSHSLIP_")),
                "{errors}"
            );
        }
        assert!(errors.contains("'soon'") && errors.contains("from 0 to 3600000"));
    }
}

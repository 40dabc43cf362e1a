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
const LIMIT: Duration = Duration::from_secs(20);

/// Tokens of an answer that outlasts the start of a stop; one takes a millisecond.
const LONG_ANSWER: u32 = 400;

fn bearer() -> String {
    format!("Bearer {API_KEY}")
}

fn chat(stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "rules ".repeat(200)}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": LONG_ANSWER, "stream": stream})
        .to_string()
}

/// Opens a stream and returns it after its first part has come.
async fn open_stream(entry: SocketAddr) -> OpenResponse {
    let headers = [("authorization", &*bearer())];
    let request = build(Method::POST, entry, CHAT, &headers, chat(true));
    let mut exchange = open(entry, request, LIMIT).await.expect("a head");
    let first = exchange.response.body_mut().frame().await;
    assert!(first.is_some_and(|frame| frame.is_ok()));
    exchange
}

async fn is_complete(mut exchange: OpenResponse) -> bool {
    let rest = exchange.response.body_mut().collect().await;
    let Ok(rest) = rest else { return false };
    String::from_utf8_lossy(&rest.to_bytes())
        .trim_end()
        .ends_with("data: [DONE]")
}

async fn ask(entry: SocketAddr) -> Answer {
    send(
        Method::POST,
        entry,
        CHAT,
        &[("authorization", &*bearer())],
        chat(false),
    )
    .await
}

#[tokio::test]
async fn a_stopping_entry_finishes_its_answers_and_takes_no_new_connection() {
    let mut fleet = Fleet::start().await;
    let entry = fleet.entry(0);
    let streamed = open_stream(entry).await;
    let whole = tokio::spawn(ask(entry));
    // A second stream answered proves that the whole request before it has been accepted.
    let second = open_stream(entry).await;
    fleet.entries[0].terminate();
    assert!(is_complete(streamed).await);
    assert!(is_complete(second).await);
    let whole = whole.await.expect("an answer");
    assert_eq!(
        (whole.status, whole.header("x-run-status")),
        (200, "complete")
    );
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let refused = TcpStream::connect(entry).expect_err("a closed port");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    assert_eq!(ask(fleet.entry(1)).await.status, 200);
}

#[tokio::test]
async fn a_leaving_entry_says_so_and_still_answers_new_connections() {
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
    let late = ask(entry).await;
    assert_eq!((late.status, late.header("connection")), (200, "close"));
    let health = get(operator, "/health", &[]).await;
    assert_eq!(
        (health.status, health.json()["status"].as_str()),
        (503, Some("leaving"))
    );
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

#[tokio::test]
async fn a_stopping_sidecar_finishes_its_answers_and_new_work_goes_elsewhere() {
    let mut fleet = Fleet::start().await;
    let entry = fleet.entry(0);
    let before = open_stream(entry).await;
    let stopping = busy_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    let after = open_stream(entry).await;
    assert!(is_complete(before).await);
    assert!(is_complete(after).await);
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(ask(entry).await.status, 200);
}

/// Returns the sidecar whose engine runs a request.
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
fn bad_settings_end_a_process_with_code_2_and_name_each() {
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

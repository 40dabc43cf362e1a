//! What an operator learns about one request from the entry that ran it.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use common::{API_KEY, Fleet, MODEL, get, post};
use serde_json::{Value, json};

#[tokio::test]
async fn an_entry_tells_where_a_request_went_and_how_it_ended() {
    let fleet = Fleet::start().await;
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-rank", "urgent")];
    let body = json!({"model": MODEL, "max_tokens": 3, "messages": [
        {"role": "user", "content": "state of gate 7"}]});
    let path = "/v1/chat/completions";
    let answer = post(fleet.entry(0), path, &headers, body.to_string()).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    let id = answer.header("x-request-id");
    let operator = fleet.entries[0].port("operator");
    let explained = get(operator, &format!("/explain/{id}"), &[]).await;
    let report = explained.json();
    assert_eq!(report["id"], id);
    assert_eq!(report["customer"], "agency");
    assert_eq!(report["rank"], "urgent");
    assert_eq!(report["told"], "complete");
    let upstream = report["steps"][0]["upstream"].as_str().unwrap_or("");
    assert!(upstream.starts_with("engine-"), "{report}");
    let elsewhere = fleet.entries[1].port("operator");
    assert_eq!(
        get(elsewhere, &format!("/explain/{id}"), &[]).await.status,
        404
    );
    let sidecar = fleet.sidecars[0].port("operator");
    assert_eq!(
        get(sidecar, &format!("/explain/{id}"), &[]).await.status,
        404
    );
}

#[tokio::test]
async fn an_operator_finds_a_request_by_its_id_alone() {
    let fleet = Fleet::start().await;
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/services/gates/7/state";
    let answer = get(fleet.entry(1), path, &headers).await;
    let id = answer.header("x-request-id").to_owned();
    let platform = fleet.platform.port("platform").to_string();
    let explain = |id: &str| {
        let arguments = ["explain", "--platform", &platform, "--json", id];
        let ctl = Command::new(env!("CARGO_BIN_EXE_bulrushslip-ctl"))
            .args(arguments)
            .output();
        ctl.expect("the command runs")
    };
    // An entry is on the platform's list once it has renewed itself, every 2 s.
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut found = explain(&id);
    while found.status.code() != Some(0) && Instant::now() < deadline {
        found = explain(&id);
    }
    assert_eq!(found.status.code(), Some(0), "{found:?}");
    let report: Value = serde_json::from_slice(&found.stdout).expect("JSON");
    assert_eq!(report["target"], "service gates");
    assert_eq!(explain("req-0000000000000000").status.code(), Some(3));
    assert_eq!(explain("../dump").status.code(), Some(2));
}

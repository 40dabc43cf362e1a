//! Record of the decisions on one request, read from the entry that received it.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use common::{API_KEY, Fleet, MODEL, get, post};
use serde_json::{Value, json};

#[tokio::test]
async fn an_entry_reports_the_upstream_and_the_outcome_of_a_request() {
    let fleet = Fleet::start().await;
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-rank", "urgent")];
    let body = json!({"model": MODEL, "max_tokens": 3, "messages": [
        {"role": "user", "content": "state of gate 7"}]});
    let path = "/v1/chat/completions";
    let response = post(fleet.entry(0), path, &headers, body.to_string()).await;
    assert_eq!(response.status, 200, "{}", response.text);
    let id = response.header("x-request-id");
    let operator = fleet.entries[0].port("operator");
    let explained = get(operator, &format!("/explain/{id}"), &[]).await;
    let report = explained.json();
    assert_eq!(report["id"], id);
    assert_eq!(report["customer"], "agency");
    assert_eq!(report["rank"], "urgent");
    assert_eq!(report["told"], "complete");
    let upstream = report["steps"][0]["upstream"].as_str().unwrap_or("");
    assert!(upstream.starts_with("engine-"), "{report}");
    let other_entry = fleet.entries[1].port("operator");
    assert_eq!(
        get(other_entry, &format!("/explain/{id}"), &[])
            .await
            .status,
        404
    );
    let sidecar = fleet.sidecars[0].port("operator");
    assert_eq!(
        get(sidecar, &format!("/explain/{id}"), &[]).await.status,
        404
    );
}

#[tokio::test]
async fn explain_finds_the_entry_of_a_request_by_the_request_id() {
    let fleet = Fleet::start().await;
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/services/gates/7/state";
    let response = get(fleet.entry(1), path, &headers).await;
    let id = response.header("x-request-id").to_owned();
    let platform = fleet.platform.port("platform").to_string();
    let explain = |id: &str| {
        let arguments = ["explain", "--platform", &platform, "--json", id];
        let ctl = Command::new(env!("CARGO_BIN_EXE_bulrushslip-ctl"))
            .args(arguments)
            .output();
        ctl.expect("the binary can be started")
    };
    // An entry appears on the list of instances with the first renewal of its registration; the
    // interval is 2 s.
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut output = explain(&id);
    while output.status.code() != Some(0) && Instant::now() < deadline {
        output = explain(&id);
    }
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("explain prints JSON");
    assert_eq!(report["target"], "service gates");
    assert_eq!(explain("req-0000000000000000").status.code(), Some(3));
    assert_eq!(explain("../dump").status.code(), Some(2));
}

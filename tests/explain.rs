//! What an operator learns about one request from the entry that ran it.

mod common;

use common::{API_KEY, Fleet, MODEL, get, post};
use serde_json::json;

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

//! A poison request among real processes: it crashes engines until it is identified and refused.

mod common;

use std::time::{Duration, Instant};

use common::{API_KEY, Answer, Fleet, FleetOptions, MODEL, get, post};
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

/// Time limit for identifying the poison request.
const DETECTION_LIMIT: Duration = Duration::from_secs(20);

/// Number of requests that run concurrently with the poison request.
const NEIGHBOURS: usize = 6;

/// Sends a chat request and returns the response.
async fn send_chat(fleet: &Fleet, entry: usize, text: &str) -> Answer {
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let messages = json!([{"role": "user", "content": text}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": 100}).to_string();
    post(fleet.entry(entry), CHAT, &headers, body).await
}

/// Returns the number of engine crashes in the fleet.
async fn crash_count(fleet: &Fleet) -> u64 {
    let mut crashes = 0;
    for engine in &fleet.engines {
        let stats = get(engine.port("engine"), "/admin/stats", &[]).await;
        let count = stats.json()["crashes"].as_u64();
        crashes += count.unwrap_or_else(|| panic!("no crashes in {}", stats.text));
    }
    crashes
}

/// Sends the poison request to both entries in turn until it is refused with code `poisonous`.
async fn send_until_refused(fleet: &Fleet) -> Answer {
    let started_at = Instant::now();
    let mut sends = 0;
    loop {
        let response = send_chat(fleet, sends % 2, "crash-engine now").await;
        sends += 1;
        if response.code() == "poisonous" {
            return response;
        }
        let (status, text) = (response.status, response.text);
        assert!(started_at.elapsed() < DETECTION_LIMIT, "{status} {text}");
    }
}

/// Starts a fleet whose engines restart 200 ms after a crash.
async fn start_fleet() -> Fleet {
    Fleet::start_with(&FleetOptions {
        engine: vec!["--restart-ms", "200"],
        ..FleetOptions::default()
    })
    .await
}

#[tokio::test]
async fn a_poison_request_is_refused_at_every_entry_after_two_crashes() {
    let fleet = start_fleet().await;
    let refused = send_until_refused(&fleet).await;
    assert_eq!(refused.status, 422);
    assert_eq!(refused.header("x-run-status"), "not-run");
    for entry in 0..2 {
        let again = send_chat(&fleet, entry, "crash-engine now").await;
        assert_eq!(again.code(), "poisonous");
    }
    assert_eq!(crash_count(&fleet).await, 2);
}

#[tokio::test]
async fn requests_concurrent_with_a_poison_request_complete() {
    let fleet = start_fleet().await;
    let texts: Vec<String> = (0..NEIGHBOURS).map(|i| format!("review {i}")).collect();
    let numbered = texts.iter().enumerate();
    let concurrent =
        futures::future::join_all(numbered.map(|(i, text)| send_chat(&fleet, i % 2, text)));
    let (responses, _) = futures::future::join(concurrent, send_until_refused(&fleet)).await;
    for response in &responses {
        assert_eq!(response.status, 200, "{}", response.text);
        assert_eq!(response.header("x-run-status"), "complete");
    }
}

//! Repeated crashes between real processes: the request that causes them is found and refused.

mod common;

use std::time::{Duration, Instant};

use common::{API_KEY, Answer, Fleet, FleetOptions, MODEL, get, post};
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

/// Time in which the poisonous request has to be found.
const FIND_LIMIT: Duration = Duration::from_secs(20);

/// Neighbours that run beside the poisonous request.
const NEIGHBOURS: usize = 6;

async fn ask(fleet: &Fleet, entry: usize, text: &str) -> Answer {
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let messages = json!([{"role": "user", "content": text}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": 100}).to_string();
    post(fleet.entry(entry), CHAT, &headers, body).await
}

async fn crashes(fleet: &Fleet) -> u64 {
    let mut crashes = 0;
    for engine in &fleet.engines {
        let stats = get(engine.port("engine"), "/admin/stats", &[]).await;
        let count = stats.json()["crashes"].as_u64();
        crashes += count.unwrap_or_else(|| panic!("no crashes in {}", stats.text));
    }
    crashes
}

/// Sends the poisonous request, through either entry in turn, until it is refused as such.
async fn send_until_refused(fleet: &Fleet) -> Answer {
    let begun = Instant::now();
    let mut sends = 0;
    loop {
        let answer = ask(fleet, sends % 2, "crash-engine now").await;
        sends += 1;
        if answer.code() == "poisonous" {
            return answer;
        }
        let (status, text) = (answer.status, answer.text);
        assert!(begun.elapsed() < FIND_LIMIT, "{status} {text}");
    }
}

async fn start() -> Fleet {
    Fleet::start_with(&FleetOptions {
        engine: vec!["--restart-ms", "200"],
        ..FleetOptions::default()
    })
    .await
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_refused_after_two_through_any_entry() {
    let fleet = start().await;
    let refused = send_until_refused(&fleet).await;
    assert_eq!(refused.status, 422);
    assert_eq!(refused.header("x-run-status"), "not-run");
    for entry in 0..2 {
        let again = ask(&fleet, entry, "crash-engine now").await;
        assert_eq!(again.code(), "poisonous");
    }
    assert_eq!(crashes(&fleet).await, 2);
}

#[tokio::test]
async fn neighbours_of_a_request_that_crashes_both_engines_are_answered() {
    let fleet = start().await;
    let texts: Vec<String> = (0..NEIGHBOURS).map(|i| format!("review {i}")).collect();
    let asks = texts.iter().enumerate();
    let neighbours = futures::future::join_all(asks.map(|(i, text)| ask(&fleet, i % 2, text)));
    let (answers, _) = futures::future::join(neighbours, send_until_refused(&fleet)).await;
    for answer in &answers {
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(answer.header("x-run-status"), "complete");
    }
}

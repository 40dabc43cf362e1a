//! Tracking of an engine's cache by a sidecar process, with delayed and lost events and a crash.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, FleetOptions, get, post};

/// Time limit for the sidecar to catch up with the engine.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two dumps.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Number of prompts; with four pieces each they exceed the engine's cache several times over.
const PROMPTS: u64 = 60;

async fn cached_at_engine(fleet: &Fleet) -> u64 {
    let engine = fleet.engines[0].port("engine");
    let keys = get(engine, "/cache/keys", &[]).await.json();
    keys["keys"].as_array().expect("a list").len() as u64
}

async fn wait_until_tracked(fleet: &Fleet, wanted: u64) {
    let operator = fleet.sidecars[0].port("operator");
    let deadline = Instant::now() + CATCH_UP_LIMIT;
    loop {
        let dump = get(operator, "/dump", &[]).await.json();
        let tracked = dump["ledger"]["cached_pieces"].as_u64().expect("a count");
        if tracked == wanted {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{tracked} instead of {wanted} pieces"
        );
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

#[tokio::test]
async fn the_index_catches_up_after_lost_events_and_is_emptied_by_a_crash() {
    let options = FleetOptions {
        engine: vec![
            "--cache-pieces",
            "50",
            "--prefill-us",
            "500",
            "--event-loss-percent",
            "20",
            "--event-lag-ms",
            "30",
        ],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let engine = fleet.engines[0].port("engine");
    let body = r#"{"model":"reviewer","messages":[],"stream":true,"max_tokens":1}"#;
    for prompt in 0..PROMPTS {
        let keys: Vec<String> = (0..4)
            .map(|piece| format!("{:016x}", prompt * 4 + piece))
            .collect();
        let headers = [("x-prefix-keys", keys.join(","))];
        let headers = [(headers[0].0, headers[0].1.as_str())];
        let answer = post(engine, "/v1/chat/completions", &headers, body).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(cached_at_engine(&fleet).await, 50);
    wait_until_tracked(&fleet, 50).await;
    fleet.engine_fault(0, "crash").await;
    wait_until_tracked(&fleet, 0).await;
}

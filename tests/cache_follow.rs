//! The sidecar's view of a real engine's cache, with late and lost events and a crash.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, FleetOptions, get, post};

/// Time within which the sidecar must have caught up.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two looks.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Prompts sent; with four pieces each they fill the engine's cache several times.
const PROMPTS: u64 = 60;

async fn cached_at_engine(fleet: &Fleet) -> u64 {
    let engine = fleet.engines[0].port("engine");
    let keys = get(engine, "/cache/keys", &[]).await.json();
    keys["keys"].as_array().expect("a list").len() as u64
}

async fn until_believed(fleet: &Fleet, wanted: u64) {
    let operator = fleet.sidecars[0].port("operator");
    let deadline = Instant::now() + CATCH_UP_LIMIT;
    loop {
        let dump = get(operator, "/dump", &[]).await.json();
        let believed = dump["ledger"]["cached_pieces"].as_u64().expect("a count");
        if believed == wanted {
            return;
        }
        assert!(Instant::now() < deadline, "{believed} of {wanted} pieces");
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

#[tokio::test]
async fn the_sidecar_catches_up_after_lost_events_and_empties_at_a_crash() {
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
    until_believed(&fleet, 50).await;
    fleet.engine_fault(0, "crash").await;
    until_believed(&fleet, 0).await;
}

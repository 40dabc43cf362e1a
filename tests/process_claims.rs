//! Idempotency keys with real processes: a key runs once despite repeats and failures.

mod common;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bulrushslip::decide::claims::{KeyHash, PartitionId};
use common::{API_KEY, Answer, Fleet, post};
use serde_json::{Value, json};

const PATH: &str = "/services/gates/clone";

/// Time within which a claim must be refused while the log is unavailable.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

async fn clone_gate(fleet: &Fleet, entry: usize, key: &str, body: &str) -> Answer {
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    post(fleet.entry(entry), PATH, &headers, body.to_owned()).await
}

/// Returns the number of tickets that ran, and the number of their runs.
async fn runs(fleet: &Fleet) -> (usize, u64) {
    let answer = common::get(fleet.plain.port("plain"), "/admin/runs", &[]).await;
    let runs = answer.json();
    let counts = runs["runs"].as_object().expect("runs by request id");
    let counts: Vec<u64> = counts.values().filter_map(Value::as_u64).collect();
    (counts.len(), counts.iter().sum())
}

/// Injects a fault into the platform.
async fn inject_fault(fleet: &Fleet, fault: &str) {
    let path = format!("/admin/{fault}");
    let answer = post(fleet.platform.port("platform"), &path, &[], "").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

fn is_complete(answer: &Answer) -> bool {
    // The run status of a streamed response is in a trailer, so the body is checked instead.
    answer.status == 200 && answer.json()["service"] == "gates"
}

#[tokio::test]
async fn equal_requests_through_both_entries_run_once_and_get_the_same_response() {
    let fleet = Fleet::start().await;
    let sends = (0..12).map(|i| clone_gate(&fleet, i % 2, "gate-7", "open"));
    let answers = futures::future::join_all(sends).await;
    for answer in &answers {
        assert!(is_complete(answer), "{} {}", answer.status, answer.text);
        assert_eq!(answer.text, answers[0].text);
    }
    let later = clone_gate(&fleet, 0, "gate-7", "open").await;
    assert_eq!((later.status, &later.text), (200, &answers[0].text));
    assert_eq!(runs(&fleet).await, (1, 1));
    assert!(is_complete(&clone_gate(&fleet, 1, "gate-8", "open").await));
    assert_eq!(runs(&fleet).await, (2, 2));
}

#[tokio::test]
async fn a_key_of_a_different_request_or_an_expired_key_is_refused() {
    let fleet = Fleet::start().await;
    assert!(is_complete(&clone_gate(&fleet, 0, "gate-7", "open").await));
    let reused = clone_gate(&fleet, 1, "gate-7", "close").await;
    assert_eq!(
        (reused.status, reused.code().as_str()),
        (422, "idempotency_conflict")
    );
    assert_eq!(reused.header("x-run-status"), "not-run");
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let yesterday = (elapsed.as_secs() - 86_400).to_string();
    let bearer = format!("Bearer {API_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "gate-9"),
        ("idempotency-key-created", yesterday.as_str()),
    ];
    let expired = post(fleet.entry(0), PATH, &headers, "open").await;
    assert_eq!(expired.code(), "idempotency_expired");
    assert_eq!(expired.header("x-run-status"), "unknown");
    assert_eq!(runs(&fleet).await, (1, 1));
}

#[tokio::test]
async fn a_claim_whose_append_reply_is_lost_is_confirmed_and_runs_once() {
    let fleet = Fleet::start().await;
    inject_fault(&fleet, "lose-answers?next=1").await;
    let first = clone_gate(&fleet, 0, "gate-7", "open").await;
    assert!(is_complete(&first), "{} {}", first.status, first.text);
    let again = clone_gate(&fleet, 1, "gate-7", "open").await;
    assert_eq!((again.status, again.text), (200, first.text));
    assert_eq!(runs(&fleet).await, (1, 1));
}

#[tokio::test]
async fn while_the_log_is_unavailable_requests_with_keys_are_refused_and_others_run() {
    let fleet = Fleet::start().await;
    let before = clone_gate(&fleet, 0, "gate-7", "open").await;
    inject_fault(&fleet, "outage?ms=60000").await;
    let start = Instant::now();
    let refused = clone_gate(&fleet, 0, "gate-8", "open").await;
    assert!(start.elapsed() < REFUSAL_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "claim_unavailable")
    );
    assert_eq!(refused.header("x-run-status"), "not-run");
    // A key whose holder the sidecar knows does not need the log.
    let held = clone_gate(&fleet, 1, "gate-7", "open").await;
    assert_eq!((held.status, held.text), (200, before.text));
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let unkeyed = post(fleet.entry(0), PATH, &headers, json!({"x": 1}).to_string()).await;
    assert!(is_complete(&unkeyed));
    inject_fault(&fleet, "outage?ms=0").await;
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_complete(&clone_gate(&fleet, 1, "gate-8", "open").await) {
        assert!(
            Instant::now() < deadline,
            "the key was not accepted in time after the outage"
        );
    }
    assert_eq!(runs(&fleet).await, (3, 3));
}

#[tokio::test]
async fn keys_survive_the_loss_of_their_coordinators() {
    let mut fleet = Fleet::start().await;
    let mut first = Vec::new();
    for number in 0..8 {
        first.push(
            clone_gate(&fleet, 0, &format!("gate-{number}"), "open")
                .await
                .text,
        );
    }
    // Only the sidecar of the plain service is left; it now coordinates every partition.
    fleet.sidecars[0].kill();
    fleet.sidecars[1].kill();
    for (number, text) in first.iter().enumerate() {
        let again = clone_gate(&fleet, 1, &format!("gate-{number}"), "open").await;
        assert_eq!((again.status, &again.text), (200, text));
    }
    assert_eq!(runs(&fleet).await, (8, 8));
}

/// Time within which lost records must be on the log again.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of partitions that a sidecar keeps open.
const OPEN_PARTITIONS: usize = 4;

/// Number of appends to one partition that a drill of the store loses; a claim waits for fewer.
const LOST_APPENDS: usize = 24;

/// Returns keys whose claims are in one partition.
fn keys_of(partition: PartitionId, count: usize) -> Vec<String> {
    let keys = (0..).map(|number| format!("gate-{number}"));
    let keys = keys.filter(|key| KeyHash::of("agency", key).partition() == partition);
    keys.take(count).collect()
}

/// Waits until the coordinators have appended again what the log has lost.
async fn until_no_record_is_lost(fleet: &Fleet) {
    let deadline = Instant::now() + REPAIR_TIMEOUT;
    loop {
        let mut lost = 0;
        for sidecar in &fleet.sidecars {
            let dump = common::get(sidecar.port("operator"), "/dump", &[]).await;
            let dump = dump.json();
            let partitions = dump["claims"].as_array().expect("a list of partitions");
            let has_lost = |partition: &&Value| partition["has_lost_records"] == true;
            lost += partitions.iter().filter(has_lost).count();
        }
        if lost == 0 {
            return;
        }
        assert!(Instant::now() < deadline, "{lost} partitions lack records");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against claims whose offsets the store gives out again, so that they are never read.
#[tokio::test]
async fn keys_are_claimed_below_the_offsets_that_a_drill_of_the_store_has_lost() {
    let fleet = Fleet::start().await;
    inject_fault(&fleet, "copy").await;
    let keys = keys_of(PartitionId(0), LOST_APPENDS + 2);
    let (lost, new) = keys.split_at(LOST_APPENDS);
    for key in lost {
        assert!(is_complete(&clone_gate(&fleet, 0, key, "open").await));
    }
    inject_fault(&fleet, "restore?ms=0").await;
    for key in new {
        let answer = clone_gate(&fleet, 0, key, "open").await;
        assert!(is_complete(&answer), "{} {}", answer.status, answer.text);
    }
    for key in &keys {
        assert!(is_complete(&clone_gate(&fleet, 1, key, "open").await));
    }
    assert_eq!(runs(&fleet).await, (keys.len(), keys.len() as u64));
}

/// Guards against a second run of a key whose claim was lost, by the next coordinator.
#[tokio::test]
async fn keys_survive_a_drill_of_the_store_and_the_loss_of_their_coordinators() {
    let mut fleet = Fleet::start().await;
    inject_fault(&fleet, "copy").await;
    let keys: Vec<_> = PartitionId::all()
        .take(OPEN_PARTITIONS)
        .map(|id| keys_of(id, 2))
        .collect();
    for pair in &keys {
        assert!(is_complete(&clone_gate(&fleet, 0, &pair[0], "open").await));
    }
    inject_fault(&fleet, "restore?ms=0").await;
    for pair in &keys {
        assert!(is_complete(&clone_gate(&fleet, 0, &pair[1], "open").await));
    }
    until_no_record_is_lost(&fleet).await;
    fleet.sidecars[0].kill();
    fleet.sidecars[1].kill();
    for key in keys.iter().flatten() {
        let answer = clone_gate(&fleet, 1, key, "open").await;
        assert!(is_complete(&answer), "{} {}", answer.status, answer.text);
    }
    assert_eq!(runs(&fleet).await, (2 * keys.len(), 2 * keys.len() as u64));
}

//! Sidecars killed and restarted with running requests among real processes.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{ChatCall, Fleet, FleetOptions};

/// Tokens of a response that is still streaming after a restart, at 1 ms each.
const LONG_RESPONSE: u64 = 1_500;

/// Time within which a sidecar that goes on must be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a sidecar does not respond; an entry gives up the lost one after a second, and waits
/// up to three more for another.
const SLOW_TIME: Duration = Duration::from_millis(2_200);

/// Time after which an entry has given up a sidecar that does not respond, too.
const SILENT_TIME: Duration = Duration::from_millis(4_200);

/// Runs a request whose sidecar is killed during the stream and restarted on the same address.
async fn run_across_restart(call: &ChatCall) {
    let mut fleet = Fleet::start().await;
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let busy = fleet.busy_engine().await;
    fleet.sidecars[busy].restart();
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.total_count("started").await, 1);
    // The restarted sidecar serves new requests.
    let again = ChatCall::once("Clone gate 4.", 5);
    again.assert_whole(&again.run(fleet.entry(1)).await);
}

#[tokio::test]
async fn an_idempotent_stream_resumes_after_a_restart_of_its_sidecar() {
    run_across_restart(&ChatCall::repeatable("Review gate 3.", LONG_RESPONSE)).await;
}

#[tokio::test]
async fn a_non_idempotent_stream_resumes_after_a_restart_of_its_sidecar() {
    run_across_restart(&ChatCall::once("Clone gate 3.", LONG_RESPONSE)).await;
}

#[tokio::test]
async fn a_stream_that_ends_while_its_sidecar_is_down_is_delivered_completely() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::once("Clone gate 5.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let busy = fleet.busy_engine().await;
    fleet.sidecars[busy].kill();
    fleet.until_count("finished", 1).await;
    fleet.sidecars[busy].restart();
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.total_count("started").await, 1);
}

#[tokio::test]
async fn an_idempotent_stream_fails_over_from_a_sidecar_that_stays_down() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 6.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let busy = fleet.busy_engine().await;
    fleet.sidecars[busy].kill();
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.engine_count(1 - busy, "finished").await, 1);
}

/// Guards against the same once the slow sidecar has been given up too.
#[tokio::test]
async fn a_stream_waits_for_a_sidecar_that_responds_again_while_the_other_one_is_down() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 8.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let busy = fleet.busy_engine().await;
    fleet.sidecars[1 - busy].freeze();
    fleet.sidecars[busy].kill();
    tokio::time::sleep(SILENT_TIME).await;
    fleet.sidecars[1 - busy].thaw();
    call.assert_whole(&stream.finish().await);
}

/// Guards against submissions that are used up on a sidecar that refuses connections.
#[tokio::test]
async fn a_stream_goes_on_at_a_sidecar_that_is_slow_while_the_other_one_is_down() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 7.", LONG_RESPONSE);
    let home = call.open(fleet.entry(0)).await;
    let first = fleet.busy_engine().await;
    home.finish().await;
    let second = 1 - first;
    fleet.sidecars[first].freeze();
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    fleet.sidecars[first].thaw();
    fleet.until_ready(first, READY_LIMIT).await;
    fleet.engine_fault(second, "crash").await;
    let busy = fleet.busy_engine().await;
    fleet.until_engines_up().await;
    fleet.sidecars[1 - busy].freeze();
    fleet.sidecars[busy].kill();
    tokio::time::sleep(SLOW_TIME).await;
    fleet.sidecars[1 - busy].thaw();
    call.assert_whole(&stream.finish().await);
}

#[tokio::test]
async fn many_streams_resume_after_two_restarts_of_both_sidecars() {
    let options = FleetOptions {
        engine: vec!["--slots", "16"],
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_with(&options).await;
    let mut streams = Vec::new();
    for i in 0..8 {
        let call = if i % 2 == 0 {
            ChatCall::once(&format!("Clone unit {i}."), 2 * LONG_RESPONSE)
        } else {
            ChatCall::repeatable(&format!("Review unit {i}."), 2 * LONG_RESPONSE)
        };
        let mut stream = call.open(fleet.entry(i % 2)).await;
        stream.begin().await;
        streams.push(tokio::spawn(async move {
            call.assert_whole(&stream.finish().await);
        }));
    }
    for _ in 0..2 {
        for sidecar in &mut fleet.sidecars[..2] {
            sidecar.restart();
        }
    }
    for stream in streams {
        stream.await.expect("a complete response");
    }
    let mut runs = fleet.runs().await;
    runs.retain(|_, starts| *starts > 1);
    assert!(runs.is_empty(), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_during_restarts_run_at_most_once_and_report_their_outcome() {
    let mut fleet = Fleet::start().await;
    let mut callers = Vec::new();
    for caller in 0..4 {
        let entry = fleet.entry(caller % 2);
        callers.push(tokio::spawn(async move {
            let mut outcomes = BTreeMap::new();
            for i in 0..30 {
                let call = ChatCall::once(&format!("File test {i} of reader {caller}."), 20);
                let report = call.run(entry).await;
                if report.run_status == "complete" {
                    call.assert_whole(&report);
                }
                assert!(call.expected().starts_with(&report.text), "{report:?}");
                *outcomes.entry(report.run_status).or_insert(0) += 1;
            }
            outcomes
        }));
    }
    for restart in 0..8 {
        fleet.sidecars[restart % 2].restart();
    }
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for caller in callers {
        for (status, count) in caller.await.expect("the responses match their requests") {
            *outcomes.entry(status).or_insert(0) += count;
        }
    }
    let count = |status: &str| outcomes.get(status).copied().unwrap_or(0);
    let (complete, not_run) = (count("complete"), count("not-run"));
    assert_eq!(outcomes.values().sum::<u64>(), 120);
    let runs = fleet.runs().await;
    assert!(runs.values().all(|starts| *starts == 1), "{runs:?}");
    let started = runs.len() as u64;
    assert!(
        (complete..=120 - not_run).contains(&started),
        "{started} {outcomes:?}"
    );
    println!("{started} started, {outcomes:?}");
}

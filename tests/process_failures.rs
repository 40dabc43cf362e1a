//! Engine crashes with running requests among real processes.

mod common;

use std::time::{Duration, Instant};

use common::{ChatCall, Fleet, FleetOptions};

/// Tokens of a response that is still streaming when the engine crashes, at 1 ms each.
const LONG_RESPONSE: u64 = 2_400;

/// Time limit for 800 tokens of 1 ms, two prefills of 100 ms and 1 s until the stream continues.
const FAILOVER_LIMIT: Duration = Duration::from_secs(2);

/// Returns a prompt that is long enough to need a prefill.
fn long_prompt(question: &str) -> String {
    format!("{}{question}", "rules ".repeat(50))
}

/// Returns options for engines that take 500 ms for the prefill of a long prompt.
fn slow_prefill() -> FleetOptions {
    FleetOptions {
        engine: vec!["--prefill-us", "500000"],
        ..FleetOptions::default()
    }
}

#[tokio::test]
async fn a_stream_continues_on_the_other_engine_after_a_crash() {
    let fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 7.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let crashed = fleet.busy_engine().await;
    fleet.engine_fault(crashed, "crash").await;
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.engine_count(1 - crashed, "finished").await, 1);
    assert_eq!(fleet.total_count("started").await, 2);
}

#[tokio::test]
async fn a_crash_before_the_first_token_is_retried_without_an_error() {
    let fleet = Fleet::start_with(&slow_prefill()).await;
    let call = ChatCall::repeatable(&long_prompt("Review gate 8."), 20);
    let entry = fleet.entry(0);
    let report = tokio::spawn({
        let call = call.clone();
        async move { call.run(entry).await }
    });
    let crashed = fleet.busy_engine().await;
    fleet.engine_fault(crashed, "crash").await;
    call.assert_whole(&report.await.expect("the request task succeeds"));
    assert_eq!(fleet.engine_count(1 - crashed, "finished").await, 1);
}

#[tokio::test]
async fn a_crash_ends_a_non_idempotent_stream_as_incomplete() {
    let fleet = Fleet::start().await;
    let call = ChatCall::once("Clone gate 7.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let crashed = fleet.busy_engine().await;
    fleet.engine_fault(crashed, "crash").await;
    let report = stream.finish().await;
    assert_eq!(
        (report.run_status.as_str(), report.code.as_str()),
        ("incomplete", "incomplete")
    );
    assert_eq!(report.dones, 0);
    assert!(call.expected().starts_with(&report.text), "{report:?}");
    assert_eq!(fleet.total_count("started").await, 1);
}

#[tokio::test]
async fn a_crash_before_the_first_token_of_a_non_idempotent_request_is_reported() {
    let fleet = Fleet::start_with(&slow_prefill()).await;
    let call = ChatCall::once(&long_prompt("Clone gate 8."), 20);
    let entry = fleet.entry(0);
    let report = tokio::spawn(async move { call.run(entry).await });
    let crashed = fleet.busy_engine().await;
    fleet.engine_fault(crashed, "crash").await;
    let report = report.await.expect("the request task succeeds");
    assert!(
        matches!(report.run_status.as_str(), "incomplete" | "unknown"),
        "{report:?}"
    );
    assert_eq!((report.dones, report.text.as_str()), (0, ""));
    assert_eq!(fleet.total_count("started").await, 1);
}

#[tokio::test]
async fn an_idempotent_stream_fails_over_quickly_from_an_engine_that_stays_down() {
    let options = FleetOptions {
        engine: vec!["--prefill-us", "100000", "--restart-ms", "20000"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let call = ChatCall::repeatable(&long_prompt("Review gate 9."), 800);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let crashed = fleet.busy_engine().await;
    fleet.engine_fault(crashed, "crash").await;
    let crashed_at = Instant::now();
    call.assert_whole(&stream.finish().await);
    let took = crashed_at.elapsed();
    assert!(took < FAILOVER_LIMIT, "{took:?}");
}

#[tokio::test]
async fn a_stream_that_ran_alone_in_two_crashes_ends_incomplete_and_is_not_retried() {
    let fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 10.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let first = fleet.busy_engine().await;
    fleet.engine_fault(first, "crash").await;
    let second = fleet.busy_engine().await;
    assert_ne!(second, first);
    fleet.until_engines_up().await;
    fleet.engine_fault(second, "crash").await;
    let report = stream.finish().await;
    assert_eq!(
        (report.run_status.as_str(), report.code.as_str()),
        ("incomplete", "incomplete")
    );
    assert_eq!(report.dones, 0);
    assert!(call.expected().starts_with(&report.text), "{report:?}");
    fleet.until_engines_up().await;
    assert_eq!(fleet.total_count("started").await, 2);
}

#[tokio::test]
async fn a_stream_that_loses_an_engine_and_then_a_sidecar_returns_to_the_first_upstream() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 11.", LONG_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let first = fleet.busy_engine().await;
    fleet.engine_fault(first, "crash").await;
    let second = fleet.busy_engine().await;
    assert_ne!(second, first);
    fleet.until_engines_up().await;
    fleet.sidecars[second].kill();
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.engine_count(first, "finished").await, 1);
}

//! Connections that stop delivering data without closing, and frozen processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::open;
use common::{API_KEY, ChatCall, ChatStream, Fleet, FleetOptions, build};
use http_body_util::BodyExt;
use hyper::Method;

/// Tokens of a response that is still streaming when the fault begins, at 1 ms each.
const LONG_RESPONSE: u64 = 600;

/// Tokens of a response that is still streaming after a fault whose start takes several steps.
const LASTING_RESPONSE: u64 = 3_000;

/// Number of streams of which an engine must be seen to run one.
const MAX_STREAMS: u64 = 20;

/// Time limit for the response head of the plain service.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Time limit for a complete response after its connection has gone silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Returns options for a fleet with relays between entries and sidecars and a slow plain service.
fn relayed() -> FleetOptions {
    FleetOptions {
        relayed: true,
        plain: vec!["--latency-ms", "300"],
        ..FleetOptions::default()
    }
}

/// Opens streams one after the other until an engine is seen to run one; returns it, the index of
/// its engine and the number of streams.
async fn open_running(fleet: &Fleet, call: &ChatCall) -> (ChatStream, usize, u64) {
    for streams in 1..=MAX_STREAMS {
        let mut stream = call.open(fleet.entry(0)).await;
        stream.begin().await;
        if let Some(engine) = fleet.running_engine().await {
            return (stream, engine, streams);
        }
        call.assert_whole(&stream.finish().await);
    }
    panic!("no engine runs one of {MAX_STREAMS} streams");
}

/// Runs a request, injects a fault during its stream, and checks the response and its duration;
/// returns the number of requests that were needed for that.
async fn run_with_fault(fleet: &Fleet, call: &ChatCall, fault: impl AsyncFnOnce(usize)) -> u64 {
    let (stream, busy, requests) = open_running(fleet, call).await;
    fault(busy).await;
    let started_at = Instant::now();
    call.assert_whole(&stream.finish().await);
    assert!(
        started_at.elapsed() < SILENCE_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
    requests
}

/// What a caller of the plain service has been told.
struct PlainReport {
    status: u16,
    /// Run status of the trailer, or of the header if there is no trailer.
    run_status: String,
}

/// Sends a non-idempotent request to the plain service.
async fn call_plain_service(entry: SocketAddr) -> PlainReport {
    let bearer = format!("Bearer {API_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("te", "trailers"),
        ("x-idempotent", "false"),
    ];
    let request = build(Method::POST, entry, "/services/gates/clone", &headers, "{}");
    let open = open(entry, request, CALL_LIMIT).await.expect("a head");
    let (head, body) = open.response.into_parts();
    let body = body.collect().await.expect("a complete body");
    let name = "x-run-status";
    let trailer = body.trailers().and_then(|trailers| trailers.get(name));
    let run_status = trailer.unwrap_or(&head.headers[name]);
    PlainReport {
        status: head.status.as_u16(),
        run_status: run_status.to_str().expect("text").to_owned(),
    }
}

#[tokio::test]
async fn streams_complete_when_the_connection_to_the_engine_goes_silent() {
    for call in [
        ChatCall::repeatable("Review gate 1.", LONG_RESPONSE),
        ChatCall::once("Clone gate 1.", LONG_RESPONSE),
    ] {
        let fleet = Fleet::start().await;
        let requests = run_with_fault(&fleet, &call, async |busy| {
            fleet.engine_fault(busy, "silence").await;
        })
        .await;
        assert_eq!(fleet.total_count("started").await, requests);
    }
}

#[tokio::test]
async fn a_request_whose_response_head_is_lost_runs_once() {
    let options = FleetOptions {
        engine: vec!["--prefill-us", "300000"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    // Engines run one prefill at a time, so later requests have no response head yet.
    let calls: Vec<ChatCall> = (0..4)
        .map(|i| ChatCall::once(&format!("{i} {}", "rules ".repeat(50)), 20))
        .collect();
    let entry = fleet.entry(0);
    let open = |call: ChatCall| tokio::spawn(async move { call.run(entry).await });
    let reports: Vec<_> = calls.iter().cloned().map(open).collect();
    fleet.until_count("started", 4).await;
    let started_at = Instant::now();
    for engine in 0..2 {
        fleet.engine_fault(engine, "silence").await;
    }
    for (call, report) in calls.iter().zip(reports) {
        call.assert_whole(&report.await.expect("the request task succeeds"));
    }
    assert!(
        started_at.elapsed() < SILENCE_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(fleet.total_count("started").await, 4);
}

#[tokio::test]
async fn streams_complete_when_the_connection_to_the_sidecar_goes_silent() {
    for call in [
        ChatCall::repeatable("Review gate 2.", LONG_RESPONSE),
        ChatCall::once("Clone gate 2.", LONG_RESPONSE),
    ] {
        let fleet = Fleet::start_with(&relayed()).await;
        let silence = async |busy: usize| fleet.relays[busy].silence();
        let requests = run_with_fault(&fleet, &call, silence).await;
        assert_eq!(fleet.total_count("started").await, requests);
    }
}

#[tokio::test]
async fn a_submission_whose_reply_is_lost_starts_once() {
    let fleet = Fleet::start_with(&relayed()).await;
    let entry = fleet.entry(0);
    let first = ChatCall::once("Clone gate 3.", 5);
    first.assert_whole(&first.run(entry).await);
    // The reply to the quote is delivered, the reply to the submission is lost.
    for relay in &fleet.relays {
        relay.lose_answers_after(1);
    }
    let started_at = Instant::now();
    let call = ChatCall::once("Clone gate 4.", LONG_RESPONSE);
    call.assert_whole(&call.run(entry).await);
    assert!(
        started_at.elapsed() < SILENCE_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(fleet.total_count("started").await, 2);
}

#[tokio::test]
async fn a_submission_whose_reply_and_sidecar_are_lost_starts_once() {
    let mut fleet = Fleet::start_with(&relayed()).await;
    let entry = fleet.entry(0);
    let first = ChatCall::once("Clone gate 5.", 5);
    first.assert_whole(&first.run(entry).await);
    for relay in &fleet.relays {
        relay.lose_answers_after(1);
    }
    let call = ChatCall::once("Clone gate 6.", LASTING_RESPONSE);
    let report = tokio::spawn({
        let call = call.clone();
        async move { call.run(entry).await }
    });
    let busy = fleet.busy_engine().await;
    fleet.sidecars[busy].restart();
    call.assert_whole(&report.await.expect("the request task succeeds"));
    assert_eq!(fleet.total_count("started").await, 2);
}

#[tokio::test]
async fn a_plain_request_whose_reply_and_sidecar_are_lost_is_not_retried() {
    let mut fleet = Fleet::start_with(&relayed()).await;
    assert_eq!(call_plain_service(fleet.entry(0)).await.status, 200);
    fleet.relays[2].lose_answers_after(1);
    let response = tokio::spawn(call_plain_service(fleet.entry(0)));
    fleet.until_plain_runs(2).await;
    fleet.sidecars[2].restart();
    let response = response.await.expect("a response");
    assert_eq!(response.run_status, "unknown");
    assert_eq!(fleet.plain_runs().await.len(), 2);
}

#[tokio::test]
async fn an_idle_connection_that_has_gone_silent_is_replaced() {
    let fleet = Fleet::start_with(&relayed()).await;
    let entry = fleet.entry(0);
    let first = ChatCall::repeatable("Review gate 7.", 5);
    first.assert_whole(&first.run(entry).await);
    let silent = usize::from(fleet.engine_count(0, "started").await != 0);
    fleet.relays[silent].silence();
    let deadline = Instant::now() + SILENCE_LIMIT;
    let mut number = 0;
    while fleet.engine_count(silent, "started").await == 0 {
        assert!(
            Instant::now() < deadline,
            "none of {number} requests reached the engine"
        );
        let call = ChatCall::repeatable(&format!("Review unit {number}."), 5);
        call.assert_whole(&call.run(entry).await);
        number += 1;
    }
}

#[tokio::test]
async fn an_idempotent_stream_fails_over_from_a_frozen_sidecar() {
    let fleet = Fleet::start().await;
    let call = ChatCall::repeatable("Review gate 8.", LONG_RESPONSE);
    run_with_fault(&fleet, &call, async |busy| fleet.sidecars[busy].freeze()).await;
}

#[tokio::test]
async fn a_non_idempotent_stream_waits_for_a_frozen_sidecar() {
    let fleet = Fleet::start().await;
    let call = ChatCall::once("Clone gate 8.", LASTING_RESPONSE);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    let busy = fleet.busy_engine().await;
    let dialled = fleet.dialled(0).await;
    fleet.sidecars[busy].freeze();
    // By then, the entry has given up on two connections.
    fleet.until_dialled(0, dialled + 2).await;
    fleet.sidecars[busy].thaw();
    call.assert_whole(&stream.finish().await);
    assert_eq!(fleet.total_count("started").await, 1);
}

#[tokio::test]
async fn a_plain_request_to_a_frozen_sidecar_runs_once() {
    let fleet = Fleet::start_with(&relayed()).await;
    let dialled = fleet.dialled(0).await;
    fleet.sidecars[2].freeze();
    let (response, ()) = tokio::join!(call_plain_service(fleet.entry(0)), async {
        fleet.until_dialled(0, dialled + 3).await;
        fleet.sidecars[2].thaw();
    });
    assert_eq!(response.run_status, "complete");
    assert_eq!(response.status, 200);
    assert_eq!(fleet.plain_runs().await.values().sum::<u64>(), 1);
}

//! Planned stops with running and queued requests among real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::instance_topics::InstanceTopics;
use common::{ChatCall, Fleet, get};
use tokio::task::JoinHandle;

/// Number of concurrent requests; 16 run in the slots of the engines, the others are queued.
const OFFERED: u64 = 32;

/// Tokens of each response, at 1 ms each.
const TOKENS: u64 = 400;

/// Time limit for a sidecar to queue requests, to become ready, or to stop accepting requests.
const STATE_LIMIT: Duration = Duration::from_secs(4);

/// Number of requests that are sent at the same time during a rolling restart.
const ROUND_REQUESTS: usize = 8;

/// Time limit for an engine to be seen running a request.
const RUNNING_LIMIT: Duration = Duration::from_secs(10);

/// Sends concurrent non-idempotent requests, none of which may be interrupted, refused or rerun.
fn send_all(entry: SocketAddr, label: &str) -> Vec<JoinHandle<()>> {
    let call = |i| ChatCall::once(&format!("{label}: file test {i}."), TOKENS);
    let run = |call: ChatCall| async move { call.assert_whole(&call.run(entry).await) };
    (0..OFFERED).map(|i| tokio::spawn(run(call(i)))).collect()
}

/// Waits until all requests have completed.
async fn assert_all_complete(requests: Vec<JoinHandle<()>>) {
    for request in requests {
        request.await.expect("a complete response");
    }
}

/// Waits until the sidecar of an engine has queued requests and returns its index.
async fn queued_sidecar(fleet: &Fleet) -> usize {
    let deadline = Instant::now() + STATE_LIMIT;
    loop {
        for index in 0..2 {
            let operator = fleet.sidecars[index].port("operator");
            if ledger_state(operator).await["queued"] != 0 {
                return index;
            }
        }
        assert!(Instant::now() < deadline, "nothing is queued");
    }
}

/// Returns the state of the service `ledger` in a sidecar's dump.
async fn ledger_state(operator: SocketAddr) -> serde_json::Value {
    get(operator, "/dump", &[]).await.json()["ledger"].clone()
}

#[tokio::test]
async fn a_stopping_entry_completes_running_and_queued_requests() {
    let mut fleet = Fleet::start().await;
    let requests = send_all(fleet.entry(0), "entry");
    queued_sidecar(&fleet).await;
    fleet.entries[0].terminate();
    assert_all_complete(requests).await;
    assert_eq!(fleet.entries[0].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, OFFERED);
}

#[tokio::test]
async fn queued_requests_of_a_stopping_sidecar_run_elsewhere() {
    let mut fleet = Fleet::start().await;
    let mut requests = send_all(fleet.entry(0), "first");
    let stopping = queued_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    requests.extend(send_all(fleet.entry(1), "second"));
    assert_all_complete(requests).await;
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, 2 * OFFERED);
    let started = fleet.engine_count(stopping, "started").await;
    assert!(started < OFFERED, "{started}");
}

#[tokio::test]
async fn an_upstream_marked_as_leaving_gets_no_new_requests() {
    let fleet = Fleet::start().await;
    let requests = send_all(fleet.entry(0), "before");
    let leaving = queued_sidecar(&fleet).await;
    let platform = fleet.platform.port("platform");
    let marked_at = Instant::now();
    let name = format!("sidecar-engine-{leaving}");
    let marked = InstanceTopics::new(platform).mark_leaving(&name).await;
    marked.expect("the store accepts the mark");
    let operator = fleet.sidecars[leaving].port("operator");
    while ledger_state(operator).await["leaving"] != true {
        assert!(marked_at.elapsed() < STATE_LIMIT, "not leaving in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_all_complete(requests).await;
    let started = fleet.engine_count(leaving, "started").await;
    assert_all_complete(send_all(fleet.entry(1), "after")).await;
    assert_eq!(fleet.engine_count(leaving, "started").await, started);
    assert_eq!(fleet.total_count("started").await, 2 * OFFERED);
}

#[tokio::test]
async fn an_entry_and_a_sidecar_that_stop_together_lose_no_request() {
    let mut fleet = Fleet::start().await;
    let requests = send_all(fleet.entry(0), "both");
    let stopping = queued_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    fleet.entries[0].terminate();
    assert_all_complete(requests).await;
    assert_eq!(fleet.entries[0].wait(), Some(0));
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, OFFERED);
    let call = ChatCall::once("Clone gate 9.", 5);
    call.assert_whole(&call.run(fleet.entry(1)).await);
}

/// Sends non-idempotent requests to both entries, further ones once all have completed, until an
/// engine is seen to run one; returns the requests and the index of the engine.
async fn send_until_running(fleet: &Fleet, round: usize) -> (Vec<JoinHandle<()>>, usize) {
    let deadline = Instant::now() + RUNNING_LIMIT;
    let mut requests: Vec<JoinHandle<()>> = Vec::new();
    while Instant::now() < deadline {
        if requests.iter().all(JoinHandle::is_finished) {
            let numbers = requests.len()..requests.len() + ROUND_REQUESTS;
            requests.extend(numbers.map(|number| {
                let prompt = format!("Clone unit {number} in round {round}.");
                let call = ChatCall::once(&prompt, 100);
                let entry = fleet.entry(number % 2);
                tokio::spawn(async move { call.assert_whole(&call.run(entry).await) })
            }));
        }
        if let Some(engine) = fleet.running_engine().await {
            return (requests, engine);
        }
    }
    panic!("no engine runs one of {} requests", requests.len());
}

#[tokio::test]
async fn a_rolling_restart_of_the_sidecars_loses_no_request() {
    let mut fleet = Fleet::start().await;
    let mut sent = 0;
    for round in 0..6 {
        let (requests, stopping) = send_until_running(&fleet, round).await;
        sent += requests.len() as u64;
        fleet.sidecars[stopping].terminate();
        assert_all_complete(requests).await;
        assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
        fleet.sidecars[stopping].restart();
        fleet.until_ready(stopping, STATE_LIMIT).await;
    }
    assert_eq!(fleet.total_count("started").await, sent);
}

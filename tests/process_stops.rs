//! Planned stops while requests run and wait, between real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::instance_topics::InstanceTopics;
use common::{ChatCall, Fleet, get};
use tokio::task::JoinHandle;

/// Requests offered at once; the engines' slots hold 16, the others wait in the sidecars.
const OFFERED: u64 = 32;

/// Tokens of each answer; one takes a millisecond.
const ANSWER: u64 = 400;

/// Time after which a leaving upstream must take no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(4);

/// Offers non-idempotent requests, none of which may be cut, refused or run again.
fn offer(entry: SocketAddr, name: &str) -> Vec<JoinHandle<()>> {
    let call = |i| ChatCall::once(&format!("{name}: file test {i}."), ANSWER);
    let run = |call: ChatCall| async move { call.assert_whole(&call.run(entry).await) };
    (0..OFFERED).map(|i| tokio::spawn(run(call(i)))).collect()
}

async fn all_whole(answers: Vec<JoinHandle<()>>) {
    for answer in answers {
        answer.await.expect("a whole answer");
    }
}

/// Waits until a sidecar of an engine has work in its queue and returns its index.
async fn queued_sidecar(fleet: &Fleet) -> usize {
    let deadline = Instant::now() + LEAVE_LIMIT;
    loop {
        for index in 0..2 {
            let operator = fleet.sidecars[index].port("operator");
            if ledger(operator).await["queued"] != 0 {
                return index;
            }
        }
        assert!(Instant::now() < deadline, "nothing is queued");
    }
}

/// Waits until a restarted sidecar takes work.
async fn until_open(operator: SocketAddr) {
    let deadline = Instant::now() + LEAVE_LIMIT;
    loop {
        let state = ledger(operator).await;
        let is_up = state["engine"]
            .as_str()
            .is_some_and(|engine| engine != "Down");
        if is_up && state["next_offset"].as_u64() > Some(0) {
            return;
        }
        assert!(Instant::now() < deadline, "{state}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn ledger(operator: SocketAddr) -> serde_json::Value {
    get(operator, "/dump", &[]).await.json()["ledger"].clone()
}

#[tokio::test]
async fn a_stopping_entry_answers_what_runs_and_what_waits() {
    let mut fleet = Fleet::start().await;
    let answers = offer(fleet.entry(0), "entry");
    queued_sidecar(&fleet).await;
    fleet.entries[0].terminate();
    all_whole(answers).await;
    assert_eq!(fleet.entries[0].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, OFFERED);
}

#[tokio::test]
async fn a_stopping_sidecar_hands_its_queue_to_others() {
    let mut fleet = Fleet::start().await;
    let mut answers = offer(fleet.entry(0), "first");
    let stopping = queued_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    answers.extend(offer(fleet.entry(1), "second"));
    all_whole(answers).await;
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, 2 * OFFERED);
    let started_there = fleet.engine_count(stopping, "started").await;
    assert!(started_there < OFFERED, "{started_there}");
}

#[tokio::test]
async fn an_upstream_that_the_platform_wants_to_go_gets_no_new_work() {
    let fleet = Fleet::start().await;
    let answers = offer(fleet.entry(0), "before");
    let leaving = queued_sidecar(&fleet).await;
    let platform = fleet.platform.port("platform");
    let left_at = Instant::now();
    let name = format!("sidecar-engine-{leaving}");
    let marked = InstanceTopics::new(platform).mark_leaving(&name).await;
    marked.expect("the store takes the mark");
    let operator = fleet.sidecars[leaving].port("operator");
    while ledger(operator).await["leaving"] != true {
        assert!(left_at.elapsed() < LEAVE_LIMIT, "not leaving in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    all_whole(answers).await;
    let started = fleet.engine_count(leaving, "started").await;
    all_whole(offer(fleet.entry(1), "after")).await;
    assert_eq!(fleet.engine_count(leaving, "started").await, started);
    assert_eq!(fleet.total_count("started").await, 2 * OFFERED);
}

#[tokio::test]
async fn an_entry_and_a_sidecar_that_stop_together_cut_nothing() {
    let mut fleet = Fleet::start().await;
    let answers = offer(fleet.entry(0), "both");
    let stopping = queued_sidecar(&fleet).await;
    fleet.sidecars[stopping].terminate();
    fleet.entries[0].terminate();
    all_whole(answers).await;
    assert_eq!(fleet.entries[0].wait(), Some(0));
    assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
    assert_eq!(fleet.total_count("started").await, OFFERED);
    let call = ChatCall::once("Clone gate 9.", 5);
    call.assert_whole(&call.run(fleet.entry(1)).await);
}

#[tokio::test]
async fn sidecars_stopped_and_started_in_turn_cut_nothing_and_take_work_again() {
    let mut fleet = Fleet::start().await;
    for sidecar in &fleet.sidecars {
        until_open(sidecar.port("operator")).await;
    }
    for round in 0..6 {
        let open = |i: usize| {
            let call = ChatCall::once(&format!("Clone unit {i} in round {round}."), 100);
            let entry = fleet.entry(i % 2);
            tokio::spawn(async move { call.assert_whole(&call.run(entry).await) })
        };
        let answers = (0..8).map(open).collect();
        let stopping = fleet.busy_engine().await;
        fleet.sidecars[stopping].terminate();
        all_whole(answers).await;
        assert_eq!(fleet.sidecars[stopping].wait(), Some(0));
        fleet.sidecars[stopping].restart();
        until_open(fleet.sidecars[stopping].port("operator")).await;
    }
    assert_eq!(fleet.total_count("started").await, 48);
}

//! Platform outages and restarts of all entries among real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{ChatCall, Fleet, post};
use tokio::task::JoinHandle;

/// Time limit for a restarted entry to serve its first request.
const RESTART_LIMIT: Duration = Duration::from_secs(1);

/// Pause between two polls of a condition.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Makes the platform unavailable for a number of milliseconds.
async fn set_outage(fleet: &Fleet, outage_ms: u32) {
    let platform = fleet.platform.port("platform");
    let path = format!("/admin/outage?ms={outage_ms}");
    assert_eq!(post(platform, &path, &[], "").await.status, 200);
}

/// Sends a request until an entry serves it completely, and returns how long that took.
async fn time_to_serve(entry: SocketAddr, call: ChatCall) -> Duration {
    let started_at = Instant::now();
    loop {
        let report = call.run(entry).await;
        if report.status == 200 {
            call.assert_whole(&report);
            return started_at.elapsed();
        }
        assert_eq!(report.run_status, "not-run", "{report:?}");
        assert!(started_at.elapsed() < RESTART_LIMIT, "{report:?}");
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

#[tokio::test]
async fn running_processes_keep_serving_during_a_platform_outage() {
    let mut fleet = Fleet::start().await;
    let call = ChatCall::once("Clone gate 1.", 400);
    let mut stream = call.open(fleet.entry(0)).await;
    stream.begin().await;
    set_outage(&fleet, 60_000).await;
    for entry in 0..2 {
        for i in 0..5 {
            let call = ChatCall::once(&format!("Clone unit {i} by {entry}."), 20);
            call.assert_whole(&call.run(fleet.entry(entry)).await);
        }
    }
    call.assert_whole(&stream.finish().await);
    // Without the process, the list of instances is unavailable as well.
    fleet.platform.kill();
    for entry in 0..2 {
        let call = ChatCall::once(&format!("Clone gate 2 by {entry}."), 20);
        call.assert_whole(&call.run(fleet.entry(entry)).await);
    }
}

#[tokio::test]
async fn entries_restarted_at_the_same_time_serve_within_a_second() {
    let mut fleet = Fleet::start().await;
    for round in 0..3 {
        for entry in &mut fleet.entries {
            entry.kill();
        }
        for entry in &mut fleet.entries {
            entry.restart();
        }
        let serve = |index: usize| {
            let call = ChatCall::repeatable(&format!("Round {round} of {index}."), 5);
            tokio::spawn(time_to_serve(fleet.entry(index), call))
        };
        let tasks: Vec<JoinHandle<Duration>> = (0..fleet.entries.len()).map(serve).collect();
        for task in tasks {
            let took = task.await.expect("the entry serves");
            assert!(took < RESTART_LIMIT, "{took:?}");
        }
    }
}

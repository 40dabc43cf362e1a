//! Outages of the platform and restarts of all entries, between real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{ChatCall, Fleet, post};
use tokio::task::JoinHandle;

/// Time within which a restarted entry serves.
const RESTART_LIMIT: Duration = Duration::from_secs(1);

/// Pause between two looks at a condition.
const POLL_PAUSE: Duration = Duration::from_millis(5);

async fn set_outage(fleet: &Fleet, outage_ms: u32) {
    let platform = fleet.platform.port("platform");
    let path = format!("/admin/outage?ms={outage_ms}");
    assert_eq!(post(platform, &path, &[], "").await.status, 200);
}

/// Waits until an entry answers a request whole, and returns how long that took.
async fn time_to_serve(entry: SocketAddr, call: ChatCall) -> Duration {
    let since = Instant::now();
    loop {
        let report = call.run(entry).await;
        if report.status == 200 {
            call.assert_whole(&report);
            return since.elapsed();
        }
        assert_eq!(report.run_status, "not-run", "{report:?}");
        assert!(since.elapsed() < RESTART_LIMIT, "{report:?}");
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

#[tokio::test]
async fn running_processes_serve_on_through_an_outage() {
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
    // The instance list is gone as well.
    fleet.platform.kill();
    for entry in 0..2 {
        let call = ChatCall::once(&format!("Clone gate 2 by {entry}."), 20);
        call.assert_whole(&call.run(fleet.entry(entry)).await);
    }
}

#[tokio::test]
async fn entries_that_restart_at_once_serve_within_a_second() {
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
        let serving: Vec<JoinHandle<Duration>> = (0..fleet.entries.len()).map(serve).collect();
        for entry in serving {
            let took = entry.await.expect("an entry that serves");
            assert!(took < RESTART_LIMIT, "{took:?}");
        }
    }
}

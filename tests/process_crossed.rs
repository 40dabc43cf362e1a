//! Concurrent callers and engine crashes among real processes: no caller gets another's response.

mod common;

use common::{ChatCall, Fleet, FleetOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of concurrent callers, each of which sends one request at a time.
const CALLERS: u64 = 24;

/// Number of requests of each caller.
const REQUESTS: u64 = 12;

/// Number of engine crashes during the test.
const CRASHES: u64 = 4;

/// Number of requests that are started between two crashes.
const STARTS_BETWEEN: u64 = 2 * CALLERS;

/// Number of requests by reported outcome.
#[derive(Debug, Default, Clone, Copy)]
struct OutcomeCounts {
    complete: u64,
    not_run: u64,
    uncertain: u64,
}

/// Sends a seeded mix of requests and checks that each response belongs to its request.
async fn run_caller(entry: std::net::SocketAddr, caller: u64) -> OutcomeCounts {
    let mut random = StdRng::seed_from_u64(caller);
    let mut outcomes = OutcomeCounts::default();
    for i in 0..REQUESTS {
        let call = ChatCall {
            prompt: format!("Unit {i} of caller {caller}. {}", "rules ".repeat(60)),
            tokens: random.random_range(1..120),
            idempotent: random.random_bool(0.5),
        };
        let report = call.run(entry).await;
        let matches = call.expected().starts_with(&report.text);
        assert!(matches, "caller {caller} request {i}: {report:?}");
        match report.run_status.as_str() {
            "complete" => {
                call.assert_whole(&report);
                outcomes.complete += 1;
            }
            "not-run" => outcomes.not_run += 1,
            "incomplete" | "unknown" => {
                assert!(!call.idempotent, "caller {caller} request {i}: {report:?}");
                assert_eq!(report.dones, 0);
                outcomes.uncertain += 1;
            }
            other => panic!("{other}"),
        }
    }
    outcomes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_match_their_requests_while_engines_crash() {
    let options = FleetOptions {
        engine: vec!["--prefill-us", "2000", "--restart-ms", "200"],
        // One more than there are crashes, so that no request runs out of attempts.
        entry: vec!["--max-attempts", "5"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let entry = fleet.entry(usize::from(caller % 2 == 1));
            tokio::spawn(run_caller(entry, caller))
        })
        .collect();
    let mut random = StdRng::seed_from_u64(1);
    for crash in 0..CRASHES {
        let started = STARTS_BETWEEN * (1 + crash);
        fleet.until_count("started", started).await;
        fleet.until_engines_up().await;
        fleet.engine_fault(random.random_range(0..2), "crash").await;
    }
    let mut total = OutcomeCounts::default();
    for caller in callers {
        let outcomes = caller.await.expect("the responses match their requests");
        total.complete += outcomes.complete;
        total.not_run += outcomes.not_run;
        total.uncertain += outcomes.uncertain;
    }
    println!("{total:?}");
    assert_eq!(
        total.complete + total.not_run + total.uncertain,
        CALLERS * REQUESTS
    );
    let runs = fleet.runs().await;
    assert!(runs.values().all(|starts| *starts == 1), "{runs:?}");
    assert!(runs.len() as u64 >= total.complete);
    // Each crash interrupts at most the requests that run on one engine.
    assert!(total.uncertain <= CRASHES * 8, "{total:?}");
}

//! Many callers at once while engines crash now and then, between real processes.

mod common;

use common::{ChatCall, Fleet, FleetOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Callers that ask one request after the other.
const CALLERS: u64 = 24;

/// Requests of each caller.
const REQUESTS: u64 = 12;

/// Crashes during the run.
const CRASHES: u64 = 4;

/// Requests that are started between two crashes.
const STARTS_BETWEEN: u64 = 2 * CALLERS;

/// What one caller was told, as counts.
#[derive(Debug, Default, Clone, Copy)]
struct ToldCounts {
    complete: u64,
    not_run: u64,
    uncertain: u64,
}

/// Asks a seeded mix of requests and checks that each answer is the caller's own.
async fn ask_all(entry: std::net::SocketAddr, caller: u64) -> ToldCounts {
    let mut random = StdRng::seed_from_u64(caller);
    let mut told = ToldCounts::default();
    for i in 0..REQUESTS {
        let call = ChatCall {
            prompt: format!("Unit {i} of caller {caller}. {}", "rules ".repeat(60)),
            tokens: random.random_range(1..120),
            idempotent: random.random_bool(0.5),
        };
        let report = call.run(entry).await;
        let own = call.expected().starts_with(&report.text);
        assert!(own, "caller {caller} request {i}: {report:?}");
        match report.run_status.as_str() {
            "complete" => {
                call.assert_whole(&report);
                told.complete += 1;
            }
            "not-run" => told.not_run += 1,
            "incomplete" | "unknown" => {
                assert!(!call.idempotent, "caller {caller} request {i}: {report:?}");
                assert_eq!(report.dones, 0);
                told.uncertain += 1;
            }
            other => panic!("{other}"),
        }
    }
    told
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_their_own_answers_while_engines_crash() {
    let options = FleetOptions {
        engine: vec!["--prefill-us", "2000", "--restart-ms", "200"],
        // One more than there are crashes, so that no request uses up its attempts.
        entry: vec!["--max-attempts", "5"],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let entry = fleet.entry(usize::from(caller % 2 == 1));
            tokio::spawn(ask_all(entry, caller))
        })
        .collect();
    let mut random = StdRng::seed_from_u64(1);
    for crash in 0..CRASHES {
        let started = STARTS_BETWEEN * (1 + crash);
        fleet.until_count("started", started).await;
        fleet.until_engines_up().await;
        fleet.engine_fault(random.random_range(0..2), "crash").await;
    }
    let mut sum = ToldCounts::default();
    for caller in callers {
        let told = caller.await.expect("own answers");
        sum.complete += told.complete;
        sum.not_run += told.not_run;
        sum.uncertain += told.uncertain;
    }
    println!("{sum:?}");
    assert_eq!(
        sum.complete + sum.not_run + sum.uncertain,
        CALLERS * REQUESTS
    );
    let runs = fleet.runs().await;
    assert!(runs.values().all(|starts| *starts == 1), "{runs:?}");
    assert!(runs.len() as u64 >= sum.complete);
    // Each crash takes at most what runs on one engine.
    assert!(sum.uncertain <= CRASHES * 8, "{sum:?}");
}

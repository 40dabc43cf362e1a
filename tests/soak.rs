//! Randomized soak of real gateways under faults from outside; docs/SOAK.md says how to run it.
//!
//! `BULRUSHSLIP_SOAK_SEEDS=FROM-UNTIL` runs other seeds, `BULRUSHSLIP_SOAK_SECONDS=N` changes how
//! long faults come, `BULRUSHSLIP_SOAK_GATEWAYS=N` how many gateways there are.

mod soak_world;

use std::time::Duration;

use soak_world::SoakPlan;

/// Seeds of the run in CI.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed once and the gateways they had; docs/SOAK.md says what they showed.
const REGRESSIONS: [(u64, usize); 1] = [(102, 16)];

/// Time in which faults come in CI.
const CI_FAULTS: Duration = Duration::from_secs(8);

fn number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

fn plans(faults_for: Duration) -> Vec<SoakPlan> {
    let plan = |seed| SoakPlan::new(seed, faults_for);
    let range = std::env::var("BULRUSHSLIP_SOAK_SEEDS").unwrap_or_default();
    let range = range.split_once('-');
    let range =
        range.and_then(|(from, until)| Some(from.parse::<u64>().ok()?..=until.parse().ok()?));
    if let Some(range) = range {
        let gateways = number("BULRUSHSLIP_SOAK_GATEWAYS");
        let sized = |seed| {
            let mut plan = plan(seed);
            plan.gateways = gateways.unwrap_or(plan.gateways);
            plan
        };
        return range.map(sized).collect();
    }
    let regressions = REGRESSIONS.iter().map(|(seed, gateways)| SoakPlan {
        gateways: *gateways,
        ..plan(*seed)
    });
    CI_SEEDS.into_iter().map(plan).chain(regressions).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_faults_from_outside() {
    let faults_for = number("BULRUSHSLIP_SOAK_SECONDS").map_or(CI_FAULTS, Duration::from_secs);
    let mut failed = Vec::new();
    for plan in plans(faults_for) {
        let seed = plan.seed;
        let broken = soak_world::run(plan).await;
        println!("seed {seed}: {} promises broken", broken.len());
        for line in &broken {
            println!("  {line}");
        }
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} broke promises");
}

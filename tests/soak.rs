//! Randomized soak of real gateways under faults from outside; docs/SOAK.md says how to run it.
//!
//! `BULRUSHSLIP_SOAK_SEEDS=FROM-UNTIL` runs other seeds, `BULRUSHSLIP_SOAK_SECONDS=N` changes how
//! long faults come, `BULRUSHSLIP_SOAK_GATEWAYS=N` how many gateways there are.

mod soak_world;

use std::time::Duration;

use soak_world::SoakPlan;

/// Seeds of the run in CI.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed once, with what they showed; they stay for good.
const REGRESSION_SEEDS: [u64; 0] = [];

/// Time in which faults come in CI.
const CI_FAULTS: Duration = Duration::from_secs(8);

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("BULRUSHSLIP_SOAK_SEEDS").unwrap_or_default();
    let range = range.split_once('-');
    let range = range.and_then(|(from, until)| Some(from.parse().ok()?..=until.parse().ok()?));
    range.map_or_else(
        || CI_SEEDS.iter().chain(&REGRESSION_SEEDS).copied().collect(),
        Iterator::collect,
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_faults_from_outside() {
    let faults_for = number("BULRUSHSLIP_SOAK_SECONDS").map_or(CI_FAULTS, Duration::from_secs);
    let mut failed = Vec::new();
    for seed in seeds() {
        let mut plan = SoakPlan::new(seed, faults_for);
        let gateways = number("BULRUSHSLIP_SOAK_GATEWAYS");
        plan.gateways =
            gateways.map_or(plan.gateways, |count| usize::try_from(count).expect("few"));
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

//! Run statuses reported to callers against the runs that engines counted, in a simulated fleet
//! with message loss, delay, duplication and reordering, restarts, crashes, planned stops and
//! pauses.

mod outcome_world;
mod property;

use std::collections::BTreeMap;

use bulrushslip::decide::ids::Repeatability;
use bulrushslip::decide::outcome::RunStatus;
use outcome_world::{FaultRates, Simulation};

/// Number of generated inputs of the property.
const CASES: u64 = 100;

const RATES: FaultRates = FaultRates {
    lost: 12,
    delayed: 10,
    duplicated: 10,
    restarts: 3,
    crashes: 3,
    pauses: 4,
    stops: 1,
};

/// Simulates a fleet and returns a description of each wrong outcome.
fn wrong_outcomes(
    seed: u64,
    rates: FaultRates,
    reported: &mut BTreeMap<&'static str, u32>,
) -> Vec<String> {
    let mut simulation = Simulation::new(seed, rates);
    simulation.run();
    let mut wrong = Vec::new();
    for (index, request) in simulation.requests.iter().enumerate() {
        let runs = simulation.runs(request);
        let status = request.reported.map(|(status, _)| status);
        *reported
            .entry(status.map_or("none", RunStatus::name))
            .or_default() += 1;
        let once = request.state.policy.repeatability == Repeatability::NonIdempotent;
        let what = match status {
            None => Some("got no status"),
            _ if once && runs > 1 => Some("ran more than once"),
            Some(RunStatus::NotRun) if runs > 0 => Some("was reported as not run, but ran"),
            Some(RunStatus::Complete) if !request.has_complete_answer() => {
                Some("was reported as complete, but the answer is not")
            }
            Some(RunStatus::Incomplete) if runs == 0 => {
                Some("was reported as incomplete, but never ran")
            }
            Some(_) => None,
        };
        if let Some(what) = what {
            wrong.push(format!(
                "seed {seed}, request {index} {what} ({runs} runs, {:?})",
                request.reported
            ));
        }
    }
    wrong
}

#[test]
fn reported_statuses_are_correct_for_many_seeds() {
    let mut reported = BTreeMap::new();
    let found: Vec<String> = (0..400)
        .flat_map(|seed| wrong_outcomes(seed, RATES, &mut reported))
        .collect();
    println!("400 seeds: {reported:?}");
    assert!(
        found.is_empty(),
        "{} wrong outcomes: {:#?}",
        found.len(),
        &found[..found.len().min(10)]
    );
}

#[test]
fn requests_with_the_same_idempotency_key_run_once_for_many_seeds() {
    const KEYS: u8 = 4;
    let mut reported: BTreeMap<&str, u32> = BTreeMap::new();
    let mut found = Vec::new();
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed, RATES).with_keys(KEYS);
        simulation.run();
        for key in 0..KEYS {
            let of_key = || simulation.requests.iter().filter(|r| r.key == Some(key));
            let runs: u32 = of_key().map(|request| simulation.runs(request)).sum();
            if runs > 1 {
                found.push(format!("seed {seed}, key {key} ran {runs} times"));
            }
            for request in of_key() {
                let own_runs = simulation.runs(request);
                let status = request.reported.map(|(status, _)| status);
                *reported
                    .entry(status.map_or("none", RunStatus::name))
                    .or_default() += 1;
                let what = match status {
                    None => Some("no status"),
                    Some(RunStatus::NotRun) if own_runs > 0 => Some("reported as not run, but ran"),
                    Some(RunStatus::Complete) if !request.has_complete_answer() => {
                        Some("reported as complete, but the answer is not")
                    }
                    Some(RunStatus::Incomplete) if runs == 0 => {
                        Some("reported as incomplete, but never ran")
                    }
                    Some(_) => None,
                };
                found.extend(what.map(|what| format!("seed {seed}, key {key}: {what}")));
            }
        }
    }
    println!("400 seeds with keys: {reported:?}");
    assert!(
        found.is_empty(),
        "{} wrong outcomes: {:#?}",
        found.len(),
        &found[..found.len().min(10)]
    );
}

#[test]
fn reported_statuses_are_correct_for_any_fault_rates() {
    property::check(CASES, |(seed, rates): &(u64, [u8; 7])| {
        let [lost, delayed, duplicated, restarts, crashes, pauses, stops] = rates.map(u32::from);
        let rates = FaultRates {
            lost: lost % 40,
            delayed: delayed % 40,
            duplicated: duplicated % 40,
            restarts: restarts % 8,
            crashes: crashes % 8,
            pauses: pauses % 8,
            stops: stops % 4,
        };
        let found = wrong_outcomes(*seed, rates, &mut BTreeMap::new());
        assert!(found.is_empty(), "{rates:?}: {found:#?}");
    });
}

#[test]
fn without_faults_every_answer_is_complete() {
    let rates = FaultRates {
        lost: 0,
        delayed: 0,
        duplicated: 0,
        restarts: 0,
        crashes: 0,
        pauses: 0,
        stops: 0,
    };
    let mut reported = BTreeMap::new();
    for seed in 0..20 {
        assert_eq!(
            wrong_outcomes(seed, rates, &mut reported),
            Vec::<String>::new()
        );
    }
    assert!(reported["complete"] > 200, "{reported:?}");
}

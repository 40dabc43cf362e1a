//! What callers are told against what engines ran, under loss, delay, doubling, reordering,
//! restarts, crashes, planned stops and pauses.

mod outcome_world;
mod property;

use std::collections::BTreeMap;

use bulrushslip::decide::ids::Repeatability;
use bulrushslip::decide::outcome::RunStatus;
use outcome_world::{FaultRates, World};

/// Generated inputs of the property.
const CASES: u64 = 100;

const RATES: FaultRates = FaultRates {
    lost: 12,
    late: 10,
    doubled: 10,
    restarts: 3,
    crashes: 3,
    pauses: 4,
    stops: 1,
};

/// Runs a fleet and says what is wrong with the outcome.
fn faults(seed: u64, rates: FaultRates, told: &mut BTreeMap<&'static str, u32>) -> Vec<String> {
    let mut world = World::new(seed, rates);
    world.run();
    let mut faults = Vec::new();
    for (index, request) in world.requests.iter().enumerate() {
        let runs = world.runs(request);
        let status = request.told.map(|(status, _)| status);
        *told
            .entry(status.map_or("none", RunStatus::name))
            .or_default() += 1;
        let once = request.attempt.policy.repeatability == Repeatability::NonIdempotent;
        let what = match status {
            None => Some("was told nothing"),
            _ if once && runs > 1 => Some("ran more than once"),
            Some(RunStatus::NotRun) if runs > 0 => Some("was told not run, but ran"),
            Some(RunStatus::Complete) if !request.is_whole() => {
                Some("got an answer that is not whole")
            }
            Some(RunStatus::Incomplete) if runs == 0 => Some("was told incomplete, but never ran"),
            Some(_) => None,
        };
        if let Some(what) = what {
            faults.push(format!(
                "seed {seed}, request {index} {what} ({runs} runs, {:?})",
                request.told
            ));
        }
    }
    faults
}

#[test]
fn callers_are_told_the_truth_for_many_seeds() {
    let mut told = BTreeMap::new();
    let found: Vec<String> = (0..400)
        .flat_map(|seed| faults(seed, RATES, &mut told))
        .collect();
    println!("400 seeds: {told:?}");
    assert!(
        found.is_empty(),
        "{} faults: {:#?}",
        found.len(),
        &found[..found.len().min(10)]
    );
}

#[test]
fn a_key_runs_once_over_all_requests_that_carry_it_for_many_seeds() {
    const KEYS: u8 = 4;
    let mut told: BTreeMap<&str, u32> = BTreeMap::new();
    let mut found = Vec::new();
    for seed in 0..400 {
        let mut world = World::new(seed, RATES).with_keys(KEYS);
        world.run();
        for key in 0..KEYS {
            let of_key = || world.requests.iter().filter(|r| r.key == Some(key));
            let runs: u32 = of_key().map(|request| world.runs(request)).sum();
            if runs > 1 {
                found.push(format!("seed {seed}, key {key} ran {runs} times"));
            }
            for request in of_key() {
                let own_runs = world.runs(request);
                let status = request.told.map(|(status, _)| status);
                *told
                    .entry(status.map_or("none", RunStatus::name))
                    .or_default() += 1;
                let what = match status {
                    None => Some("told nothing"),
                    Some(RunStatus::NotRun) if own_runs > 0 => Some("told not run, but ran"),
                    Some(RunStatus::Complete) if !request.is_whole() => Some("not whole"),
                    Some(RunStatus::Incomplete) if runs == 0 => Some("incomplete, never ran"),
                    Some(_) => None,
                };
                found.extend(what.map(|what| format!("seed {seed}, key {key}: {what}")));
            }
        }
    }
    println!("400 seeds with keys: {told:?}");
    assert!(
        found.is_empty(),
        "{} faults: {:#?}",
        found.len(),
        &found[..found.len().min(10)]
    );
}

#[test]
fn callers_are_told_the_truth_for_any_rates() {
    property::check(CASES, |(seed, rates): &(u64, [u8; 7])| {
        let [lost, late, doubled, restarts, crashes, pauses, stops] = rates.map(u32::from);
        let rates = FaultRates {
            lost: lost % 40,
            late: late % 40,
            doubled: doubled % 40,
            restarts: restarts % 8,
            crashes: crashes % 8,
            pauses: pauses % 8,
            stops: stops % 4,
        };
        let found = faults(*seed, rates, &mut BTreeMap::new());
        assert!(found.is_empty(), "{rates:?}: {found:#?}");
    });
}

#[test]
fn without_faults_every_answer_is_whole() {
    let rates = FaultRates {
        lost: 0,
        late: 0,
        doubled: 0,
        restarts: 0,
        crashes: 0,
        pauses: 0,
        stops: 0,
    };
    let mut told = BTreeMap::new();
    for seed in 0..20 {
        assert_eq!(faults(seed, rates, &mut told), Vec::<String>::new());
    }
    assert!(told["complete"] > 200, "{told:?}");
}

//! Suspects: a request that crashes engines is refused, and concurrent requests are served.

mod property;

use std::collections::BTreeSet;

use bulrushslip::decide::ids::{EngineEpoch, Incarnation};
use bulrushslip::decide::suspects::{
    CrashId, Fingerprint, SoloGate, SoloStep, SuspectPolicy, SuspectTable, SuspectVerdict,
};
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of generated inputs of each property.
const CASES: u64 = 2_000;

fn crash(number: u64) -> CrashId {
    CrashId {
        sidecar: Incarnation(number),
        epoch: EngineEpoch(1),
    }
}

#[test]
fn reports_and_clearances_merge_in_any_order_and_with_repeats() {
    property::check::<(Vec<(bool, u8)>, Vec<u8>)>(CASES, |(events, order)| {
        let events: Vec<(bool, u8)> = events.iter().take(8).copied().collect();
        let cleared: BTreeSet<u64> = events
            .iter()
            .filter(|(clears, _)| *clears)
            .map(|(_, c)| u64::from(c % 2))
            .collect();
        // Each event once in order, then some of them again in any order.
        let again = order
            .iter()
            .filter_map(|i| events.get(usize::from(*i) % events.len().max(1)));
        let mut table = SuspectTable::new(SuspectPolicy::default());
        for (clears, number) in events.iter().chain(again) {
            let crash = crash(u64::from(number % 2));
            if *clears {
                table.clear(Moment::START, Fingerprint(1), &[crash]);
            } else {
                table.report(Moment::START, Fingerprint(1), crash);
            }
        }
        let only_reported: BTreeSet<u64> = events
            .iter()
            .filter(|(clears, _)| !clears)
            .map(|(_, c)| u64::from(c % 2))
            .collect();
        let expected: BTreeSet<u64> = only_reported.difference(&cleared).copied().collect();
        let found = table.crashes(Moment::START, Fingerprint(1));
        assert_eq!(
            found.iter().map(|c| c.sidecar.0).collect::<BTreeSet<_>>(),
            expected
        );
    });
}

#[test]
fn suspects_expire_and_the_table_stays_within_its_limit() {
    let policy = SuspectPolicy {
        suspect_ms: 10,
        poison_ms: 100,
        max_fingerprints: 4,
        ..SuspectPolicy::default()
    };
    let mut table = SuspectTable::new(policy);
    table.report(Moment::START, Fingerprint(0), crash(1));
    table.report(Moment::START, Fingerprint(0), crash(2));
    for number in 1..10 {
        table.report(Moment::from_micros(number), Fingerprint(number), crash(1));
        assert!(table.len() <= 4);
    }
    let poisonous = |table: &SuspectTable, ms: u64| {
        table.verdict(Moment::from_micros(ms * 1000), Fingerprint(0)) == SuspectVerdict::Poisonous
    };
    assert!(
        poisonous(&table, 99),
        "suspects must expire before poisonous fingerprints"
    );
    assert!(!poisonous(&table, 100));
    assert_eq!(
        table.expire(Moment::from_micros(50_000)),
        Moment::from_micros(100_000)
    );
    assert_eq!(table.expire(Moment::from_micros(100_000)), Moment::NEVER);
    assert!(table.is_empty());
}

#[test]
fn a_suspect_runs_alone_on_its_engine_for_a_limited_time() {
    let policy = SuspectPolicy::default();
    let mut gate = SoloGate::default();
    let now = Moment::START;
    assert_eq!(
        gate.admit(now, 3, SuspectVerdict::Solo),
        SoloStep::WaitForIdle
    );
    assert_eq!(gate.admit(now, 0, SuspectVerdict::Solo), SoloStep::Start);
    gate.start(now, policy);
    let until = Moment::from_micros(policy.solo_ms * 1000);
    assert_eq!(
        gate.admit(now, 1, SuspectVerdict::Free),
        SoloStep::WaitUntil(until)
    );
    assert_eq!(gate.admit(until, 1, SuspectVerdict::Free), SoloStep::Start);
    assert_eq!(
        gate.admit(until, 1, SuspectVerdict::Solo),
        SoloStep::WaitForIdle
    );
    gate.finish();
    assert_eq!(gate.admit(now, 1, SuspectVerdict::Free), SoloStep::Start);
}

const UPSTREAMS: usize = 6;
const SLOTS: usize = 4;
const POISON: u64 = 0;

/// Simulated upstreams with their suspect tables, and counts of crashes and interrupted runs.
struct Fleet {
    tables: Vec<SuspectTable>,
    gates: Vec<SoloGate>,
    running: Vec<Vec<u64>>,
    crashes: u64,
    interrupted_runs: u64,
    finished: BTreeSet<u64>,
    refused: BTreeSet<u64>,
}

/// Simulates 100 requests; one of them crashes every engine and is always resubmitted.
fn serve(seed: u64, with_suspects: bool) -> Fleet {
    let mut random = StdRng::seed_from_u64(seed);
    let policy = SuspectPolicy::default();
    let mut fleet = Fleet {
        tables: (0..UPSTREAMS).map(|_| SuspectTable::new(policy)).collect(),
        gates: vec![SoloGate::default(); UPSTREAMS],
        running: vec![Vec::new(); UPSTREAMS],
        crashes: 0,
        interrupted_runs: 0,
        finished: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    let mut waiting: Vec<u64> = (0..100).collect();
    for step in 0..4000_u64 {
        let now = Moment::from_micros(step * 1000);
        let upstream = random.random_range(0..UPSTREAMS);
        if random.random_bool(0.7) && !waiting.is_empty() {
            let picked = random.random_range(0..waiting.len());
            let request = waiting[picked];
            if fleet.start(now, upstream, request, with_suspects) {
                waiting.swap_remove(picked);
            }
        } else if let Some(request) = fleet.running[upstream].pop() {
            if request == POISON {
                waiting.push(request);
                waiting.extend(fleet.crash(now, upstream));
            } else {
                fleet.finish(now, upstream, request);
            }
        }
    }
    fleet
}

impl Fleet {
    fn start(&mut self, now: Moment, upstream: usize, request: u64, with_suspects: bool) -> bool {
        if self.running[upstream].len() >= SLOTS {
            return false;
        }
        let verdict = if with_suspects {
            self.tables[upstream].verdict(now, Fingerprint(request))
        } else {
            SuspectVerdict::Free
        };
        if verdict == SuspectVerdict::Poisonous {
            self.refused.insert(request);
            return true;
        }
        let running = self.running[upstream].len();
        if self.gates[upstream].admit(now, running, verdict) != SoloStep::Start {
            return false;
        }
        if verdict == SuspectVerdict::Solo {
            let policy = self.tables[upstream].policy;
            self.gates[upstream].start(now, policy);
        }
        self.running[upstream].push(request);
        true
    }

    /// Crashes an engine; all tables have the report before a lost request is resubmitted.
    fn crash(&mut self, now: Moment, upstream: usize) -> Vec<u64> {
        self.crashes += 1;
        let lost = std::mem::take(&mut self.running[upstream]);
        self.interrupted_runs += lost.len() as u64;
        self.gates[upstream].finish();
        for table in &mut self.tables {
            for request in lost.iter().chain([&POISON]) {
                table.report(now, Fingerprint(*request), crash(self.crashes));
            }
        }
        lost
    }

    fn finish(&mut self, now: Moment, upstream: usize, request: u64) {
        self.finished.insert(request);
        let fingerprint = Fingerprint(request);
        let crashes = self.tables[upstream].crashes(now, fingerprint).to_vec();
        if !crashes.is_empty() {
            self.gates[upstream].finish();
        }
        for table in &mut self.tables {
            table.clear(now, fingerprint, &crashes);
        }
    }
}

#[test]
fn a_poison_request_crashes_two_engines_at_most_and_all_others_complete() {
    let (mut with, mut without) = ((0, 0), (0, 0));
    for seed in 0..200 {
        let fleet = serve(seed, true);
        assert!(fleet.crashes <= 2, "seed {seed}: {} crashes", fleet.crashes);
        assert_eq!(fleet.refused, BTreeSet::from([POISON]), "seed {seed}");
        assert_eq!(fleet.finished, (1..100).collect(), "seed {seed}");
        with = (with.0 + fleet.crashes, with.1 + fleet.interrupted_runs);
        let plain = serve(seed, false);
        without = (
            without.0 + plain.crashes,
            without.1 + plain.interrupted_runs,
        );
    }
    println!(
        "crashes and other interrupted runs, 200 seeds: {with:?}, without suspects {without:?}"
    );
    assert!(without.0 > with.0 * 10);
}

#[test]
fn requests_that_differ_in_any_part_have_different_fingerprints() {
    let original = Fingerprint::of("wales", "PUT", "/gates/7", b"open");
    for other in [
        Fingerprint::of("kitami", "PUT", "/gates/7", b"open"),
        Fingerprint::of("wales", "POST", "/gates/7", b"open"),
        Fingerprint::of("wales", "PUT", "/gates/8", b"open"),
        Fingerprint::of("wales", "PUT", "/gates/7", b"shut"),
    ] {
        assert_ne!(original, other);
    }
}

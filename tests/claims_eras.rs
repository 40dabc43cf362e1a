//! Claims on idempotency keys after the log has come back from an older copy.

use bulrushslip::decide::claim_coordinator::{
    ClaimCoordinator, ClaimPage, ClaimStep, CoordinatorLimits, CoordinatorStep, VerdictList,
};
use bulrushslip::decide::claims::{ClaimRecord, ClaimTarget, ClaimVerdict, KeyHash};
use bulrushslip::decide::ids::{Incarnation, LogOffset, LogPosition, StoreEra, Ticket};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::Moment;

/// Time between two steps of a coordinator, longer than any of its pauses.
const STEP_US: u64 = 1_000_000;

/// Largest number of steps until a coordinator has nothing more to do.
const MAX_STEPS: u64 = 20;

/// A log that can come back from a copy, and a coordinator of one of its partitions.
struct Partition {
    coordinator: ClaimCoordinator,
    log: Vec<Vec<ClaimRecord>>,
    era: u64,
    first: usize,
    now: u64,
}

impl Partition {
    /// Creates a coordinator that has read an empty log.
    fn new() -> Self {
        let mut partition = Self {
            coordinator: ClaimCoordinator::new(CoordinatorLimits::default()),
            log: Vec::new(),
            era: 0,
            first: 0,
            now: 0,
        };
        partition.settle();
        partition
    }

    fn now(&self) -> Moment {
        Moment::from_micros(self.now)
    }

    /// Lets the log come back from a copy with some of its records.
    fn restore(&mut self, copied: usize) {
        self.log.truncate(copied);
        self.era += 1;
    }

    fn submit(&mut self, record: ClaimRecord) -> ClaimStep {
        let deadline = Moment::from_micros(self.now + MAX_STEPS * STEP_US);
        self.coordinator.submit(self.now(), record, deadline)
    }

    /// Carries out the steps of the coordinator until it waits for claims.
    fn settle(&mut self) -> VerdictList {
        let mut verdicts = Vec::new();
        for _ in 0..MAX_STEPS {
            self.now += STEP_US;
            let now = self.now();
            match self.coordinator.next_step(now) {
                CoordinatorStep::WaitUntil(Moment::NEVER) => return verdicts,
                CoordinatorStep::WaitUntil(_) => {}
                CoordinatorStep::Append(records) => {
                    let position = self.append(records);
                    verdicts.extend(self.coordinator.finish_append(now, Some(position)));
                }
                CoordinatorStep::Read(from) => {
                    let page = self.page(from);
                    verdicts.extend(self.coordinator.finish_read(now, Some(&page)));
                }
            }
        }
        panic!("the coordinator does not settle");
    }

    fn append(&mut self, records: Vec<ClaimRecord>) -> LogPosition {
        self.log.push(records);
        LogPosition {
            era: StoreEra(self.era),
            offset: LogOffset(self.log.len() as u64 - 1),
        }
    }

    /// Reads from an offset or, if the log does not have it, from the oldest one.
    fn page(&self, from: LogOffset) -> ClaimPage {
        let (first, next) = (self.first as u64, self.log.len() as u64);
        let is_known = (first..=next).contains(&from.0);
        let from = if is_known { from.0 } else { first };
        let batches = (0..).zip(self.log.iter().cloned());
        ClaimPage {
            era: StoreEra(self.era),
            first: LogOffset(first),
            next: LogOffset(next),
            batches: batches
                .filter(|(offset, _)| *offset >= from)
                .map(|(offset, records)| (LogOffset(offset), records))
                .collect(),
        }
    }

    /// Claims a key and returns the verdict.
    fn verdict(&mut self, record: ClaimRecord) -> ClaimVerdict {
        match self.submit(record) {
            ClaimStep::Answer(verdict) => verdict,
            ClaimStep::Pending(key) => {
                let verdicts = self.settle();
                let mut own = verdicts.into_iter().filter(|(other, _)| *other == key);
                own.next().expect("a verdict").1
            }
        }
    }
}

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence,
    }
}

fn claim(key: u128, sequence: u64) -> ClaimRecord {
    ClaimRecord {
        customer: "kitami".to_owned(),
        key: KeyHash(key),
        released: None,
        target: Some(ClaimTarget {
            ticket: ticket(sequence),
            upstream: "filing-1".to_owned(),
            sidecar: Incarnation(3),
            fingerprint: Fingerprint(4),
        }),
        expires_s: 5,
    }
}

fn release(key: u128, sequence: u64) -> ClaimRecord {
    ClaimRecord {
        released: Some(ticket(sequence)),
        target: None,
        ..claim(key, sequence)
    }
}

fn held(key: u128, sequence: u64) -> ClaimVerdict {
    ClaimVerdict::Held(claim(key, sequence).target.expect("a claim"))
}

/// Returns a coordinator that reads the log for the first time.
fn next_coordinator(partition: Partition) -> Partition {
    let mut next = Partition {
        coordinator: ClaimCoordinator::new(CoordinatorLimits::default()),
        ..partition
    };
    next.settle();
    next
}

#[test]
fn a_claim_at_an_offset_of_a_lost_one_gets_its_verdict() {
    let mut partition = Partition::new();
    for key in 1..5 {
        assert_eq!(partition.verdict(claim(key, 1)), ClaimVerdict::Won);
    }
    partition.restore(1);
    let appends = partition.coordinator.appends;
    assert_eq!(partition.verdict(claim(9, 9)), ClaimVerdict::Won);
    assert!(partition.coordinator.appends <= appends + 2);
}

#[test]
fn a_claim_of_another_coordinator_at_an_offset_of_a_lost_one_is_seen() {
    let mut partition = Partition::new();
    for key in 1..5 {
        partition.verdict(claim(key, 1));
    }
    partition.restore(1);
    partition.append(vec![claim(9, 8)]);
    assert_eq!(partition.verdict(claim(9, 9)), held(9, 8));
}

#[test]
fn a_claim_whose_append_is_lost_before_it_is_read_is_appended_again() {
    let mut partition = Partition::new();
    partition.verdict(claim(1, 1));
    let step = partition.submit(claim(2, 2));
    partition.now += STEP_US;
    let now = partition.now();
    let CoordinatorStep::Append(records) = partition.coordinator.next_step(now) else {
        panic!("no append");
    };
    let position = partition.append(records);
    partition.coordinator.finish_append(now, Some(position));
    partition.restore(1);
    let ClaimStep::Pending(key) = step else {
        panic!("{step:?}");
    };
    assert_eq!(partition.settle(), [(key, ClaimVerdict::Won)]);
    assert_eq!(partition.log.len(), 2);
}

#[test]
fn claims_that_the_log_has_lost_are_held_here_and_at_the_next_coordinator() {
    let mut partition = Partition::new();
    partition.verdict(claim(1, 1));
    partition.verdict(claim(2, 2));
    partition.restore(0);
    assert_eq!(partition.verdict(claim(2, 9)), held(2, 2));
    partition.verdict(claim(3, 3));
    let mut next = next_coordinator(partition);
    assert_eq!(next.verdict(claim(1, 9)), held(1, 1));
    assert_eq!(next.verdict(claim(2, 9)), held(2, 2));
    assert_eq!(next.verdict(claim(3, 9)), held(3, 3));
}

/// Guards against a second run of a key: the log has the claim of a ticket that was released, and lacks
/// the release and the claim of the ticket that ran.
#[test]
fn a_release_that_the_log_has_lost_holds_at_the_next_coordinator() {
    let mut partition = Partition::new();
    partition.verdict(claim(1, 1));
    assert_eq!(partition.verdict(release(1, 1)), ClaimVerdict::Released);
    assert_eq!(partition.verdict(claim(1, 2)), ClaimVerdict::Won);
    partition.restore(1);
    partition.verdict(claim(3, 3));
    let mut next = next_coordinator(partition);
    assert_eq!(next.verdict(claim(1, 9)), held(1, 2));
    assert_eq!(next.verdict(claim(1, 1)), ClaimVerdict::Released);
}

#[test]
fn what_the_log_still_has_is_not_appended_again() {
    let mut partition = Partition::new();
    for key in 1..5 {
        partition.verdict(claim(key, 1));
    }
    partition.restore(4);
    partition.verdict(claim(9, 9));
    assert_eq!(partition.log.len(), 5);
}

#[test]
fn a_log_without_its_oldest_records_clears_no_claim_on_coming_back() {
    let mut partition = Partition::new();
    for key in 1..5 {
        partition.verdict(claim(key, 1));
    }
    partition.restore(3);
    partition.first = 2;
    assert_eq!(partition.verdict(claim(9, 9)), ClaimVerdict::Won);
    assert_eq!(partition.verdict(claim(4, 9)), held(4, 1));
}

#[test]
fn a_page_of_an_earlier_era_changes_nothing() {
    let mut partition = Partition::new();
    partition.verdict(claim(1, 1));
    let late = partition.page(LogOffset(0));
    partition.restore(0);
    partition.verdict(claim(2, 2));
    let next = partition.coordinator.table.next();
    partition
        .coordinator
        .finish_read(partition.now(), Some(&late));
    assert_eq!(partition.coordinator.table.next(), next);
}

//! Claims on idempotency keys: log outages, dropped records, limits, key age and batching.

use std::collections::HashMap;

use bulrushslip::decide::claim_coordinator::{
    ClaimCoordinator, ClaimPage, ClaimStep, CoordinatorLimits, CoordinatorStep,
};
use bulrushslip::decide::claims::{
    ClaimRecord, ClaimTarget, ClaimVerdict, IdempotencyWindow, KeyAge, KeyHash, PARTITION_COUNT,
    PartitionId, key_age,
};
use bulrushslip::decide::ids::{Incarnation, LogOffset, LogPosition, StoreEra, Ticket};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::Moment;
use bulrushslip::wire::claim_record::{decode_batch, encode_batch};
use bulrushslip::wire::rpc::UnknownValue;

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence,
    }
}

fn claim(key: KeyHash, sequence: u64) -> ClaimRecord {
    ClaimRecord {
        customer: "kitami".to_owned(),
        key,
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

fn ms(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn at(era: u64, offset: u64) -> LogPosition {
    LogPosition {
        era: StoreEra(era),
        offset: LogOffset(offset),
    }
}

fn page(first: u64, batches: &[(u64, Vec<ClaimRecord>)]) -> ClaimPage {
    let next = batches.last().map_or(first, |(offset, _)| offset + 1);
    let batches = batches.iter().cloned();
    ClaimPage {
        era: StoreEra(0),
        first: LogOffset(first),
        next: LogOffset(next),
        batches: batches
            .map(|(offset, records)| (LogOffset(offset), records))
            .collect(),
    }
}

fn replayed(limits: CoordinatorLimits, page: &ClaimPage) -> ClaimCoordinator {
    let mut coordinator = ClaimCoordinator::new(limits);
    assert_eq!(
        coordinator.next_step(ms(0)),
        CoordinatorStep::Read(LogOffset(0))
    );
    coordinator.finish_read(ms(0), Some(page));
    coordinator
}

#[test]
fn during_an_outage_new_keys_are_refused_and_held_keys_are_answered() {
    let log = page(0, &[(0, vec![claim(KeyHash(1), 1)])]);
    let mut coordinator = replayed(CoordinatorLimits::default(), &log);
    let ClaimStep::Pending(key) = coordinator.submit(ms(0), claim(KeyHash(2), 2), ms(5_000)) else {
        panic!("no outage has been detected yet");
    };
    assert!(matches!(
        coordinator.next_step(ms(0)),
        CoordinatorStep::Append(_)
    ));
    assert!(coordinator.finish_append(ms(1), None).is_empty());
    assert!(matches!(
        coordinator.next_step(ms(51)),
        CoordinatorStep::Read(_)
    ));
    let verdicts = coordinator.finish_read(ms(52), None);
    assert_eq!(verdicts, vec![(key, ClaimVerdict::Unavailable)]);
    let refused = coordinator.submit(ms(100), claim(KeyHash(3), 3), ms(5_000));
    assert_eq!(refused, ClaimStep::Answer(ClaimVerdict::Unavailable));
    let held = coordinator.submit(ms(100), claim(KeyHash(1), 4), ms(5_000));
    let holder = claim(KeyHash(1), 1).target.expect("a claim");
    assert_eq!(held, ClaimStep::Answer(ClaimVerdict::Held(holder)));
    let probe = coordinator.submit(ms(600), claim(KeyHash(3), 3), ms(5_000));
    assert!(matches!(probe, ClaimStep::Pending(_)));
}

#[test]
fn a_coordinator_that_missed_trimmed_records_restarts_from_the_oldest_record() {
    let log = page(
        0,
        &[
            (0, vec![claim(KeyHash(1), 1)]),
            (1, vec![claim(KeyHash(2), 2)]),
        ],
    );
    let mut coordinator = replayed(CoordinatorLimits::default(), &log);
    coordinator.submit(ms(0), claim(KeyHash(3), 9), ms(1_000));
    assert!(matches!(
        coordinator.next_step(ms(0)),
        CoordinatorStep::Append(_)
    ));
    coordinator.finish_append(ms(1), Some(at(0, 8)));
    coordinator.next_step(ms(1));
    // Records 2 to 6 have been appended and trimmed; record 7 claims the key before record 8.
    let later = page(
        7,
        &[
            (7, vec![claim(KeyHash(3), 8)]),
            (8, vec![claim(KeyHash(3), 9)]),
        ],
    );
    let verdicts = coordinator.finish_read(ms(2), Some(&later));
    let holder = claim(KeyHash(3), 8).target.expect("a claim");
    assert_eq!(verdicts[0].1, ClaimVerdict::Held(holder));
    assert_eq!(coordinator.table.len(), 1);
}

#[test]
fn keys_and_pending_claims_stay_within_their_limits() {
    let limits = CoordinatorLimits {
        max_keys: 3,
        max_pending: 2,
    };
    let log = page(0, &[(0, vec![claim(KeyHash(1), 1)])]);
    let mut coordinator = replayed(limits, &log);
    let steps: Vec<ClaimStep> = (2..6)
        .map(|key| coordinator.submit(ms(0), claim(KeyHash(key), 7), ms(9)))
        .collect();
    let refused = ClaimStep::Answer(ClaimVerdict::Unavailable);
    assert_eq!(steps.iter().filter(|step| **step == refused).count(), 2);
    assert_eq!(coordinator.expire(ms(9)).len(), 2);
    assert_eq!(coordinator.pending_len(), 0);
}

#[test]
fn key_age_follows_from_the_stated_creation_time() {
    let policy = IdempotencyWindow {
        window_s: 100,
        skew_s: 10,
    };
    assert_eq!(key_age(policy, 1_000, None), KeyAge::Valid(1_100));
    assert_eq!(key_age(policy, 1_000, Some(901)), KeyAge::Valid(1_001));
    assert_eq!(key_age(policy, 1_000, Some(900)), KeyAge::Expired);
    assert_eq!(key_age(policy, 1_000, Some(1_010)), KeyAge::Valid(1_110));
    assert_eq!(key_age(policy, 1_000, Some(1_011)), KeyAge::Future);
}

#[test]
fn batches_round_trip_and_malformed_batches_are_refused() {
    let mut release = claim(KeyHash(u128::MAX), 1);
    release.released = Some(ticket(2));
    release.target = None;
    let records = vec![claim(KeyHash::of("kitami", "filing-77"), 1), release];
    assert_eq!(decode_batch(&encode_batch(&records)), Ok(records));
    assert_eq!(
        decode_batch("{\"claims\":[{\"key\":\"x\"}]}"),
        Err(UnknownValue)
    );
}

#[test]
fn loss_of_a_sidecar_moves_only_its_own_partitions() {
    let names: Vec<String> = (0..20).map(|number| format!("upstream-{number}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    for partition in PartitionId::all() {
        let order = partition.coordinator_order(&all);
        let without: Vec<&str> = all
            .iter()
            .filter(|name| **name != order[0])
            .copied()
            .collect();
        assert_eq!(partition.coordinator_order(&without), order[1..]);
    }
}

/// Submits claims to all partitions in virtual time; returns the number of appends and the sorted
/// times to a verdict in microseconds.
fn submit_claims(per_second: u64, seconds: u64, log_latency_ms: u64) -> (u64, Vec<u64>) {
    let partitions = usize::from(PARTITION_COUNT);
    let mut coordinators: Vec<ClaimCoordinator> = (0..partitions)
        .map(|_| ClaimCoordinator::new(CoordinatorLimits::default()))
        .collect();
    let mut logs = vec![Vec::new(); partitions];
    let mut calls: Vec<Option<(Moment, CoordinatorStep)>> = vec![None; partitions];
    let mut submitted_at: HashMap<_, Moment> = HashMap::new();
    let (mut waits, mut sent) = (Vec::new(), 0);
    for tick in 0..seconds * 1000 + 2000 {
        let now = ms(tick);
        while sent < per_second * seconds && sent * 1000 <= tick * per_second {
            sent += 1;
            let key = KeyHash::of("wales", &sent.to_string());
            let partition = usize::from(key.partition().0);
            let step = coordinators[partition].submit(now, claim(key, sent), Moment::NEVER);
            let ClaimStep::Pending(pending) = step else {
                panic!("{step:?}");
            };
            submitted_at.insert((partition, pending), now);
        }
        for (partition, coordinator) in coordinators.iter_mut().enumerate() {
            if let Some((end, call)) = calls[partition].take() {
                if !end.is_due(now) {
                    calls[partition] = Some((end, call));
                    continue;
                }
                let verdicts = match call {
                    CoordinatorStep::Append(records) => {
                        logs[partition].push(records);
                        let offset = logs[partition].len() as u64 - 1;
                        coordinator.finish_append(now, Some(at(0, offset)))
                    }
                    CoordinatorStep::Read(from) => {
                        let all = (0..).zip(logs[partition].iter().cloned());
                        let wanted: Vec<_> =
                            all.skip_while(|(offset, _)| *offset < from.0).collect();
                        let mut page = page(0, &wanted);
                        page.next = LogOffset(logs[partition].len() as u64);
                        coordinator.finish_read(now, Some(&page))
                    }
                    CoordinatorStep::WaitUntil(_) => continue,
                };
                for (pending, verdict) in verdicts {
                    assert_eq!(verdict, ClaimVerdict::Won);
                    waits.push(now.as_micros() - submitted_at[&(partition, pending)].as_micros());
                }
            }
            let step = coordinator.next_step(now);
            if !matches!(step, CoordinatorStep::WaitUntil(_)) {
                calls[partition] = Some((ms(tick + log_latency_ms), step));
            }
        }
    }
    waits.sort_unstable();
    (
        coordinators
            .iter()
            .map(|coordinator| coordinator.appends)
            .sum(),
        waits,
    )
}

#[test]
fn batching_limits_the_append_rate_at_any_claim_rate() {
    for (per_second, most) in [(10, 11), (100, 101), (1_000, 165), (3_700, 165)] {
        let (appends, waits) = submit_claims(per_second, 10, 5);
        assert_eq!(waits.len() as u64, per_second * 10);
        let percentile = |share: usize| waits[waits.len() * share / 100] / 1000;
        println!(
            "{per_second} claims/s: {} appends/s, wait p50 {} ms, p99 {} ms",
            appends / 10,
            percentile(50),
            percentile(99)
        );
        assert!(appends / 10 <= most, "{appends}");
    }
}

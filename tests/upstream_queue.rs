//! The upstream queue: estimates, the limit of concurrent prefills, and its counters.

mod property;

use std::time::Duration;

use bulrushslip::decide::ids::{Incarnation, PrefixKey, Rank, Ticket};
use bulrushslip::decide::queue::{
    CustomerShare, OfferOutcome, QueueDiscipline, QueuePolicy, QueueStep,
};
use bulrushslip::decide::upstream_queue::{MAX_PREFILLS, UpstreamQueue, WorkRequest};
use bulrushslip::kernel::Moment;

/// Number of generated inputs of each property.
const CASES: u64 = 2_000;

const POLICY: QueuePolicy = QueuePolicy {
    discipline: QueueDiscipline::RankedFair,
    rank_capacity: 100,
    floor_percent: [20, 20],
};
const SLOTS: u32 = 8;
const NO_LIMIT_US: u64 = u64::MAX;
const NO_DEADLINE: Moment = Moment::from_micros(1 << 50);

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence,
    }
}

fn request(keys: &[PrefixKey], rank: Rank) -> WorkRequest<'_> {
    WorkRequest {
        customer: "agency",
        share: CustomerShare {
            weight: 1,
            max_in_flight: 100,
        },
        rank,
        keys,
        output_tokens: 8,
    }
}

fn queue() -> UpstreamQueue {
    let mut queue = UpstreamQueue::new(POLICY, MAX_PREFILLS);
    queue.slots = SLOTS;
    queue
}

fn offer(queue: &mut UpstreamQueue, now: Moment, sequence: u64, keys: &[PrefixKey]) {
    let request = request(keys, Rank::Urgent);
    let outcome = queue.offer(now, ticket(sequence), &request, NO_DEADLINE, NO_LIMIT_US);
    assert_eq!(outcome, OfferOutcome::Queued);
}

#[test]
fn pieces_of_accepted_requests_count_as_cached_until_they_end() {
    let mut queue = queue();
    let now = Moment::START;
    let keys = [1, 2, 3].map(PrefixKey);
    let sibling = [1, 2, 4].map(PrefixKey);
    let missing = |queue: &mut UpstreamQueue| {
        let request = request(&sibling, Rank::Urgent);
        queue.quote(now, &request).missing_pieces
    };
    assert_eq!(missing(&mut queue), 3);
    offer(&mut queue, now, 1, &keys);
    assert_eq!(missing(&mut queue), 1);
    assert!(matches!(queue.next(now), QueueStep::Start(_)));
    queue.record_first_output(ticket(1), Some(0));
    assert_eq!(missing(&mut queue), 1);
    queue.record_end(ticket(1), 8);
    // The engine has not reported any cached pieces.
    assert_eq!(missing(&mut queue), 3);
}

#[test]
fn two_requests_prefill_at_the_same_time_and_others_start_after_a_first_output() {
    let mut queue = queue();
    let now = Moment::START;
    for sequence in 1..=4 {
        offer(&mut queue, now, sequence, &[PrefixKey(sequence)]);
    }
    let started = |queue: &mut UpstreamQueue| match queue.next(now) {
        QueueStep::Start(item) => Some(item.ticket.sequence),
        _ => None,
    };
    assert_eq!(
        [started(&mut queue), started(&mut queue)],
        [Some(1), Some(2)]
    );
    assert_eq!(started(&mut queue), None);
    queue.record_first_output(ticket(2), None);
    assert_eq!([started(&mut queue), started(&mut queue)], [Some(3), None]);
    assert_eq!(queue.running(), [3, 0]);
}

#[test]
fn the_expected_wait_follows_the_speed_of_the_engine() {
    let mut queue = queue();
    // The engine computes a piece in 5 ms, 1/12 of the nominal time.
    let mut now = Moment::START;
    let mut sequence = 0;
    for _ in 0..500 {
        while queue.waiting() < 4 {
            sequence += 1;
            offer(&mut queue, now, sequence, &[PrefixKey(sequence)]);
        }
        while let QueueStep::Start(item) = queue.next(now) {
            now = now.after(Duration::from_millis(5));
            queue.record_first_output(item.ticket, Some(0));
            queue.record_end(item.ticket, 8);
        }
    }
    for sequence in sequence + 1..=sequence + 10 {
        offer(&mut queue, now, sequence, &[PrefixKey(sequence)]);
    }
    let keys = [PrefixKey(u64::MAX)];
    let quote = queue.quote(now, &request(&keys, Rank::Urgent));
    let actual_us = queue.waiting() as u64 * 5_000;
    assert!(
        quote.wait_us.abs_diff(actual_us) < actual_us / 5,
        "{quote:?} {actual_us}"
    );
}

#[test]
fn counters_return_to_zero_after_any_operations() {
    property::check::<Vec<(u8, u8)>>(CASES, |steps| {
        let mut queue = queue();
        let mut running: Vec<Ticket> = Vec::new();
        let mut now = Moment::START;
        for (sequence, (kind, who)) in (1..).zip(steps) {
            now = now.after(Duration::from_millis(u64::from(who & 15)));
            let keys = [u64::from(who & 7), u64::from(*who)].map(PrefixKey);
            let position = usize::from(*who) % running.len().max(1);
            match kind % 6 {
                0 | 1 => {
                    let rank = Rank::ALL[usize::from(who & 1)];
                    let start_by = now.after(Duration::from_millis(u64::from(*kind)));
                    let request = request(&keys, rank);
                    queue.offer(now, ticket(sequence), &request, start_by, NO_LIMIT_US);
                }
                2 if !running.is_empty() => queue.record_first_output(running[position], Some(1)),
                3 if !running.is_empty() => queue.record_end(running.remove(position), 3),
                4 => queue.remove(ticket(u64::from(*who))),
                _ => {
                    queue.adopt(ticket(sequence), Rank::Routine);
                    running.push(ticket(sequence));
                }
            }
            while let QueueStep::Start(item) = queue.next(now) {
                assert!(running.len() < SLOTS as usize);
                running.push(item.ticket);
            }
            let [urgent, routine] = queue.running();
            assert_eq!((urgent + routine) as usize, running.len());
        }
        queue.drain();
        for ticket in running {
            queue.record_end(ticket, 1);
        }
        let keys: Vec<PrefixKey> = (0..256).map(PrefixKey).collect();
        let missing = |key| queue.estimate.missing(std::slice::from_ref(key));
        assert!(keys.iter().all(|key| missing(key) == 1));
        assert_eq!(queue.running(), [0, 0]);
        offer(&mut queue, now, 1_000, &[PrefixKey(1)]);
        offer(&mut queue, now, 1_001, &[PrefixKey(2)]);
        let both = [queue.next(now), queue.next(now)];
        assert!(both.iter().all(|step| matches!(step, QueueStep::Start(_))));
    });
}

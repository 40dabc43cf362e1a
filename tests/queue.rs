//! The queue against a simple model of the same rules, and its properties.

mod property;

use bulrushslip::decide::ids::{Incarnation, Rank, Ticket};
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::decide::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use bulrushslip::kernel::Moment;

/// Number of generated inputs of each property.
const CASES: u64 = 2_000;

const POLICY: QueuePolicy = QueuePolicy {
    discipline: QueueDiscipline::RankedFair,
    rank_capacity: 12,
    floor_percent: [25, 20],
};
const NO_LIMIT_US: u64 = u64::MAX;
const NO_DEADLINE: Moment = Moment::from_micros(1 << 50);

fn item(sequence: u64, customer: u32, rank: Rank, cost_us: u64, start_by: Moment) -> QueueItem {
    QueueItem {
        ticket: Ticket {
            entry: Incarnation(1),
            sequence,
        },
        customer: CustomerId(customer),
        share: CustomerShare {
            weight: customer + 1,
            max_in_flight: 8,
        },
        rank,
        cost_us,
        start_by,
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).expect("test costs fit into i64")
}

/// Model of the queue: unsorted lists that each decision scans in full.
#[derive(Default)]
struct ModelQueue {
    waiting: Vec<QueueItem>,
    running: Vec<QueueItem>,
    tags: Vec<(Rank, CustomerId, u64)>,
    times: [u64; 2],
    credit: i64,
}

impl ModelQueue {
    fn tag(&mut self, item: &QueueItem) -> &mut u64 {
        let same = |row: &(Rank, CustomerId, u64)| (row.0, row.1) == (item.rank, item.customer);
        let position = self.tags.iter().position(same).unwrap_or_else(|| {
            self.tags.push((item.rank, item.customer, 0));
            self.tags.len() - 1
        });
        &mut self.tags[position].2
    }

    fn waiting_count(&self, rank: Rank) -> usize {
        self.waiting.iter().filter(|w| w.rank == rank).count()
    }

    fn offer(&mut self, now: Moment, item: QueueItem) -> OfferOutcome {
        let all = || self.waiting.iter().chain(&self.running);
        let in_flight = all().filter(|w| w.customer == item.customer).count();
        if item.start_by <= now {
            return OfferOutcome::Refused(RefusalReason::StartDeadline);
        }
        if self.waiting_count(item.rank) >= POLICY.rank_capacity {
            return OfferOutcome::Refused(RefusalReason::QueueFull);
        }
        if in_flight >= item.share.max_in_flight as usize {
            return OfferOutcome::Refused(RefusalReason::CustomerLimit);
        }
        let same_queue = |w: &QueueItem| (w.rank, w.customer) == (item.rank, item.customer);
        if !self.waiting.iter().any(same_queue) {
            let time = self.times[item.rank.index()];
            let tag = self.tag(&item);
            *tag = time.max(*tag);
        }
        self.waiting.push(item);
        OfferOutcome::Queued
    }

    fn update_credit(&mut self, rank: Rank, cost: i64) {
        if self.waiting_count(Rank::Routine) == 0 {
            self.credit = 0;
        } else if rank == Rank::Urgent {
            self.credit += cost * 20 / 80;
        } else if self.waiting_count(Rank::Urgent) > 0 {
            self.credit -= cost;
        }
    }

    fn next(&mut self, now: Moment, slots: u32) -> Option<(bool, QueueItem)> {
        let due = self.waiting.iter().filter(|w| w.start_by <= now);
        let due = due.min_by_key(|w| w.start_by).copied();
        if let Some(item) = due {
            self.waiting.retain(|w| w.ticket != item.ticket);
            return Some((false, item));
        }
        let routine = self.running.iter().filter(|w| w.rank == Rank::Routine);
        let routine_room = routine.count() < (slots - (slots / 4).max(1)) as usize;
        if self.running.len() >= slots as usize {
            return None;
        }
        let mut heads: [Option<QueueItem>; 2] = [None, None];
        for rank in Rank::ALL {
            let mut best = None;
            for item in self.waiting.clone().into_iter().filter(|w| w.rank == rank) {
                let tag = *self.tag(&item);
                let seen = self.tags.iter().filter(|row| row.0 == rank);
                let age = seen.clone().position(|row| row.1 == item.customer);
                if best.is_none_or(|(key, _)| (tag, age) < key) {
                    best = Some(((tag, age), item));
                }
            }
            heads[rank.index()] = best.map(|(_, item)| item);
        }
        let routine = heads[1].filter(|_| routine_room);
        let startable = routine.filter(|r| heads[0].is_none() || self.credit >= signed(r.cost_us));
        let item = startable.or(heads[0]).or(routine)?;
        self.waiting.retain(|w| w.ticket != item.ticket);
        let tag = *self.tag(&item);
        let time = &mut self.times[item.rank.index()];
        *time = tag.max(*time);
        *self.tag(&item) += item.cost_us * 1024 / u64::from(item.share.weight);
        self.update_credit(item.rank, signed(item.cost_us));
        self.running.push(item);
        Some((true, item))
    }

    fn record_end(&mut self, position: usize, actual: u64) -> QueueItem {
        let item = self.running.remove(position);
        let weight = u64::from(item.share.weight);
        let tag = self.tag(&item);
        *tag = (*tag + actual * 1024 / weight).saturating_sub(item.cost_us * 1024 / weight);
        self.update_credit(item.rank, signed(actual) - signed(item.cost_us));
        item
    }

    fn slots(&self, slots: u32) -> RunningSlots {
        let count = |rank| {
            self.running
                .iter()
                .filter(|w| w.rank == rank)
                .fold(0, |count, _| count + 1)
        };
        RunningSlots {
            slots,
            running: [count(Rank::Urgent), count(Rank::Routine)],
            max_starts: u32::MAX,
        }
    }
}

#[test]
fn agrees_with_the_model() {
    property::check::<Vec<(u8, u8, u16)>>(CASES, |steps| {
        let mut queue = FairQueue::new(POLICY);
        let mut model = ModelQueue::default();
        let mut now = Moment::START;
        for (sequence, (kind, number, amount)) in (1..).zip(steps) {
            now = Moment::from_micros(now.as_micros() + u64::from(*amount) / 8);
            let rank = Rank::ALL[usize::from(kind >> 2 & 1)];
            // The sequence number makes each deadline unique, so that their order is defined.
            let start_by = now.as_micros() + u64::from(*number) * 4_000 + sequence;
            let start_by = Moment::from_micros(start_by * 1_000);
            let cost_us = u64::from(*amount) + 1;
            let item = item(sequence, u32::from(number & 3), rank, cost_us, start_by);
            let slots = model.slots(4);
            match kind & 3 {
                0 | 1 => assert_eq!(
                    queue.offer(now, item, NO_LIMIT_US, &slots),
                    offer_to_model(&mut queue, &mut model, now, item, &slots),
                ),
                2 if !model.running.is_empty() => {
                    let position = usize::from(*number) % model.running.len();
                    let ended = model.record_end(position, u64::from(*amount));
                    queue.record_end(ended.ticket, u64::from(*amount));
                }
                _ => {}
            }
            loop {
                let step = queue.next(now, &model.slots(4));
                match model.next(now, 4) {
                    Some((true, item)) => assert_eq!(step, QueueStep::Start(item)),
                    Some((false, item)) => assert_eq!(step, QueueStep::Expired(item)),
                    None => break assert!(!matches!(step, QueueStep::Start(_))),
                }
            }
            assert_eq!(queue.len(), model.waiting.len());
        }
    });
}

/// Offers the item to the model, and adds the refusal for an expected wait beyond the deadline,
/// which the model does not estimate.
fn offer_to_model(
    queue: &mut FairQueue,
    model: &mut ModelQueue,
    now: Moment,
    item: QueueItem,
    slots: &RunningSlots,
) -> OfferOutcome {
    let taken = queue.len() > model.waiting.len();
    let wait_us = queue.expected_wait_us(now, &item, slots);
    let late = now.as_micros() + wait_us > item.start_by.as_micros();
    match model.offer(now, item) {
        OfferOutcome::Queued if !taken && late => {
            model.waiting.retain(|w| w.ticket != item.ticket);
            OfferOutcome::Refused(RefusalReason::StartDeadline)
        }
        outcome => outcome,
    }
}

/// Overloads the queue with one rank and adds a few requests of the other; returns the service
/// time by rank and the longest wait of an urgent request.
fn overload(overloaded: Rank, rounds: u64) -> ([u64; 2], u64) {
    let mut queue = FairQueue::new(POLICY);
    let mut running: Vec<(u64, QueueItem)> = Vec::new();
    let (mut service, mut longest_urgent_wait, mut sequence) = ([0; 2], 0, 0);
    let mut arrivals = std::collections::HashMap::new();
    for time in 0..rounds {
        let now = Moment::from_micros(time * 1_000);
        let (ended, kept): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _)| *end <= time);
        running = kept;
        for (_, item) in ended {
            queue.record_end(item.ticket, item.cost_us);
        }
        let count = |rank| {
            running
                .iter()
                .filter(|(_, w)| w.rank == rank)
                .fold(0, |count, _| count + 1)
        };
        let mut slots = RunningSlots {
            slots: 4,
            running: [count(Rank::Urgent), count(Rank::Routine)],
            max_starts: u32::MAX,
        };
        for rank in Rank::ALL {
            let wanted = if rank == overloaded {
                8
            } else {
                usize::from(time % 50 == 0) * 4
            };
            while queue.waiting(rank) < wanted {
                sequence += 1;
                let cost_us = if rank == Rank::Urgent { 5_000 } else { 40_000 };
                let offered = item(
                    sequence,
                    u32::try_from(sequence % 4).unwrap_or(0),
                    rank,
                    cost_us,
                    NO_DEADLINE,
                );
                if queue.offer(now, offered, NO_LIMIT_US, &slots) != OfferOutcome::Queued {
                    break;
                }
                arrivals.insert(offered.ticket, time);
            }
        }
        while let QueueStep::Start(item) = queue.next(now, &slots) {
            slots.running[item.rank.index()] += 1;
            service[item.rank.index()] += item.cost_us;
            if item.rank == Rank::Urgent {
                longest_urgent_wait = longest_urgent_wait.max(time - arrivals[&item.ticket]);
            }
            running.push((time + item.cost_us / 1_000, item));
        }
    }
    (service, longest_urgent_wait)
}

#[test]
fn an_urgent_overload_leaves_routine_requests_their_floor() {
    let (service, _) = overload(Rank::Urgent, 20_000);
    let percent = service[1] * 100 / (service[0] + service[1]);
    assert!((19..=22).contains(&percent), "{percent}% of {service:?}");
}

#[test]
fn a_routine_overload_does_not_delay_urgent_requests_behind_long_ones() {
    let (_, wait_ms) = overload(Rank::Routine, 20_000);
    // Four urgent requests of 5 ms arrive at once and share the slot that is closed to routine
    // requests; the last one waits for three of them at most.
    assert!(wait_ms <= 15, "{wait_ms} ms");
}

#[test]
fn service_follows_the_weights_and_keeps_the_order_of_arrival() {
    let mut queue = FairQueue::new(POLICY);
    let slots = RunningSlots {
        slots: 1,
        running: [0, 0],
        max_starts: u32::MAX,
    };
    let (mut served, mut latest) = ([0_u64; 4], [0; 4]);
    let mut sequence = 0;
    let mut refill = |queue: &mut FairQueue, customer| {
        sequence += 1;
        // Estimates are wrong by a different factor for each customer; only actual costs count.
        let cost_us = 1_000 * u64::from(customer + 1);
        let offered = item(sequence, customer, Rank::Urgent, cost_us, NO_DEADLINE);
        queue.offer(Moment::START, offered, NO_LIMIT_US, &slots)
    };
    for customer in (0..4).cycle().take(12) {
        assert_eq!(refill(&mut queue, customer), OfferOutcome::Queued);
    }
    for _ in 0..10_000 {
        let QueueStep::Start(item) = queue.next(Moment::START, &slots) else {
            panic!("every customer has waiting requests");
        };
        let customer = item.customer.0 as usize;
        assert!(
            item.ticket.sequence > latest[customer],
            "requests of a customer must start in the order of arrival"
        );
        latest[customer] = item.ticket.sequence;
        served[customer] += 2_000;
        queue.record_end(item.ticket, 2_000);
        refill(&mut queue, item.customer.0);
    }
    for (served_us, weight) in served.iter().zip(1..) {
        let expected = 2_000 * 1_000 * weight;
        assert!(served_us.abs_diff(expected) < 20_000, "{served:?}");
    }
}

#[test]
fn refuses_at_once_a_request_that_cannot_start_in_time() {
    let mut queue = FairQueue::new(POLICY);
    let full = RunningSlots {
        slots: 1,
        running: [1, 0],
        max_starts: u32::MAX,
    };
    let long = item(1, 0, Rank::Urgent, 500_000, NO_DEADLINE);
    let busy = OfferOutcome::Refused(RefusalReason::Busy);
    assert_eq!(queue.offer(Moment::START, long, 0, &full), busy);
    let queued = queue.offer(Moment::START, long, NO_LIMIT_US, &full);
    assert_eq!(queued, OfferOutcome::Queued);
    let soon = item(2, 0, Rank::Urgent, 1_000, Moment::from_micros(400_000));
    let late = OfferOutcome::Refused(RefusalReason::StartDeadline);
    assert_eq!(queue.offer(Moment::START, soon, NO_LIMIT_US, &full), late);
    let patient = item(3, 0, Rank::Urgent, 1_000, NO_DEADLINE);
    assert_eq!(queue.offer(Moment::START, patient, 400_000, &full), busy);
    assert_eq!(queue.remove(long.ticket), Some(long));
    assert_eq!(queue.next(Moment::START, &full), QueueStep::Wait);
}

//! Request queue of one upstream: ranks with minimum shares, weighted customers within a rank.
//!
//! Urgent requests start first. While routine requests wait, each urgent start adds credit for the
//! minimum share (floor) of the routine rank, and a routine request starts once the credit covers
//! its cost. Some slots are closed to routine requests, so that long routine requests never occupy
//! all slots.

mod item;
mod processing_rate;
mod rank_queue;

use std::collections::{BTreeSet, HashMap};

pub use item::{
    CustomerId, CustomerShare, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy, QueueStep,
    RunningSlots,
};
use processing_rate::ProcessingRate;
use rank_queue::{CustomerQueueKey, ItemKey, RankQueue, WaitingItem};

use super::ids::{Rank, Ticket};
use super::outcome::RefusalReason;
use crate::kernel::{Arena, Moment};

/// Upper limit of a floor, in percent; a higher one would leave almost nothing to the other rank.
const MAX_FLOOR_PERCENT: u8 = 90;

/// Upper limit of the absolute routine credit, in microseconds of upstream time.
const CREDIT_LIMIT_US: i64 = 60_000_000;

#[derive(Debug, Clone, Copy)]
struct RunningItem {
    item: QueueItem,
    rank: Rank,
    queue: CustomerQueueKey,
    started: Moment,
    /// Whether the request has produced its first output.
    has_output: bool,
}

/// Requests that wait for a slot of one upstream, and the running ones that it has started.
#[derive(Debug, Clone)]
pub struct FairQueue {
    /// Limits and shares in force.
    pub policy: QueuePolicy,
    items: Arena<WaitingItem>,
    by_ticket: HashMap<Ticket, ItemKey>,
    deadlines: BTreeSet<(Moment, ItemKey)>,
    ranks: [RankQueue; 2],
    running: HashMap<Ticket, RunningItem>,
    in_flight: HashMap<CustomerId, u32>,
    /// Credit of the routine rank towards its floor; negative after it got more than its share.
    routine_credit_us: i64,
    processing_rate: ProcessingRate,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            items: Arena::new(),
            by_ticket: HashMap::new(),
            deadlines: BTreeSet::new(),
            ranks: [RankQueue::default(), RankQueue::default()],
            running: HashMap::new(),
            in_flight: HashMap::new(),
            routine_credit_us: 0,
            processing_rate: ProcessingRate::default(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting requests of the rank.
    #[must_use]
    pub const fn waiting(&self, rank: Rank) -> usize {
        self.ranks[rank.index()].waiting
    }

    /// Returns the request of the rank that starts next.
    #[must_use]
    pub fn head(&self, rank: Rank) -> Option<Ticket> {
        let key = self.ranks[rank.index()].head()?;
        self.items.get(key).map(|waiting| waiting.item.ticket)
    }

    /// Queues a request, or refuses it if it exceeds a limit or would start too late.
    ///
    /// A request is refused if its expected wait exceeds `wait_limit_us` or its start deadline. A
    /// ticket that already waits or runs is not changed.
    pub fn offer(
        &mut self,
        now: Moment,
        item: QueueItem,
        wait_limit_us: u64,
        slots: &RunningSlots,
    ) -> OfferOutcome {
        if self.by_ticket.contains_key(&item.ticket) || self.running.contains_key(&item.ticket) {
            return OfferOutcome::Queued;
        }
        if let Some(reason) = self.refusal(now, &item, wait_limit_us, slots) {
            return OfferOutcome::Refused(reason);
        }
        let (rank, customer) = self.rank_and_customer(&item);
        let rank_queue = &mut self.ranks[rank.index()];
        let queue = rank_queue.customer_queue(customer, item.share.weight);
        let key = self.items.insert(WaitingItem { item, queue });
        rank_queue.push(queue, key, item.cost_us);
        self.by_ticket.insert(item.ticket, key);
        self.deadlines.insert((item.start_by, key));
        *self.in_flight.entry(item.customer).or_default() += 1;
        OfferOutcome::Queued
    }

    /// Returns the next step; is called again until it returns `Wait` or `WaitUntil`.
    pub fn next(&mut self, now: Moment, slots: &RunningSlots) -> QueueStep {
        let Some((earliest, key)) = self.deadlines.first().copied() else {
            return QueueStep::Wait;
        };
        if earliest.is_due(now) {
            let item = self.remove_waiting(key);
            self.decrement_in_flight(item.customer);
            return QueueStep::Expired(item);
        }
        match self.choose(slots) {
            Some((rank, key)) => QueueStep::Start(self.start(now, rank, key)),
            None => QueueStep::WaitUntil(earliest),
        }
    }

    /// Removes a waiting request; returns `None` if the ticket does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueueItem> {
        let key = *self.by_ticket.get(&ticket)?;
        let item = self.remove_waiting(key);
        self.decrement_in_flight(item.customer);
        Some(item)
    }

    /// Removes and returns all waiting requests, in the order of their tickets.
    pub fn drain(&mut self) -> Vec<QueueItem> {
        let tickets: Vec<Ticket> = self.by_ticket.keys().copied().collect();
        let mut items: Vec<QueueItem> = tickets.iter().filter_map(|t| self.remove(*t)).collect();
        items.sort_by_key(|item| item.ticket);
        items
    }

    /// Records that a started request has produced its first output.
    pub fn record_first_output(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.has_output = true;
        }
    }

    /// Records the end of a started request and its actual cost.
    pub fn record_end(&mut self, ticket: Ticket, actual_us: u64) {
        let Some(ended) = self.running.remove(&ticket) else {
            return;
        };
        let estimate_us = ended.item.cost_us;
        self.ranks[ended.rank.index()].correct(ended.queue, estimate_us, actual_us);
        self.update_credit(ended.rank, signed(actual_us) - signed(estimate_us));
        self.decrement_in_flight(ended.item.customer);
    }

    /// Estimates how long other requests would delay the first output of this one, in microseconds.
    #[must_use]
    pub fn expected_wait_us(&self, now: Moment, item: &QueueItem, slots: &RunningSlots) -> u64 {
        let (rank, customer) = self.rank_and_customer(item);
        let queued_us = self
            .processing_rate
            .time_us(self.cost_ahead_us(rank, customer, item));
        let starting = self.running.values().filter(|r| !r.has_output);
        let starting_us: u64 = starting.map(|r| self.remaining_us(now, r)).sum();
        let wait_us = queued_us + starting_us;
        if wait_us == 0 && !self.has_slot(rank, slots) {
            return self.processing_rate.time_us(item.cost_us);
        }
        wait_us
    }

    /// Converts an estimated cost into time at the observed processing rate, in microseconds.
    #[must_use]
    pub fn time_us(&self, cost_us: u64) -> u64 {
        self.processing_rate.time_us(cost_us)
    }

    fn refusal(
        &self,
        now: Moment,
        item: &QueueItem,
        wait_limit_us: u64,
        slots: &RunningSlots,
    ) -> Option<RefusalReason> {
        if item.start_by.is_due(now) {
            return Some(RefusalReason::StartDeadline);
        }
        let (rank, _) = self.rank_and_customer(item);
        if self.ranks[rank.index()].waiting >= self.policy.rank_capacity {
            return Some(RefusalReason::QueueFull);
        }
        if self.policy.discipline == QueueDiscipline::Fifo {
            return None;
        }
        let in_flight = self.in_flight.get(&item.customer).copied().unwrap_or(0);
        if in_flight >= item.share.max_in_flight {
            return Some(RefusalReason::CustomerLimit);
        }
        let wait_us = self.expected_wait_us(now, item, slots);
        if wait_us > wait_limit_us {
            return Some(RefusalReason::Busy);
        }
        let start = Moment::from_micros(now.as_micros().saturating_add(wait_us));
        (start > item.start_by).then_some(RefusalReason::StartDeadline)
    }

    /// Returns the rank and customer that determine the order; both are constant under FIFO.
    const fn rank_and_customer(&self, item: &QueueItem) -> (Rank, CustomerId) {
        match self.policy.discipline {
            QueueDiscipline::RankedFair => (item.rank, item.customer),
            QueueDiscipline::Fifo => (Rank::Urgent, CustomerId(0)),
        }
    }

    /// Returns the estimated cost of all requests that start before this one, in microseconds.
    fn cost_ahead_us(&self, rank: Rank, customer: CustomerId, item: &QueueItem) -> u64 {
        let rank_queue = &self.ranks[rank.index()];
        let own_us = rank_queue
            .find(customer)
            .map_or(0, |queue| queue.waiting_cost_us);
        let weight = u64::from(item.share.weight.max(1));
        let own_total_us = own_us + item.cost_us;
        // Before this request starts, each customer gets at most its share by weight; the waiting
        // requests of its own customer all start first.
        let same_rank_us: u64 = rank_queue
            .customers
            .iter()
            .map(|(_, queue)| {
                let share_us = own_total_us.saturating_mul(u64::from(queue.weight)) / weight;
                queue.waiting_cost_us.min(share_us)
            })
            .sum();
        if rank == Rank::Urgent {
            return same_rank_us;
        }
        let urgent_us = self.ranks[Rank::Urgent.index()].waiting_cost_us;
        let floor = u64::from(self.floor(Rank::Routine)).max(1);
        // The floor limits the urgent cost that starts before a routine request.
        urgent_us.min((same_rank_us + item.cost_us) * (100 - floor) / floor) + same_rank_us
    }

    fn remaining_us(&self, now: Moment, running: &RunningItem) -> u64 {
        let ran_us = now.as_micros().saturating_sub(running.started.as_micros());
        let cost_us = self.processing_rate.time_us(running.item.cost_us);
        cost_us.saturating_sub(ran_us)
    }

    fn floor(&self, rank: Rank) -> u8 {
        self.policy.floor_percent[rank.index()].min(MAX_FLOOR_PERCENT)
    }

    fn has_slot(&self, rank: Rank, slots: &RunningSlots) -> bool {
        if slots.startable() == 0 {
            return false;
        }
        rank == Rank::Urgent || slots.running[rank.index()] < self.routine_slots(slots.slots)
    }

    /// Returns the number of slots that routine requests may use.
    fn routine_slots(&self, slots: u32) -> u32 {
        if slots < 2 {
            return slots;
        }
        let floor = u32::from(self.floor(Rank::Urgent));
        slots - (slots.saturating_mul(floor) / 100).max(1)
    }

    fn choose(&self, slots: &RunningSlots) -> Option<(Rank, ItemKey)> {
        let startable = |rank: Rank| {
            let key = self.ranks[rank.index()].head()?;
            self.has_slot(rank, slots).then_some((rank, key))
        };
        let urgent = startable(Rank::Urgent);
        let Some((_, key)) = startable(Rank::Routine) else {
            return urgent;
        };
        let cost_us = self.items.get(key).map_or(0, |w| signed(w.item.cost_us));
        if urgent.is_none() || self.routine_credit_us >= cost_us.max(1) {
            return Some((Rank::Routine, key));
        }
        urgent
    }

    fn start(&mut self, now: Moment, rank: Rank, key: ItemKey) -> QueueItem {
        let waiting = *self.items.get(key).expect("a chosen request is waiting");
        let WaitingItem { item, queue } = waiting;
        self.ranks[rank.index()].start(queue, key, item.cost_us);
        self.remove_item(key);
        self.update_credit(rank, signed(item.cost_us));
        let started = RunningItem {
            item,
            rank,
            queue,
            started: now,
            has_output: false,
        };
        self.running.insert(item.ticket, started);
        self.processing_rate
            .record_start(now, item.cost_us, self.items.is_empty());
        item
    }

    /// Updates the credit of the routine rank by the cost that was charged to a rank; a negative
    /// `service_us` corrects an estimate that was too high.
    fn update_credit(&mut self, rank: Rank, service_us: i64) {
        if self.ranks[Rank::Routine.index()].waiting == 0 {
            self.routine_credit_us = 0;
            return;
        }
        let floor = i64::from(self.floor(Rank::Routine));
        let change_us = match rank {
            Rank::Urgent => service_us.saturating_mul(floor) / (100 - floor),
            Rank::Routine if self.waiting(Rank::Urgent) == 0 => 0,
            Rank::Routine => -service_us,
        };
        let credit_us = self.routine_credit_us.saturating_add(change_us);
        self.routine_credit_us = credit_us.clamp(-CREDIT_LIMIT_US, CREDIT_LIMIT_US);
    }

    fn remove_waiting(&mut self, key: ItemKey) -> QueueItem {
        let waiting = *self
            .items
            .get(key)
            .expect("the key belongs to a waiting request");
        let (rank, _) = self.rank_and_customer(&waiting.item);
        let rank_queue = &mut self.ranks[rank.index()];
        rank_queue.remove(waiting.queue, key, waiting.item.cost_us);
        self.remove_item(key);
        waiting.item
    }

    fn remove_item(&mut self, key: ItemKey) {
        let Some(waiting) = self.items.remove(key) else {
            return;
        };
        self.by_ticket.remove(&waiting.item.ticket);
        self.deadlines.remove(&(waiting.item.start_by, key));
    }

    fn decrement_in_flight(&mut self, customer: CustomerId) {
        let Some(count) = self.in_flight.get_mut(&customer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(&customer);
        }
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}

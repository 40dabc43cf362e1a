//! Queue of one upstream: ranks with floors, and customers by weight within a rank.
//!
//! Urgent requests start first. While routine ones wait, every urgent start earns them credit for
//! their floor, and they start once the credit covers the next of them. Some slots are kept free
//! of routine requests, so that an urgent one never waits behind long decodes only.

mod drain;
mod item;
mod lanes;

use std::collections::{BTreeSet, HashMap};

use drain::DrainRate;
pub use item::{
    CustomerId, CustomerShare, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy, QueueStep,
    RunningSlots,
};
use lanes::{ItemKey, LaneKey, RankLanes, WaitingItem};

use super::ids::{Rank, Ticket};
use super::outcome::RefusalReason;
use crate::kernel::{Arena, Moment};

/// Largest floor in percent; a higher one would leave nothing to the other rank.
const MAX_FLOOR_PERCENT: u8 = 90;

/// Credit beyond this is not kept, in microseconds of service.
const CREDIT_LIMIT_US: i64 = 60_000_000;

#[derive(Debug, Clone, Copy)]
struct RunningItem {
    item: QueueItem,
    rank: Rank,
    lane: LaneKey,
    started: Moment,
    producing: bool,
}

/// Requests that wait for a slot of one upstream, and those that were started from here.
#[derive(Debug, Clone)]
pub struct FairQueue {
    /// Bounds and shares in force.
    pub policy: QueuePolicy,
    items: Arena<WaitingItem>,
    by_ticket: HashMap<Ticket, ItemKey>,
    deadlines: BTreeSet<(Moment, ItemKey)>,
    ranks: [RankLanes; 2],
    running: HashMap<Ticket, RunningItem>,
    in_flight: HashMap<CustomerId, u32>,
    routine_credit_us: i64,
    drain: DrainRate,
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
            ranks: [RankLanes::default(), RankLanes::default()],
            running: HashMap::new(),
            in_flight: HashMap::new(),
            routine_credit_us: 0,
            drain: DrainRate::default(),
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns how many requests of the rank wait.
    #[must_use]
    pub const fn waiting(&self, rank: Rank) -> usize {
        self.ranks[rank.index()].waiting
    }

    /// Returns the request of a rank that is served next.
    #[must_use]
    pub fn head(&self, rank: Rank) -> Option<Ticket> {
        let key = self.ranks[rank.index()].head()?;
        self.items.get(key).map(|waiting| waiting.item.ticket)
    }

    /// Takes a request in, unless it would wait longer than `wait_limit_us` or past its deadline.
    ///
    /// A ticket that already waits or runs stays as it is.
    pub fn offer(
        &mut self,
        now: Moment,
        item: QueueItem,
        wait_limit_us: u64,
        running: &RunningSlots,
    ) -> OfferOutcome {
        if self.by_ticket.contains_key(&item.ticket) || self.running.contains_key(&item.ticket) {
            return OfferOutcome::Queued;
        }
        if let Some(reason) = self.refusal(now, &item, wait_limit_us, running) {
            return OfferOutcome::Refused(reason);
        }
        let (rank, customer) = self.place(&item);
        let lanes = &mut self.ranks[rank.index()];
        let lane = lanes.lane_key(customer, item.share.weight);
        let key = self.items.insert(WaitingItem { item, lane });
        lanes.push(lane, key, item.cost_us);
        self.by_ticket.insert(item.ticket, key);
        self.deadlines.insert((item.start_by, key));
        *self.in_flight.entry(item.customer).or_default() += 1;
        OfferOutcome::Queued
    }

    /// Returns what to do next; ask until it says to wait.
    pub fn next(&mut self, now: Moment, running: &RunningSlots) -> QueueStep {
        let Some((earliest, key)) = self.deadlines.first().copied() else {
            return QueueStep::Wait;
        };
        if earliest.is_due(now) {
            let item = self.take(key);
            self.release(item.customer);
            return QueueStep::Expired(item);
        }
        match self.choose(running) {
            Some((rank, key)) => QueueStep::Start(self.start(now, rank, key)),
            None => QueueStep::WaitUntil(earliest),
        }
    }

    /// Removes a waiting request; `None` when it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueueItem> {
        let key = *self.by_ticket.get(&ticket)?;
        let item = self.take(key);
        self.release(item.customer);
        Some(item)
    }

    /// Removes all waiting requests, for a stop that hands them back.
    pub fn drain(&mut self) -> Vec<QueueItem> {
        let tickets: Vec<Ticket> = self.by_ticket.keys().copied().collect();
        let mut items: Vec<QueueItem> = tickets.iter().filter_map(|t| self.remove(*t)).collect();
        items.sort_by_key(|item| item.ticket);
        items
    }

    /// Records that a started request has produced its first output.
    pub fn producing(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.producing = true;
        }
    }

    /// Records that a started request has ended and what it really cost.
    pub fn finished(&mut self, ticket: Ticket, actual_us: u64) {
        let Some(ended) = self.running.remove(&ticket) else {
            return;
        };
        let estimate_us = ended.item.cost_us;
        self.ranks[ended.rank.index()].correct(ended.lane, estimate_us, actual_us);
        self.earn(ended.rank, signed(actual_us) - signed(estimate_us));
        self.release(ended.item.customer);
    }

    /// Estimates how long the request's first output would wait for others if it arrived now, in
    /// microseconds.
    #[must_use]
    pub fn expected_wait_us(&self, now: Moment, item: &QueueItem, running: &RunningSlots) -> u64 {
        let (rank, customer) = self.place(item);
        let ahead_us = self.drain.time_us(self.cost_ahead_us(rank, customer, item));
        let starting = self.running.values().filter(|r| !r.producing);
        let starting_us: u64 = starting.map(|r| self.rest_us(now, r)).sum();
        let wait_us = ahead_us + starting_us;
        if wait_us == 0 && !self.has_room(rank, running) {
            return self.drain.time_us(item.cost_us);
        }
        wait_us
    }

    /// Converts an estimated cost into time, as observed while requests waited, in microseconds.
    #[must_use]
    pub fn time_us(&self, cost_us: u64) -> u64 {
        self.drain.time_us(cost_us)
    }

    fn refusal(
        &self,
        now: Moment,
        item: &QueueItem,
        wait_limit_us: u64,
        running: &RunningSlots,
    ) -> Option<RefusalReason> {
        if item.start_by.is_due(now) {
            return Some(RefusalReason::StartDeadline);
        }
        let (rank, _) = self.place(item);
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
        let wait_us = self.expected_wait_us(now, item, running);
        if wait_us > wait_limit_us {
            return Some(RefusalReason::Busy);
        }
        let start = Moment::from_micros(now.as_micros().saturating_add(wait_us));
        (start > item.start_by).then_some(RefusalReason::StartDeadline)
    }

    /// Returns the rank and customer under which the discipline orders the request.
    const fn place(&self, item: &QueueItem) -> (Rank, CustomerId) {
        match self.policy.discipline {
            QueueDiscipline::RankedFair => (item.rank, item.customer),
            QueueDiscipline::Fifo => (Rank::Urgent, CustomerId(0)),
        }
    }

    /// Returns the estimated cost of what would start before the request, in microseconds.
    fn cost_ahead_us(&self, rank: Rank, customer: CustomerId, item: &QueueItem) -> u64 {
        let lanes = &self.ranks[rank.index()];
        let own_us = lanes.find(customer).map_or(0, |lane| lane.waiting_cost_us);
        let weight = u64::from(item.share.weight.max(1));
        let turn_us = own_us + item.cost_us;
        // A lane gets at most its share before the request's turn comes; the own lane all of it.
        let same_us: u64 = lanes
            .lanes
            .iter()
            .map(|(_, lane)| {
                let share_us = turn_us.saturating_mul(u64::from(lane.weight)) / weight;
                lane.waiting_cost_us.min(share_us)
            })
            .sum();
        if rank == Rank::Urgent {
            return same_us;
        }
        let urgent_us = self.ranks[Rank::Urgent.index()].waiting_cost_us;
        let floor = u64::from(self.floor(Rank::Routine)).max(1);
        // The floor bounds how much urgent service goes before a routine request.
        urgent_us.min((same_us + item.cost_us) * (100 - floor) / floor) + same_us
    }

    fn rest_us(&self, now: Moment, running: &RunningItem) -> u64 {
        let ran_us = now.as_micros().saturating_sub(running.started.as_micros());
        let cost_us = self.drain.time_us(running.item.cost_us);
        cost_us.saturating_sub(ran_us)
    }

    fn floor(&self, rank: Rank) -> u8 {
        self.policy.floor_percent[rank.index()].min(MAX_FLOOR_PERCENT)
    }

    fn has_room(&self, rank: Rank, running: &RunningSlots) -> bool {
        if running.free() == 0 {
            return false;
        }
        rank == Rank::Urgent || running.running[rank.index()] < self.routine_slots(running.slots)
    }

    /// Returns how many slots routine requests may hold together.
    fn routine_slots(&self, slots: u32) -> u32 {
        if slots < 2 {
            return slots;
        }
        let floor = u32::from(self.floor(Rank::Urgent));
        slots - (slots.saturating_mul(floor) / 100).max(1)
    }

    fn choose(&self, running: &RunningSlots) -> Option<(Rank, ItemKey)> {
        let head = |rank: Rank| {
            let key = self.ranks[rank.index()].head()?;
            self.has_room(rank, running).then_some((rank, key))
        };
        let urgent = head(Rank::Urgent);
        let Some((_, key)) = head(Rank::Routine) else {
            return urgent;
        };
        let cost_us = self.items.get(key).map_or(0, |w| signed(w.item.cost_us));
        if urgent.is_none() || self.routine_credit_us >= cost_us.max(1) {
            return Some((Rank::Routine, key));
        }
        urgent
    }

    fn start(&mut self, now: Moment, rank: Rank, key: ItemKey) -> QueueItem {
        let waiting = *self.items.get(key).expect("a chosen request waits");
        let WaitingItem { item, lane } = waiting;
        self.ranks[rank.index()].start(lane, key, item.cost_us);
        self.forget(key);
        self.earn(rank, signed(item.cost_us));
        let started = RunningItem {
            item,
            rank,
            lane,
            started: now,
            producing: false,
        };
        self.running.insert(item.ticket, started);
        self.drain.started(now, item.cost_us, self.items.is_empty());
        item
    }

    /// Settles the routine floor after service of a rank; negative service is taken back.
    fn earn(&mut self, rank: Rank, service_us: i64) {
        if self.ranks[Rank::Routine.index()].waiting == 0 {
            self.routine_credit_us = 0;
            return;
        }
        let floor = i64::from(self.floor(Rank::Routine));
        let earned_us = match rank {
            Rank::Urgent => service_us.saturating_mul(floor) / (100 - floor),
            Rank::Routine if self.waiting(Rank::Urgent) == 0 => 0,
            Rank::Routine => -service_us,
        };
        let credit_us = self.routine_credit_us.saturating_add(earned_us);
        self.routine_credit_us = credit_us.clamp(-CREDIT_LIMIT_US, CREDIT_LIMIT_US);
    }

    fn take(&mut self, key: ItemKey) -> QueueItem {
        let waiting = *self.items.get(key).expect("a known key waits");
        let (rank, _) = self.place(&waiting.item);
        let lanes = &mut self.ranks[rank.index()];
        lanes.remove(waiting.lane, key, waiting.item.cost_us);
        self.forget(key);
        waiting.item
    }

    fn forget(&mut self, key: ItemKey) {
        let Some(waiting) = self.items.remove(key) else {
            return;
        };
        self.by_ticket.remove(&waiting.item.ticket);
        self.deadlines.remove(&(waiting.item.start_by, key));
    }

    fn release(&mut self, customer: CustomerId) {
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

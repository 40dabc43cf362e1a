//! Work of one upstream: what waits, what runs, and what a further request would cost.

use std::collections::HashMap;

use super::ids::{PrefixKey, Rank, Ticket};
use super::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use super::work_estimate::{PIECE_COST_US, WorkEstimate, request_cost_us};
use crate::kernel::Moment;

/// Started requests with pieces to compute that an engine gets ahead; the rest keeps its order
/// in the queue.
pub const STARTING_LIMIT: u32 = 2;

/// A request as the queue sees it.
#[derive(Debug, Clone, Copy)]
pub struct WorkRequest<'a> {
    /// Name of the customer.
    pub customer: &'a str,
    /// What the customer is entitled to.
    pub share: CustomerShare,
    /// Rank.
    pub rank: Rank,
    /// Keys of the prompt's pieces, outermost first.
    pub keys: &'a [PrefixKey],
    /// Output tokens asked for; 0 when not stated.
    pub output_tokens: u32,
}

/// What a request would cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkQuote {
    /// Expected wait before its first output, without its own work, in microseconds.
    pub wait_us: u64,
    /// Pieces to compute.
    pub missing_pieces: u32,
    /// Time to compute one piece, in microseconds.
    pub piece_us: u64,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkPhase {
    Waiting,
    Starting,
    Producing,
}

#[derive(Debug, Clone)]
struct WorkEntry {
    phase: WorkPhase,
    rank: Rank,
    keys: Vec<PrefixKey>,
    missing_pieces: u32,
}

/// Work of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamQueue {
    /// Requests that the upstream may run at the same time.
    pub slots: u32,
    /// What the upstream's cache holds.
    pub estimate: WorkEstimate,
    starting_limit: u32,
    queue: FairQueue,
    customers: HashMap<String, CustomerId>,
    work: HashMap<Ticket, WorkEntry>,
    running: [u32; 2],
    starting: u32,
    served_us: [u64; 2],
}

impl UpstreamQueue {
    /// Creates a queue without requests; `starting_limit` bounds the started requests that have
    /// pieces to compute.
    #[must_use]
    pub fn new(policy: QueuePolicy, starting_limit: u32) -> Self {
        Self {
            slots: 0,
            estimate: WorkEstimate::default(),
            starting_limit,
            queue: FairQueue::new(policy),
            customers: HashMap::new(),
            work: HashMap::new(),
            running: [0; 2],
            starting: 0,
            served_us: [0; 2],
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests run, indexed by [`Rank::index`].
    #[must_use]
    pub const fn running(&self) -> [u32; 2] {
        self.running
    }

    /// Returns the cost of the requests that have ended, in microseconds, indexed by
    /// [`Rank::index`].
    #[must_use]
    pub const fn served_us(&self) -> [u64; 2] {
        self.served_us
    }

    /// Changes the shares that the ranks keep, in percent, indexed by [`Rank::index`].
    pub const fn set_floors(&mut self, floor_percent: [u8; 2]) {
        self.queue.policy.floor_percent = floor_percent;
    }

    /// Returns what a request would cost if it arrived now.
    pub fn quote(&mut self, now: Moment, request: &WorkRequest<'_>) -> WorkQuote {
        let missing_pieces = self.estimate.missing(request.keys);
        let item = self.item(Ticket::default(), request, missing_pieces, Moment::NEVER);
        WorkQuote {
            wait_us: self.queue.expected_wait_us(now, &item, &self.slots_now()),
            missing_pieces,
            piece_us: self.queue.time_us(PIECE_COST_US),
        }
    }

    /// Takes a request in, unless it would wait longer than `wait_limit_us` or past `start_by`.
    pub fn offer(
        &mut self,
        now: Moment,
        ticket: Ticket,
        request: &WorkRequest<'_>,
        start_by: Moment,
        wait_limit_us: u64,
    ) -> OfferOutcome {
        if self.work.contains_key(&ticket) {
            return OfferOutcome::Queued;
        }
        let missing_pieces = self.estimate.missing(request.keys);
        let item = self.item(ticket, request, missing_pieces, start_by);
        let slots = self.slots_now();
        let outcome = self.queue.offer(now, item, wait_limit_us, &slots);
        if outcome == OfferOutcome::Queued {
            self.estimate.expect(request.keys);
            let entry = WorkEntry {
                phase: WorkPhase::Waiting,
                rank: request.rank,
                keys: request.keys.to_vec(),
                missing_pieces,
            };
            self.work.insert(ticket, entry);
        }
        outcome
    }

    /// Returns what to do next; ask until it says to wait.
    pub fn next(&mut self, now: Moment) -> QueueStep {
        let slots = self.slots_now();
        let step = self.queue.next(now, &slots);
        match step {
            QueueStep::Start(item) => self.enter_slot(item.ticket),
            QueueStep::Expired(item) => self.forget(item.ticket),
            QueueStep::Wait | QueueStep::WaitUntil(_) => {}
        }
        step
    }

    /// Counts a request that runs although it was never queued here.
    pub fn adopt(&mut self, ticket: Ticket, rank: Rank) {
        let entry = WorkEntry {
            phase: WorkPhase::Producing,
            rank,
            keys: Vec::new(),
            missing_pieces: 0,
        };
        if self.work.insert(ticket, entry).is_none() {
            self.running[rank.index()] += 1;
        }
    }

    /// Records that a request has produced its first output; `cached_pieces` is what the engine
    /// found in its cache, if it told.
    pub fn producing(&mut self, ticket: Ticket, cached_pieces: Option<u32>) {
        let Some(entry) = self.work.get_mut(&ticket) else {
            return;
        };
        if entry.phase != WorkPhase::Starting {
            return;
        }
        entry.phase = WorkPhase::Producing;
        self.starting -= u32::from(entry.missing_pieces > 0);
        if let Some(cached_pieces) = cached_pieces {
            let pieces = u32::try_from(entry.keys.len()).unwrap_or(u32::MAX);
            entry.missing_pieces = pieces.saturating_sub(cached_pieces);
        }
        self.queue.producing(ticket);
    }

    /// Records that a started request has ended after `output_tokens`.
    pub fn finished(&mut self, ticket: Ticket, output_tokens: u32) {
        let Some(entry) = self.work.get(&ticket) else {
            return;
        };
        let actual_us = request_cost_us(entry.missing_pieces, output_tokens.max(1), self.slots);
        self.served_us[entry.rank.index()] += actual_us;
        self.queue.finished(ticket, actual_us);
        self.forget(ticket);
    }

    /// Removes a request that waits; others stay.
    pub fn remove(&mut self, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            self.forget(ticket);
        }
    }

    /// Removes all requests that wait and returns their tickets.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let items = self.queue.drain();
        let tickets: Vec<Ticket> = items.iter().map(|item| item.ticket).collect();
        for ticket in &tickets {
            self.forget(*ticket);
        }
        tickets
    }

    fn item(
        &mut self,
        ticket: Ticket,
        request: &WorkRequest<'_>,
        missing_pieces: u32,
        start_by: Moment,
    ) -> QueueItem {
        QueueItem {
            ticket,
            customer: self.customer_id(request.customer),
            share: request.share,
            rank: request.rank,
            cost_us: request_cost_us(missing_pieces, request.output_tokens, self.slots),
            start_by,
        }
    }

    fn customer_id(&mut self, name: &str) -> CustomerId {
        if let Some(id) = self.customers.get(name) {
            return *id;
        }
        let id = CustomerId(u32::try_from(self.customers.len()).unwrap_or(u32::MAX));
        self.customers.insert(name.to_owned(), id);
        id
    }

    fn slots_now(&self) -> RunningSlots {
        let openings = match self.queue.policy.discipline {
            QueueDiscipline::RankedFair => self.starting_limit.saturating_sub(self.starting),
            QueueDiscipline::Fifo => u32::MAX,
        };
        RunningSlots {
            slots: self.slots,
            running: self.running,
            openings,
        }
    }

    fn enter_slot(&mut self, ticket: Ticket) {
        if let Some(entry) = self.work.get_mut(&ticket) {
            entry.phase = WorkPhase::Starting;
            self.running[entry.rank.index()] += 1;
            self.starting += u32::from(entry.missing_pieces > 0);
        }
    }

    fn forget(&mut self, ticket: Ticket) {
        let Some(entry) = self.work.remove(&ticket) else {
            return;
        };
        self.estimate.settle(&entry.keys);
        if entry.phase != WorkPhase::Waiting {
            self.running[entry.rank.index()] -= 1;
        }
        if entry.phase == WorkPhase::Starting {
            self.starting -= u32::from(entry.missing_pieces > 0);
        }
    }
}

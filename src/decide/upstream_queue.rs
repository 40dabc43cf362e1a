//! Requests of one upstream: waiting and running ones, and cost estimates for further ones.

use std::collections::HashMap;

use super::ids::{PrefixKey, Rank, Ticket};
use super::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use super::work_estimate::{PIECE_COST_US, WorkEstimate, request_cost_us};
use crate::kernel::Moment;

/// Maximum number of requests of one upstream that compute prompt pieces (prefill) at the same
/// time; the others stay in the queue, where their order can still change.
pub const MAX_PREFILLS: u32 = 2;

/// Properties of a request that determine its cost and order.
#[derive(Debug, Clone, Copy)]
pub struct WorkRequest<'a> {
    /// Name of the customer.
    pub customer: &'a str,
    /// Weight and limit of the customer.
    pub share: CustomerShare,
    /// Rank of the request.
    pub rank: Rank,
    /// Prefix keys of the prompt pieces, the shortest prefix first.
    pub keys: &'a [PrefixKey],
    /// Requested number of output tokens; 0 if not stated.
    pub output_tokens: u32,
}

/// Estimated wait and cost of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkQuote {
    /// Expected delay of the first output by other requests, in microseconds.
    pub wait_us: u64,
    /// Number of prompt pieces to compute.
    pub missing_pieces: u32,
    /// Expected time to compute one piece, in microseconds.
    pub piece_us: u64,
}

/// Phase of a request at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkPhase {
    Waiting,
    /// Started, without output yet.
    Prefill,
    /// Started, with output.
    Decoding,
}

#[derive(Debug, Clone)]
struct WorkEntry {
    phase: WorkPhase,
    rank: Rank,
    keys: Vec<PrefixKey>,
    missing_pieces: u32,
}

/// Queue of one upstream with the requests that it runs and an estimate of its cache.
#[derive(Debug, Clone)]
pub struct UpstreamQueue {
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Estimate of the pieces in the upstream's cache.
    pub estimate: WorkEstimate,
    max_prefills: u32,
    queue: FairQueue,
    customers: HashMap<String, CustomerId>,
    work: HashMap<Ticket, WorkEntry>,
    running: [u32; 2],
    /// Number of requests in prefill that have pieces to compute.
    prefills: u32,
    served_us: [u64; 2],
}

impl UpstreamQueue {
    /// Creates an empty queue; `max_prefills` limits the requests that are in prefill at the same
    /// time.
    #[must_use]
    pub fn new(policy: QueuePolicy, max_prefills: u32) -> Self {
        Self {
            slots: 0,
            estimate: WorkEstimate::default(),
            max_prefills,
            queue: FairQueue::new(policy),
            customers: HashMap::new(),
            work: HashMap::new(),
            running: [0; 2],
            prefills: 0,
            served_us: [0; 2],
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests, indexed by [`Rank::index`].
    #[must_use]
    pub const fn running(&self) -> [u32; 2] {
        self.running
    }

    /// Returns the total cost of the requests that have ended, in microseconds, indexed by
    /// [`Rank::index`].
    #[must_use]
    pub const fn served_us(&self) -> [u64; 2] {
        self.served_us
    }

    /// Sets the minimum shares of the ranks, in percent, indexed by [`Rank::index`].
    pub const fn set_floors(&mut self, floor_percent: [u8; 2]) {
        self.queue.policy.floor_percent = floor_percent;
    }

    /// Estimates the wait and cost of a request that arrives now.
    pub fn quote(&mut self, now: Moment, request: &WorkRequest<'_>) -> WorkQuote {
        let missing_pieces = self.estimate.missing(request.keys);
        let item = self.item(Ticket::default(), request, missing_pieces, Moment::NEVER);
        WorkQuote {
            wait_us: self
                .queue
                .expected_wait_us(now, &item, &self.current_slots()),
            missing_pieces,
            piece_us: self.queue.time_us(PIECE_COST_US),
        }
    }

    /// Queues a request, unless it exceeds a limit or would wait longer than `wait_limit_us` or
    /// until after `start_by`.
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
        let slots = self.current_slots();
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

    /// Returns the next step; is called again until it returns `Wait` or `WaitUntil`.
    pub fn next(&mut self, now: Moment) -> QueueStep {
        let slots = self.current_slots();
        let step = self.queue.next(now, &slots);
        match step {
            QueueStep::Start(item) => self.record_start(item.ticket),
            QueueStep::Expired(item) => self.remove_entry(item.ticket),
            QueueStep::Wait | QueueStep::WaitUntil(_) => {}
        }
        step
    }

    /// Counts a running request that this queue has not started.
    pub fn adopt(&mut self, ticket: Ticket, rank: Rank) {
        let entry = WorkEntry {
            phase: WorkPhase::Decoding,
            rank,
            keys: Vec::new(),
            missing_pieces: 0,
        };
        if self.work.insert(ticket, entry).is_none() {
            self.running[rank.index()] += 1;
        }
    }

    /// Records the first output of a request; `cached_pieces` is the number of pieces that the
    /// engine found in its cache, if it has reported it.
    pub fn record_first_output(&mut self, ticket: Ticket, cached_pieces: Option<u32>) {
        let Some(entry) = self.work.get_mut(&ticket) else {
            return;
        };
        if entry.phase != WorkPhase::Prefill {
            return;
        }
        entry.phase = WorkPhase::Decoding;
        self.prefills -= u32::from(entry.missing_pieces > 0);
        if let Some(cached_pieces) = cached_pieces {
            let pieces = u32::try_from(entry.keys.len()).unwrap_or(u32::MAX);
            entry.missing_pieces = pieces.saturating_sub(cached_pieces);
        }
        self.queue.record_first_output(ticket);
    }

    /// Records the end of a started request after `output_tokens`.
    pub fn record_end(&mut self, ticket: Ticket, output_tokens: u32) {
        let Some(entry) = self.work.get(&ticket) else {
            return;
        };
        let actual_us = request_cost_us(entry.missing_pieces, output_tokens.max(1), self.slots);
        self.served_us[entry.rank.index()] += actual_us;
        self.queue.record_end(ticket, actual_us);
        self.remove_entry(ticket);
    }

    /// Removes a waiting request; has no effect on a running one.
    pub fn remove(&mut self, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            self.remove_entry(ticket);
        }
    }

    /// Removes all waiting requests and returns their tickets.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let items = self.queue.drain();
        let tickets: Vec<Ticket> = items.iter().map(|item| item.ticket).collect();
        for ticket in &tickets {
            self.remove_entry(*ticket);
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

    fn current_slots(&self) -> RunningSlots {
        let max_starts = match self.queue.policy.discipline {
            QueueDiscipline::RankedFair => self.max_prefills.saturating_sub(self.prefills),
            QueueDiscipline::Fifo => u32::MAX,
        };
        RunningSlots {
            slots: self.slots,
            running: self.running,
            max_starts,
        }
    }

    fn record_start(&mut self, ticket: Ticket) {
        if let Some(entry) = self.work.get_mut(&ticket) {
            entry.phase = WorkPhase::Prefill;
            self.running[entry.rank.index()] += 1;
            self.prefills += u32::from(entry.missing_pieces > 0);
        }
    }

    fn remove_entry(&mut self, ticket: Ticket) {
        let Some(entry) = self.work.remove(&ticket) else {
            return;
        };
        self.estimate.settle(&entry.keys);
        if entry.phase != WorkPhase::Waiting {
            self.running[entry.rank.index()] -= 1;
        }
        if entry.phase == WorkPhase::Prefill {
            self.prefills -= u32::from(entry.missing_pieces > 0);
        }
    }
}

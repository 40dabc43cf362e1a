//! Continuous batching: a priority queue for a fixed number of slots, prefill of one request at a
//! time, and concurrent decoding.

use std::collections::BTreeSet;
use std::time::Duration;

use super::engine_request::RequestKey;
use crate::kernel::Moment;

/// Number of slots of a batch, and prefill and decode speed.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Prefill time in microseconds of one prompt piece that is not cached.
    pub prefill_us: u64,
    /// Decode time in microseconds of one token when no other request is decoding.
    pub decode_us: u64,
    /// Increase of the decode time in percent for each other decoding request.
    pub slowdown_percent: u64,
}

/// Next step of the batch, to be carried out by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchStep {
    /// The request has moved from the queue to a slot.
    Admit(RequestKey),
    /// Prefill of the request begins; the engine calls [`BatchSchedule::begin_prefill`].
    Prefill(RequestKey, Moment),
    /// Prefill of the request is complete and decoding has begun.
    Prefilled(RequestKey),
    /// A token of the request is due; the engine calls [`BatchSchedule::schedule_token`] unless it
    /// was the last one.
    Token(RequestKey, Moment),
    /// No step is due before the deadline.
    WaitUntil(Moment),
}

type QueueEntry = (u8, u64, RequestKey);

/// Queue, slots, and prefill and decode deadlines of all requests.
#[derive(Debug, Clone)]
pub struct BatchSchedule {
    limits: BatchLimits,
    arrivals: u64,
    waiting: BTreeSet<QueueEntry>,
    admitted: BTreeSet<QueueEntry>,
    prefilling: Option<(RequestKey, Moment)>,
    prefill_free_at: Moment,
    decoding: BTreeSet<(Moment, RequestKey)>,
}

impl BatchSchedule {
    /// Creates a schedule without requests.
    #[must_use]
    pub const fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            arrivals: 0,
            waiting: BTreeSet::new(),
            admitted: BTreeSet::new(),
            prefilling: None,
            prefill_free_at: Moment::START,
            decoding: BTreeSet::new(),
        }
    }

    /// Adds a request to the queue; lower priority numbers are admitted first.
    pub fn enqueue(&mut self, key: RequestKey, priority: u8) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals, key));
    }

    /// Returns the number of requests in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests in a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.admitted.len() + usize::from(self.prefilling.is_some()) + self.decoding.len()
    }

    /// Returns the next step that is due, or the deadline of the next one.
    pub fn next_step(&mut self, now: Moment) -> BatchStep {
        if self.running() < self.limits.slots
            && let Some(entry) = self.waiting.pop_first()
        {
            self.admitted.insert(entry);
            return BatchStep::Admit(entry.2);
        }
        if self.prefilling.is_none()
            && let Some((_, _, key)) = self.admitted.pop_first()
        {
            return BatchStep::Prefill(key, self.prefill_free_at.max(now));
        }
        let prefill_due = self.prefilling.map_or(Moment::NEVER, |(_, due)| due);
        let token_due = self.decoding.first().map_or(Moment::NEVER, |(due, _)| *due);
        let due = prefill_due.min(token_due);
        if !due.is_due(now) {
            return BatchStep::WaitUntil(due);
        }
        if prefill_due <= token_due
            && let Some((key, due)) = self.prefilling.take()
        {
            self.prefill_free_at = due;
            self.schedule_token(key, due);
            return BatchStep::Prefilled(key);
        }
        match self.decoding.pop_first() {
            Some((due, key)) => BatchStep::Token(key, due),
            None => BatchStep::WaitUntil(due),
        }
    }

    /// Schedules the end of a prefill from its start and the number of missing pieces.
    pub fn begin_prefill(&mut self, key: RequestKey, start: Moment, missing_pieces: usize) {
        let cost = self.limits.prefill_us * missing_pieces as u64;
        let due = start.after(Duration::from_micros(cost));
        self.prefilling = Some((key, due));
    }

    /// Schedules the next token of a request, given when its last one was due.
    pub fn schedule_token(&mut self, key: RequestKey, last: Moment) {
        let others = self.decoding.len() as u64;
        let percent = 100 + self.limits.slowdown_percent * others;
        let interval = self.limits.decode_us * percent / 100;
        let due = last.after(Duration::from_micros(interval));
        self.decoding.insert((due, key));
    }

    /// Removes a request from the queue or from its slot.
    pub fn remove(&mut self, key: RequestKey, now: Moment) {
        self.waiting.retain(|entry| entry.2 != key);
        self.admitted.retain(|entry| entry.2 != key);
        self.decoding.retain(|entry| entry.1 != key);
        if self.prefilling.is_some_and(|(running, _)| running == key) {
            self.prefilling = None;
            self.prefill_free_at = now;
        }
    }

    /// Delays all deadlines by the duration of a freeze of the engine.
    pub fn postpone(&mut self, pause: Duration) {
        self.prefilling = self.prefilling.map(|(key, due)| (key, due.after(pause)));
        self.prefill_free_at = self.prefill_free_at.after(pause);
        let decoding = std::mem::take(&mut self.decoding);
        self.decoding = decoding
            .into_iter()
            .map(|(due, key)| (due.after(pause), key))
            .collect();
    }
}

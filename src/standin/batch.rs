//! Continuous batching: slots with a priority queue before them, prefill for one request at a
//! time, then decoding for all at once.

use std::collections::BTreeSet;
use std::time::Duration;

use super::engine_request::RequestKey;
use crate::kernel::Moment;

/// Speed and size of a batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Prefill time of one missing piece in microseconds.
    pub prefill_us: u64,
    /// Decode time of one token in microseconds when a request runs alone.
    pub decode_us: u64,
    /// Slowdown of decoding in percent for each other decoding request.
    pub slowdown_percent: u64,
}

/// What the engine has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchStep {
    /// The request has left the queue and holds a slot.
    Admit(RequestKey),
    /// The request's prefill begins; answer with [`BatchSchedule::begin_prefill`].
    Prefill(RequestKey, Moment),
    /// The request's prefill is over and decoding has begun.
    Prefilled(RequestKey),
    /// A token is due; answer with [`BatchSchedule::decode_on`] or [`BatchSchedule::remove`].
    Token(RequestKey, Moment),
    /// Nothing is due before the deadline.
    WaitUntil(Moment),
}

type QueueEntry = (u8, u64, RequestKey);

/// Where each request stands.
#[derive(Debug, Clone)]
pub struct BatchSchedule {
    limits: BatchLimits,
    arrivals: u64,
    waiting: BTreeSet<QueueEntry>,
    admitted: BTreeSet<QueueEntry>,
    prefilling: Option<(RequestKey, Moment)>,
    prefill_free: Moment,
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
            prefill_free: Moment::START,
            decoding: BTreeSet::new(),
        }
    }

    /// Adds a request; a lower priority number goes first.
    pub fn enqueue(&mut self, key: RequestKey, priority: u8) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals, key));
    }

    /// Returns how many requests wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.admitted.len() + usize::from(self.prefilling.is_some()) + self.decoding.len()
    }

    /// Takes the next due step.
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
            return BatchStep::Prefill(key, self.prefill_free.max(now));
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
            self.prefill_free = due;
            self.decode_on(key, due);
            return BatchStep::Prefilled(key);
        }
        match self.decoding.pop_first() {
            Some((due, key)) => BatchStep::Token(key, due),
            None => BatchStep::WaitUntil(due),
        }
    }

    /// Starts the prefill of a number of missing pieces.
    pub fn begin_prefill(&mut self, key: RequestKey, start: Moment, missing_pieces: usize) {
        let cost = self.limits.prefill_us * missing_pieces as u64;
        let due = start.after(Duration::from_micros(cost));
        self.prefilling = Some((key, due));
    }

    /// Schedules the next token after one that was due at a moment.
    pub fn decode_on(&mut self, key: RequestKey, last: Moment) {
        let others = self.decoding.len() as u64;
        let percent = 100 + self.limits.slowdown_percent * others;
        let interval = self.limits.decode_us * percent / 100;
        let due = last.after(Duration::from_micros(interval));
        self.decoding.insert((due, key));
    }

    /// Removes a request wherever it stands.
    pub fn remove(&mut self, key: RequestKey, now: Moment) {
        self.waiting.retain(|entry| entry.2 != key);
        self.admitted.retain(|entry| entry.2 != key);
        self.decoding.retain(|entry| entry.1 != key);
        if self.prefilling.is_some_and(|(running, _)| running == key) {
            self.prefilling = None;
            self.prefill_free = now;
        }
    }

    /// Moves all deadlines back by a pause of the whole engine.
    pub fn postpone(&mut self, pause: Duration) {
        self.prefilling = self.prefilling.map(|(key, due)| (key, due.after(pause)));
        self.prefill_free = self.prefill_free.after(pause);
        let decoding = std::mem::take(&mut self.decoding);
        self.decoding = decoding
            .into_iter()
            .map(|(due, key)| (due.after(pause), key))
            .collect();
    }
}

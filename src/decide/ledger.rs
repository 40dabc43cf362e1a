//! Ticket ledger of a sidecar: starts each ticket at most once and no withdrawn ticket at all.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::ids::{Incarnation, Repeatability, Ticket};
pub use super::ledger_step::{
    ExpiryStep, LedgerBounds, StartStep, SubmitStep, TicketEntry, TicketKey, TicketState,
    WithdrawStep,
};
use super::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Arena, Moment};

/// Time without a call of its reader after which a ticket counts as orphaned.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct TicketWatermark {
    /// Tickets up to this sequence number may have been evicted.
    sequence: u64,
    /// Update count at the last change; the watermark with the lowest one is dropped first.
    updated: u64,
}

/// Arena of tickets with an index by ticket and by deadline, and watermarks of evicted tickets.
///
/// An evicted ticket raises the watermark of its entry incarnation. A ticket at or below the
/// watermark that the ledger does not hold is refused, so a delayed duplicate cannot run again.
///
/// ```
/// use bulrushslip::decide::ids::{Incarnation, Repeatability, Ticket};
/// use bulrushslip::decide::ledger::{LedgerBounds, SubmitStep, TicketLedger, WithdrawStep};
/// use bulrushslip::decide::outcome::RefusalReason;
/// use bulrushslip::kernel::Moment;
///
/// let mut ledger = TicketLedger::new(LedgerBounds::default());
/// let ticket = Ticket { entry: Incarnation(1), sequence: 1 };
/// let now = Moment::START;
/// assert_eq!(ledger.withdraw(now, ticket), WithdrawStep::NotRun(None));
/// let late = ledger.submit(now, ticket, Repeatability::NonIdempotent, Moment::NEVER);
/// assert_eq!(late, SubmitStep::Refused(RefusalReason::Withdrawn));
/// ```
#[derive(Debug)]
pub struct TicketLedger {
    bounds: LedgerBounds,
    tickets: Arena<TicketEntry>,
    by_ticket: HashMap<Ticket, TicketKey>,
    by_deadline: BTreeSet<(Moment, TicketKey)>,
    watermarks: HashMap<Incarnation, TicketWatermark>,
    updates: u64,
    /// Tickets evicted at the limit that [`TicketLedger::expire`] has not returned yet.
    evicted: Vec<TicketKey>,
}

impl TicketLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(bounds: LedgerBounds) -> Self {
        Self {
            bounds,
            tickets: Arena::new(),
            by_ticket: HashMap::new(),
            by_deadline: BTreeSet::new(),
            watermarks: HashMap::new(),
            updates: 0,
            evicted: Vec::new(),
        }
    }

    /// Submits a ticket; a repeated submission only postpones the ticket's orphan and eviction
    /// deadlines.
    pub fn submit(
        &mut self,
        now: Moment,
        ticket: Ticket,
        repeatability: Repeatability,
        start_by: Moment,
    ) -> SubmitStep {
        if let Some(key) = self.renew(now, ticket) {
            return match self.tickets.get(key).map(|entry| entry.state) {
                Some(TicketState::Ended(StreamEnd::NotRun(reason))) => SubmitStep::Refused(reason),
                _ => SubmitStep::Known(key),
            };
        }
        if self.is_evicted(ticket) {
            return SubmitStep::Refused(RefusalReason::Forgotten);
        }
        if start_by.is_due(now) {
            self.insert_tombstone(now, ticket, RefusalReason::StartDeadline);
            return SubmitStep::Refused(RefusalReason::StartDeadline);
        }
        SubmitStep::Queued(self.insert(TicketEntry {
            ticket,
            repeatability,
            state: TicketState::Queued,
            start_by,
            orphan_at: now.after(ORPHAN_TIMEOUT),
            evict_at: Moment::NEVER,
        }))
    }

    /// Adds a ticket as running, for one that the engine may still run after a sidecar restart.
    pub fn adopt(
        &mut self,
        now: Moment,
        ticket: Ticket,
        repeatability: Repeatability,
    ) -> TicketKey {
        if let Some(key) = self.find(ticket) {
            return key;
        }
        self.insert(TicketEntry {
            ticket,
            repeatability,
            state: TicketState::Running,
            start_by: Moment::NEVER,
            orphan_at: now.after(ORPHAN_TIMEOUT),
            evict_at: Moment::NEVER,
        })
    }

    /// Removes an adopted ticket that the engine does not know, without raising the watermark.
    pub fn discard(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.remove(key) else {
            return;
        };
        self.by_deadline.remove(&(entry_deadline(&entry), key));
        self.by_ticket.remove(&entry.ticket);
    }

    /// Marks a queued ticket as running unless its start deadline has passed.
    pub fn start(&mut self, now: Moment, key: TicketKey) -> StartStep {
        let Some(entry) = self.tickets.get(key) else {
            return StartStep::NotQueued;
        };
        if entry.state != TicketState::Queued {
            return StartStep::NotQueued;
        }
        if entry.start_by.is_due(now) {
            self.end(now, key, StreamEnd::NotRun(RefusalReason::StartDeadline));
            return StartStep::TooLate;
        }
        self.change(key, |entry| entry.state = TicketState::Running);
        StartStep::Start
    }

    /// Ends a ticket; has no effect on a ticket that has ended.
    pub fn end(&mut self, now: Moment, key: TicketKey, end: StreamEnd) {
        let retention = self.retention();
        self.change(key, |entry| {
            if !matches!(entry.state, TicketState::Ended(_)) {
                entry.state = TicketState::Ended(end);
                entry.evict_at = now.after(retention);
            }
        });
        self.enforce_limit();
    }

    /// Withdraws a ticket; an unknown one leaves a tombstone that refuses a delayed submission.
    pub fn withdraw(&mut self, now: Moment, ticket: Ticket) -> WithdrawStep {
        let Some(key) = self.find(ticket) else {
            if self.is_evicted(ticket) {
                return WithdrawStep::Forgotten;
            }
            self.insert_tombstone(now, ticket, RefusalReason::Withdrawn);
            return WithdrawStep::NotRun(None);
        };
        let Some(entry) = self.tickets.get(key).copied() else {
            return WithdrawStep::Forgotten;
        };
        match entry.state {
            TicketState::Queued => {
                self.end(now, key, StreamEnd::NotRun(RefusalReason::Withdrawn));
                WithdrawStep::NotRun(Some(key))
            }
            TicketState::Running if entry.repeatability == Repeatability::Idempotent => {
                self.end(now, key, StreamEnd::Cancelled);
                WithdrawStep::Cancel(key)
            }
            TicketState::Running => WithdrawStep::Running(key),
            TicketState::Ended(StreamEnd::NotRun(_)) => WithdrawStep::NotRun(None),
            TicketState::Ended(_) => WithdrawStep::Done(key),
        }
    }

    /// Finds a ticket whose reader has called and postpones its orphan and eviction deadlines.
    pub fn renew(&mut self, now: Moment, ticket: Ticket) -> Option<TicketKey> {
        let key = self.find(ticket)?;
        self.change(key, |entry| {
            entry.orphan_at = now.after(ORPHAN_TIMEOUT);
            if matches!(entry.state, TicketState::Ended(_)) {
                entry.evict_at = entry.evict_at.max(entry.orphan_at);
            }
        });
        Some(key)
    }

    /// Returns the key of a ticket in the ledger.
    #[must_use]
    pub fn find(&self, ticket: Ticket) -> Option<TicketKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Returns the entry of a ticket.
    #[must_use]
    pub fn get(&self, key: TicketKey) -> Option<&TicketEntry> {
        self.tickets.get(key)
    }

    /// Returns the earliest deadline of all tickets.
    #[must_use]
    pub fn next_deadline(&self) -> Moment {
        self.by_deadline
            .iter()
            .next()
            .map_or(Moment::NEVER, |(deadline, _)| *deadline)
    }

    /// Handles one due deadline; returns `None` when no deadline is due.
    pub fn expire(&mut self, now: Moment) -> Option<ExpiryStep> {
        if let Some(key) = self.evicted.pop() {
            return Some(ExpiryStep::Evicted(key));
        }
        loop {
            let (deadline, key) = self.by_deadline.first().copied()?;
            if !deadline.is_due(now) {
                return None;
            }
            let Some(entry) = self.tickets.get(key).copied() else {
                self.by_deadline.remove(&(deadline, key));
                continue;
            };
            match (entry.state, entry.repeatability) {
                (TicketState::Queued, _) => {
                    self.end(now, key, StreamEnd::NotRun(RefusalReason::StartDeadline));
                    return Some(ExpiryStep::NotStarted(key));
                }
                (TicketState::Running, Repeatability::Idempotent) => {
                    self.end(now, key, StreamEnd::Cancelled);
                    return Some(ExpiryStep::Cancel(key));
                }
                (TicketState::Running, Repeatability::NonIdempotent) => {
                    // A non-idempotent ticket runs to its end even without a reader.
                    self.change(key, |entry| entry.orphan_at = Moment::NEVER);
                }
                (TicketState::Ended(_), _) => {
                    self.evict(key);
                    return Some(ExpiryStep::Evicted(key));
                }
            }
        }
    }

    /// Returns the number of tickets in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether the ledger has no tickets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn insert_tombstone(&mut self, now: Moment, ticket: Ticket, reason: RefusalReason) {
        self.insert(TicketEntry {
            ticket,
            repeatability: Repeatability::NonIdempotent,
            state: TicketState::Ended(StreamEnd::NotRun(reason)),
            start_by: Moment::NEVER,
            orphan_at: Moment::NEVER,
            evict_at: now.after(self.retention()),
        });
        self.enforce_limit();
    }

    fn insert(&mut self, entry: TicketEntry) -> TicketKey {
        let key = self.tickets.insert(entry);
        self.by_ticket.insert(entry.ticket, key);
        self.by_deadline.insert((entry_deadline(&entry), key));
        key
    }

    fn change(&mut self, key: TicketKey, change: impl FnOnce(&mut TicketEntry)) {
        let Some(entry) = self.tickets.get_mut(key) else {
            return;
        };
        let before = entry_deadline(entry);
        change(entry);
        let after = entry_deadline(entry);
        if before != after {
            self.by_deadline.remove(&(before, key));
            self.by_deadline.insert((after, key));
        }
    }

    fn is_evicted(&self, ticket: Ticket) -> bool {
        self.watermarks
            .get(&ticket.entry)
            .is_some_and(|watermark| ticket.sequence <= watermark.sequence)
    }

    fn evict(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.remove(key) else {
            return;
        };
        self.by_deadline.remove(&(entry_deadline(&entry), key));
        self.by_ticket.remove(&entry.ticket);
        self.raise_watermark(entry.ticket);
    }

    fn raise_watermark(&mut self, ticket: Ticket) {
        self.updates += 1;
        let updated = self.updates;
        let watermark = self
            .watermarks
            .entry(ticket.entry)
            .or_insert(TicketWatermark {
                sequence: 0,
                updated,
            });
        watermark.sequence = watermark.sequence.max(ticket.sequence);
        watermark.updated = updated;
        if self.watermarks.len() > self.bounds.max_incarnations {
            let oldest = self
                .watermarks
                .iter()
                .min_by_key(|(_, watermark)| watermark.updated);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
                self.watermarks.remove(&incarnation);
            }
        }
    }

    /// Evicts the ended ticket that is due next; returns `None` if no ticket has ended.
    pub fn evict_oldest_ended(&mut self) -> Option<TicketKey> {
        let ended = self.by_deadline.iter().find(|(_, key)| {
            let entry = self.tickets.get(*key);
            entry.is_some_and(|entry| matches!(entry.state, TicketState::Ended(_)))
        });
        let (_, key) = *ended?;
        self.evict(key);
        Some(key)
    }

    const fn retention(&self) -> Duration {
        Duration::from_millis(self.bounds.retention_ms)
    }

    fn enforce_limit(&mut self) {
        while self.tickets.len() > self.bounds.max_tickets {
            let Some(key) = self.evict_oldest_ended() else {
                return;
            };
            self.evicted.push(key);
        }
    }
}

fn entry_deadline(entry: &TicketEntry) -> Moment {
    match entry.state {
        TicketState::Queued => entry.start_by.min(entry.orphan_at),
        TicketState::Running => entry.orphan_at,
        TicketState::Ended(_) => entry.evict_at,
    }
}

//! Tickets of one sidecar: each is started at most once, and what was withdrawn never starts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::ids::{Incarnation, Repeatability, Ticket};
pub use super::ledger_step::{
    ExpiryStep, LedgerBounds, StartStep, SubmitStep, TicketEntry, TicketKey, TicketState,
    WithdrawStep,
};
use super::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Arena, Moment};

/// Time without a read after which a ticket counts as orphaned.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct TicketWatermark {
    /// Tickets up to this sequence number may have been forgotten.
    sequence: u64,
    /// Order of the last change, to drop the incarnation heard of longest ago.
    touched: u64,
}

/// The ledger: an arena of tickets, an index by ticket and by deadline, and watermarks.
///
/// Forgotten tickets raise a watermark for their entry incarnation; a ticket at or below it that
/// the ledger does not hold is never accepted, so a late duplicate cannot run a second time.
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
    touches: u64,
    /// Tickets forgotten at the bound whose answers are still to be dropped.
    forgotten: Vec<TicketKey>,
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
            touches: 0,
            forgotten: Vec::new(),
        }
    }

    /// Takes in a submission; a repeated one has no further effect.
    pub fn submit(
        &mut self,
        now: Moment,
        ticket: Ticket,
        repeatability: Repeatability,
        start_by: Moment,
    ) -> SubmitStep {
        if let Some(key) = self.find(ticket) {
            return match self.tickets.get(key).map(|entry| entry.state) {
                Some(TicketState::Ended(StreamEnd::NotRun(reason))) => SubmitStep::Refused(reason),
                _ => SubmitStep::Known(key),
            };
        }
        if self.is_forgotten(ticket) {
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
            forget_at: Moment::NEVER,
        }))
    }

    /// Takes in a ticket that already runs at the engine, found there after a restart.
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
            forget_at: Moment::NEVER,
        })
    }

    /// Drops an adopted ticket that the engine does not know, as if it had not been asked about.
    pub fn release(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.remove(key) else {
            return;
        };
        self.by_deadline.remove(&(entry_deadline(&entry), key));
        self.by_ticket.remove(&entry.ticket);
    }

    /// Marks a queued ticket as running, unless it is too late or no longer queued.
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

    /// Ends a ticket; a second end has no effect.
    pub fn end(&mut self, now: Moment, key: TicketKey, end: StreamEnd) {
        let remember = self.remember();
        self.change(key, |entry| {
            if !matches!(entry.state, TicketState::Ended(_)) {
                entry.state = TicketState::Ended(end);
                entry.forget_at = now.after(remember);
            }
        });
        self.enforce_bound();
    }

    /// Withdraws a ticket; one never seen is remembered, so that a late submission is refused.
    pub fn withdraw(&mut self, now: Moment, ticket: Ticket) -> WithdrawStep {
        let Some(key) = self.find(ticket) else {
            if self.is_forgotten(ticket) {
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

    /// Finds a ticket for reading and renews the deadlines that depend on its readers.
    pub fn read(&mut self, now: Moment, ticket: Ticket) -> Option<TicketKey> {
        let key = self.find(ticket)?;
        self.change(key, |entry| {
            entry.orphan_at = now.after(ORPHAN_TIMEOUT);
            if matches!(entry.state, TicketState::Ended(_)) {
                entry.forget_at = entry.forget_at.max(entry.orphan_at);
            }
        });
        Some(key)
    }

    /// Returns the key of a ticket that is remembered.
    #[must_use]
    pub fn find(&self, ticket: Ticket) -> Option<TicketKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Returns a remembered ticket.
    #[must_use]
    pub fn get(&self, key: TicketKey) -> Option<&TicketEntry> {
        self.tickets.get(key)
    }

    /// Returns the earliest deadline of any ticket.
    #[must_use]
    pub fn next_deadline(&self) -> Moment {
        self.by_deadline
            .iter()
            .next()
            .map_or(Moment::NEVER, |(deadline, _)| *deadline)
    }

    /// Handles one deadline that has come; `None` once there is no other.
    pub fn expire(&mut self, now: Moment) -> Option<ExpiryStep> {
        if let Some(key) = self.forgotten.pop() {
            return Some(ExpiryStep::Forgotten(key));
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
                    // It is finished whether or not anybody reads it.
                    self.change(key, |entry| entry.orphan_at = Moment::NEVER);
                }
                (TicketState::Ended(_), _) => {
                    self.forget(key);
                    return Some(ExpiryStep::Forgotten(key));
                }
            }
        }
    }

    /// Returns how many tickets are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Tells whether no ticket is remembered.
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
            forget_at: now.after(self.remember()),
        });
        self.enforce_bound();
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

    fn is_forgotten(&self, ticket: Ticket) -> bool {
        self.watermarks
            .get(&ticket.entry)
            .is_some_and(|mark| ticket.sequence <= mark.sequence)
    }

    fn forget(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.remove(key) else {
            return;
        };
        self.by_deadline.remove(&(entry_deadline(&entry), key));
        self.by_ticket.remove(&entry.ticket);
        self.raise_watermark(entry.ticket);
    }

    fn raise_watermark(&mut self, ticket: Ticket) {
        self.touches += 1;
        let touched = self.touches;
        let mark = self
            .watermarks
            .entry(ticket.entry)
            .or_insert(TicketWatermark {
                sequence: 0,
                touched,
            });
        mark.sequence = mark.sequence.max(ticket.sequence);
        mark.touched = touched;
        if self.watermarks.len() > self.bounds.max_incarnations {
            let oldest = self.watermarks.iter().min_by_key(|(_, mark)| mark.touched);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
                self.watermarks.remove(&incarnation);
            }
        }
    }

    /// Forgets the ended ticket that would be forgotten next; `None` when none has ended.
    pub fn forget_oldest_ended(&mut self) -> Option<TicketKey> {
        let ended = self.by_deadline.iter().find(|(_, key)| {
            let entry = self.tickets.get(*key);
            entry.is_some_and(|entry| matches!(entry.state, TicketState::Ended(_)))
        });
        let (_, key) = *ended?;
        self.forget(key);
        Some(key)
    }

    const fn remember(&self) -> Duration {
        Duration::from_millis(self.bounds.remember_ms)
    }

    fn enforce_bound(&mut self) {
        while self.tickets.len() > self.bounds.max_tickets {
            let Some(key) = self.forget_oldest_ended() else {
                return;
            };
            self.forgotten.push(key);
        }
    }
}

fn entry_deadline(entry: &TicketEntry) -> Moment {
    match entry.state {
        TicketState::Queued => entry.start_by.min(entry.orphan_at),
        TicketState::Running => entry.orphan_at,
        TicketState::Ended(_) => entry.forget_at,
    }
}

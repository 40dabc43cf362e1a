//! Entries and limits of the ticket ledger, and the results of its methods.

use super::ids::{Repeatability, Ticket};
use super::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Key, Moment};

/// Arena key of a ticket in the ledger.
pub type TicketKey = Key<TicketEntry>;

/// State of one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketState {
    /// The ticket waits for its start.
    Queued,
    /// The ticket has been sent to the engine.
    Running,
    /// The ticket has ended; the ledger keeps the end until the entry is evicted.
    Ended(StreamEnd),
}

/// Ledger entry of one ticket.
#[derive(Debug, Clone, Copy)]
pub struct TicketEntry {
    /// Identifier of the ticket.
    pub ticket: Ticket,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Current state.
    pub state: TicketState,
    /// Deadline by which the ticket must start.
    pub start_by: Moment,
    /// Time at which the ticket counts as orphaned; each read postpones it.
    pub orphan_at: Moment,
    /// Time at which an ended ticket is evicted; `NEVER` before the end.
    pub evict_at: Moment,
}

/// Result of [`TicketLedger::submit`](super::ledger::TicketLedger::submit).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitStep {
    /// The ticket is new and waits for its start.
    Queued(TicketKey),
    /// The ticket was accepted before; the submission has no effect.
    Known(TicketKey),
    /// The submission is refused and does not start the ticket, now or later.
    Refused(RefusalReason),
}

/// Result of [`TicketLedger::withdraw`](super::ledger::TicketLedger::withdraw).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawStep {
    /// The ticket has not run and will not run; the key is given if the ticket was queued.
    NotRun(Option<TicketKey>),
    /// The ticket runs; its owner cancels it on the engine.
    Cancel(TicketKey),
    /// The ticket continues to run, because it is not idempotent.
    Running(TicketKey),
    /// The ticket has run and ended.
    Done(TicketKey),
    /// The ticket has been evicted; it may have run.
    Forgotten,
}

/// Result of [`TicketLedger::start`](super::ledger::TicketLedger::start).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// The ticket is marked as running and may be sent to the engine.
    Start,
    /// The start deadline has passed; the ticket has been ended as not run.
    TooLate,
    /// The ticket is not queued.
    NotQueued,
}

/// Result of [`TicketLedger::expire`](super::ledger::TicketLedger::expire) for one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryStep {
    /// A queued ticket missed its start deadline or was orphaned, and was ended as not run.
    NotStarted(TicketKey),
    /// A running idempotent ticket was orphaned; its owner cancels it on the engine.
    Cancel(TicketKey),
    /// An ended ticket was evicted; its owner drops the answer.
    Evicted(TicketKey),
}

/// Limits of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerBounds {
    /// Maximum number of tickets; at the limit, the oldest ended tickets are evicted.
    pub max_tickets: usize,
    /// Maximum number of entry incarnations with a watermark; beyond it the least recently raised
    /// watermark is dropped. At the expected rate of restarts, the limit is reached after months.
    pub max_incarnations: usize,
    /// Time for which the end of a ticket or a tombstone is kept, in milliseconds.
    pub retention_ms: u64,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            max_tickets: 100_000,
            max_incarnations: 16_384,
            retention_ms: 60_000,
        }
    }
}

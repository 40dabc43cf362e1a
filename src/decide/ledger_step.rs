//! Tickets of a ledger, and what each call of the ledger leads to.

use super::ids::{Repeatability, Ticket};
use super::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Key, Moment};

/// Addresses one ticket of the ledger.
pub type TicketKey = Key<TicketEntry>;

/// What the ledger knows of one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketState {
    /// It waits for its start.
    Queued,
    /// It has been handed to the engine.
    Running,
    /// It has left the ledger's care with this end.
    Ended(StreamEnd),
}

/// One ticket.
#[derive(Debug, Clone, Copy)]
pub struct TicketEntry {
    /// The ticket.
    pub ticket: Ticket,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Present state.
    pub state: TicketState,
    /// Deadline for the start.
    pub start_by: Moment,
    /// Unread until this moment, the ticket counts as orphaned; renewed by each read.
    pub orphan_at: Moment,
    /// When an ended ticket is forgotten.
    pub forget_at: Moment,
}

/// What a submission leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitStep {
    /// The ticket is new and waits for its start.
    Queued(TicketKey),
    /// The ticket has been accepted before; nothing is to be done.
    Known(TicketKey),
    /// The ticket does not run, now or later.
    Refused(RefusalReason),
}

/// What a withdrawal leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawStep {
    /// The ticket has not run and never will; a queued one, if given, leaves the queue.
    NotRun(Option<TicketKey>),
    /// The ticket runs and is to be cancelled at the engine.
    Cancel(TicketKey),
    /// The ticket runs on, because it may not be repeated.
    Running(TicketKey),
    /// The ticket ran.
    Done(TicketKey),
    /// The ticket is older than the ledger remembers; it may have run.
    Forgotten,
}

/// Whether a queued ticket may be handed to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// It is running now.
    Start,
    /// Its deadline has passed; it has been ended as not run.
    TooLate,
    /// It is no longer queued.
    NotQueued,
}

/// What the passing of time led to for one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryStep {
    /// A queued ticket has passed its start deadline and was ended as not run.
    NotStarted(TicketKey),
    /// A running ticket is read by nobody and may be repeated: cancel it at the engine.
    Cancel(TicketKey),
    /// An ended ticket has been forgotten; its answer is to be dropped.
    Forgotten(TicketKey),
}

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerBounds {
    /// Tickets remembered at the same time; at the bound, the oldest ended ones are forgotten.
    pub max_tickets: usize,
    /// Entry incarnations whose forgotten tickets are remembered as a watermark; beyond them the
    /// one heard of longest ago is dropped, after months at the expected rate of restarts.
    pub max_incarnations: usize,
    /// Milliseconds for which the end of a ticket or a tombstone is remembered.
    pub remember_ms: u64,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            max_tickets: 100_000,
            max_incarnations: 16_384,
            remember_ms: 60_000,
        }
    }
}

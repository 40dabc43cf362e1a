//! What the queue takes in and gives out.

use crate::decide::ids::{Rank, Ticket};
use crate::decide::outcome::RefusalReason;
use crate::kernel::Moment;

/// Small number that the owner of a queue gives to a customer.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u32);

/// What a customer is entitled to at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerShare {
    /// Share of the service relative to other customers of the same rank, at least 1.
    pub weight: u32,
    /// Requests that may wait or run at the same time.
    pub max_in_flight: u32,
}

/// One request that waits for a slot of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Whose request it is.
    pub customer: CustomerId,
    /// What the customer is entitled to.
    pub share: CustomerShare,
    /// Rank of the request.
    pub rank: Rank,
    /// Estimated share of the upstream's time that the request takes, in microseconds.
    pub cost_us: u64,
    /// Deadline by which the request must have started.
    pub start_by: Moment,
}

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// Ranks with floors, and customers by weight within a rank.
    RankedFair,
    /// Order of arrival over all ranks and customers; a baseline for measurements.
    Fifo,
}

/// Bounds and shares of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePolicy {
    /// How waiting requests are ordered.
    pub discipline: QueueDiscipline,
    /// Requests that may wait in each rank.
    pub rank_capacity: usize,
    /// Share of the service that each rank keeps when the other one floods, in percent, indexed
    /// by [`Rank::index`].
    pub floor_percent: [u8; 2],
}

/// Slots of the upstream at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningSlots {
    /// Requests that the upstream may run at the same time.
    pub slots: u32,
    /// Requests that run, indexed by [`Rank::index`].
    pub running: [u32; 2],
    /// Requests that may start now, whatever the number of free slots.
    pub openings: u32,
}

impl RunningSlots {
    /// Returns how many requests may start now.
    #[must_use]
    pub const fn free(&self) -> u32 {
        let running = self.running[0].saturating_add(self.running[1]);
        let free = self.slots.saturating_sub(running);
        if free < self.openings {
            free
        } else {
            self.openings
        }
    }
}

/// What became of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It waits.
    Queued,
    /// It was not taken in.
    Refused(RefusalReason),
}

/// What the owner of a queue does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueStep {
    /// Start the request, then ask again.
    Start(QueueItem),
    /// Refuse the request, whose deadline has come, then ask again.
    Expired(QueueItem),
    /// Nothing waits.
    Wait,
    /// Ask again when a request arrives or finishes, or at this deadline.
    WaitUntil(Moment),
}

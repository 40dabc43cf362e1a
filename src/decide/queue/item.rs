//! Requests, policy, slots and results of the queue.

use crate::decide::ids::{Rank, Ticket};
use crate::decide::outcome::RefusalReason;
use crate::kernel::Moment;

/// Number that the owner of a queue assigns to a customer.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u32);

/// Weight and request limit of a customer at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerShare {
    /// Share of the service relative to other customers of the same rank, at least 1.
    pub weight: u32,
    /// Maximum number of requests that wait or run at the same time.
    pub max_in_flight: u32,
}

/// Request that waits for a slot of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueItem {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Weight and limit of the customer.
    pub share: CustomerShare,
    /// Rank of the request.
    pub rank: Rank,
    /// Estimated time of the upstream that the request uses, in microseconds.
    pub cost_us: u64,
    /// Deadline by which the request must start.
    pub start_by: Moment,
}

/// Order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// Ranks with minimum shares, and weighted fair queueing of the customers within a rank.
    RankedFair,
    /// Order of arrival over all ranks and customers; the baseline of benchmarks.
    Fifo,
}

/// Limits and shares of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Order in which waiting requests start.
    pub discipline: QueueDiscipline,
    /// Maximum number of waiting requests in each rank.
    pub rank_capacity: usize,
    /// Minimum share of the upstream's time that each rank gets while the other one is overloaded,
    /// in percent, indexed by [`Rank::index`].
    pub floor_percent: [u8; 2],
}

/// Slots of the upstream and their current use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningSlots {
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Number of running requests, indexed by [`Rank::index`].
    pub running: [u32; 2],
    /// Limit on the requests that may start now, in addition to the number of free slots.
    pub max_starts: u32,
}

impl RunningSlots {
    /// Returns the number of requests that may start now.
    #[must_use]
    pub const fn startable(&self) -> u32 {
        let running = self.running[0].saturating_add(self.running[1]);
        let free = self.slots.saturating_sub(running);
        if free < self.max_starts {
            free
        } else {
            self.max_starts
        }
    }
}

/// Result of offering a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request waits or already runs.
    Queued,
    /// The request was not queued.
    Refused(RefusalReason),
}

/// Next action of the owner of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueStep {
    /// Start the request, then call `next` again.
    Start(QueueItem),
    /// Refuse the request, whose start deadline has passed, then call `next` again.
    Expired(QueueItem),
    /// No request waits.
    Wait,
    /// Call `next` again when a request arrives or ends, or at this deadline.
    WaitUntil(Moment),
}

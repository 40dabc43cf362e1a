//! Leases that limit how many engines load weights at the same time, granted in offset order.
//!
//! A lease is a record on the log, and its position gives the fencing number. The holder measures the
//! lease from before it sent the record, every other process from when it read the record, so the
//! holder stops before the others regard the lease as expired. Leases are not renewed: a renewal
//! that arrives late could extend a lease that another process has already seen expire.
//!
//! The log may come back from an older copy, without leases that are still in use. In each era nobody
//! uses a lease until all that may have been lost have ended, or a record states that they have.

use std::time::Duration;

use super::ids::{Incarnation, LogOffset, LogPosition, StoreEra};
use crate::kernel::Moment;

/// Duration of a lease in milliseconds, including the time in which it waits for earlier leases.
pub const LEASE_MS: u64 = 20_000;

/// Timeout of an order in milliseconds; no order is sent when less of the lease is left.
pub const ORDER_TIMEOUT_MS: u64 = 8_000;

/// Time in milliseconds from when a process learns of an era until all leases that the log has lost on
/// entering it have ended. It covers a release that is still being sent.
const LOST_LEASES_MS: u64 = LEASE_MS + 2_000;

/// Record on the stream of leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRecord {
    /// Requests a lease.
    Acquire {
        /// Name of the upstream whose engine is to load weights.
        upstream: String,
        /// Process that requests the lease.
        holder: Incarnation,
    },
    /// Releases a lease.
    Release {
        /// Offset of the lease record.
        lease: LogOffset,
    },
    /// States that all leases which the log lost on entering an era have ended.
    EndOfLost {
        /// The era that the log entered.
        era: StoreEra,
    },
}

/// Lease as observed by the process that reads the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedLease {
    /// Offset of the lease record in the era of its table.
    pub offset: LogOffset,
    /// Name of the upstream whose engine is to load weights.
    pub upstream: String,
    /// Process that requested the lease.
    pub holder: Incarnation,
    /// Time at which the lease has ended for its holder in any case.
    pub expires_at: Moment,
}

/// Leases that may still be held, in offset order.
#[derive(Debug, Default, Clone)]
pub struct LeaseTable {
    /// Position to read from next.
    pub next: LogPosition,
    /// Time until which leases that the log has lost may still be in use.
    pub lost_until: Moment,
    /// Whether a record states that they have ended.
    is_end_stated: bool,
    leases: Vec<ObservedLease>,
}

/// Lease that this process requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnLease {
    /// Position of the lease record, which gives the fencing number.
    pub position: LogPosition,
    /// Time by which this process must have stopped using the lease.
    pub ends_at: Moment,
}

impl OwnLease {
    /// Creates a lease whose record has this position and was sent at `sent_at`.
    #[must_use]
    pub fn new(position: LogPosition, sent_at: Moment) -> Self {
        Self {
            position,
            ends_at: sent_at.after(Duration::from_millis(LEASE_MS)),
        }
    }
}

/// Whether a lease of this process allows an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// An order may be sent now; to be checked again right before each order.
    Held,
    /// Earlier leases have precedence; to be checked again once more records have been read, and
    /// at this time at the latest.
    Waiting(Moment),
    /// The lease has ended or ends too soon for an order; another one has to be requested.
    Ended,
}

impl LeaseTable {
    /// Enters a higher era, in which the log is read again from its start; returns `false` if the era is
    /// not higher.
    pub fn enter_era(&mut self, now: Moment, era: StoreEra) -> bool {
        if era <= self.next.era {
            return false;
        }
        self.next = LogPosition {
            era,
            offset: LogOffset(0),
        };
        self.lost_until = now.after(Duration::from_millis(LOST_LEASES_MS));
        self.is_end_stated = false;
        self.leases.clear();
        true
    }

    /// Applies the record at an offset; an offset that was applied before is ignored.
    pub fn apply(&mut self, now: Moment, offset: LogOffset, record: &LeaseRecord) {
        if offset < self.next.offset {
            return;
        }
        self.skip(offset);
        self.leases.retain(|lease| !lease.expires_at.is_due(now));
        match record {
            LeaseRecord::Acquire { upstream, holder } => self.leases.push(ObservedLease {
                offset,
                upstream: upstream.clone(),
                holder: *holder,
                expires_at: now.after(Duration::from_millis(LEASE_MS)),
            }),
            LeaseRecord::Release { lease } => self.leases.retain(|other| other.offset != *lease),
            LeaseRecord::EndOfLost { era } if *era == self.next.era => {
                self.lost_until = Moment::START;
                self.is_end_stated = true;
            }
            LeaseRecord::EndOfLost { .. } => {}
        }
    }

    /// Skips the offset of a malformed record.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next.offset = self.next.offset.max(LogOffset(offset.0 + 1));
    }

    /// Returns the record that spares others the wait for lost leases, once it has ended here and unless
    /// it is on the log.
    #[must_use]
    pub fn end_of_lost(&self, now: Moment) -> Option<LeaseRecord> {
        let era = self.next.era;
        let is_needed = era > StoreEra(0) && !self.is_end_stated && self.lost_until.is_due(now);
        is_needed.then_some(LeaseRecord::EndOfLost { era })
    }

    /// Reports whether a lease of this process may be released: later, its offset may have been given out
    /// to another one.
    #[must_use]
    pub fn may_release(&self, now: Moment, own: OwnLease) -> bool {
        own.position.era >= self.next.era && !own.ends_at.is_due(now)
    }

    /// Returns the position of the lease that a process requested for an upstream at this position or
    /// later in the same era, if its record has been read.
    #[must_use]
    pub fn find(
        &self,
        upstream: &str,
        holder: Incarnation,
        from: LogPosition,
    ) -> Option<LogPosition> {
        let mut leases = self.leases.iter();
        let found = leases.find(|lease| {
            lease.upstream == upstream && lease.holder == holder && lease.offset >= from.offset
        });
        let found = found.filter(|_| from.era == self.next.era);
        found.map(|lease| LogPosition {
            era: from.era,
            offset: lease.offset,
        })
    }

    /// Returns whether a lease of this process allows an order, with at most `limit` loads at the
    /// same time.
    ///
    /// The status is [`LeaseStatus::Waiting`] until the lease record and all records before it
    /// have been read.
    #[must_use]
    pub fn status(&self, now: Moment, own: OwnLease, limit: usize) -> LeaseStatus {
        let order_ends_at = now.after(Duration::from_millis(ORDER_TIMEOUT_MS));
        if own.ends_at < order_ends_at || own.position.era < self.next.era {
            return LeaseStatus::Ended;
        }
        if own.position >= self.next {
            return LeaseStatus::Waiting(own.ends_at);
        }
        if !self.lost_until.is_due(now) {
            return LeaseStatus::Waiting(self.lost_until);
        }
        let offset = own.position.offset;
        let Some(observed) = self.leases.iter().find(|lease| lease.offset == offset) else {
            return LeaseStatus::Ended;
        };
        let ahead = self
            .leases
            .iter()
            .filter(|lease| lease.offset < offset && !lease.expires_at.is_due(now));
        let ahead: Vec<&ObservedLease> = ahead.collect();
        let is_taken = ahead
            .iter()
            .any(|lease| lease.upstream == observed.upstream);
        if ahead.len() < limit && !is_taken {
            return LeaseStatus::Held;
        }
        let next_end = ahead.iter().map(|lease| lease.expires_at).min();
        LeaseStatus::Waiting(next_end.unwrap_or(now))
    }
}

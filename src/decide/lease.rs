//! Leases to load weights: first come, first served by offset, a few at the same time.
//!
//! A lease is a record on the log; its offset is the fencing number. Its holder counts its time
//! from before the record was sent, everybody else from when they read it, so a holder always
//! stops before others think it has. There is no renewal: a record that arrives late could
//! revive a lease that another process has seen expire.

use std::time::Duration;

use super::ids::{Incarnation, LogOffset};
use crate::kernel::Moment;

/// Milliseconds for which a lease is held, the wait for its turn included.
pub const LEASE_MS: u64 = 20_000;

/// Milliseconds that an order takes at most; none is sent closer to the end of a lease.
pub const ORDER_TIMEOUT_MS: u64 = 8_000;

/// A record on the stream of leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRecord {
    /// Asks for a lease.
    Acquire {
        /// Upstream whose engine is to load.
        upstream: String,
        /// The process that asks.
        holder: Incarnation,
    },
    /// Gives a lease back.
    Release {
        /// Offset of the lease.
        lease: LogOffset,
    },
}

/// A lease as one process sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenLease {
    /// Its offset, which is its fencing number.
    pub offset: LogOffset,
    /// Upstream whose engine is to load.
    pub upstream: String,
    /// The process that asked.
    pub holder: Incarnation,
    /// When it has certainly ended.
    pub expires_at: Moment,
}

/// All leases that may still be held, in the order of their offsets.
#[derive(Debug, Default, Clone)]
pub struct LeaseTable {
    /// Offset to read from next.
    pub next_offset: LogOffset,
    leases: Vec<SeenLease>,
}

/// The lease that this process asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnLease {
    /// Its offset.
    pub offset: LogOffset,
    /// When this process must have stopped.
    pub ends_at: Moment,
}

impl OwnLease {
    /// Creates the lease that was appended at an offset by a call begun at `sent_at`.
    #[must_use]
    pub fn new(offset: LogOffset, sent_at: Moment) -> Self {
        Self {
            offset,
            ends_at: sent_at.after(Duration::from_millis(LEASE_MS)),
        }
    }
}

/// Whether an own lease allows an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStanding {
    /// An order may be sent now; check again right before each one.
    Held,
    /// Others are first; look again when more has been read, at the latest at the moment.
    Waiting(Moment),
    /// The lease has ended or ends too soon; ask for another one.
    Over,
}

impl LeaseTable {
    /// Takes in the record at an offset; old and repeated ones change nothing.
    pub fn apply(&mut self, now: Moment, offset: LogOffset, record: &LeaseRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = LogOffset(offset.0 + 1);
        self.leases.retain(|lease| !lease.expires_at.is_due(now));
        match record {
            LeaseRecord::Acquire { upstream, holder } => self.leases.push(SeenLease {
                offset,
                upstream: upstream.clone(),
                holder: *holder,
                expires_at: now.after(Duration::from_millis(LEASE_MS)),
            }),
            LeaseRecord::Release { lease } => self.leases.retain(|own| own.offset != *lease),
        }
    }

    /// Passes over a record without a meaning.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next_offset = self.next_offset.max(LogOffset(offset.0 + 1));
    }

    /// Returns the lease of a process for an upstream whose record has been read.
    #[must_use]
    pub fn find(&self, upstream: &str, holder: Incarnation) -> Option<&SeenLease> {
        let mut leases = self.leases.iter();
        leases.find(|lease| lease.upstream == upstream && lease.holder == holder)
    }

    /// Says whether an own lease allows an order, `limit` loads being allowed at the same time.
    ///
    /// The standing is known once the own record and all before it have been read.
    #[must_use]
    pub fn standing(&self, now: Moment, own: OwnLease, limit: usize) -> LeaseStanding {
        let order_ends_at = now.after(Duration::from_millis(ORDER_TIMEOUT_MS));
        if own.ends_at < order_ends_at {
            return LeaseStanding::Over;
        }
        if own.offset >= self.next_offset {
            return LeaseStanding::Waiting(own.ends_at);
        }
        let Some(seen) = self.leases.iter().find(|lease| lease.offset == own.offset) else {
            return LeaseStanding::Over;
        };
        let ahead = self
            .leases
            .iter()
            .filter(|lease| lease.offset < own.offset && !lease.expires_at.is_due(now));
        let ahead: Vec<&SeenLease> = ahead.collect();
        let is_taken = ahead.iter().any(|lease| lease.upstream == seen.upstream);
        if ahead.len() < limit && !is_taken {
            return LeaseStanding::Held;
        }
        let next_end = ahead.iter().map(|lease| lease.expires_at).min();
        LeaseStanding::Waiting(next_end.unwrap_or(now))
    }
}

//! Memory budget of an instance: bytes that requests reserve before their bodies are read, and for
//! their responses until the callers have read them.

use std::collections::HashMap;
use std::time::Duration;

use super::hashing::name_hash;
use super::ids::Rank;
use crate::kernel::{Arena, Key, Moment};

/// Share of the budget up to which routine requests are accepted, in percent.
const ROUTINE_PERCENT: u64 = 70;

/// Share of the budget up to which urgent requests are accepted, in percent; the rest is kept for
/// responses, as the end of an accepted request frees its bytes.
const URGENT_PERCENT: u64 = 85;

/// Limit on the bytes of one customer, as a multiple of the bytes that stay free. The customer that
/// holds most is so refused first, and one that is alone may use most of the budget.
const CUSTOMER_TO_FREE: u64 = 4;

/// Share of the budget up to which streams are buffered for slow callers, in percent; above it their
/// upstreams wait.
const BACKLOG_PERCENT: u64 = 50;

/// Limit on the bytes that are buffered for the caller of one stream, as a share of the budget.
const BACKLOG_SHARE: u64 = 32;

/// What an accepted request needs further bytes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// The rest of its body.
    Body,
    /// The response of its upstream.
    Response,
    /// Part of a stream that its caller has not read.
    Backlog,
}

/// Bytes that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryClaim<'a> {
    /// Name of the customer; empty without one.
    pub customer: &'a str,
    /// Rank of the request.
    pub rank: Rank,
    /// Size of the request, in bytes.
    pub bytes: u64,
}

/// Bytes that a request holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryReservation {
    pub(super) customer: u64,
    pub(super) rank: Rank,
    pub(super) bytes: u64,
    /// Bytes of a stream that its caller has not read; part of `bytes`.
    backlog: u64,
    /// Since when the response has been unread; `NEVER` while it is not.
    pub(super) unread_since: Moment,
    /// Whether the response is being ended, after which its bytes no longer count.
    pub(super) is_ending: bool,
}

impl MemoryReservation {
    /// Returns the rank of the request.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        self.rank
    }

    /// Returns the bytes that the request holds.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns for how long the response has been unread.
    #[must_use]
    pub const fn unread_time(&self, now: Moment) -> Duration {
        now.since(self.unread_since)
    }

    /// Returns whether the response has been given to its caller, who has not read it.
    pub(super) fn is_unread(&self) -> bool {
        self.unread_since != Moment::NEVER
    }

    fn unread_bytes(&self) -> u64 {
        if self.is_unread() { self.bytes } else { 0 }
    }
}

/// Bytes of one customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct CustomerBytes {
    pub(super) held: u64,
    /// Bytes of requests whose responses are unread; part of `held`.
    unread: u64,
}

/// Key of a reservation.
pub type ReservationKey = Key<MemoryReservation>;

/// Reserved bytes of all requests, by customer.
///
/// ```
/// use bulrushslip::decide::ids::Rank;
/// use bulrushslip::decide::memory_budget::{MemoryBudget, MemoryClaim};
/// let mut budget = MemoryBudget::new(1_000);
/// let claim = MemoryClaim { customer: "a", rank: Rank::Urgent, bytes: 600 };
/// let held = budget.reserve(claim).expect("an empty budget has room");
/// assert_eq!(budget.reserve(claim), None);
/// budget.release(held);
/// assert_eq!(budget.reserved(), 0);
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    reserved: u64,
    /// Bytes of responses that are being ended.
    pub(super) ending: u64,
    /// Bytes of requests whose responses are unread.
    pub(super) unread: u64,
    by_customer: HashMap<u64, CustomerBytes>,
    pub(super) reservations: Arena<MemoryReservation>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            reserved: 0,
            ending: 0,
            unread: 0,
            by_customer: HashMap::new(),
            reservations: Arena::new(),
        }
    }

    /// Returns the bytes that are reserved now, with those of responses that are being ended.
    #[must_use]
    pub const fn reserved(&self) -> u64 {
        self.reserved + self.ending
    }

    /// Returns the bytes of requests whose callers have not read their responses.
    #[must_use]
    pub const fn unread(&self) -> u64 {
        self.unread
    }

    /// Returns a reservation; `None` once it has ended.
    #[must_use]
    pub fn get(&self, key: ReservationKey) -> Option<&MemoryReservation> {
        self.reservations.get(key)
    }

    /// Reserves the bytes of a request; returns `None` if they do not fit.
    pub fn reserve(&mut self, claim: MemoryClaim<'_>) -> Option<ReservationKey> {
        let customer = name_hash(claim.customer);
        if !self.has_room(customer, claim.rank, claim.bytes) {
            return None;
        }
        let held = MemoryReservation {
            customer,
            rank: claim.rank,
            bytes: claim.bytes,
            backlog: 0,
            unread_since: Moment::NEVER,
            is_ending: false,
        };
        self.add(&held);
        Some(self.reservations.insert(held))
    }

    /// Adds bytes to a reservation; returns whether they fit.
    pub fn grow(&mut self, key: ReservationKey, bytes: u64, purpose: MemoryUse) -> bool {
        let Some(held) = self.reservations.get(key).copied() else {
            return false;
        };
        let fits = match purpose {
            _ if held.is_ending => false,
            MemoryUse::Body => self.has_room(held.customer, held.rank, bytes),
            MemoryUse::Response => self.has_response_room(held.customer, bytes),
            MemoryUse::Backlog => self.has_backlog_room(&held, bytes),
        };
        if fits {
            self.update(key, |held| {
                held.bytes += bytes;
                if purpose == MemoryUse::Backlog {
                    held.backlog += bytes;
                }
            });
        }
        fits
    }

    /// Records that the caller has not read the response that was given to it; returns whether the
    /// reservation is still held.
    pub fn mark_unread(&mut self, now: Moment, key: ReservationKey) -> bool {
        self.update(key, |held| {
            held.unread_since = held.unread_since.min(now);
        });
        let held = self.reservations.get(key);
        held.is_some_and(|held| !held.is_ending)
    }

    /// Records that the caller of a stream has read what was buffered for it, and returns the bytes.
    pub fn release_backlog(&mut self, key: ReservationKey) {
        self.update(key, |held| {
            held.bytes -= held.backlog;
            held.backlog = 0;
            held.unread_since = Moment::NEVER;
        });
    }

    /// Ends a reservation; an ended one is ignored.
    pub fn release(&mut self, key: ReservationKey) {
        let Some(held) = self.reservations.remove(key) else {
            return;
        };
        if held.is_ending {
            self.ending -= held.bytes;
        } else {
            self.subtract(&held);
        }
    }

    /// Changes a reservation and the sums; one that is being ended stays as it is.
    fn update(&mut self, key: ReservationKey, change: impl FnOnce(&mut MemoryReservation)) {
        let held = self.reservations.get_mut(key);
        let Some(held) = held.filter(|held| !held.is_ending) else {
            return;
        };
        let before = *held;
        change(held);
        let after = *held;
        self.subtract(&before);
        self.add(&after);
    }

    pub(super) fn add(&mut self, held: &MemoryReservation) {
        let unread = held.unread_bytes();
        self.reserved += held.bytes;
        self.unread += unread;
        let of_customer = self.by_customer.entry(held.customer).or_default();
        of_customer.held += held.bytes;
        of_customer.unread += unread;
    }

    pub(super) fn subtract(&mut self, held: &MemoryReservation) {
        let unread = held.unread_bytes();
        self.reserved -= held.bytes;
        self.unread -= unread;
        if let Some(of_customer) = self.by_customer.get_mut(&held.customer) {
            of_customer.held -= held.bytes;
            of_customer.unread -= unread;
            if of_customer.held == 0 {
                self.by_customer.remove(&held.customer);
            }
        }
    }

    pub(super) fn of(&self, customer: u64) -> CustomerBytes {
        self.by_customer.get(&customer).copied().unwrap_or_default()
    }

    pub(super) fn has_room(&self, customer: u64, rank: Rank, bytes: u64) -> bool {
        let percent = match rank {
            Rank::Urgent => URGENT_PERCENT,
            Rank::Routine => ROUTINE_PERCENT,
        };
        self.has_room_below(percent, customer, bytes)
    }

    /// Returns whether the bytes of a customer fit below a share of the budget.
    fn has_room_below(&self, percent: u64, customer: u64, bytes: u64) -> bool {
        let after = self.reserved.saturating_add(bytes);
        let Some(free) = (self.limit / 100 * percent).checked_sub(after) else {
            return false;
        };
        self.of(customer).held + bytes <= free.saturating_mul(CUSTOMER_TO_FREE)
    }

    /// Returns whether a response fits. A customer with unread responses leaves room for others.
    pub(super) fn has_response_room(&self, customer: u64, bytes: u64) -> bool {
        let after = self.reserved.saturating_add(bytes);
        let Some(free) = self.limit.checked_sub(after) else {
            return false;
        };
        self.of(customer).unread <= free.saturating_mul(CUSTOMER_TO_FREE)
    }

    fn has_backlog_room(&self, held: &MemoryReservation, bytes: u64) -> bool {
        held.backlog + bytes <= self.limit / BACKLOG_SHARE
            && self.has_room_below(BACKLOG_PERCENT, held.customer, bytes)
    }
}

//! Memory budget of an instance: bytes that requests reserve before their bodies are read.

use std::collections::HashMap;

use super::hashing::name_hash;
use super::ids::Rank;
use crate::kernel::{Arena, Key};

/// Share of the budget up to which routine requests are accepted, in percent.
const ROUTINE_PERCENT: u64 = 70;

/// Share of the budget up to which urgent requests are accepted, in percent; the rest is kept for
/// responses, as the end of an accepted request frees its bytes.
const URGENT_PERCENT: u64 = 85;

/// Limit on the bytes of one customer, as a multiple of the bytes that stay free. The customer that
/// holds most is so refused first, and one that is alone may use most of the budget.
const CUSTOMER_TO_FREE: u64 = 4;

/// What an accepted request needs further bytes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// The rest of its body.
    Body,
    /// The response of its upstream.
    Response,
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
    customer: u64,
    rank: Rank,
    bytes: u64,
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
    by_customer: HashMap<u64, u64>,
    reservations: Arena<MemoryReservation>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            reserved: 0,
            by_customer: HashMap::new(),
            reservations: Arena::new(),
        }
    }

    /// Returns the bytes that are reserved now.
    #[must_use]
    pub const fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Reserves the bytes of a request; returns `None` if they do not fit.
    pub fn reserve(&mut self, claim: MemoryClaim<'_>) -> Option<ReservationKey> {
        let customer = name_hash(claim.customer);
        if !self.has_room(customer, claim.rank, claim.bytes) {
            return None;
        }
        self.add(customer, claim.bytes);
        Some(self.reservations.insert(MemoryReservation {
            customer,
            rank: claim.rank,
            bytes: claim.bytes,
        }))
    }

    /// Adds bytes to a reservation; returns whether they fit.
    pub fn grow(&mut self, key: ReservationKey, bytes: u64, purpose: MemoryUse) -> bool {
        let Some(held) = self.reservations.get(key).copied() else {
            return false;
        };
        let fits = match purpose {
            MemoryUse::Body => self.has_room(held.customer, held.rank, bytes),
            MemoryUse::Response => self.reserved.saturating_add(bytes) <= self.limit,
        };
        if !fits {
            return false;
        }
        self.add(held.customer, bytes);
        if let Some(held) = self.reservations.get_mut(key) {
            held.bytes += bytes;
        }
        true
    }

    /// Ends a reservation; an ended one is ignored.
    pub fn release(&mut self, key: ReservationKey) {
        let Some(held) = self.reservations.remove(key) else {
            return;
        };
        self.reserved -= held.bytes;
        if let Some(of_customer) = self.by_customer.get_mut(&held.customer) {
            *of_customer -= held.bytes;
            if *of_customer == 0 {
                self.by_customer.remove(&held.customer);
            }
        }
    }

    fn add(&mut self, customer: u64, bytes: u64) {
        self.reserved += bytes;
        *self.by_customer.entry(customer).or_default() += bytes;
    }

    fn has_room(&self, customer: u64, rank: Rank, bytes: u64) -> bool {
        let percent = match rank {
            Rank::Urgent => URGENT_PERCENT,
            Rank::Routine => ROUTINE_PERCENT,
        };
        let limit = self.limit / 100 * percent;
        let after = self.reserved.saturating_add(bytes);
        let Some(free) = limit.checked_sub(after) else {
            return false;
        };
        let of_customer = self.by_customer.get(&customer).copied().unwrap_or(0);
        of_customer + bytes <= free.saturating_mul(CUSTOMER_TO_FREE)
    }
}

//! State of one idempotency key: its holder and the tickets that were released.

use super::claims::{ClaimTarget, ClaimVerdict, KeyHash, MAX_RELEASES};
use super::ids::{Incarnation, LogOffset, StoreEra, Ticket};
use super::suspects::Fingerprint;
use crate::kernel::Key;

/// Name of an upstream whose tickets hold keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderName(pub String);

/// Name of a customer whose requests have keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerName(pub String);

/// Claim that holds a key.
#[derive(Debug, Clone, Copy)]
pub struct ClaimHolder {
    /// Latest era in which the claim was read from the log.
    pub era: StoreEra,
    /// Ticket that was claimed.
    pub ticket: Ticket,
    /// Name of the upstream to which the ticket is submitted.
    pub upstream: Key<HolderName>,
    /// The only incarnation of the upstream's sidecar that accepts the ticket.
    pub sidecar: Incarnation,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

/// Ticket that cannot hold the key again.
#[derive(Debug, Clone, Copy)]
pub struct ReleasedTicket {
    /// Latest era in which the release was read from the log.
    pub era: StoreEra,
    /// Ticket that was released.
    pub ticket: Ticket,
}

/// State of one key.
#[derive(Debug, Clone)]
pub struct ClaimEntry {
    /// The key.
    pub key: KeyHash,
    /// Name of the customer.
    pub customer: Key<CustomerName>,
    /// Time at which the key expires, in Unix seconds.
    pub expires_s: u64,
    /// Claim that holds the key.
    pub holder: Option<ClaimHolder>,
    /// Released tickets, at most [`MAX_RELEASES`].
    pub released: Vec<ReleasedTicket>,
    /// Highest offset of a record of the key, in any era.
    pub last_offset: LogOffset,
}

impl ClaimEntry {
    /// Returns whether a ticket was released.
    #[must_use]
    pub fn has_released(&self, ticket: Ticket) -> bool {
        self.released.iter().any(|known| known.ticket == ticket)
    }

    /// Returns the verdict on a release that would not change the entry.
    #[must_use]
    pub fn release_verdict(&self, ticket: Ticket) -> Option<ClaimVerdict> {
        if self.has_released(ticket) {
            return Some(ClaimVerdict::Released);
        }
        (self.released.len() >= MAX_RELEASES).then_some(ClaimVerdict::Unavailable)
    }

    /// Applies a release that was read in an era.
    pub fn release(&mut self, era: StoreEra, ticket: Ticket) {
        let mut released = self.released.iter_mut();
        if let Some(known) = released.find(|known| known.ticket == ticket) {
            known.era = era;
            return;
        }
        if self.released.len() >= MAX_RELEASES {
            return;
        }
        self.released.push(ReleasedTicket { era, ticket });
        if self.holder.is_some_and(|holder| holder.ticket == ticket) {
            self.holder = None;
        }
    }

    /// Applies a claim that was read in an era.
    pub fn claim(&mut self, era: StoreEra, target: &ClaimTarget, upstream: Key<HolderName>) {
        if let Some(holder) = &mut self.holder {
            if holder.ticket == target.ticket {
                holder.era = era;
            }
            return;
        }
        if self.has_released(target.ticket) {
            return;
        }
        self.holder = Some(ClaimHolder {
            era,
            ticket: target.ticket,
            upstream,
            sidecar: target.sidecar,
            fingerprint: target.fingerprint,
        });
    }
}

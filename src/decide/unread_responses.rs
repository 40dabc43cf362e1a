//! Choice of the unread responses that are ended when memory is short.

use std::cmp::Reverse;
use std::time::Duration;

use super::hashing::name_hash;
use super::ids::Rank;
use super::memory_budget::{MemoryBudget, MemoryClaim, MemoryReservation, ReservationKey};
use crate::kernel::Moment;

/// Time for which a response is unread before it may be ended in favour of a more valuable one.
const SLOW_AFTER: Duration = Duration::from_secs(1);

/// Time for which a response is unread before it may be ended in favour of any request that is not
/// less urgent.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// Bytes that a request lacks, and who asks for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemoryNeed {
    /// A new request.
    Request {
        customer: u64,
        rank: Rank,
        bytes: u64,
    },
    /// A response that its upstream is sending.
    Response(ReservationKey, u64),
}

impl MemoryBudget {
    /// Chooses unread responses to be ended for a new request that does not fit: of the least urgent
    /// rank first, the longest unread first. Their bytes count as free from now on. Chooses none if
    /// the request does not fit even so.
    pub fn end_for_request(&mut self, now: Moment, claim: MemoryClaim<'_>) -> Vec<ReservationKey> {
        let need = MemoryNeed::Request {
            customer: name_hash(claim.customer),
            rank: claim.rank,
            bytes: claim.bytes,
        };
        self.end_for(now, need)
    }

    /// Chooses unread responses to be ended for `bytes` more of a response, as
    /// [`end_for_request`](Self::end_for_request) does.
    pub fn end_for_response(
        &mut self,
        now: Moment,
        key: ReservationKey,
        bytes: u64,
    ) -> Vec<ReservationKey> {
        self.end_for(now, MemoryNeed::Response(key, bytes))
    }

    fn end_for(&mut self, now: Moment, need: MemoryNeed) -> Vec<ReservationKey> {
        if self.unread == 0 || self.meets(need) {
            return Vec::new();
        }
        let reservations = self.reservations.iter();
        let mut slow: Vec<_> = reservations
            .filter(|(_, held)| self.may_end(now, held, need))
            .map(|(key, held)| (held.rank, held.unread_since, key))
            .collect();
        slow.sort_unstable_by_key(|(rank, since, _)| (Reverse(*rank), *since));
        let mut ended = Vec::new();
        for (_, _, key) in slow {
            self.set_ending(key, true);
            ended.push(key);
            if self.meets(need) {
                return ended;
            }
        }
        for key in ended {
            self.set_ending(key, false);
        }
        Vec::new()
    }

    fn meets(&self, need: MemoryNeed) -> bool {
        match need {
            MemoryNeed::Request {
                customer,
                rank,
                bytes,
            } => self.has_room(customer, rank, bytes),
            MemoryNeed::Response(key, bytes) => {
                let held = self.reservations.get(key).filter(|held| !held.is_ending);
                held.is_some_and(|held| self.has_response_room(held.customer, bytes))
            }
        }
    }

    /// Returns whether an unread response may be ended for a need.
    fn may_end(&self, now: Moment, held: &MemoryReservation, need: MemoryNeed) -> bool {
        if !held.is_unread() || held.is_ending {
            return false;
        }
        let (customer, rank, bytes) = match need {
            MemoryNeed::Request {
                customer,
                rank,
                bytes,
            } => (customer, rank, bytes),
            MemoryNeed::Response(key, bytes) => match self.reservations.get(key) {
                Some(asking) => (asking.customer, asking.rank, bytes),
                None => return false,
            },
        };
        let is_larger = self.of(held.customer).held > self.of(customer).held + bytes;
        let is_less_valuable =
            held.rank > rank || is_larger || matches!(need, MemoryNeed::Response(..));
        let patience = if is_less_valuable {
            SLOW_AFTER
        } else {
            STALLED_AFTER
        };
        held.rank >= rank && held.unread_time(now) >= patience
    }

    fn set_ending(&mut self, key: ReservationKey, is_ending: bool) {
        let Some(held) = self.reservations.get_mut(key) else {
            return;
        };
        held.is_ending = is_ending;
        let held = *held;
        if is_ending {
            self.subtract(&held);
            self.ending += held.bytes;
        } else {
            self.ending -= held.bytes;
            self.add(&held);
        }
    }
}

//! Memory of requests: reservations, and the end of unread responses when memory is short.

use super::state::DispatchState;
use crate::decide::memory_budget::{MemoryClaim, MemoryUse, ReservationKey};
use crate::events::{RESPONSE_ENDED, log_event};
use crate::kernel::{Moment, whole_ms};
use crate::platform::connection_aborter::ConnectionAborter;

/// Response that its caller has not read.
#[derive(Debug)]
pub struct UnreadResponse {
    /// Request identifier.
    pub request: String,
    /// Closes the caller's connection.
    pub aborter: ConnectionAborter,
}

impl DispatchState {
    /// Reserves the memory of a new request, and ends unread responses if it does not fit.
    pub(super) fn reserve_memory(
        &mut self,
        now: Moment,
        claim: MemoryClaim<'_>,
    ) -> Option<ReservationKey> {
        let reserved = self.memory.reserve(claim);
        if reserved.is_some() {
            return reserved;
        }
        let slow = self.memory.end_for_request(now, claim);
        self.end_responses(now, &slow);
        self.memory.reserve(claim)
    }

    /// Adds bytes to a reservation, and ends unread responses if a response does not fit; returns
    /// whether the bytes fit.
    pub(super) fn grow_memory(
        &mut self,
        now: Moment,
        key: ReservationKey,
        bytes: u64,
        purpose: MemoryUse,
    ) -> bool {
        if self.memory.grow(key, bytes, purpose) {
            return true;
        }
        if purpose != MemoryUse::Response {
            return false;
        }
        let slow = self.memory.end_for_response(now, key, bytes);
        self.end_responses(now, &slow);
        self.memory.grow(key, bytes, purpose)
    }

    /// Records that the caller has not read a response.
    pub(super) fn mark_unread(
        &mut self,
        now: Moment,
        key: ReservationKey,
        response: UnreadResponse,
    ) {
        if self.memory.mark_unread(now, key) {
            self.unread.insert(key, response);
        }
    }

    /// Records that the caller has read what was buffered of a stream.
    pub(super) fn release_backlog(&mut self, key: ReservationKey) {
        self.memory.release_backlog(key);
        self.unread.remove(&key);
    }

    /// Returns the memory of a request.
    pub(super) fn release_memory(&mut self, key: ReservationKey) {
        self.memory.release(key);
        self.unread.remove(&key);
    }

    /// Closes the connections of unread responses; their memory is returned once they are closed.
    fn end_responses(&mut self, now: Moment, keys: &[ReservationKey]) {
        for key in keys {
            let (Some(response), Some(held)) = (self.unread.remove(key), self.memory.get(*key))
            else {
                continue;
            };
            response.aborter.abort();
            let rank = held.rank().name();
            self.counters.count_ended_response(rank);
            log_event(
                &RESPONSE_ENDED,
                &[
                    ("request", &response.request),
                    ("rank", &rank),
                    ("bytes", &held.bytes()),
                    ("unread_ms", &whole_ms(held.unread_time(now))),
                ],
            );
        }
    }
}

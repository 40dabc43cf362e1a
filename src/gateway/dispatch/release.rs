//! End of placements: releases load and connections and updates the state of the upstream from
//! the outcome.

use super::state::DispatchState;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::Ticket;
use crate::gateway::mail::PlacementEnd;
use crate::kernel::{Moment, whole_us};

impl DispatchState {
    /// Records that a request has produced its first output, which ends its prefill.
    pub(super) fn record_first_output(&mut self, now: Moment, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        running.has_begun = true;
        let read = std::mem::take(&mut running.unread_tokens);
        let running = running.clone();
        self.report_start(now, ticket, &running);
        if let Some(member) = self.fleet.get_mut(running.member) {
            member.own.unread_tokens = member.own.unread_tokens.saturating_sub(read);
            member.record_answer(now);
        }
        self.record_pace_answer(now, &running);
        if let Some(queue) = self.queues.get_mut(&running.service) {
            queue.record_first_output(ticket);
        }
        self.record_prefill_done(now, &running);
    }

    /// Ends a placement: releases its load and keeps its connection for reuse.
    pub(super) fn release(&mut self, now: Moment, end: PlacementEnd) {
        let Some(running) = self.running.remove(&end.ticket) else {
            return;
        };
        self.unstarted.remove(&end.ticket);
        if let Some(queue) = self.queues.get_mut(&running.service) {
            queue.record_end(end.ticket, whole_us(now.since(running.placed_at)));
        }
        self.return_quota(now, running.quota_use, end.outcome);
        let Some(member) = self.fleet.get_mut(running.member) else {
            return;
        };
        let load = &mut member.own;
        load.in_flight = load.in_flight.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(running.unread_tokens);
        load.memory_tokens = load.memory_tokens.saturating_sub(running.memory_tokens);
        member.record_end(now, end.outcome, running.has_begun);
        self.counters.count_attempt(end.outcome.name());
        if let Some((connection, usable_until)) = end.connection {
            self.pool.put(running.member, connection, usable_until);
        }
        if !running.has_begun {
            self.record_pace_end(now, &running, end.outcome);
        }
        // A request that ended before its first output has not completed the prefill that others
        // wait for.
        if running.unread_tokens > 0 {
            self.record_prefill_abandoned(now, &running);
        }
        self.record_outcome(now, &running, end.outcome);
    }

    /// Closes idle connections that have expired.
    pub(super) fn sweep_connections(&mut self, now: Moment) {
        self.pool.sweep(now);
    }

    /// Excludes an upstream from placement until `until`.
    pub(super) fn hold(&mut self, member: MemberKey, until: Moment) {
        if let Some(member) = self.fleet.get_mut(member) {
            member.held_until = until;
            member.is_own_hold = true;
        }
    }
}

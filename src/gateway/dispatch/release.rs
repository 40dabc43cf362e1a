//! End of placements: releases load and connections and updates the state of the upstream from
//! the outcome.

use std::time::Duration;

use super::state::{DispatchState, RunningRequest};
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::{EngineEpoch, Incarnation, Ticket};
use crate::decide::suspects::{CrashId, Fingerprint};
use crate::events::{UPSTREAM_CRASHED, log_event};
use crate::gateway::mail::PlacementEnd;
use crate::kernel::Moment;
use crate::wire::peer_rpc::WireSuspicion;

/// Time within which a failed connection attempt shows that an earlier lost request was lost to a
/// crash of the upstream.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_millis(1_500);

/// Maximum number of lost requests that are remembered until a crash is detected or ruled out.
const MAX_LOST_REQUESTS: usize = 512;

/// Maximum number of suspicions that are kept for gossip.
const MAX_SUSPICIONS: usize = 256;

impl DispatchState {
    /// Records that a request has produced its first output, which ends its prefill.
    pub(super) fn record_first_output(&mut self, now: Moment, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let read = std::mem::take(&mut running.unread_tokens);
        let running = running.clone();
        self.report_start(now, ticket, &running);
        if let Some(member) = self.fleet.get_mut(running.member) {
            member.own.unread_tokens = member.own.unread_tokens.saturating_sub(read);
        }
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
            let ran = now.since(running.placed_at).as_micros();
            queue.record_end(end.ticket, u64::try_from(ran).unwrap_or(u64::MAX));
        }
        let Some(member) = self.fleet.get_mut(running.member) else {
            return;
        };
        let load = &mut member.own;
        load.in_flight = load.in_flight.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(running.unread_tokens);
        load.memory_tokens = load.memory_tokens.saturating_sub(running.memory_tokens);
        member.record_outcome(now, end.outcome);
        self.counters.count_attempt(end.outcome.name());
        if let Some((connection, usable_until)) = end.connection {
            self.pool.put(running.member, connection, usable_until);
        }
        // A request that ended before its first output has not completed the prefill that others
        // wait for.
        if running.unread_tokens > 0 {
            self.record_prefill_abandoned(now, &running);
        }
        self.record_outcome(now, &running, end.outcome);
    }

    /// Updates crash suspicions from the outcome of a request.
    fn record_outcome(&mut self, now: Moment, running: &RunningRequest, outcome: MemberOutcome) {
        match outcome {
            MemberOutcome::Lost => {
                let run = (now, running.member, running.fingerprint);
                self.lost_requests.push_back(run);
                while self.lost_requests.len() > MAX_LOST_REQUESTS {
                    self.lost_requests.pop_front();
                }
            }
            MemberOutcome::Unreachable => {
                self.pool.close_all(running.member);
                self.record_crash(now, running.member);
            }
            MemberOutcome::Answered if !self.suspects.is_empty() => {
                let crashes = self.suspects.crashes(now, running.fingerprint).to_vec();
                self.suspects.clear(now, running.fingerprint, &crashes);
            }
            _ => {}
        }
    }

    /// Reports as suspects the requests that were lost at an upstream shortly before it was found
    /// to be down.
    pub(super) fn record_crash(&mut self, now: Moment, member: MemberKey) {
        let Some(crashed) = self.fleet.get(member) else {
            return;
        };
        let crash = CrashId {
            sidecar: Incarnation(crashed.id_hash),
            epoch: EngineEpoch(crashed.entry.started_unix_ms),
        };
        let upstream = crashed.entry.id.clone();
        let lost = self.lost_requests.iter().filter(|(lost_at, key, _)| {
            *key == member && now.since(*lost_at) < CRASH_DETECTION_WINDOW
        });
        let lost: Vec<Fingerprint> = lost.map(|(_, _, fingerprint)| *fingerprint).collect();
        for fingerprint in &lost {
            self.record_suspicion(now, *fingerprint, crash);
        }
        self.lost_requests.retain(|(_, key, _)| *key != member);
        if !lost.is_empty() {
            log_event(
                &UPSTREAM_CRASHED,
                &[
                    ("upstream", &upstream),
                    ("born", &crash.epoch.0),
                    ("lost", &lost.len()),
                ],
            );
        }
    }

    /// Records that a request was running in a crash, and queues what is new for the other instances.
    pub(super) fn record_suspicion(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) {
        if !self.suspects.report(now, fingerprint, crash) {
            return;
        }
        let suspicion = WireSuspicion {
            fingerprint: fingerprint.0,
            upstream: crash.sidecar.0,
            born: crash.epoch.0,
        };
        self.recent_suspicions.push_back((now, suspicion));
        if self.recent_suspicions.len() > MAX_SUSPICIONS {
            self.recent_suspicions.pop_front();
        }
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

//! Places given back: load, connections, and what the end of a run teaches.

use std::time::Duration;

use super::state::{DispatchState, RunningPlace};
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::{EngineEpoch, Incarnation, Ticket};
use crate::decide::suspects::CrashId;
use crate::gateway::mail::PlaceEnd;
use crate::kernel::Moment;
use crate::wire::peer_rpc::WireSuspicion;

/// Time within which a failed dial shows that a lost run was lost to a crash.
const CRASH_EVIDENCE: Duration = Duration::from_millis(1_500);

/// Broken runs that are remembered until a crash is seen or ruled out.
const MAX_BROKEN_RUNS: usize = 512;

/// Suspicions that are kept to be told.
const MAX_SUSPICIONS: usize = 256;

impl DispatchState {
    /// Notes that a request has produced its first output.
    pub(super) fn note_producing(&mut self, now: Moment, ticket: Ticket) {
        let Some(place) = self.running.get_mut(&ticket) else {
            return;
        };
        let read = std::mem::take(&mut place.unread_tokens);
        let place = place.clone();
        if let Some(member) = self.fleet.get_mut(place.member) {
            member.own.unread_tokens = member.own.unread_tokens.saturating_sub(read);
        }
        if let Some(queue) = self.queues.get_mut(&place.service) {
            queue.producing(ticket);
        }
        self.note_read(now, &place);
    }

    /// Takes a place back.
    pub(super) fn release(&mut self, now: Moment, end: PlaceEnd) {
        let Some(place) = self.running.remove(&end.ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&place.service) {
            let ran = now.since(place.placed).as_micros();
            queue.finished(end.ticket, u64::try_from(ran).unwrap_or(u64::MAX));
        }
        let Some(member) = self.fleet.get_mut(place.member) else {
            return;
        };
        let load = &mut member.own;
        load.in_flight = load.in_flight.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(place.unread_tokens);
        load.memory_tokens = load.memory_tokens.saturating_sub(place.memory_tokens);
        member.record_outcome(now, end.outcome);
        self.counters.note_send(end.outcome.name());
        if let Some((link, usable)) = end.link {
            self.pool.put(place.member, link, usable);
        }
        // A run that ended before its first output has read nothing that others may wait for.
        if place.unread_tokens > 0 {
            self.note_unread(now, &place);
        }
        self.note_run_end(now, &place, end.outcome);
    }

    fn note_run_end(&mut self, now: Moment, place: &RunningPlace, outcome: MemberOutcome) {
        match outcome {
            MemberOutcome::Lost => {
                let run = (now, place.member, place.fingerprint);
                self.broken_runs.push_back(run);
                while self.broken_runs.len() > MAX_BROKEN_RUNS {
                    self.broken_runs.pop_front();
                }
            }
            MemberOutcome::Unreachable => {
                self.pool.forget(place.member);
                self.note_crash(now, place.member);
            }
            MemberOutcome::Answered if !self.suspects.is_empty() => {
                let crashes = self.suspects.crashes(now, place.fingerprint).to_vec();
                self.suspects.clear(now, place.fingerprint, &crashes);
            }
            _ => {}
        }
    }

    /// Suspects the requests whose runs broke shortly before an upstream was found to be down.
    pub(super) fn note_crash(&mut self, now: Moment, member: MemberKey) {
        let Some(crashed) = self.fleet.get(member) else {
            return;
        };
        let crash = CrashId {
            sidecar: Incarnation(crashed.id_hash),
            epoch: EngineEpoch(crashed.entry.started_unix_ms),
        };
        let broken = self
            .broken_runs
            .iter()
            .filter(|(lost, key, _)| *key == member && now.since(*lost) < CRASH_EVIDENCE);
        for (_, _, fingerprint) in broken {
            self.suspects.report(now, *fingerprint, crash);
            let suspicion = WireSuspicion {
                fingerprint: fingerprint.0,
                upstream: crash.sidecar.0,
                born: crash.epoch.0,
            };
            self.recent_suspicions.push_back((now, suspicion));
        }
        let excess = self.recent_suspicions.len().saturating_sub(MAX_SUSPICIONS);
        self.recent_suspicions.drain(..excess);
        self.broken_runs.retain(|(_, key, _)| *key != member);
    }

    /// Closes idle connections whose time is up.
    pub(super) fn sweep_links(&mut self, now: Moment) {
        self.pool.sweep(now);
    }

    /// Leaves an upstream out until the moment.
    pub(super) fn hold(&mut self, member: MemberKey, until: Moment) {
        if let Some(member) = self.fleet.get_mut(member) {
            member.held_until = until;
            member.is_own_hold = true;
        }
    }
}

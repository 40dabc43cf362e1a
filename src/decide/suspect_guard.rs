//! Suspects at one upstream: what runs, what it is suspected of, and what others are to be told.

use std::collections::HashMap;

use super::ids::{EngineEpoch, Incarnation, Ticket};
use super::outcome::StreamEnd;
use super::suspects::{
    CrashId, Fingerprint, SoloGate, SoloStep, SuspectPolicy, SuspectTable, SuspectVerdict,
};
use crate::kernel::Moment;

/// News about one fingerprint that the other sidecars of the model are to hear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectNews {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// A crash during which it ran.
    pub seen_in: Option<CrashId>,
    /// Crashes that it is cleared of, because it has finished since.
    pub cleared_of: Vec<CrashId>,
}

#[derive(Debug, Clone, Copy)]
struct GuardedRun {
    fingerprint: Fingerprint,
    epoch: EngineEpoch,
}

/// State of the guard.
#[derive(Debug)]
pub struct SuspectGuard {
    /// What is known of suspects, also from other sidecars.
    pub table: SuspectTable,
    /// News that have yet to be told.
    pub news: Vec<SuspectNews>,
    sidecar: Incarnation,
    gate: SoloGate,
    running: HashMap<Ticket, GuardedRun>,
    solo: Option<Ticket>,
}

impl SuspectGuard {
    /// Creates the guard of a sidecar that has just started.
    #[must_use]
    pub fn new(sidecar: Incarnation, policy: SuspectPolicy) -> Self {
        Self {
            table: SuspectTable::new(policy),
            news: Vec::new(),
            sidecar,
            gate: SoloGate::default(),
            running: HashMap::new(),
            solo: None,
        }
    }

    /// Says whether a request may be handed to the engine now.
    #[must_use]
    pub fn admit(&self, now: Moment, fingerprint: Fingerprint) -> SoloStep {
        let verdict = self.table.verdict(now, fingerprint);
        self.gate.admit(now, self.running.len(), verdict)
    }

    /// Records that a ticket has been handed to an engine; 0 is an epoch that is not known.
    pub fn start(
        &mut self,
        now: Moment,
        ticket: Ticket,
        fingerprint: Fingerprint,
        epoch: EngineEpoch,
    ) {
        if self.table.verdict(now, fingerprint) != SuspectVerdict::Free {
            self.gate.start(now, self.table.policy);
            self.solo = Some(ticket);
        }
        let run = GuardedRun { fingerprint, epoch };
        self.running.insert(ticket, run);
    }

    /// Records the end of a ticket at the engine, and what it says about its fingerprint.
    pub fn end(&mut self, now: Moment, ticket: Ticket, end: StreamEnd) {
        let Some(run) = self.leave(ticket) else {
            return;
        };
        match end {
            StreamEnd::Complete => self.note_completed(now, run.fingerprint),
            StreamEnd::EngineLost | StreamEnd::Uncertain => self.note_lost(now, run),
            StreamEnd::NotRun(_) | StreamEnd::Cancelled => {}
        }
    }

    /// Records that a ticket has left the engine for a reason that says nothing about it.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.leave(ticket);
    }

    /// Takes in what another sidecar has told.
    pub fn hear(&mut self, now: Moment, news: &SuspectNews) {
        if let Some(crash) = news.seen_in {
            self.table.report(now, news.fingerprint, crash);
        }
        self.table.clear(now, news.fingerprint, &news.cleared_of);
    }

    fn leave(&mut self, ticket: Ticket) -> Option<GuardedRun> {
        if self.solo == Some(ticket) {
            self.solo = None;
            self.gate.finish();
        }
        self.running.remove(&ticket)
    }

    fn note_completed(&mut self, now: Moment, fingerprint: Fingerprint) {
        let cleared_of = self.table.crashes(now, fingerprint).to_vec();
        if cleared_of.is_empty() {
            return;
        }
        self.table.clear(now, fingerprint, &cleared_of);
        self.news.push(SuspectNews {
            fingerprint,
            seen_in: None,
            cleared_of,
        });
    }

    fn note_lost(&mut self, now: Moment, run: GuardedRun) {
        if run.epoch == EngineEpoch::default() {
            // Without an epoch two crashes cannot be told apart.
            return;
        }
        let crash = CrashId {
            sidecar: self.sidecar,
            epoch: run.epoch,
        };
        self.table.report(now, run.fingerprint, crash);
        self.news.push(SuspectNews {
            fingerprint: run.fingerprint,
            seen_in: Some(crash),
            cleared_of: Vec::new(),
        });
    }
}

//! Suspect tracking at one upstream: running requests, isolation, and updates for other sidecars.

use std::collections::HashMap;

use super::ids::{EngineEpoch, Incarnation, Ticket};
use super::outcome::StreamEnd;
use super::suspects::{
    CrashId, Fingerprint, SoloGate, SoloStep, SuspectPolicy, SuspectTable, SuspectVerdict,
};
use crate::kernel::Moment;

/// Update about one fingerprint, sent to the other sidecars of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Fingerprint that the update is about.
    pub fingerprint: Fingerprint,
    /// Crash in which the fingerprint was running.
    pub seen_in: Option<CrashId>,
    /// Crashes that the fingerprint is cleared of, because it has completed since.
    pub cleared_of: Vec<CrashId>,
}

#[derive(Debug, Clone, Copy)]
struct RunningTicket {
    fingerprint: Fingerprint,
    epoch: EngineEpoch,
}

/// Suspects known to one sidecar, and the fingerprints of the tickets that its engine runs.
#[derive(Debug)]
pub struct SuspectGuard {
    /// Suspects reported by this sidecar and by others.
    pub table: SuspectTable,
    /// Updates that have not been sent to the other sidecars yet.
    pub updates: Vec<SuspectUpdate>,
    sidecar: Incarnation,
    gate: SoloGate,
    running: HashMap<Ticket, RunningTicket>,
    solo: Option<Ticket>,
}

impl SuspectGuard {
    /// Creates the guard of a sidecar that has just started.
    #[must_use]
    pub fn new(sidecar: Incarnation, policy: SuspectPolicy) -> Self {
        Self {
            table: SuspectTable::new(policy),
            updates: Vec::new(),
            sidecar,
            gate: SoloGate::default(),
            running: HashMap::new(),
            solo: None,
        }
    }

    /// Decides whether a request may be sent to the engine now.
    #[must_use]
    pub fn admit(&self, now: Moment, fingerprint: Fingerprint) -> SoloStep {
        let verdict = self.table.verdict(now, fingerprint);
        self.gate.admit(now, self.running.len(), verdict)
    }

    /// Records that a ticket has been sent to the engine; epoch 0 stands for an unknown epoch.
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
        let run = RunningTicket { fingerprint, epoch };
        self.running.insert(ticket, run);
    }

    /// Records the end of a ticket; a completion clears its fingerprint, a loss reports a crash.
    ///
    /// Returns the crash, for the reply that tells the entry of the loss.
    pub fn end(&mut self, now: Moment, ticket: Ticket, end: StreamEnd) -> Option<CrashId> {
        let run = self.remove(ticket)?;
        match end {
            StreamEnd::Complete => {
                self.record_completion(now, run.fingerprint);
                None
            }
            StreamEnd::EngineLost | StreamEnd::Uncertain => self.record_loss(now, run),
            StreamEnd::NotRun(_) | StreamEnd::Cancelled => None,
        }
    }

    /// Removes a ticket from the running ones, without effect on its fingerprint.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Applies an update from another sidecar.
    pub fn apply(&mut self, now: Moment, update: &SuspectUpdate) {
        if let Some(crash) = update.seen_in {
            self.table.report(now, update.fingerprint, crash);
        }
        self.table
            .clear(now, update.fingerprint, &update.cleared_of);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<RunningTicket> {
        if self.solo == Some(ticket) {
            self.solo = None;
            self.gate.finish();
        }
        self.running.remove(&ticket)
    }

    fn record_completion(&mut self, now: Moment, fingerprint: Fingerprint) {
        let cleared_of = self.table.crashes(now, fingerprint).to_vec();
        if cleared_of.is_empty() {
            return;
        }
        self.table.clear(now, fingerprint, &cleared_of);
        self.updates.push(SuspectUpdate {
            fingerprint,
            seen_in: None,
            cleared_of,
        });
    }

    fn record_loss(&mut self, now: Moment, run: RunningTicket) -> Option<CrashId> {
        if run.epoch == EngineEpoch::default() {
            // Without an epoch, two crashes cannot be distinguished.
            return None;
        }
        let crash = CrashId {
            sidecar: self.sidecar,
            epoch: run.epoch,
        };
        self.table.report(now, run.fingerprint, crash);
        self.updates.push(SuspectUpdate {
            fingerprint: run.fingerprint,
            seen_in: Some(crash),
            cleared_of: Vec::new(),
        });
        Some(crash)
    }
}

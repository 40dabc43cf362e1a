//! Suspect tracking at one upstream: running requests, isolation, and updates for other sidecars.

use std::collections::HashMap;

use super::ids::{EngineEpoch, Incarnation, PrefixKey, Ticket};
use super::outcome::StreamEnd;
use super::segment_entry::{SegmentKey, SegmentPolicy};
use super::segment_suspects::{SegmentCrash, SegmentReview, SegmentSuspects, SegmentVerdict};
use super::suspects::{
    CrashId, Fingerprint, SoloGate, SoloStep, SuspectPolicy, SuspectTable, SuspectVerdict,
};
use crate::kernel::Moment;

/// Maximum number of prompt segments that are reported of one crash.
const MAX_REPORTED_SEGMENTS: usize = 128;

/// Update about one fingerprint, sent to the other sidecars of the model.
///
/// The key of a prompt's leading pieces counts as a fingerprint that many requests have. Both are
/// hashes of different content, so the tables of both kinds apply each update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Fingerprint that the update is about.
    pub fingerprint: Fingerprint,
    /// Crash in which the fingerprint was running.
    pub seen_in: Option<CrashId>,
    /// Crashes that the fingerprint is cleared of, because it has completed since.
    pub cleared_of: Vec<CrashId>,
}

#[derive(Debug, Clone)]
struct RunningTicket {
    fingerprint: Fingerprint,
    segments: Vec<SegmentKey>,
    epoch: EngineEpoch,
}

/// Returns the segments of a prompt, the innermost first.
fn segments(keys: &[PrefixKey]) -> impl Iterator<Item = SegmentKey> {
    keys.iter().rev().map(|key| SegmentKey(key.0))
}

/// Suspects known to one sidecar, and the fingerprints of the tickets that its engine runs.
#[derive(Debug)]
pub struct SuspectGuard {
    /// Suspects reported by this sidecar and by others.
    pub table: SuspectTable,
    /// Prompt segments that were seen in crashes.
    pub segments: SegmentSuspects,
    /// Number of sidecars that try a refused segment before this one.
    pub trial_rank: usize,
    /// Updates that have not been sent to the other sidecars yet.
    pub updates: Vec<SuspectUpdate>,
    sidecar: Incarnation,
    gate: SoloGate,
    running: HashMap<Ticket, RunningTicket>,
    solo: Option<Ticket>,
    /// Whether there was news of segments since the last review.
    is_review_due: bool,
    /// Epoch of the engine in its latest crash, and how many segments of it were reported.
    reported: (EngineEpoch, usize),
}

impl SuspectGuard {
    /// Creates the guard of a sidecar that has just started.
    #[must_use]
    pub fn new(sidecar: Incarnation, policy: SuspectPolicy) -> Self {
        Self {
            table: SuspectTable::new(policy),
            segments: SegmentSuspects::new(SegmentPolicy::default()),
            trial_rank: 0,
            updates: Vec::new(),
            sidecar,
            gate: SoloGate::default(),
            running: HashMap::new(),
            solo: None,
            is_review_due: false,
            reported: (EngineEpoch::default(), 0),
        }
    }

    /// Returns whether a request is refused, because requests like it crash engines.
    #[must_use]
    pub fn is_poisonous(&self, now: Moment, fingerprint: Fingerprint, keys: &[PrefixKey]) -> bool {
        let verdict = self.segments.verdict(now, segments(keys), self.trial_rank);
        self.table.verdict(now, fingerprint) == SuspectVerdict::Poisonous
            || matches!(verdict, SegmentVerdict::Refused(_))
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
        keys: &[PrefixKey],
        epoch: EngineEpoch,
    ) {
        if self.table.verdict(now, fingerprint) != SuspectVerdict::Free {
            self.gate.start(now, self.table.policy);
            self.solo = Some(ticket);
        }
        self.segments.record_send(now, segments(keys));
        let run = RunningTicket {
            fingerprint,
            segments: segments(keys).collect(),
            epoch,
        };
        self.running.insert(ticket, run);
    }

    /// Records the end of a ticket; a completion clears its fingerprint, a loss reports a crash.
    ///
    /// Returns the crash, for the reply that tells the entry of the loss.
    pub fn end(&mut self, now: Moment, ticket: Ticket, end: StreamEnd) -> Option<CrashId> {
        let run = self.remove(ticket)?;
        match end {
            StreamEnd::Complete => {
                self.record_completion(now, &run);
                None
            }
            StreamEnd::EngineLost | StreamEnd::Uncertain => self.record_loss(now, &run),
            StreamEnd::NotRun(_) | StreamEnd::Cancelled => None,
        }
    }

    /// Removes a ticket from the running ones, without effect on its fingerprint.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Applies updates from another sidecar.
    pub fn apply(&mut self, now: Moment, updates: &[SuspectUpdate]) {
        for update in updates {
            let segment = SegmentKey(update.fingerprint.0);
            if let Some(crash) = update.seen_in {
                self.table.report(now, update.fingerprint, crash);
                let report = segment_crash(now, segment, crash);
                self.segments.report(now, report, None);
            }
            self.table
                .clear(now, update.fingerprint, &update.cleared_of);
            for crash in &update.cleared_of {
                self.segments.clear(now, segment, *crash);
            }
        }
        self.is_review_due = true;
    }

    /// Decides anew which segments are refused, if there was news of them.
    pub fn review(&mut self, now: Moment) -> SegmentReview {
        if !std::mem::take(&mut self.is_review_due) {
            return SegmentReview::default();
        }
        self.segments.expire(now);
        self.segments.review(now)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<RunningTicket> {
        if self.solo == Some(ticket) {
            self.solo = None;
            self.gate.finish();
        }
        self.running.remove(&ticket)
    }

    fn record_completion(&mut self, now: Moment, run: &RunningTicket) {
        let cleared_of = self.table.crashes(now, run.fingerprint).to_vec();
        if !cleared_of.is_empty() {
            self.table.clear(now, run.fingerprint, &cleared_of);
            self.updates.push(SuspectUpdate {
                fingerprint: run.fingerprint,
                seen_in: None,
                cleared_of,
            });
        }
        for (segment, crash) in self.segments.complete(run.segments.iter().copied()) {
            self.is_review_due = true;
            self.updates.push(SuspectUpdate {
                fingerprint: Fingerprint(segment.0),
                seen_in: None,
                cleared_of: vec![crash],
            });
        }
    }

    fn record_loss(&mut self, now: Moment, run: &RunningTicket) -> Option<CrashId> {
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
        self.report_segments(now, crash, &run.segments);
        Some(crash)
    }

    fn report_segments(&mut self, now: Moment, crash: CrashId, segments: &[SegmentKey]) {
        if self.reported.0 != crash.epoch {
            self.reported = (crash.epoch, 0);
        }
        for segment in segments {
            let is_full = self.reported.1 >= MAX_REPORTED_SEGMENTS;
            let report = segment_crash(now, *segment, crash);
            if is_full || !self.segments.report(now, report, None) {
                continue;
            }
            self.reported.1 += 1;
            self.is_review_due = true;
            self.updates.push(SuspectUpdate {
                fingerprint: Fingerprint(segment.0),
                seen_in: Some(crash),
                cleared_of: Vec::new(),
            });
        }
    }
}

/// Returns the report of a segment; updates arrive innermost first, so none states its depth.
const fn segment_crash(now: Moment, segment: SegmentKey, crash: CrashId) -> SegmentCrash {
    SegmentCrash {
        segment,
        depth: 0,
        crash,
        at: now,
    }
}

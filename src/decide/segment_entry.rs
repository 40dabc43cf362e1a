//! Crash history of one prompt segment.

use std::collections::HashSet;
use std::time::Duration;

use super::suspects::CrashId;
use crate::kernel::Moment;

/// Number of crashes without a complete answer in between after which a segment is refused.
pub const MAX_CRASHES: usize = 3;

/// Maximum number of crashes kept for one segment; the oldest is dropped first.
const MAX_KEPT_CRASHES: usize = 32;

/// Hash of a segment's content and its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentKey(pub u64);

/// Limits of [`SegmentSuspects`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentPolicy {
    /// Time for which a crash counts, in milliseconds.
    pub crash_ms: u64,
    /// Time within which crashes count as one event, such as a power failure, in milliseconds.
    pub event_ms: u64,
    /// Time for which a segment is refused at first, in milliseconds; doubled by each failed trial.
    pub refuse_ms: u64,
    /// Longest time for which a segment is refused, in milliseconds.
    pub max_refuse_ms: u64,
    /// Time between the first trials of two instances, in milliseconds.
    pub trial_step_ms: u64,
    /// Time after which a trial without an outcome is repeated, in milliseconds.
    pub trial_ms: u64,
    /// Time from a crash after which an answer of the same run of the upstream refutes it, in
    /// milliseconds; it covers the transit of reports.
    pub refute_ms: u64,
    /// Shortest time for which a crashed upstream is down, in milliseconds. A later answer may be
    /// from its next run.
    pub down_ms: u64,
    /// Time from a crash after which the next run of the upstream is listed, in milliseconds.
    pub listed_ms: u64,
    /// Maximum number of segments; beyond it the one that expires first is evicted.
    pub max_segments: usize,
}

impl Default for SegmentPolicy {
    fn default() -> Self {
        Self {
            crash_ms: 600_000,
            event_ms: 300,
            refuse_ms: 60_000,
            max_refuse_ms: 3_600_000,
            trial_step_ms: 30_000,
            trial_ms: 30_000,
            refute_ms: 500,
            down_ms: 2_500,
            listed_ms: 8_000,
            max_segments: 4096,
        }
    }
}

/// Refusal of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SegmentRefusal {
    pub(super) until: Moment,
    /// Number of trials that ended in a crash.
    pub(super) failed_trials: u32,
    /// Time until which the outcome of a trial is awaited.
    pub(super) trial_until: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeptCrash {
    pub(super) id: CrashId,
    pub(super) at: Moment,
}

/// Crash history of one segment.
#[derive(Debug, Clone)]
pub(super) struct SegmentEntry {
    pub(super) segment: SegmentKey,
    /// Number of shared segments after it in a prompt.
    pub(super) depth: u8,
    /// Crashes since the last complete answer, oldest first.
    pub(super) crashes: Vec<KeptCrash>,
    /// Crashes that do not count for the segment; delayed reports of them are ignored.
    pub(super) excluded: Vec<CrashId>,
    pub(super) refusal: Option<SegmentRefusal>,
    /// Time until which another instance refuses the segment.
    pub(super) announced_until: Moment,
    pub(super) expires: Moment,
}

impl SegmentEntry {
    /// Creates the history of a segment that was seen in no crash yet.
    pub(super) fn new(now: Moment, segment: SegmentKey, depth: u8, policy: SegmentPolicy) -> Self {
        Self {
            segment,
            depth,
            crashes: Vec::new(),
            excluded: Vec::new(),
            refusal: None,
            announced_until: Moment::START,
            expires: now.after(Duration::from_millis(policy.crash_ms)),
        }
    }

    /// Adds a crash; one that comes after the end of a refusal is a failed trial.
    pub(super) fn add(&mut self, now: Moment, crash: KeptCrash, policy: SegmentPolicy) {
        self.crashes.push(crash);
        self.crashes.sort_by_key(|known| known.at);
        let excess = self.crashes.len().saturating_sub(MAX_KEPT_CRASHES);
        self.crashes.drain(..excess);
        self.expires = self
            .expires
            .max(now.after(Duration::from_millis(policy.crash_ms)));
        if let Some(refusal) = self.refusal
            && refusal.until.is_due(now)
        {
            let failed_trials = refusal.failed_trials.saturating_add(1);
            let factor = 1_u64.checked_shl(failed_trials).unwrap_or(u64::MAX);
            let wait = policy.refuse_ms.saturating_mul(factor);
            let until = now.after(Duration::from_millis(wait.min(policy.max_refuse_ms)));
            self.refuse(until, failed_trials, policy);
        }
    }

    /// Refuses the segment until the given time.
    pub(super) fn refuse(&mut self, until: Moment, failed_trials: u32, policy: SegmentPolicy) {
        self.refusal = Some(SegmentRefusal {
            until,
            failed_trials,
            trial_until: Moment::START,
        });
        self.expires = self
            .expires
            .max(until.after(Duration::from_millis(policy.crash_ms)));
    }

    /// Removes a crash that does not count for the segment.
    pub(super) fn exclude(&mut self, crash: CrashId) {
        self.crashes.retain(|known| known.id != crash);
        self.excluded.push(crash);
        let excess = self.excluded.len().saturating_sub(MAX_KEPT_CRASHES);
        self.excluded.drain(..excess);
    }

    /// Returns whether an answer at this time, from the run of the upstream that is listed, shows that
    /// a crash of that run did not happen.
    pub(super) fn is_refuted(&self, now: Moment, crash: CrashId, policy: SegmentPolicy) -> bool {
        let known = self.crashes.iter().find(|known| known.id == crash);
        known.is_some_and(|known| {
            let is_due = |ms| known.at.after(Duration::from_millis(ms)).is_due(now);
            let is_down = is_due(policy.down_ms) && !is_due(policy.listed_ms);
            is_due(policy.refute_ms) && !is_down
        })
    }

    /// Returns whether the crashes that no other segment explains are enough to refuse the segment.
    pub(super) fn is_deadly(
        &self,
        now: Moment,
        explained: &HashSet<CrashId>,
        policy: SegmentPolicy,
    ) -> bool {
        let window = Duration::from_millis(policy.crash_ms);
        let counts = |crash: &&KeptCrash| {
            let is_old = self.refusal.is_none() && crash.at.after(window).is_due(now);
            !is_old && !explained.contains(&crash.id)
        };
        count_events(self.crashes.iter().filter(counts), policy) >= MAX_CRASHES
    }
}

/// Returns the number of crashes, without those of the same event as an earlier one.
fn count_events<'a>(crashes: impl Iterator<Item = &'a KeptCrash>, policy: SegmentPolicy) -> usize {
    let mut events = 0;
    let mut event_until = Moment::START;
    for crash in crashes {
        if events == 0 || event_until.is_due(crash.at) {
            events += 1;
            event_until = crash.at.after(Duration::from_millis(policy.event_ms));
        }
    }
    events
}

//! Detection of prompt segments that crash every engine that begins to answer on them, whatever else
//! a request holds.
//!
//! A crash makes the shared segments of all requests on the engine suspects. A complete answer on a
//! segment clears it, so that the segments which a crash only shares with sound requests are
//! cleared soon. A segment that several crashes have in common with no complete answer in between is
//! refused for a while; then one request at a time tries it again. Of several such segments, the one
//! that explains most crashes is refused, and the others only for crashes that it does not explain.
//! Reports merge in any order and may be repeated, because each names its crash.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::hashing::{first_word, hash_parts};
use super::prompt_parts::PromptShape;
use super::segment_entry::{
    KeptCrash, MAX_CRASHES, SegmentEntry, SegmentKey, SegmentPolicy, SegmentRefusal,
};
use super::suspects::CrashId;
use crate::kernel::{Arena, Key, Moment};

/// Maximum number of segments of one prompt that are looked at.
pub const MAX_SEGMENTS: usize = 64;

/// Returns the segments of a prompt that other requests may share, the innermost first.
pub fn shared_segments(prompt: &PromptShape) -> impl Iterator<Item = SegmentKey> {
    let model = prompt.model.to_le_bytes();
    let segments = prompt.shared().iter().rev().take(MAX_SEGMENTS);
    segments.map(move |segment| {
        let parts = [&model[..], &segment.id.to_le_bytes()[..]];
        SegmentKey(first_word(&hash_parts(&parts)))
    })
}

/// Crash in which a request with a segment was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentCrash {
    /// The segment.
    pub segment: SegmentKey,
    /// Number of shared segments after it in the prompt.
    pub depth: u8,
    /// The crash.
    pub crash: CrashId,
    /// Time at which the request was lost.
    pub at: Moment,
}

/// What a review of all crashes changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SegmentReview {
    /// Segments that are refused from now on.
    pub refused: Vec<SegmentKey>,
    /// Segments that are no longer refused.
    pub released: Vec<SegmentKey>,
}

/// Whether a request with given segments may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentVerdict {
    /// No segment is refused.
    Free,
    /// A segment that was refused may be tried by this request.
    Trial,
    /// A segment is refused, at least until this time.
    Refused(Moment),
}

/// Segments that were seen in crashes, limited in number and age.
#[derive(Debug)]
pub struct SegmentSuspects {
    policy: SegmentPolicy,
    entries: Arena<SegmentEntry>,
    by_segment: HashMap<SegmentKey, Key<SegmentEntry>>,
}

impl SegmentSuspects {
    /// Creates an empty table.
    #[must_use]
    pub fn new(policy: SegmentPolicy) -> Self {
        Self {
            policy,
            entries: Arena::new(),
            by_segment: HashMap::new(),
        }
    }

    /// Records that a request with a segment was running in a crash; returns whether that is news.
    /// `refused_for` is the time that is left of the refusal at the instance that reports it.
    pub fn report(
        &mut self,
        now: Moment,
        report: SegmentCrash,
        refused_for: Option<Duration>,
    ) -> bool {
        let policy = self.policy;
        let SegmentCrash { crash, at, .. } = report;
        let key = self.key_of(now, report.segment, report.depth);
        let entry = self.entry_mut(key);
        let mut known = entry.crashes.iter().map(|known| known.id);
        if known.any(|known| known == crash) || entry.excluded.contains(&crash) {
            return false;
        }
        if let Some(refused_for) = refused_for {
            entry.announced_until = entry.announced_until.max(now.after(refused_for));
        }
        entry.depth = entry.depth.min(report.depth);
        entry.add(now, KeptCrash { id: crash, at }, policy);
        true
    }

    /// Decides anew which segments are refused; follows each batch of reports and clearances.
    pub fn review(&mut self, now: Moment) -> SegmentReview {
        let policy = self.policy;
        let entries = self.entries.iter();
        let candidates = entries
            .filter(|(_, entry)| entry.refusal.is_some() || entry.crashes.len() >= MAX_CRASHES);
        let mut candidates: Vec<_> = candidates
            .map(|(key, entry)| {
                let explains = Reverse(entry.crashes.len());
                // Of segments with the same crashes, the innermost has the fewest sound requests.
                (explains, entry.refusal.is_none(), entry.depth, key)
            })
            .collect();
        candidates.sort_by_key(|(explains, is_new, depth, _)| (*explains, *is_new, *depth));
        let mut explained = HashSet::new();
        let mut review = SegmentReview::default();
        for (_, is_new, _, key) in candidates {
            let entry = self.entry_mut(key);
            if !entry.is_deadly(now, &explained, policy) {
                if entry.refusal.take().is_some() {
                    review.released.push(entry.segment);
                }
                continue;
            }
            explained.extend(entry.crashes.iter().map(|known| known.id));
            if is_new {
                let refuse_until = now.after(Duration::from_millis(policy.refuse_ms));
                let is_announced = !entry.announced_until.is_due(now);
                let until = if is_announced {
                    entry.announced_until
                } else {
                    refuse_until
                };
                entry.refuse(until, 0, policy);
                review.refused.push(entry.segment);
            }
        }
        review
    }

    /// Clears segments because an answer on them is complete; returns what they are cleared of.
    pub fn complete(
        &mut self,
        segments: impl Iterator<Item = SegmentKey>,
    ) -> Vec<(SegmentKey, CrashId)> {
        let mut cleared = Vec::new();
        if self.entries.is_empty() {
            return cleared;
        }
        for segment in segments {
            let Some(key) = self.by_segment.get(&segment).copied() else {
                continue;
            };
            let entry = self.entry_mut(key);
            for crash in std::mem::take(&mut entry.crashes) {
                entry.exclude(crash.id);
                cleared.push((segment, crash.id));
            }
        }
        cleared
    }

    /// Clears a segment of a crash, as another instance reports; returns whether that is news.
    pub fn clear(&mut self, now: Moment, segment: SegmentKey, crash: CrashId) -> bool {
        let key = self.key_of(now, segment, u8::MAX);
        let entry = self.entry_mut(key);
        if entry.excluded.contains(&crash) {
            return false;
        }
        entry.exclude(crash);
        true
    }

    /// Removes a crash that did not happen, because the same run of the upstream answers now; returns
    /// whether there was one.
    pub fn refute(&mut self, now: Moment, crash: CrashId) -> bool {
        let policy = self.policy;
        let mut has_changed = false;
        for (_, entry) in self.entries.iter_mut() {
            if entry.is_refuted(now, crash, policy) {
                entry.exclude(crash);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns whether a request with these segments may be sent. `rank` is the number of instances
    /// that try a refused segment before this one.
    #[must_use]
    pub fn verdict(
        &self,
        now: Moment,
        segments: impl Iterator<Item = SegmentKey>,
        rank: usize,
    ) -> SegmentVerdict {
        let mut verdict = SegmentVerdict::Free;
        if self.entries.is_empty() {
            return verdict;
        }
        for refusal in segments.filter_map(|segment| self.refusal(segment)) {
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            let wait = Duration::from_millis(self.policy.trial_step_ms).saturating_mul(rank);
            let tried_from = refusal.until.after(wait).max(refusal.trial_until);
            if !tried_from.is_due(now) {
                return SegmentVerdict::Refused(refusal.until.max(now));
            }
            verdict = SegmentVerdict::Trial;
        }
        verdict
    }

    /// Records that a request with these segments is sent, which is a trial of those refused.
    pub fn record_send(&mut self, now: Moment, segments: impl Iterator<Item = SegmentKey>) {
        if self.entries.is_empty() {
            return;
        }
        let trial_until = now.after(Duration::from_millis(self.policy.trial_ms));
        for segment in segments {
            if let Some(key) = self.by_segment.get(&segment).copied()
                && let Some(refusal) = &mut self.entry_mut(key).refusal
            {
                refusal.trial_until = trial_until;
            }
        }
    }

    /// Returns the crashes of refused segments, with the time until which each is refused, for
    /// instances that may not know of them.
    pub fn refused(&self, now: Moment) -> impl Iterator<Item = (SegmentCrash, Moment)> {
        let entries = self.entries.iter().filter_map(move |(_, entry)| {
            let until = entry.refusal?.until;
            (!until.is_due(now)).then_some((entry, until))
        });
        entries.flat_map(|(entry, until)| {
            entry.crashes.iter().map(move |kept| {
                let crash = SegmentCrash {
                    segment: entry.segment,
                    depth: entry.depth,
                    crash: kept.id,
                    at: kept.at,
                };
                (crash, until)
            })
        })
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Moment) {
        let entries = self.entries.iter();
        let due = entries.filter(|(_, entry)| entry.expires.is_due(now));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            self.remove(key);
        }
    }

    /// Returns the number of crashes that a segment was seen in and not cleared of.
    #[must_use]
    pub fn crash_count(&self, segment: SegmentKey) -> usize {
        let key = self.by_segment.get(&segment);
        let entry = key.and_then(|key| self.entries.get(*key));
        entry.map_or(0, |entry| entry.crashes.len())
    }

    /// Returns whether a segment is in the table.
    #[must_use]
    pub fn contains(&self, segment: SegmentKey) -> bool {
        self.by_segment.contains_key(&segment)
    }

    /// Returns the number of segments in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no segments.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of refused segments.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        let entries = self.entries.iter();
        entries.filter(|(_, entry)| entry.refusal.is_some()).count()
    }

    fn refusal(&self, segment: SegmentKey) -> Option<SegmentRefusal> {
        let key = self.by_segment.get(&segment)?;
        self.entries.get(*key)?.refusal
    }

    fn key_of(&mut self, now: Moment, segment: SegmentKey, depth: u8) -> Key<SegmentEntry> {
        if let Some(key) = self.by_segment.get(&segment) {
            return *key;
        }
        if self.entries.len() >= self.policy.max_segments {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
            if let Some((key, _)) = oldest {
                self.remove(key);
            }
        }
        let key = self
            .entries
            .insert(SegmentEntry::new(now, segment, depth, self.policy));
        self.by_segment.insert(segment, key);
        key
    }

    fn entry_mut(&mut self, key: Key<SegmentEntry>) -> &mut SegmentEntry {
        self.entries
            .get_mut(key)
            .expect("the index contains only keys of existing entries")
    }

    fn remove(&mut self, key: Key<SegmentEntry>) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_segment.remove(&entry.segment);
        }
    }
}

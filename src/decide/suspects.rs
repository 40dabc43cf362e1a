//! Detection of poison requests: requests that crash the engine they run on.
//!
//! A crash makes the fingerprint of every request on the engine a suspect. A suspect runs alone on
//! its next engine. A fingerprint seen in two crashes is refused; one that completes is cleared.
//! Reports merge in any order and may be repeated, because each report names its crash.

use std::collections::HashMap;
use std::time::Duration;

use super::hashing::{first_word, hash_parts};
use super::ids::{EngineEpoch, Incarnation};
use crate::kernel::{Arena, Key, Moment};

/// Number of crashes after which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;

/// Hash that is the same for all tickets of equal requests of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(customer: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let parts = [
            customer.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ];
        Self(first_word(&hash_parts(&parts)))
    }
}

/// Identifies one crash of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Incarnation of the sidecar that observed the crash.
    pub sidecar: Incarnation,
    /// Epoch of the engine that crashed.
    pub epoch: EngineEpoch,
}

/// Limits of a [`SuspectTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// Time after which a suspect that did not run again expires, in milliseconds.
    pub suspect_ms: u64,
    /// Time for which a poisonous fingerprint is refused, in milliseconds.
    pub poison_ms: u64,
    /// Maximum time for which a suspect runs alone on its engine, in milliseconds.
    pub solo_ms: u64,
    /// Time within which two crashes count as one, in milliseconds: upstreams that fail at the same moment
    /// may have a common cause, and a request that is sent on from one to the next has not crashed them.
    pub same_crash_ms: u64,
    /// Maximum number of fingerprints; beyond it the one that expires first is evicted.
    pub max_fingerprints: usize,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            suspect_ms: 600_000,
            poison_ms: 3_600_000,
            solo_ms: 10_000,
            same_crash_ms: 0,
            max_fingerprints: 4096,
        }
    }
}

/// Restriction on how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request may run concurrently with others.
    Free,
    /// The request is a suspect and must run alone on its engine.
    Solo,
    /// The request is refused: it was running in [`MAX_CRASHES`] crashes.
    Poisonous,
}

/// Outcome of [`SuspectTable::merge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The crash is news.
    Added,
    /// The crash is known, or the fingerprint is refused already.
    Known,
    /// The fingerprint has completed since the crash.
    Cleared,
}

/// Crash history of one fingerprint.
#[derive(Debug, Clone)]
pub struct SuspectEntry {
    /// Fingerprint that the entry describes.
    pub fingerprint: Fingerprint,
    /// Crashes that the fingerprint was seen in and not cleared of.
    pub crashes: Vec<CrashId>,
    /// Time of each of these crashes.
    pub times: Vec<Moment>,
    /// Crashes that the fingerprint was cleared of; delayed reports of them are ignored.
    pub cleared: Vec<CrashId>,
    /// Time at which the entry is removed.
    pub expires: Moment,
}

impl SuspectEntry {
    /// Returns the number of crashes, where two at the same moment count as one. A third one at that moment is
    /// no coincidence: the request was sent to three upstreams.
    #[must_use]
    pub fn count(&self, policy: SuspectPolicy) -> usize {
        let same = Duration::from_millis(policy.same_crash_ms);
        let mut times = self.times.clone();
        times.sort_unstable();
        let mut counted: Option<Moment> = None;
        let is_other = |time: &&Moment| {
            let is_same = counted.is_some_and(|first| first.after(same) > **time);
            if !is_same {
                counted = Some(**time);
            }
            !is_same
        };
        let moments = times.iter().filter(is_other).count();
        moments.max(self.times.len().saturating_sub(1))
    }

    /// Returns whether a crash would be news.
    fn lacks(&self, policy: SuspectPolicy, crash: CrashId) -> bool {
        let is_full = self.count(policy) >= MAX_CRASHES || self.crashes.len() >= MAX_SEEN;
        !is_full && !self.crashes.contains(&crash)
    }

    fn push(&mut self, crash: CrashId, at: Moment) {
        self.crashes.push(crash);
        self.times.push(at);
    }

    fn remove(&mut self, crashes: &[CrashId]) {
        let known = self.crashes.iter().zip(&self.times);
        let kept = known.filter(|(crash, _)| !crashes.contains(crash));
        (self.crashes, self.times) = kept.map(|(crash, time)| (*crash, *time)).unzip();
    }
}

/// Maximum number of crashes kept for one fingerprint.
const MAX_SEEN: usize = 8;

/// Maximum number of cleared crashes kept for one fingerprint; the oldest is dropped first.
const MAX_CLEARED: usize = 8;

/// Suspect and poisonous fingerprints, limited in number and age.
#[derive(Debug, Clone)]
pub struct SuspectTable {
    /// Limits of the table.
    pub policy: SuspectPolicy,
    entries: Arena<SuspectEntry>,
    by_fingerprint: HashMap<Fingerprint, Key<SuspectEntry>>,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            entries: Arena::new(),
            by_fingerprint: HashMap::new(),
        }
    }

    /// Records that a fingerprint was running in a crash; returns whether that is news. Reports of a
    /// known or cleared crash, and of crashes of a fingerprint that is refused already, are not.
    pub fn report(&mut self, now: Moment, fingerprint: Fingerprint, crash: CrashId) -> bool {
        let policy = self.policy;
        let entry = self.entry(now, fingerprint);
        if entry.cleared.contains(&crash) || !entry.lacks(policy, crash) {
            return false;
        }
        entry.push(crash, now);
        entry.expires = now.after(lifetime(policy, entry.count(policy)));
        true
    }

    /// Merges a crash of which another process tells that refuses the fingerprint for `left`. The entry does
    /// not outlast that, so that processes that tell each other forget it at the same time.
    pub fn merge(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        (crash, at): (CrashId, Moment),
        left: Duration,
    ) -> MergeOutcome {
        let policy = self.policy;
        let entry = self.entry(now, fingerprint);
        if entry.cleared.contains(&crash) {
            return MergeOutcome::Cleared;
        }
        if !entry.lacks(policy, crash) {
            return MergeOutcome::Known;
        }
        entry.push(crash, at);
        let lifetime = lifetime(policy, entry.count(policy));
        entry.expires = now.after(lifetime.min(left));
        MergeOutcome::Added
    }

    /// Iterates over the fingerprints that are refused.
    pub fn poisonous(&self, now: Moment) -> impl Iterator<Item = &SuspectEntry> {
        self.iter(now)
            .filter(|entry| entry.count(self.policy) >= MAX_CRASHES)
    }

    /// Clears a fingerprint of the crashes because it has completed since.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint, crashes: &[CrashId]) {
        if crashes.is_empty() {
            return;
        }
        let policy = self.policy;
        let entry = self.entry(now, fingerprint);
        entry.remove(crashes);
        for crash in crashes {
            if !entry.cleared.contains(crash) {
                entry.cleared.push(*crash);
            }
        }
        let excess = entry.cleared.len().saturating_sub(MAX_CLEARED);
        entry.cleared.drain(..excess);
        entry.expires = now.after(lifetime(policy, entry.count(policy)));
    }

    /// Returns how a request with the fingerprint may run.
    #[must_use]
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> SuspectVerdict {
        let entry = self.live_entry(now, fingerprint);
        match entry.map_or(0, |entry| entry.count(self.policy)) {
            0 => SuspectVerdict::Free,
            count if count < MAX_CRASHES => SuspectVerdict::Solo,
            _ => SuspectVerdict::Poisonous,
        }
    }

    /// Returns the crashes that a fingerprint was seen in and not cleared of.
    #[must_use]
    pub fn crashes(&self, now: Moment, fingerprint: Fingerprint) -> &[CrashId] {
        let entry = self.live_entry(now, fingerprint);
        entry.map_or(&[], |entry| &entry.crashes)
    }

    fn live_entry(&self, now: Moment, fingerprint: Fingerprint) -> Option<&SuspectEntry> {
        let entry = self.entries.get(*self.by_fingerprint.get(&fingerprint)?)?;
        (!entry.expires.is_due(now)).then_some(entry)
    }

    /// Iterates over the suspects, for transfer to a process that has just started.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = &SuspectEntry> {
        let entries = self.entries.iter().map(|(_, entry)| entry);
        entries.filter(move |entry| !entry.expires.is_due(now) && !entry.crashes.is_empty())
    }

    /// Removes expired entries and returns the next expiry time.
    pub fn expire(&mut self, now: Moment) -> Moment {
        let due: Vec<Key<SuspectEntry>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires.is_due(now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.remove(key);
        }
        let deadlines = self.entries.iter().map(|(_, entry)| entry.expires);
        deadlines.min().unwrap_or(Moment::NEVER)
    }

    /// Returns the number of fingerprints in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no fingerprints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut SuspectEntry {
        let key = self.unexpired_key(now, fingerprint);
        let key = key.unwrap_or_else(|| self.insert(now, fingerprint));
        self.entries
            .get_mut(key)
            .expect("the index contains only keys of existing entries")
    }

    fn unexpired_key(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
    ) -> Option<Key<SuspectEntry>> {
        let key = *self.by_fingerprint.get(&fingerprint)?;
        let entry = self.entries.get(key)?;
        if entry.expires.is_due(now) {
            self.remove(key);
            return None;
        }
        Some(key)
    }

    fn insert(&mut self, now: Moment, fingerprint: Fingerprint) -> Key<SuspectEntry> {
        if self.entries.len() >= self.policy.max_fingerprints {
            self.evict();
        }
        let key = self.entries.insert(SuspectEntry {
            fingerprint,
            crashes: Vec::new(),
            times: Vec::new(),
            cleared: Vec::new(),
            expires: now.after(lifetime(self.policy, 0)),
        });
        self.by_fingerprint.insert(fingerprint, key);
        key
    }

    fn evict(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
        if let Some((key, _)) = oldest {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key<SuspectEntry>) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_fingerprint.remove(&entry.fingerprint);
        }
    }
}

fn lifetime(policy: SuspectPolicy, crashes: usize) -> Duration {
    if crashes >= MAX_CRASHES {
        Duration::from_millis(policy.poison_ms)
    } else {
        Duration::from_millis(policy.suspect_ms)
    }
}

/// Decision of [`SoloGate::admit`] on the start of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoloStep {
    /// The request may start.
    Start,
    /// The request must wait until no other request runs.
    WaitForIdle,
    /// The request must wait until the running suspect has ended, at most until the deadline.
    WaitUntil(Moment),
}

/// Keeps other requests off an engine while a suspect runs, for a limited time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SoloGate {
    /// Time from which other requests may run concurrently with the suspect; `None` if none runs.
    pub solo_until: Option<Moment>,
}

impl SoloGate {
    /// Decides whether a request may start while `running` others run.
    #[must_use]
    pub fn admit(&self, now: Moment, running: usize, verdict: SuspectVerdict) -> SoloStep {
        match (self.solo_until, verdict) {
            (None, SuspectVerdict::Free) => SoloStep::Start,
            (None, _) if running == 0 => SoloStep::Start,
            (Some(until), SuspectVerdict::Free) if until.is_due(now) => SoloStep::Start,
            (Some(until), SuspectVerdict::Free) => SoloStep::WaitUntil(until),
            (None | Some(_), _) => SoloStep::WaitForIdle,
        }
    }

    /// Records the start of a suspect.
    pub fn start(&mut self, now: Moment, policy: SuspectPolicy) {
        self.solo_until = Some(now.after(Duration::from_millis(policy.solo_ms)));
    }

    /// Records the end of the suspect.
    pub const fn finish(&mut self) {
        self.solo_until = None;
    }
}

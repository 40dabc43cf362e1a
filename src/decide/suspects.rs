//! Suspects: requests that were running when an engine crashed.
//!
//! A crash makes every fingerprint that ran on the engine a suspect. A suspect runs alone next
//! time. A fingerprint seen in two crashes is refused; one that finishes is cleared. Knowledge of
//! two tables merges in any order, because each suspicion names the crash that caused it.

use std::collections::HashMap;
use std::time::Duration;

use super::hashing::{first_word, hash_parts};
use super::ids::{EngineEpoch, Incarnation};
use crate::kernel::{Arena, Key, Moment};

/// Crashes after which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;

/// Identifies equal requests of one customer across tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes what makes two requests equal.
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
    /// The sidecar that saw the crash.
    pub sidecar: Incarnation,
    /// The life of the engine that ended.
    pub epoch: EngineEpoch,
}

/// Bounds of a [`SuspectTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// Milliseconds after which a suspect that did not run again is forgotten.
    pub suspect_ms: u64,
    /// Milliseconds for which a poisonous fingerprint is refused.
    pub poison_ms: u64,
    /// Milliseconds for which a suspect keeps an engine to itself.
    pub solo_ms: u64,
    /// Fingerprints remembered at most; beyond it the one that expires first is forgotten.
    pub max_fingerprints: usize,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            suspect_ms: 600_000,
            poison_ms: 3_600_000,
            solo_ms: 10_000,
            max_fingerprints: 4096,
        }
    }
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Beside others.
    Free,
    /// Alone on its engine.
    Solo,
    /// Not at all: it has crashed two engines.
    Poisonous,
}

/// What is known of one fingerprint.
#[derive(Debug, Clone)]
pub struct SuspectEntry {
    /// Whose entry this is.
    pub fingerprint: Fingerprint,
    /// Crashes that it was seen in and not cleared of.
    pub crashes: Vec<CrashId>,
    /// Crashes that it was cleared of; late reports of them are ignored.
    pub cleared: Vec<CrashId>,
    /// When the entry is forgotten.
    pub expires: Moment,
}

/// Crashes remembered as cleared for one fingerprint at most; the oldest is forgotten first.
const MAX_CLEARED: usize = 8;

/// Suspects and poisonous fingerprints, bounded in number and age.
#[derive(Debug, Clone)]
pub struct SuspectTable {
    /// The bounds.
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

    /// Notes that a fingerprint was running when an engine crashed; reports may be doubled.
    pub fn report(&mut self, now: Moment, fingerprint: Fingerprint, crash: CrashId) {
        let policy = self.policy;
        let entry = self.entry(now, fingerprint);
        let is_known = entry.crashes.contains(&crash) || entry.cleared.contains(&crash);
        if is_known || entry.crashes.len() >= MAX_CRASHES {
            return;
        }
        entry.crashes.push(crash);
        entry.expires = now.after(lifetime(policy, entry.crashes.len()));
    }

    /// Notes that a fingerprint ran to its end although it was suspected of these crashes.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint, crashes: &[CrashId]) {
        if crashes.is_empty() {
            return;
        }
        let policy = self.policy;
        let entry = self.entry(now, fingerprint);
        entry.crashes.retain(|crash| !crashes.contains(crash));
        for crash in crashes {
            if !entry.cleared.contains(crash) {
                entry.cleared.push(*crash);
            }
        }
        let excess = entry.cleared.len().saturating_sub(MAX_CLEARED);
        entry.cleared.drain(..excess);
        entry.expires = now.after(lifetime(policy, entry.crashes.len()));
    }

    /// Says how a request may run.
    #[must_use]
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> SuspectVerdict {
        match self.crashes(now, fingerprint).len() {
            0 => SuspectVerdict::Free,
            count if count < MAX_CRASHES => SuspectVerdict::Solo,
            _ => SuspectVerdict::Poisonous,
        }
    }

    /// Returns the crashes that a fingerprint is suspected of, to be sent along with it.
    #[must_use]
    pub fn crashes(&self, now: Moment, fingerprint: Fingerprint) -> &[CrashId] {
        let key = self.by_fingerprint.get(&fingerprint);
        let entry = key.and_then(|key| self.entries.get(*key));
        match entry {
            Some(entry) if !entry.expires.is_due(now) => &entry.crashes,
            _ => &[],
        }
    }

    /// Iterates over the live suspicions, to be handed to a process that has just started.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = &SuspectEntry> {
        let entries = self.entries.iter().map(|(_, entry)| entry);
        entries.filter(move |entry| !entry.expires.is_due(now) && !entry.crashes.is_empty())
    }

    /// Forgets entries whose deadline has come and returns the next deadline.
    pub fn expire(&mut self, now: Moment) -> Moment {
        let due: Vec<Key<SuspectEntry>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires.is_due(now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.forget(key);
        }
        let deadlines = self.entries.iter().map(|(_, entry)| entry.expires);
        deadlines.min().unwrap_or(Moment::NEVER)
    }

    /// Returns how many fingerprints are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no fingerprint is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut SuspectEntry {
        let key = self.live_key(now, fingerprint);
        let key = key.unwrap_or_else(|| self.insert(now, fingerprint));
        self.entries
            .get_mut(key)
            .expect("the index names live entries")
    }

    fn live_key(&mut self, now: Moment, fingerprint: Fingerprint) -> Option<Key<SuspectEntry>> {
        let key = *self.by_fingerprint.get(&fingerprint)?;
        let entry = self.entries.get(key)?;
        if entry.expires.is_due(now) {
            self.forget(key);
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
            cleared: Vec::new(),
            expires: now.after(lifetime(self.policy, 0)),
        });
        self.by_fingerprint.insert(fingerprint, key);
        key
    }

    fn evict(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
        if let Some((key, _)) = oldest {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: Key<SuspectEntry>) {
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

/// Whether the next request may start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoloStep {
    /// It may start.
    Start,
    /// It waits until the running requests have finished.
    WaitForIdle,
    /// It waits until the suspect has finished, at most until the deadline.
    WaitUntil(Moment),
}

/// Keeps a suspect alone on its engine for a bounded time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SoloGate {
    /// While a suspect runs: when others may start beside it.
    pub solo_until: Option<Moment>,
}

impl SoloGate {
    /// Says whether a request may start beside `running` others.
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

    /// Notes that a suspect has started.
    pub fn start(&mut self, now: Moment, policy: SuspectPolicy) {
        self.solo_until = Some(now.after(Duration::from_millis(policy.solo_ms)));
    }

    /// Notes that the suspect has ended.
    pub const fn finish(&mut self) {
        self.solo_until = None;
    }
}

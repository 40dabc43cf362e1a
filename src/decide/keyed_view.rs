//! Newest record of each key of one compacted topic, merged by position from any source.

use std::collections::HashMap;

use bytes::Bytes;

use super::hashing::{first_word, hash_parts};
use super::ids::{LogPosition, StoreEra};
pub use super::key_state::WriterStamp;
use super::key_state::{KeyState, RecordSource};

/// Maximum number of deleted keys that are kept; beyond it all of them are dropped.
const MAX_DELETED: usize = 4_096;

/// Record of one key of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the key; `None` if the record deletes the key.
    pub value: Option<Bytes>,
    /// Position of the record in its topic.
    pub position: LogPosition,
}

impl KeyedRecord {
    /// Creates the deletion of a key that a topic lacks below a position.
    fn deletion(key: &str, next: LogPosition) -> Self {
        Self {
            key: key.to_owned(),
            value: None,
            position: next.preceding(),
        }
    }
}

/// What a view holds, so that the views of two instances can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewDigest {
    /// Number of keys that are not deleted.
    pub keys: usize,
    /// Hash of these keys and of what their values say; equal views have equal ones.
    pub hash: u64,
}

/// Returns a hash of what a value says: equal for values that differ in nothing that matters.
pub type MeaningHash = fn(&[u8]) -> u64;

/// Returns the count that a value states; `None` if it states none.
pub type StampReading = fn(&[u8]) -> Option<WriterStamp>;

/// Returns a hash that is equal for equal values only.
#[must_use]
pub fn value_hash(value: &[u8]) -> u64 {
    first_word(&hash_parts(&[value]))
}

/// Newest record of each key of one topic.
#[derive(Debug)]
pub struct KeyedView {
    newest: HashMap<String, KeyState>,
    meaning: MeaningHash,
    stamp: StampReading,
    deleted: usize,
    /// Position below which all records have been applied.
    pub next: LogPosition,
    /// Position from which all deletions are known.
    complete_from: LogPosition,
}

impl Default for KeyedView {
    fn default() -> Self {
        Self::new(value_hash, |_value| None)
    }
}

impl KeyedView {
    /// Creates the view of a topic whose values repeat if `meaning` says so, and are counted by their
    /// writers as `stamp` says.
    #[must_use]
    pub fn new(meaning: MeaningHash, stamp: StampReading) -> Self {
        Self {
            newest: HashMap::new(),
            meaning,
            stamp,
            deleted: 0,
            next: LogPosition::default(),
            complete_from: LogPosition::default(),
        }
    }

    /// Applies the next record of the topic; returns `false` if it has no effect, because this or a newer
    /// record of its key is known already.
    pub fn apply(&mut self, record: &KeyedRecord) -> bool {
        self.insert(record, RecordSource::Topic)
    }

    /// Applies the newest record of a key from a source that leaves out the ones before it; returns
    /// `false` if it has no effect, because this or a newer record of the key is known already.
    ///
    /// A value that equals the known one may have been deleted in between, so it counts as changed for
    /// those that have seen the deletion.
    pub fn apply_newest(&mut self, record: &KeyedRecord) -> bool {
        let source = if record.position.era > self.next.era {
            RecordSource::EnteredEra
        } else {
            RecordSource::Newest
        };
        self.insert(record, source)
    }

    /// Applies the deletion of a key that the topic of a later era lacks; returns `false` if a newer record
    /// of the key is known.
    pub fn apply_missing(&mut self, deletion: &KeyedRecord) -> bool {
        self.insert(deletion, RecordSource::Missing)
    }

    fn insert(&mut self, record: &KeyedRecord, source: RecordSource) -> bool {
        // What an earlier era had tells nothing of this one.
        if record.position.era < self.next.era {
            return false;
        }
        let known = self.newest.get(&record.key);
        let stamp = record.value.as_deref().and_then(self.stamp);
        let is_known = known.is_some_and(|known| {
            let is_held = known.is_held_elsewhere(record, stamp, source);
            known.position >= record.position && !is_held
        });
        if is_known {
            return false;
        }
        let outdating = known.filter(|known| known.outdates(record, stamp, source));
        let state = if let Some(known) = outdating {
            known.moved_to(record.position)
        } else {
            let meaning = record.value.as_deref().map(self.meaning);
            KeyState::following(known, record, (meaning, stamp), source)
        };
        let is_outdated = outdating.is_some();
        let is_deleted = state.value.is_none();
        let old = self.newest.insert(record.key.clone(), state);
        let was_deleted = old.is_some_and(|old| old.value.is_none());
        self.deleted -= usize::from(was_deleted);
        self.deleted += usize::from(is_deleted);
        if self.deleted > MAX_DELETED {
            self.drop_deletions();
        }
        !is_outdated
    }

    /// Drops what is known of deleted keys; the view then tells of later deletions only.
    fn drop_deletions(&mut self) {
        let deleted = self
            .newest
            .extract_if(|_, state| state.value.is_none())
            .map(|(_, state)| state.position);
        if let Some(last) = deleted.max() {
            self.complete_from = self.complete_from.max(last.following());
        }
        self.deleted = 0;
    }

    /// Begins the view of a topic with a listing of its current records, which tells nothing of keys that
    /// were deleted before `next`.
    pub fn begin_at(&mut self, next: LogPosition) {
        if self.next == LogPosition::default() {
            self.complete_from = next;
        }
    }

    /// Returns whether the records since a position tell of all deletions too; those since the start
    /// tell all, as there was nothing to delete before, and those since an earlier era are all that the
    /// topic has.
    #[must_use]
    pub fn covers(&self, from: LogPosition) -> bool {
        if from != LogPosition::default() && from.era < self.next.era {
            return !self.has_earlier_eras();
        }
        from == LogPosition::default() || from >= self.complete_from
    }

    /// Returns whether the newest record of a key is of an earlier era, so that the topic may lack the key.
    fn has_earlier_eras(&self) -> bool {
        let mut known = self.newest.values();
        known.any(|state| state.value.is_some() && state.position.era < self.next.era)
    }

    /// Returns records that delete the keys missing from a complete listing of the topic at
    /// position `end`; keys with a record at or after `end` are left out.
    #[must_use]
    pub fn deletions_for_missing_keys(
        &self,
        records: &[KeyedRecord],
        end: LogPosition,
    ) -> Vec<KeyedRecord> {
        let listed: std::collections::HashSet<&str> =
            records.iter().map(|record| record.key.as_str()).collect();
        let missing = self.newest.iter().filter(|(key, state)| {
            state.value.is_some() && state.position < end && !listed.contains(key.as_str())
        });
        missing
            .map(|(key, _)| KeyedRecord::deletion(key, end))
            .collect()
    }

    /// Returns records that delete the keys of which only earlier eras had a record, once all records of
    /// the topic below a position are applied.
    #[must_use]
    pub fn deletions_for_lost_keys(&self, next: LogPosition) -> Vec<KeyedRecord> {
        if next.era == StoreEra(0) {
            return Vec::new();
        }
        let lost = self
            .newest
            .iter()
            .filter(|(_, state)| state.value.is_some() && state.position.era < next.era);
        lost.map(|(key, _)| KeyedRecord::deletion(key, next))
            .collect()
    }

    /// Returns whether a current record of the topic shows that this view lacks something below its
    /// position.
    #[must_use]
    pub fn lacks(&self, record: &KeyedRecord) -> bool {
        if record.position >= self.next {
            return false;
        }
        let known = self.newest.get(&record.key);
        let is_older = known.is_none_or(|known| known.position < record.position);
        let meaning = record.value.as_deref().map(self.meaning);
        is_older && known.and_then(|known| known.meaning) != meaning
    }

    /// Records that all records below a position have been applied.
    pub fn advance(&mut self, next: LogPosition) {
        if next.era > self.next.era && self.next != LogPosition::default() {
            // Deletions in the new era of keys that were not known here are not known.
            self.complete_from = next;
        }
        self.next = self.next.max(next);
    }

    /// Returns the newest records of the keys whose meaning changed at or after a position.
    #[must_use]
    pub fn since(&self, from: LogPosition) -> Vec<KeyedRecord> {
        let newer = self
            .newest
            .iter()
            .filter(|(_, state)| state.changed >= from || state.is_held);
        let records = newer.map(|(key, state)| KeyedRecord {
            key: key.clone(),
            value: state.value.clone(),
            position: state.position,
        });
        records.collect()
    }

    /// Returns the digest of what the view holds.
    #[must_use]
    pub fn digest(&self) -> ViewDigest {
        let current = self
            .newest
            .iter()
            .filter_map(|(key, state)| Some((key, state.meaning?)));
        let empty = ViewDigest { keys: 0, hash: 0 };
        current.fold(empty, |digest, (key, meaning)| {
            let hash = hash_parts(&[key.as_bytes(), &meaning.to_le_bytes()]);
            ViewDigest {
                keys: digest.keys + 1,
                // The order of the keys does not matter.
                hash: digest.hash ^ first_word(&hash),
            }
        })
    }

    /// Returns the newest value of a key, or `None` if the key is unknown or deleted.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key)?.value.as_ref()
    }

    /// Returns the position of the newest record of a key, which may be a deletion.
    #[must_use]
    pub fn position(&self, key: &str) -> Option<LogPosition> {
        self.newest.get(key).map(|state| state.position)
    }
}

//! Newest record of each key of one compacted topic, merged by offset from any source.

use std::collections::HashMap;

use bytes::Bytes;

use super::ids::LogOffset;

/// Maximum number of deleted keys that are kept; beyond it all of them are dropped.
const MAX_DELETED: usize = 4_096;

/// Record of one key of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the key; `None` if the record deletes the key.
    pub value: Option<Bytes>,
    /// Offset of the record in its topic.
    pub offset: LogOffset,
}

/// Newest record of one key, and when the value last changed.
#[derive(Debug)]
struct KeyState {
    value: Option<Bytes>,
    offset: LogOffset,
    /// Offset of the last record that changed the value.
    changed: LogOffset,
    /// Value of `changed` before the newest record.
    changed_before: LogOffset,
}

/// Newest record of each key of one topic.
#[derive(Debug, Default)]
pub struct KeyedView {
    newest: HashMap<String, KeyState>,
    deleted: usize,
    /// Offset below which all records have been applied.
    pub next: LogOffset,
}

impl KeyedView {
    /// Applies a record; returns `false` if this or a newer record of its key is known already.
    pub fn apply(&mut self, record: &KeyedRecord) -> bool {
        let known = self.newest.get(&record.key);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return false;
        }
        let state = KeyState {
            value: record.value.clone(),
            offset: record.offset,
            changed: record.offset,
            changed_before: known.map_or(record.offset, |known| known.changed),
        };
        let old = self.newest.insert(record.key.clone(), state);
        let was_deleted = old.is_some_and(|old| old.value.is_none());
        self.deleted -= usize::from(was_deleted);
        self.deleted += usize::from(record.value.is_none());
        if self.deleted > MAX_DELETED {
            self.newest.retain(|_, state| state.value.is_some());
            self.deleted = 0;
        }
        true
    }

    /// Marks the newest record of a key as a repetition of its value, such as a heartbeat.
    pub fn note_unchanged(&mut self, key: &str) {
        if let Some(state) = self.newest.get_mut(key) {
            state.changed = state.changed_before;
        }
    }

    /// Returns records that delete the keys missing from a complete listing of the topic at
    /// offset `end`; keys with a record at or after `end` are left out.
    #[must_use]
    pub fn deletions_for_missing_keys(
        &self,
        records: &[KeyedRecord],
        end: LogOffset,
    ) -> Vec<KeyedRecord> {
        let listed: std::collections::HashSet<&str> =
            records.iter().map(|record| record.key.as_str()).collect();
        let missing = self.newest.iter().filter(|(key, state)| {
            state.value.is_some() && state.offset < end && !listed.contains(key.as_str())
        });
        let deletions = missing.map(|(key, _)| KeyedRecord {
            key: key.clone(),
            value: None,
            // The last offset that the listing covers.
            offset: LogOffset(end.0.saturating_sub(1)),
        });
        deletions.collect()
    }

    /// Records that all records below an offset have been applied.
    pub fn advance(&mut self, next: LogOffset) {
        self.next = self.next.max(next);
    }

    /// Returns the newest records of the keys whose value changed at or after an offset.
    #[must_use]
    pub fn since(&self, from: LogOffset) -> Vec<KeyedRecord> {
        let newer = self
            .newest
            .iter()
            .filter(|(_, state)| state.changed >= from);
        let records = newer.map(|(key, state)| KeyedRecord {
            key: key.clone(),
            value: state.value.clone(),
            offset: state.offset,
        });
        records.collect()
    }

    /// Returns the newest value of a key, or `None` if the key is unknown or deleted.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key)?.value.as_ref()
    }

    /// Returns the offset of the newest record of a key, which may be a deletion.
    #[must_use]
    pub fn offset(&self, key: &str) -> Option<LogOffset> {
        self.newest.get(key).map(|state| state.offset)
    }
}

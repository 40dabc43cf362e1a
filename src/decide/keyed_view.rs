//! Newest record of every key of one topic, merged from any source by position.

use std::collections::HashMap;

use bytes::Bytes;

use super::ids::LogOffset;

/// Keys whose last record is a removal are remembered up to this number.
const MAX_REMOVED: usize = 4_096;

/// Newest state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` when the key was dropped.
    pub value: Option<Bytes>,
    /// Position of the record in its topic.
    pub offset: LogOffset,
}

/// Newest record of one key.
#[derive(Debug)]
struct KeyState {
    value: Option<Bytes>,
    offset: LogOffset,
    /// Position of the last record that said anything new.
    changed: LogOffset,
    /// What `changed` was before the newest record.
    changed_before: LogOffset,
}

/// What is known of one topic.
#[derive(Debug, Default)]
pub struct KeyedView {
    newest: HashMap<String, KeyState>,
    removed: usize,
    /// Offset up to which all records are known.
    pub next: LogOffset,
}

impl KeyedView {
    /// Takes in a record; `false` when a newer one of its key is known.
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
        let was_removed = old.is_some_and(|old| old.value.is_none());
        self.removed -= usize::from(was_removed);
        self.removed += usize::from(record.value.is_none());
        if self.removed > MAX_REMOVED {
            self.newest.retain(|_, state| state.value.is_some());
            self.removed = 0;
        }
        true
    }

    /// Notes that the newest record of a key repeats what was known, such as a heartbeat.
    pub fn note_unchanged(&mut self, key: &str) {
        if let Some(state) = self.newest.get_mut(key) {
            state.changed = state.changed_before;
        }
    }

    /// Returns records that drop the keys which a whole reading as of `end` no longer names.
    #[must_use]
    pub fn missing_from(&self, records: &[KeyedRecord], end: LogOffset) -> Vec<KeyedRecord> {
        let named: std::collections::HashSet<&str> =
            records.iter().map(|record| record.key.as_str()).collect();
        let gone = self.newest.iter().filter(|(key, state)| {
            state.value.is_some() && state.offset < end && !named.contains(key.as_str())
        });
        let dropped = gone.map(|(key, _)| KeyedRecord {
            key: key.clone(),
            value: None,
            // The last position that the reading covers.
            offset: LogOffset(end.0.saturating_sub(1)),
        });
        dropped.collect()
    }

    /// Notes that all records below an offset are known.
    pub fn advance(&mut self, next: LogOffset) {
        self.next = self.next.max(next);
    }

    /// Returns the newest records of keys that changed at or after an offset.
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

    /// Returns the newest value of a key, if it is not dropped.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key)?.value.as_ref()
    }

    /// Returns the position of the newest record of a key.
    #[must_use]
    pub fn offset(&self, key: &str) -> Option<LogOffset> {
        self.newest.get(key).map(|state| state.offset)
    }
}

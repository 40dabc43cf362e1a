//! Newest record of one key of a topic, and how it compares with records of a later era of the store.

use bytes::Bytes;

use super::ids::{LogOffset, LogPosition, StoreEra};
use super::keyed_view::KeyedRecord;

/// Count that the writer of a key states in its records and that only rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriterStamp {
    /// Start of the writer, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Number of the record since that start.
    pub sequence: u64,
}

/// Newest that the writer of a key has said.
#[derive(Debug, Clone, Copy)]
struct WriterState {
    stamp: WriterStamp,
    /// Era in which it was said.
    era: StoreEra,
    /// Whether the key was deleted afterwards.
    is_deleted: bool,
}

/// Newest record of one key, and when its meaning last changed.
#[derive(Debug)]
pub(super) struct KeyState {
    pub(super) value: Option<Bytes>,
    pub(super) position: LogPosition,
    /// Hash of what the value says; `None` if the key is deleted.
    pub(super) meaning: Option<u64>,
    /// Position of the last record that changed the meaning.
    pub(super) changed: LogPosition,
    /// Newest that the writer has said, over all eras; `None` if it states no count.
    writer: Option<WriterState>,
    /// Highest offset at which the key was deleted, in any era; `None` unless the topic says that it is.
    deleted_at: Option<LogOffset>,
    /// Whether the record may come from a copy of an earlier era. Another instance may know that such a
    /// record is outdated, so the next one counts as a change even if it says the same.
    may_be_copy: bool,
    /// Whether the topic has an outdated record in place of this value.
    pub(super) is_held: bool,
}

impl KeyState {
    /// Creates the state after a record that is not outdated, from the meaning and the count of its value.
    pub(super) fn following(
        known: Option<&Self>,
        record: &KeyedRecord,
        (meaning, stamp): (Option<u64>, Option<WriterStamp>),
        source: RecordSource,
    ) -> Self {
        let era = record.position.era;
        // A repetition, such as a heartbeat, changes nothing for those that know the record before it.
        let repeated = known.filter(|known| {
            let follows = source == RecordSource::Topic && known.position.era == era;
            follows && !known.may_be_copy && known.meaning == meaning
        });
        Self {
            value: record.value.clone(),
            position: record.position,
            meaning,
            changed: match (source, repeated) {
                // Others find out themselves which keys the topic lacks.
                (RecordSource::Missing, _) => LogPosition::default(),
                (_, Some(known)) => known.changed,
                (_, None) => record.position,
            },
            writer: writer_state(known.and_then(|known| known.writer), record, stamp, source),
            deleted_at: deleted_at(known, record, source),
            may_be_copy: source == RecordSource::EnteredEra,
            is_held: false,
        }
    }

    /// Returns whether a record with this count was written before what is known.
    pub(super) fn outdates(
        &self,
        record: &KeyedRecord,
        stamp: Option<WriterStamp>,
        source: RecordSource,
    ) -> bool {
        let era = record.position.era;
        // Heartbeats before the deletion may be unknown, so their count tells nothing. If the record is
        // a new one, the next one shows it.
        let precedes_deletion = self
            .deleted_at
            .is_some_and(|deleted_at| record.position.offset <= deleted_at);
        let may_be_copy = source == RecordSource::EnteredEra && era > self.position.era;
        let is_entry = record.value.is_some();
        is_entry && may_be_copy && precedes_deletion || self.outdates_stamp(era, stamp)
    }

    fn outdates_stamp(&self, era: StoreEra, stamp: Option<WriterStamp>) -> bool {
        let (Some(writer), Some(stamp)) = (self.writer, stamp) else {
            return false;
        };
        let is_older = stamp < writer.stamp || (stamp == writer.stamp && writer.is_deleted);
        writer.era < era && is_older
    }

    /// Returns what is known in place of an outdated record at a position.
    pub(super) fn moved_to(&self, position: LogPosition) -> Self {
        Self {
            value: self.value.clone(),
            position,
            meaning: self.meaning,
            changed: position,
            writer: self.writer,
            deleted_at: self.deleted_at,
            may_be_copy: true,
            is_held: true,
        }
    }

    /// Returns whether a record at the same position is what another instance holds in place of the one that
    /// is known here.
    pub(super) fn is_held_elsewhere(
        &self,
        record: &KeyedRecord,
        stamp: Option<WriterStamp>,
        source: RecordSource,
    ) -> bool {
        let known = self.writer.map(|writer| writer.stamp);
        let is_newer = record.value.is_none() || stamp > known;
        let is_forwarded = source == RecordSource::Newest && record.position == self.position;
        is_forwarded && self.value.is_some() && is_newer
    }
}

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// The topic, right after the record before it.
    Topic,
    /// A listing or another instance, which leave out the records before it.
    Newest,
    /// The same, in a later era than that of the view.
    EnteredEra,
    /// The key is missing from the topic of a later era.
    Missing,
}

/// Returns the highest offset at which a key is known to be deleted, with a record that is not outdated.
fn deleted_at(
    known: Option<&KeyState>,
    record: &KeyedRecord,
    source: RecordSource,
) -> Option<LogOffset> {
    if record.value.is_some() || source == RecordSource::Missing {
        return None;
    }
    let known_at = known.and_then(|known| known.deleted_at);
    known_at.max(Some(record.position.offset))
}

/// Returns the newest that the writer of a key has said, with a record that is not outdated.
fn writer_state(
    known: Option<WriterState>,
    record: &KeyedRecord,
    stamp: Option<WriterStamp>,
    source: RecordSource,
) -> Option<WriterState> {
    if record.value.is_some() {
        let era = record.position.era;
        return stamp.map(|stamp| WriterState {
            stamp,
            era,
            is_deleted: false,
        });
    }
    if source == RecordSource::Missing {
        return known;
    }
    known.map(|known| WriterState {
        is_deleted: true,
        ..known
    })
}

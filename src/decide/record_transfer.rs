//! Transfer of the newest records of a topic from other instances in pieces, which goes on where it
//! stopped when a source fails.

use std::time::Duration;

use bytes::Bytes;

use super::ids::LogPosition;
use super::keyed_view::{KeyedRecord, KeyedView};
use crate::kernel::Moment;

/// Bytes of values in one page; a link of 10 Mbps carries them in 52 ms, uncompressed.
pub const PAGE_BYTES: usize = 64 * 1024;

/// Largest value that is accepted, in bytes; the store takes 256 KiB.
const MAX_VALUE_BYTES: u64 = 4 * 1024 * 1024;

/// Number of instances that read records from one instance at the same time. A few that finish
/// early become sources themselves; many at once would all finish late.
const MAX_READERS: usize = 3;

/// Time without a call after which a reader's seat is free again.
const SEAT_TIME: Duration = Duration::from_millis(400);

/// How far a transfer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferCursor {
    /// Position from which the reader needs all newest records.
    pub from: LogPosition,
    /// Position from which records are still to come.
    pub at: LogPosition,
    /// Bytes of the value at position `at` that the reader has.
    pub held: u64,
    /// Position below which the sources so far had all records. A source that is behind it may lack
    /// a record that replaced one before `at`.
    pub as_of: LogPosition,
}

/// Record, or part of its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPiece {
    /// Key of the record.
    pub key: String,
    /// Position of the record in its topic.
    pub position: LogPosition,
    /// Size of the whole value, in bytes; `None` if the record deletes the key.
    pub value_bytes: Option<u64>,
    /// Position of `part` in the value, in bytes.
    pub start: u64,
    /// Part of the value.
    pub part: Bytes,
}

/// Records that a source sends in response to one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPage {
    /// Records in the order of their positions; the last one may be incomplete.
    pub pieces: Vec<RecordPiece>,
    /// Position below which the source has all records.
    pub next: LogPosition,
    /// Whether no record follows the last piece.
    pub is_last: bool,
}

/// Returns the page of a topic at a cursor; `None` if the source is behind the reader's earlier ones,
/// or does not know all deletions since the reader's position.
#[must_use]
pub fn page_at(view: &KeyedView, cursor: TransferCursor) -> Option<RecordPage> {
    if view.next < cursor.as_of || !view.covers(cursor.from) {
        return None;
    }
    let mut records = view.since(cursor.from);
    records.retain(|record| record.position >= cursor.at);
    // Deletions that follow from one listing share a position, also with a record.
    records.sort_unstable_by_key(|record| (record.position, record.value.is_some()));
    let mut pieces = Vec::new();
    let mut room = PAGE_BYTES;
    let mut is_last = true;
    for record in records {
        if !is_last || room == 0 && record.value.is_some() {
            is_last = false;
            break;
        }
        let value = record.value.as_ref();
        let size = value.map_or(0, Bytes::len);
        let is_resumed = record.position == cursor.at && value.is_some();
        let held = usize::try_from(cursor.held).unwrap_or(usize::MAX);
        let start = if is_resumed { held.min(size) } else { 0 };
        let end = size.min(start.saturating_add(room));
        room -= end - start;
        is_last = end == size;
        pieces.push(RecordPiece {
            key: record.key,
            position: record.position,
            value_bytes: value.map(|value| value.len() as u64),
            start: start as u64,
            part: value.map_or_else(Bytes::new, |value| value.slice(start..end)),
        });
    }
    Some(RecordPage {
        pieces,
        next: view.next,
        is_last,
    })
}

/// What a page brings to the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// These records are complete, and more follow.
    Continue(Vec<KeyedRecord>),
    /// With these records the reader has all records below the position.
    Complete(Vec<KeyedRecord>, LogPosition),
    /// The page does not continue the transfer; its source is of no use.
    Mismatch,
}

/// Reader's side of a transfer.
#[derive(Debug)]
pub struct RecordTransfer {
    from: LogPosition,
    at: LogPosition,
    as_of: LogPosition,
    /// Part of the value at position `at` that has arrived.
    partial: Vec<u8>,
    /// Records of a later era than the reader's, which tell only together what that era lacks.
    later: Vec<KeyedRecord>,
}

impl RecordTransfer {
    /// Begins a transfer to a reader that has all records below a position.
    #[must_use]
    pub const fn new(from: LogPosition) -> Self {
        Self {
            from,
            at: from,
            as_of: from,
            partial: Vec::new(),
            later: Vec::new(),
        }
    }

    /// Returns how far the transfer has come.
    #[must_use]
    pub const fn cursor(&self) -> TransferCursor {
        TransferCursor {
            from: self.from,
            at: self.at,
            held: self.partial.len() as u64,
            as_of: self.as_of,
        }
    }

    /// Applies a page; one that does not continue the transfer takes back what it has brought.
    pub fn apply(&mut self, page: RecordPage) -> TransferStep {
        let begun_at = self.at;
        let mut records = Vec::new();
        for piece in page.pieces {
            match self.apply_piece(piece) {
                PieceStep::Complete(record) => records.push(record),
                PieceStep::Partial => {}
                PieceStep::Mismatch => {
                    self.at = begun_at;
                    return TransferStep::Mismatch;
                }
            }
        }
        self.as_of = self.as_of.max(page.next);
        if self.as_of.era > self.from.era {
            self.later.append(&mut records);
        }
        if !page.is_last || !self.partial.is_empty() {
            return TransferStep::Continue(records);
        }
        records.append(&mut self.later);
        TransferStep::Complete(records, self.as_of)
    }

    fn apply_piece(&mut self, piece: RecordPiece) -> PieceStep {
        let Some(size) = piece.value_bytes else {
            return self.apply_deletion(piece);
        };
        // The record that was partly here may have been replaced by a newer one.
        if piece.position != self.at {
            self.partial.clear();
        }
        let held = self.partial.len() as u64;
        let is_next = piece.position >= self.at && piece.start == held;
        let end = held.saturating_add(piece.part.len() as u64);
        if !is_next || end > size || size > MAX_VALUE_BYTES {
            self.partial.clear();
            return PieceStep::Mismatch;
        }
        self.at = piece.position;
        self.partial.extend_from_slice(&piece.part);
        if end < size {
            return PieceStep::Partial;
        }
        let value = std::mem::take(&mut self.partial);
        self.at = piece.position.following();
        PieceStep::Complete(KeyedRecord {
            key: piece.key,
            value: Some(Bytes::from(value)),
            position: piece.position,
        })
    }

    /// Applies a deletion, after which further records may come at the same position.
    fn apply_deletion(&mut self, piece: RecordPiece) -> PieceStep {
        if piece.position < self.at || !piece.part.is_empty() {
            self.partial.clear();
            return PieceStep::Mismatch;
        }
        if piece.position > self.at {
            self.partial.clear();
        }
        self.at = piece.position;
        PieceStep::Complete(KeyedRecord {
            key: piece.key,
            value: None,
            position: piece.position,
        })
    }
}

/// What a piece brings to the reader.
#[derive(Debug)]
enum PieceStep {
    Complete(KeyedRecord),
    Partial,
    Mismatch,
}

/// Instances that read records from this one at present.
#[derive(Debug, Default)]
pub struct ReaderSeats {
    /// Readers by the hash of their name, each with the end of its seat.
    seats: Vec<(u64, Moment)>,
}

impl ReaderSeats {
    /// Returns whether a reader may read a page now, and keeps its seat for the next one.
    pub fn admit(&mut self, now: Moment, reader: u64) -> bool {
        self.seats
            .retain(|(known, ends_at)| *known != reader && !ends_at.is_due(now));
        if self.seats.len() >= MAX_READERS {
            return false;
        }
        self.seats.push((reader, now.after(SEAT_TIME)));
        true
    }

    /// Frees the seat of a reader that has got its last page.
    pub fn release(&mut self, reader: u64) {
        self.seats.retain(|(known, _)| *known != reader);
    }
}

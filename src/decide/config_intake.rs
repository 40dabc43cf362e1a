//! Takes pages of the configuration stream in any order and says what to read next.

use std::sync::Arc;

use super::config::Configuration;
use super::config_change::{ApplyOutcome, ConfigRecord};
use super::ids::LogOffset;
use super::snapshot::{PartCollector, Snapshot, SnapshotPart};

/// What a record of the configuration stream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEntry {
    /// A confirmed plan.
    Record(ConfigRecord),
    /// Part of a snapshot.
    Part(SnapshotPart),
    /// A snapshot part whose content was left out because it changes nothing in order.
    Passed,
    /// Nothing that has a meaning; the reason is for people.
    Malformed(String),
}

/// A record of the configuration stream and its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedEntry {
    /// Position on the stream.
    pub offset: LogOffset,
    /// What it holds.
    pub entry: ConfigEntry,
}

/// Records of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPage {
    /// Oldest offset that the source still has.
    pub first: LogOffset,
    /// Offset of the next record that the source will have.
    pub next: LogOffset,
    /// Records in ascending order.
    pub entries: Vec<NumberedEntry>,
}

/// A record without effect, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedRecord {
    /// Position on the stream.
    pub offset: LogOffset,
    /// Why it has no effect.
    pub reason: String,
}

/// What became of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenPage {
    /// Offset to read from next.
    pub read_from: LogOffset,
    /// Records that were replayed without effect.
    pub skipped: Vec<SkippedRecord>,
    /// Whether the page completed a snapshot, needed or not.
    pub saw_snapshot: bool,
}

/// Builds the configuration from pages of the log or of other processes.
#[derive(Debug, Default)]
pub struct ConfigIntake {
    /// The configuration in force.
    pub current: Arc<Configuration>,
    parts: PartCollector,
}

impl ConfigIntake {
    /// Takes a page; duplicates, old pages and pages after a gap do no harm.
    pub fn take_page(&mut self, page: EntryPage) -> TakenPage {
        let mut taken = TakenPage {
            read_from: self.current.next_offset,
            skipped: Vec::new(),
            saw_snapshot: false,
        };
        let last = page.entries.last().map(|last| LogOffset(last.offset.0 + 1));
        let scanned = last.unwrap_or(page.next);
        for NumberedEntry { offset, entry } in page.entries {
            if let Some(skipped) = self.take_entry(offset, entry, page.first, &mut taken) {
                taken.skipped.push(skipped);
            }
        }
        taken.read_from = self.read_from(page.first, scanned);
        taken
    }

    /// Takes a snapshot from another process; one that is not ahead changes nothing.
    pub fn take_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.next_offset > self.current.next_offset {
            self.current = Arc::new(snapshot.restore());
        }
    }

    fn take_entry(
        &mut self,
        offset: LogOffset,
        entry: ConfigEntry,
        first: LogOffset,
        taken: &mut TakenPage,
    ) -> Option<SkippedRecord> {
        let is_next = offset == self.current.next_offset;
        let reason = match entry {
            ConfigEntry::Record(record) => {
                match Arc::make_mut(&mut self.current).apply(offset, &record) {
                    ApplyOutcome::Refused(refusal) => refusal.to_string(),
                    ApplyOutcome::Applied | ApplyOutcome::Stale | ApplyOutcome::Gap => return None,
                }
            }
            ConfigEntry::Part(part) if part.next_offset > offset => {
                "the snapshot contains records after itself".to_owned()
            }
            ConfigEntry::Part(part) => {
                self.pass(offset);
                if let Some(snapshot) = self.parts.add(part) {
                    taken.saw_snapshot = true;
                    self.take_log_snapshot(&snapshot, first);
                }
                return None;
            }
            ConfigEntry::Passed => {
                self.pass(offset);
                return None;
            }
            ConfigEntry::Malformed(reason) => reason,
        };
        self.pass(offset);
        is_next.then_some(SkippedRecord { offset, reason })
    }

    /// Replay is preferred: a snapshot is taken only over records that the log has dropped.
    fn take_log_snapshot(&mut self, snapshot: &Snapshot, first: LogOffset) {
        if self.current.next_offset < first {
            self.take_snapshot(snapshot);
        }
    }

    fn pass(&mut self, offset: LogOffset) {
        if offset == self.current.next_offset {
            Arc::make_mut(&mut self.current).skip(offset);
        }
    }

    /// While records are missing, scans on for a snapshot; otherwise reads what comes next.
    fn read_from(&self, first: LogOffset, scanned: LogOffset) -> LogOffset {
        let next_offset = self.current.next_offset;
        if next_offset < first {
            return scanned;
        }
        next_offset
    }
}

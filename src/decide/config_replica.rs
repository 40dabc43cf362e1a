//! Local replica of the configuration, built from pages of the configuration stream in any order.

use std::sync::Arc;

use super::config::Configuration;
use super::config_change::{ApplyOutcome, PlanRecord};
use super::ids::LogOffset;
use super::snapshot::{PartCollector, Snapshot, SnapshotPart};

/// Decoded record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamRecord {
    /// A confirmed plan.
    Plan(PlanRecord),
    /// Part of a snapshot.
    Part(SnapshotPart),
    /// A snapshot part without its content, which is not needed when no record is missing.
    Omitted,
    /// A record that cannot be decoded, and the reason.
    Malformed(String),
}

/// Decoded record of the configuration stream and its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Offset on the configuration stream.
    pub offset: LogOffset,
    /// Decoded record.
    pub record: StreamRecord,
}

/// Page of consecutive records of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamPage {
    /// Oldest offset that the source of the page still has.
    pub first: LogOffset,
    /// Offset after the newest record of the source.
    pub next: LogOffset,
    /// Records in ascending offset order.
    pub records: Vec<NumberedRecord>,
}

/// Record without effect, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedRecord {
    /// Offset on the configuration stream.
    pub offset: LogOffset,
    /// Reason why the record has no effect.
    pub reason: String,
}

/// Result of applying a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageOutcome {
    /// Offset to read next.
    pub read_from: LogOffset,
    /// Records that were replayed without effect.
    pub skipped: Vec<SkippedRecord>,
    /// Whether the page completed a snapshot, even if the snapshot was not needed.
    pub saw_snapshot: bool,
}

/// Local replica of the configuration, built from pages of the log and of other processes.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    /// The configuration in force.
    pub current: Arc<Configuration>,
    parts: PartCollector,
}

impl ConfigReplica {
    /// Applies a page; records before the next offset or after a gap are ignored.
    pub fn apply_page(&mut self, page: StreamPage) -> PageOutcome {
        let mut outcome = PageOutcome {
            read_from: self.current.next_offset,
            skipped: Vec::new(),
            saw_snapshot: false,
        };
        let last = page.records.last().map(|last| LogOffset(last.offset.0 + 1));
        let scanned = last.unwrap_or(page.next);
        for NumberedRecord { offset, record } in page.records {
            if let Some(skipped) = self.apply_record(offset, record, page.first, &mut outcome) {
                outcome.skipped.push(skipped);
            }
        }
        outcome.read_from = self.read_from(page.first, scanned);
        outcome
    }

    /// Replaces the configuration by a snapshot of another process, if the snapshot is newer.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.next_offset > self.current.next_offset {
            self.current = Arc::new(snapshot.restore());
        }
    }

    fn apply_record(
        &mut self,
        offset: LogOffset,
        record: StreamRecord,
        first: LogOffset,
        outcome: &mut PageOutcome,
    ) -> Option<SkippedRecord> {
        let is_next = offset == self.current.next_offset;
        let reason = match record {
            StreamRecord::Plan(record) => {
                match Arc::make_mut(&mut self.current).apply(offset, &record) {
                    ApplyOutcome::Refused(refusal) => refusal.to_string(),
                    ApplyOutcome::Applied | ApplyOutcome::Stale | ApplyOutcome::Gap => return None,
                }
            }
            StreamRecord::Part(part) if part.next_offset > offset => {
                "the snapshot covers records after its own offset".to_owned()
            }
            StreamRecord::Part(part) => {
                self.skip(offset);
                if let Some(snapshot) = self.parts.add(part) {
                    outcome.saw_snapshot = true;
                    self.apply_log_snapshot(&snapshot, first);
                }
                return None;
            }
            StreamRecord::Omitted => {
                self.skip(offset);
                return None;
            }
            StreamRecord::Malformed(reason) => reason,
        };
        self.skip(offset);
        is_next.then_some(SkippedRecord { offset, reason })
    }

    /// Applies a snapshot of the log only if the log has already dropped records that are needed.
    fn apply_log_snapshot(&mut self, snapshot: &Snapshot, first: LogOffset) {
        if self.current.next_offset < first {
            self.apply_snapshot(snapshot);
        }
    }

    fn skip(&mut self, offset: LogOffset) {
        if offset == self.current.next_offset {
            Arc::make_mut(&mut self.current).skip(offset);
        }
    }

    /// Returns the offset to read next: the next record to replay or, if the log has dropped it,
    /// the end of the page, to search for a snapshot.
    fn read_from(&self, first: LogOffset, scanned: LogOffset) -> LogOffset {
        let next_offset = self.current.next_offset;
        if next_offset < first {
            return scanned;
        }
        next_offset
    }
}

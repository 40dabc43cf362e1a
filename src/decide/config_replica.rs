//! Local replica of the configuration, built from pages of the configuration stream in any order.
//!
//! When the log comes back from an older copy, offsets are given out again, so its records are
//! replayed from the start into a new configuration. The configuration in force stays until the log
//! has a plan that was not on it before, or again all plans that were.

use std::sync::Arc;

use super::config::Configuration;
use super::config_change::{ApplyOutcome, PlanRecord};
use super::ids::{LogOffset, LogPosition, StoreEra};
use super::plan_trail::PlanTrail;
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
    /// Era of the log that the source has read.
    pub era: StoreEra,
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
    /// Plans seen in the era of the configuration in force.
    trail: PlanTrail,
    rebuild: Option<ConfigRebuild>,
    parts: PartCollector,
}

/// Replay of a higher era than that of the configuration in force.
#[derive(Debug)]
struct ConfigRebuild {
    configuration: Arc<Configuration>,
    trail: PlanTrail,
    /// Oldest offset of the log when the replay began.
    first: LogOffset,
}

impl ConfigReplica {
    /// Returns the position of the next record to replay.
    #[must_use]
    pub fn next(&self) -> LogPosition {
        self.replayed().next()
    }

    /// Returns whether a higher era is replayed than that of the configuration in force.
    #[must_use]
    pub const fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }

    /// Applies a page; an earlier era, and records before the next offset or after a gap, are ignored.
    pub fn apply_page(&mut self, page: StreamPage) -> PageOutcome {
        let mut outcome = PageOutcome {
            read_from: self.next().offset,
            skipped: Vec::new(),
            saw_snapshot: false,
        };
        if page.era < self.next().era {
            return outcome;
        }
        let starts_at = page.records.first().map(|record| record.offset);
        if self.enter_era(page.era, page.first) && starts_at.is_none_or(|at| at > page.first) {
            // The page was requested from an offset of the earlier era.
            outcome.read_from = page.first;
            return outcome;
        }
        let last = page.records.last().map(|last| LogOffset(last.offset.0 + 1));
        let scanned = last.unwrap_or(page.next);
        for NumberedRecord { offset, record } in page.records {
            if let Some(skipped) = self.apply_record(offset, record, page.first, &mut outcome) {
                outcome.skipped.push(skipped);
            }
        }
        outcome.read_from = self.read_from(page.first, scanned);
        self.end_rebuild(page.next);
        outcome
    }

    /// Replaces the configuration by a snapshot of another process, if the snapshot is newer.
    pub fn apply_snapshot(&mut self, era: StoreEra, snapshot: &Snapshot) {
        let next = LogPosition {
            era,
            offset: snapshot.next_offset,
        };
        if next <= self.next() {
            return;
        }
        self.enter_era(era, LogOffset(0));
        self.restore(snapshot);
        if let Some(rebuild) = self.rebuild.take() {
            self.put_in_force(rebuild);
        }
    }

    /// Starts the replay of a higher era; returns `false` if the era is not higher.
    fn enter_era(&mut self, era: StoreEra, first: LogOffset) -> bool {
        if era <= self.next().era {
            return false;
        }
        self.parts = PartCollector::default();
        self.rebuild = Some(ConfigRebuild {
            configuration: Arc::new(Configuration {
                era,
                ..Configuration::default()
            }),
            trail: PlanTrail::default(),
            first,
        });
        true
    }

    /// Puts the replay of a higher era in force if it has reached the end of the log, and the log has
    /// newer plans than before or lacks none.
    fn end_rebuild(&mut self, end: LogOffset) {
        let (current, trail) = (&self.current, &self.trail);
        let ended = self.rebuild.take_if(|rebuild| {
            let next = rebuild.configuration.next_offset;
            if next < end {
                return false;
            }
            let is_emptied = next == LogOffset(0) && current.next_offset > next;
            let has_lost = is_emptied || trail.has_more_than(&rebuild.trail, rebuild.first);
            !has_lost || rebuild.trail.has_more_than(trail, LogOffset(0))
        });
        if let Some(rebuild) = ended {
            self.put_in_force(rebuild);
        }
    }

    fn put_in_force(&mut self, rebuild: ConfigRebuild) {
        self.current = rebuild.configuration;
        self.trail = rebuild.trail;
    }

    /// Returns the configuration into which records are replayed.
    fn replayed(&self) -> &Configuration {
        let rebuild = self.rebuild.as_ref();
        rebuild.map_or(&self.current, |rebuild| &rebuild.configuration)
    }

    fn replayed_mut(&mut self) -> &mut Configuration {
        let rebuild = self.rebuild.as_mut();
        let replayed = rebuild.map_or(&mut self.current, |rebuild| &mut rebuild.configuration);
        Arc::make_mut(replayed)
    }

    fn trail_mut(&mut self) -> &mut PlanTrail {
        let rebuild = self.rebuild.as_mut();
        rebuild.map_or(&mut self.trail, |rebuild| &mut rebuild.trail)
    }

    /// Replaces the replayed configuration by a snapshot of the same era.
    fn restore(&mut self, snapshot: &Snapshot) {
        let era = self.next().era;
        *self.replayed_mut() = Configuration {
            era,
            ..snapshot.restore()
        };
    }

    fn apply_record(
        &mut self,
        offset: LogOffset,
        record: StreamRecord,
        first: LogOffset,
        outcome: &mut PageOutcome,
    ) -> Option<SkippedRecord> {
        let is_next = offset == self.next().offset;
        let reason = match record {
            StreamRecord::Plan(record) => {
                self.trail_mut().add(offset, record.plan_id);
                match self.replayed_mut().apply(offset, &record) {
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
        let next_offset = self.next().offset;
        if next_offset < first && snapshot.next_offset > next_offset {
            self.restore(snapshot);
        }
    }

    fn skip(&mut self, offset: LogOffset) {
        if offset == self.next().offset {
            self.replayed_mut().skip(offset);
        }
    }

    /// Returns the offset to read next: the next record to replay or, if the log has dropped it,
    /// the end of the page, to search for a snapshot.
    fn read_from(&self, first: LogOffset, scanned: LogOffset) -> LogOffset {
        let next_offset = self.next().offset;
        if next_offset < first {
            return scanned;
        }
        next_offset
    }
}

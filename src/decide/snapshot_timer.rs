//! Timer for snapshots: a process writes one at a random deadline, unless another process has
//! written one before.

use std::time::Duration;

use crate::kernel::Moment;

/// Timer that makes a process write a snapshot well before the log drops the last one.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotTimer {
    /// Retention time of the log, in milliseconds.
    pub retention_ms: u64,
    /// Time at which this process writes a snapshot, unless it sees a complete one before.
    pub due_at: Moment,
}

/// Next action of the snapshot timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Do nothing until the deadline.
    WaitUntil(Moment),
    /// Write a snapshot now.
    Write,
}

impl SnapshotTimer {
    /// Starts the timer with an early deadline, since the age of the last snapshot is unknown.
    #[must_use]
    pub fn start(retention_ms: u64, now: Moment, random: u64) -> Self {
        let due_at = random_moment(now, retention_ms / 8, retention_ms / 4, random);
        Self {
            retention_ms,
            due_at,
        }
    }

    /// Sets a new deadline after a complete snapshot has been read from the log.
    pub fn on_snapshot_seen(&mut self, now: Moment, random: u64) {
        self.due_at = random_moment(now, self.retention_ms / 4, self.retention_ms / 2, random);
    }

    /// Returns the next action; a snapshot that does not appear on the log is written again later.
    pub fn step(&mut self, now: Moment, random: u64) -> SnapshotStep {
        if !self.due_at.is_due(now) {
            return SnapshotStep::WaitUntil(self.due_at);
        }
        self.due_at = random_moment(now, self.retention_ms / 32, self.retention_ms / 16, random);
        SnapshotStep::Write
    }
}

/// Returns a random time at least `from_ms` and less than `below_ms` milliseconds after now.
#[must_use]
pub fn random_moment(now: Moment, from_ms: u64, below_ms: u64, random: u64) -> Moment {
    let span_ms = below_ms.saturating_sub(from_ms).max(1);
    now.after(Duration::from_millis(from_ms + random % span_ms))
}

//! When a process writes a snapshot: at a random deadline, unless another process was first.

use std::time::Duration;

use crate::kernel::Moment;

/// Decides when to write a snapshot, well before the log drops the last one.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotTimer {
    /// Milliseconds for which the log keeps records.
    pub retention_ms: u64,
    /// When this process writes, unless it sees a whole snapshot before.
    pub due_at: Moment,
}

/// What to do about snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Nothing until the deadline.
    WaitUntil(Moment),
    /// Write one now.
    Write,
}

impl SnapshotTimer {
    /// Starts the timer; the age of the last snapshot is unknown, so the first deadline is early.
    #[must_use]
    pub fn start(retention_ms: u64, now: Moment, random: u64) -> Self {
        let due_at = draw(now, retention_ms / 8, retention_ms / 4, random);
        Self {
            retention_ms,
            due_at,
        }
    }

    /// Takes in that a whole snapshot has been seen on the log.
    pub fn snapshot_seen(&mut self, now: Moment, random: u64) {
        self.due_at = draw(now, self.retention_ms / 4, self.retention_ms / 2, random);
    }

    /// Returns what to do now; a write that is not seen on the log is repeated later.
    pub fn step(&mut self, now: Moment, random: u64) -> SnapshotStep {
        if !self.due_at.is_due(now) {
            return SnapshotStep::WaitUntil(self.due_at);
        }
        self.due_at = draw(now, self.retention_ms / 32, self.retention_ms / 16, random);
        SnapshotStep::Write
    }
}

/// Returns a moment between two delays from now.
#[must_use]
pub fn draw(now: Moment, from_ms: u64, below_ms: u64, random: u64) -> Moment {
    let span_ms = below_ms.saturating_sub(from_ms).max(1);
    now.after(Duration::from_millis(from_ms + random % span_ms))
}

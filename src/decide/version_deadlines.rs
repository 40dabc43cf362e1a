//! Deadlines of a model's versions: until when requests may start on older weights.

use std::time::Duration;

use crate::kernel::Moment;

/// Maximum number of versions of a model whose deadlines are kept; newer versions supersede older
/// ones.
const MAX_VERSIONS: usize = 16;

/// Deadlines of the versions of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionDeadlines {
    /// Versions, oldest first, each with the time from which no request may start on older weights.
    deadlines: Vec<(u64, Moment)>,
}

impl VersionDeadlines {
    /// Adds a version with its deadline.
    pub fn push(&mut self, version: u64, deadline: Moment) {
        self.deadlines.push((version, deadline));
        let excess = self.deadlines.len().saturating_sub(MAX_VERSIONS);
        self.deadlines.drain(..excess);
    }

    /// Moves the deadline of a known version forward to `deadline` if that is earlier.
    pub fn shorten(&mut self, version: u64, deadline: Moment) {
        let known = self
            .deadlines
            .iter_mut()
            .find(|(listed, _)| *listed == version);
        if let Some((_, due)) = known {
            *due = (*due).min(deadline);
        }
    }

    /// Returns the time from which no request may start on `version`; `None` if no newer version is
    /// known.
    #[must_use]
    pub fn start_deadline(&self, version: u64) -> Option<Moment> {
        let newer = self.deadlines.iter().filter(|(newer, _)| *newer > version);
        newer.map(|(_, deadline)| *deadline).min()
    }

    /// Returns the oldest version on which a request that is sent now may still start, if that takes
    /// `start_delay`.
    #[must_use]
    pub fn oldest_allowed(&self, now: Moment, start_delay: Duration) -> u64 {
        let started_at = now.after(start_delay);
        let expired = self
            .deadlines
            .iter()
            .rev()
            .find(|(_, deadline)| deadline.is_due(started_at));
        expired.map_or(0, |(version, _)| *version)
    }

    /// Iterates over the versions and their deadlines, oldest version first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Moment)> {
        self.deadlines.iter().copied()
    }
}

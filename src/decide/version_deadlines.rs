//! Deadlines of a model's versions: until when requests may start on older weights.

use std::time::Duration;

use crate::kernel::Moment;

/// Maximum number of versions of a model whose deadlines are kept; newer versions supersede older
/// ones.
const MAX_VERSIONS: usize = 16;

/// Time before the deadline of outdated weights from which no more requests are sent to them; those
/// that have not started by the deadline are cancelled.
const START_ALLOWANCE: Duration = Duration::from_millis(1_500);

/// Time in which an upstream notices that a request was cancelled.
const CANCELLATION_TIME: Duration = Duration::from_millis(250);

/// Deadlines of the versions of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionDeadlines {
    /// Versions, oldest first, each with the time from which no request may start on older weights.
    deadlines: Vec<(u64, Moment)>,
}

impl VersionDeadlines {
    /// Records the deadline of a version; of several reports the earliest deadline applies. Returns
    /// whether this changed a deadline.
    pub fn record(&mut self, version: u64, deadline: Moment) -> bool {
        let position = self
            .deadlines
            .binary_search_by_key(&version, |(listed, _)| *listed);
        match position {
            Err(0) if self.deadlines.len() == MAX_VERSIONS => return false,
            Ok(known) if self.deadlines[known].1 <= deadline => return false,
            Ok(known) => self.deadlines[known].1 = deadline,
            Err(place) => self.deadlines.insert(place, (version, deadline)),
        }
        let excess = self.deadlines.len().saturating_sub(MAX_VERSIONS);
        self.deadlines.drain(..excess);
        true
    }

    /// Returns the newest version with a deadline; 0 if there is none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.deadlines.last().map_or(0, |(version, _)| *version)
    }

    /// Returns the time from which no request may start on `version`; `None` if no newer version is
    /// known.
    #[must_use]
    pub fn start_deadline(&self, version: u64) -> Option<Moment> {
        let newer = self.deadlines.iter().filter(|(newer, _)| *newer > version);
        newer.map(|(_, deadline)| *deadline).min()
    }

    /// Returns the time at which a request on `version` that has not started is cancelled; `None` if
    /// no newer version is known.
    #[must_use]
    pub fn cancel_at(&self, version: u64) -> Option<Moment> {
        let deadline = self.start_deadline(version)?;
        Some(deadline.before(CANCELLATION_TIME))
    }

    /// Returns the oldest version to which requests may still be sent.
    #[must_use]
    pub fn oldest_allowed(&self, now: Moment) -> u64 {
        let started_at = now.after(START_ALLOWANCE);
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

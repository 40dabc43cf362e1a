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

/// Time from which no request may start on weights older than a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct VersionDeadline {
    version: u64,
    /// Earliest deadline that an instance counted from the time at which it read the new version;
    /// `NEVER` without one.
    observed: Moment,
    /// Deadline that this instance assumes because it does not know the version's age; `NEVER`
    /// without one.
    assumed: Moment,
}

impl VersionDeadline {
    fn due(&self) -> Moment {
        self.observed.min(self.assumed)
    }
}

/// Deadlines of the versions of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionDeadlines {
    /// One entry for each version, oldest first.
    deadlines: Vec<VersionDeadline>,
}

impl VersionDeadlines {
    /// Records the deadline of a version that this instance or another one observed; the earliest
    /// applies. Returns whether this changed the deadline.
    pub fn record(&mut self, version: u64, deadline: Moment) -> bool {
        self.update(version, |entry| {
            entry.observed = entry.observed.min(deadline);
        })
    }

    /// Returns whether this instance or another one has observed the deadline of a version.
    #[must_use]
    pub fn is_observed(&self, version: u64) -> bool {
        self.observed().any(|(observed, _)| observed == version)
    }

    /// Assumes a deadline for a version of unknown age, which other instances are not told. Returns
    /// whether this changed the deadline.
    pub fn assume(&mut self, version: u64, deadline: Moment) -> bool {
        self.update(version, |entry| {
            entry.assumed = entry.assumed.min(deadline);
        })
    }

    fn update(&mut self, version: u64, change: impl FnOnce(&mut VersionDeadline)) -> bool {
        let position = self
            .deadlines
            .binary_search_by_key(&version, |entry| entry.version);
        let place = match position {
            Err(0) if self.deadlines.len() == MAX_VERSIONS => return false,
            Err(place) => {
                let entry = VersionDeadline {
                    version,
                    observed: Moment::NEVER,
                    assumed: Moment::NEVER,
                };
                self.deadlines.insert(place, entry);
                place
            }
            Ok(place) => place,
        };
        let entry = &mut self.deadlines[place];
        let before = entry.due();
        change(entry);
        let is_changed = entry.due() != before;
        let excess = self.deadlines.len().saturating_sub(MAX_VERSIONS);
        self.deadlines.drain(..excess);
        is_changed
    }

    /// Returns the newest version with a deadline; 0 if there is none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.deadlines.last().map_or(0, |entry| entry.version)
    }

    /// Returns the time from which no request may start on `version`; `None` if no newer version is
    /// known.
    #[must_use]
    pub fn start_deadline(&self, version: u64) -> Option<Moment> {
        let newer = self
            .deadlines
            .iter()
            .filter(|entry| entry.version > version);
        newer.map(VersionDeadline::due).min()
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
            .find(|entry| entry.due().is_due(started_at));
        expired.map_or(0, |entry| entry.version)
    }

    /// Iterates over the versions with an observed deadline, oldest first.
    pub fn observed(&self) -> impl Iterator<Item = (u64, Moment)> {
        let observed = self.deadlines.iter();
        let observed = observed.filter(|entry| entry.observed != Moment::NEVER);
        observed.map(|entry| (entry.version, entry.observed))
    }
}

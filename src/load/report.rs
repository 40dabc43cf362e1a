//! Statistics of a run by target, rank, customer class and phase.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::engine_stats::EngineTotals;
use super::sample::{CustomerClass, RequestSample, SampleOutcome};
use super::workload::LoadPhase;
use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Upper bound of the histograms in microseconds; longer times are recorded as this value.
const MAX_TIME_US: u64 = 120_000_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Deadlines for the first token in microseconds, indexed by [`Rank::index`].
pub type RankDeadlines = [u64; 2];

/// Criteria of the requests in a group; `None` matches all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupKey {
    /// Rank of the requests.
    pub rank: Rank,
    /// Size of the customers.
    pub class: Option<CustomerClass>,
    /// Phase of the run.
    pub phase: Option<LoadPhase>,
}

impl GroupKey {
    /// Returns the groups of a report in the order of their lines.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let mut keys = Vec::new();
        for rank in Rank::ALL {
            let key = |class, phase| Self { rank, class, phase };
            keys.push(key(None, None));
            keys.extend(CustomerClass::ALL.map(|class| key(Some(class), None)));
            keys.extend(LoadPhase::ALL.map(|phase| key(None, Some(phase))));
        }
        keys
    }

    /// Returns the name of the group in reports.
    #[must_use]
    pub fn name(self) -> String {
        let subset = match (self.class, self.phase) {
            (Some(class), _) => class.name(),
            (None, Some(phase)) => phase.name(),
            (None, None) => "all",
        };
        format!("{}, {subset}", self.rank.name())
    }

    fn matches(self, sample: &RequestSample) -> bool {
        self.rank == sample.rank
            && self.class.is_none_or(|class| class == sample.class)
            && self.phase.is_none_or(|phase| phase == sample.phase)
    }
}

/// Statistics of the requests in one group.
#[derive(Debug, Clone)]
pub struct GroupStats {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with a complete response.
    pub complete: u64,
    /// Number of complete responses with the first token within the deadline of the rank.
    pub in_time: u64,
    /// Output tokens requested, summed over the complete responses.
    pub tokens: u64,
    /// Number of refused requests by HTTP status and error code.
    pub refused: BTreeMap<String, u64>,
    /// Number of responses that started but were not complete.
    pub incomplete: u64,
    /// Number of requests without a response.
    pub failed: u64,
    /// Time to the first token of complete responses, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time to the first token of complete responses, and of all other requests the time to their
    /// end or the deadline of the rank, whichever is longer, in microseconds.
    pub first_token_or_loss: Histogram<u64>,
}

impl Default for GroupStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        };
        Self {
            sent: 0,
            complete: 0,
            in_time: 0,
            tokens: 0,
            refused: BTreeMap::new(),
            incomplete: 0,
            failed: 0,
            first_token: histogram(),
            first_token_or_loss: histogram(),
        }
    }
}

impl GroupStats {
    /// Adds a request to the statistics.
    pub fn record(&mut self, sample: &RequestSample, deadline_us: u64) {
        self.sent += 1;
        match &sample.outcome {
            SampleOutcome::Complete => return self.record_complete(sample, deadline_us),
            SampleOutcome::Refused(code) => *self.refused.entry(code.clone()).or_default() += 1,
            SampleOutcome::Incomplete => self.incomplete += 1,
            SampleOutcome::Failed => self.failed += 1,
        }
        let loss_us = elapsed_us(sample.due, sample.ended).max(deadline_us);
        self.first_token_or_loss.saturating_record(loss_us);
    }

    fn record_complete(&mut self, sample: &RequestSample, deadline_us: u64) {
        let first_token = sample.first_token.unwrap_or(sample.ended);
        let time_us = elapsed_us(sample.due, first_token);
        self.complete += 1;
        self.in_time += u64::from(time_us <= deadline_us);
        self.tokens += u64::from(sample.tokens);
        self.first_token.saturating_record(time_us);
        self.first_token_or_loss.saturating_record(time_us);
    }

    /// Returns the number of refused requests.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

fn elapsed_us(from: Moment, until: Moment) -> u64 {
    until.as_micros().saturating_sub(from.as_micros()).max(1)
}

/// Statistics of one target.
#[derive(Debug, Clone)]
pub struct TargetReport {
    /// Name of the target.
    pub name: String,
    /// Counters of the engines of the target over the run.
    pub engines: EngineTotals,
    /// Statistics by group.
    pub groups: Vec<(GroupKey, GroupStats)>,
}

impl TargetReport {
    /// Returns the statistics of a group; `None` if the report does not have the group.
    #[must_use]
    pub fn group(&self, key: GroupKey) -> Option<&GroupStats> {
        let found = self.groups.iter().find(|(group_key, _)| *group_key == key);
        found.map(|(_, stats)| stats)
    }
}

/// Statistics of a run.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// Deadlines for the first token, by rank.
    pub deadlines: RankDeadlines,
    /// Reports of the targets, in the order of the command line.
    pub targets: Vec<TargetReport>,
}

impl RunReport {
    /// Creates a report without requests.
    #[must_use]
    pub fn new(names: &[String], deadlines: RankDeadlines) -> Self {
        let empty = |name: &String| TargetReport {
            name: name.clone(),
            engines: EngineTotals::default(),
            groups: GroupKey::all()
                .into_iter()
                .map(|key| (key, GroupStats::default()))
                .collect(),
        };
        Self {
            deadlines,
            targets: names.iter().map(empty).collect(),
        }
    }

    /// Adds a request to all groups of its target that match it.
    pub fn record(&mut self, sample: &RequestSample) {
        let deadline_us = self.deadlines[sample.rank.index()];
        let groups = self.targets[sample.target].groups.iter_mut();
        for (_, stats) in groups.filter(|(key, _)| key.matches(sample)) {
            stats.record(sample, deadline_us);
        }
    }
}

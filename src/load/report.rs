//! Figures of a run by target, rank, customer class and phase.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::engine_stats::EngineTotals;
use super::sample::{CustomerClass, RequestSample, SampleOutcome};
use super::workload::LoadPhase;
use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Longest time that histograms tell apart, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Deadlines for the first token, in microseconds, indexed by [`Rank::index`].
pub type RankDeadlines = [u64; 2];

/// Which requests a group counts; `None` counts all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupKey {
    /// Rank.
    pub rank: Rank,
    /// Size of the customer.
    pub class: Option<CustomerClass>,
    /// Part of the run.
    pub phase: Option<LoadPhase>,
}

impl GroupKey {
    /// Returns all groups of a report, in the order in which they are shown.
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

    /// Returns the name used in reports.
    #[must_use]
    pub fn name(self) -> String {
        let part = match (self.class, self.phase) {
            (Some(class), _) => class.name(),
            (None, Some(phase)) => phase.name(),
            (None, None) => "all",
        };
        format!("{}, {part}", self.rank.name())
    }

    fn counts(self, sample: &RequestSample) -> bool {
        self.rank == sample.rank
            && self.class.is_none_or(|class| class == sample.class)
            && self.phase.is_none_or(|phase| phase == sample.phase)
    }
}

/// Figures of one group.
#[derive(Debug, Clone)]
pub struct GroupStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose answer came whole.
    pub complete: u64,
    /// Whole answers whose first token came within the rank's deadline.
    pub in_time: u64,
    /// Output tokens of the whole answers.
    pub tokens: u64,
    /// Refusals by status and code.
    pub refused: BTreeMap<String, u64>,
    /// Answers that began and were not finished.
    pub incomplete: u64,
    /// Requests without any answer.
    pub failed: u64,
    /// Time to the first token of whole answers, in microseconds.
    pub first_token: Histogram<u64>,
    /// The same with every other request counted at its end, but not below the rank's deadline.
    pub first_token_or_loss: Histogram<u64>,
}

impl Default for GroupStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_TIME_US, DIGITS).expect("the bounds are constants")
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
    /// Counts a request.
    pub fn record(&mut self, sample: &RequestSample, deadline_us: u64) {
        self.sent += 1;
        match &sample.outcome {
            SampleOutcome::Complete => return self.record_answer(sample, deadline_us),
            SampleOutcome::Refused(code) => *self.refused.entry(code.clone()).or_default() += 1,
            SampleOutcome::Incomplete => self.incomplete += 1,
            SampleOutcome::Failed => self.failed += 1,
        }
        let lost_us = elapsed_us(sample.due, sample.ended).max(deadline_us);
        self.first_token_or_loss.saturating_record(lost_us);
    }

    fn record_answer(&mut self, sample: &RequestSample, deadline_us: u64) {
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

/// Figures of one target.
#[derive(Debug, Clone)]
pub struct TargetReport {
    /// Name.
    pub name: String,
    /// What its engines did.
    pub engines: EngineTotals,
    /// Figures by group.
    pub groups: Vec<(GroupKey, GroupStats)>,
}

impl TargetReport {
    /// Returns the figures of a group.
    #[must_use]
    pub fn group(&self, key: GroupKey) -> Option<&GroupStats> {
        let found = self.groups.iter().find(|(known, _)| *known == key);
        found.map(|(_, stats)| stats)
    }
}

/// Figures of a run.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// Deadlines for the first token.
    pub deadlines: RankDeadlines,
    /// One report for each target.
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

    /// Counts a request in all groups to which it belongs.
    pub fn record(&mut self, sample: &RequestSample) {
        let deadline_us = self.deadlines[sample.rank.index()];
        let groups = self.targets[sample.target].groups.iter_mut();
        for (_, stats) in groups.filter(|(key, _)| key.counts(sample)) {
            stats.record(sample, deadline_us);
        }
    }
}

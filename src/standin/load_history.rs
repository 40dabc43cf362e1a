//! Load reports that are published with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_mail::LoadReport;
use crate::kernel::Moment;

/// Parts of a lag within which only the latest report is kept.
const REPORTS_PER_LAG: u64 = 8;

/// Recent load reports, oldest first.
#[derive(Debug, Clone)]
pub struct LoadHistory {
    /// Age in milliseconds of the report that is published.
    pub lag_ms: u64,
    reports: VecDeque<(Moment, LoadReport)>,
}

impl LoadHistory {
    /// Creates a history whose first report is that of an idle engine.
    #[must_use]
    pub fn new(lag_ms: u64, idle: LoadReport) -> Self {
        Self {
            lag_ms,
            reports: VecDeque::from([(Moment::START, idle)]),
        }
    }

    /// Notes the load at a moment.
    pub fn record(&mut self, now: Moment, report: LoadReport) {
        let interval = Duration::from_millis(self.lag_ms / REPORTS_PER_LAG);
        match self.reports.back_mut() {
            Some((since, last)) if now.since(*since) < interval => *last = report,
            _ => self.reports.push_back((now, report)),
        }
        self.remove_outdated(now);
    }

    /// Returns the report that is published at a moment.
    pub fn published(&mut self, now: Moment) -> LoadReport {
        self.remove_outdated(now);
        let published = self.reports.front();
        published
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }

    // The report after the first takes its place once it is a lag old.
    fn remove_outdated(&mut self, now: Moment) {
        let lag = Duration::from_millis(self.lag_ms);
        while let Some((since, _)) = self.reports.get(1)
            && since.after(lag).is_due(now)
        {
            self.reports.pop_front();
        }
    }
}

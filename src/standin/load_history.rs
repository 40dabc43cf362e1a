//! Load reports of the simulated engine, published with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_mail::LoadReport;
use crate::kernel::Moment;

/// Number of reports stored per lag; of more frequent reports only the latest is stored.
const REPORTS_PER_LAG: u64 = 8;

/// Recent load reports, oldest first.
#[derive(Debug, Clone)]
pub struct LoadHistory {
    /// Age in milliseconds of the published report.
    pub lag_ms: u64,
    reports: VecDeque<(Moment, LoadReport)>,
}

impl LoadHistory {
    /// Creates a history that begins with the report of an idle engine.
    #[must_use]
    pub fn new(lag_ms: u64, idle: LoadReport) -> Self {
        Self {
            lag_ms,
            reports: VecDeque::from([(Moment::START, idle)]),
        }
    }

    /// Records the load at a moment.
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

    // The front report is published, until the next one is as old as the lag.
    fn remove_outdated(&mut self, now: Moment) {
        let lag = Duration::from_millis(self.lag_ms);
        while let Some((since, _)) = self.reports.get(1)
            && since.after(lag).is_due(now)
        {
            self.reports.pop_front();
        }
    }
}

//! Replays the configuration stream as every process does.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::config::Configuration;
use crate::decide::config_change::PlanId;
use crate::decide::config_replica::{ConfigReplica, SkippedRecord, StreamPage, StreamRecord};
use crate::decide::confirm::PlanCopy;
use crate::decide::ids::LogOffset;
use crate::platform::log_client::{LogClient, ReadOutcome, ReadWindow};
use crate::services::configuration::config_history::DecodedPage;

/// Most records in one page.
const PAGE_RECORDS: u32 = 256;

/// The configuration as the operator's process has replayed it.
#[derive(Debug)]
pub struct ConfigFollower {
    /// Reaches the configuration stream.
    pub log: LogClient,
    /// Records without effect, in order.
    pub skipped: Vec<SkippedRecord>,
    replica: ConfigReplica,
    read_from: LogOffset,
    wanted: Option<PlanId>,
    found: Vec<LogOffset>,
}

/// Whether the end of the stream was reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowOutcome {
    /// Everything on the log has been replayed.
    AtEnd,
    /// The log cannot be read.
    Unreadable(String),
    /// The log has dropped records and holds no whole snapshot in their place.
    RecordsMissing,
}

impl ConfigFollower {
    /// Starts before the first record; copies of the wanted plan are noted.
    #[must_use]
    pub fn new(log: LogClient, wanted: Option<PlanId>) -> Self {
        Self {
            log,
            skipped: Vec::new(),
            replica: ConfigReplica::default(),
            read_from: LogOffset::default(),
            wanted,
            found: Vec::new(),
        }
    }

    /// Returns the configuration replayed so far.
    #[must_use]
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.replica.current)
    }

    /// Returns the copies of the wanted plan found so far.
    #[must_use]
    pub fn copies(&self) -> Vec<PlanCopy> {
        let replayed = self.replica.current.next_offset;
        let copies = self.found.iter().filter(|offset| **offset < replayed);
        let is_skipped = |offset| self.skipped.iter().any(|skip| skip.offset == offset);
        copies
            .map(|offset| PlanCopy {
                offset: *offset,
                in_force: !is_skipped(*offset),
            })
            .collect()
    }

    /// Returns why the record at an offset has no effect.
    #[must_use]
    pub fn reason(&self, offset: LogOffset) -> &str {
        let skip = self.skipped.iter().find(|skip| skip.offset == offset);
        skip.map_or("unknown", |skip| &skip.reason)
    }

    /// Reads and replays up to the end of the stream.
    pub async fn catch_up(&mut self) -> FollowOutcome {
        loop {
            let window = ReadWindow {
                from: self.read_from,
                limit: PAGE_RECORDS,
                wait: Duration::ZERO,
            };
            let page = match self.log.read(window).await {
                ReadOutcome::Page(page) => page,
                ReadOutcome::Unavailable(reason) => return FollowOutcome::Unreadable(reason),
            };
            let next = page.next;
            let decoded = DecodedPage::from_log(page.first, next, page.records);
            self.note_copies(&decoded.page);
            let taken = self.replica.apply_page(decoded.page);
            self.skipped.extend(taken.skipped);
            self.read_from = taken.read_from;
            if self.replica.current.next_offset >= next {
                return FollowOutcome::AtEnd;
            }
            if self.read_from >= next {
                return FollowOutcome::RecordsMissing;
            }
        }
    }

    fn note_copies(&mut self, page: &StreamPage) {
        for numbered in &page.records {
            if let StreamRecord::Plan(record) = &numbered.record
                && Some(record.plan_id) == self.wanted
                && !self.found.contains(&numbered.offset)
            {
                self.found.push(numbered.offset);
            }
        }
    }
}

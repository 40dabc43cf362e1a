//! Replay of the configuration stream from the log, with the same rules as in every process.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::decide::config::Configuration;
use crate::decide::config_change::PlanId;
use crate::decide::config_replica::{ConfigReplica, SkippedRecord, StreamPage, StreamRecord};
use crate::decide::confirm::PlanCopy;
use crate::decide::ids::{LogOffset, LogPosition};
use crate::platform::log_client::{LogClient, ReadOutcome, ReadWindow};
use crate::services::configuration::config_history::DecodedPage;

/// Maximum number of records read in one page.
const PAGE_RECORDS: u32 = 256;

/// Time for which a log that cannot be read is read again; a store that has just started or is under
/// heavy load may miss the timeout of a call.
const UNREADABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause before a failed read is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads the configuration stream from the log and replays it into a replica.
#[derive(Debug)]
pub struct ConfigFollower {
    /// Client of the log that holds the configuration stream.
    pub log: LogClient,
    /// Records that were replayed without effect, by offset.
    pub skipped: Vec<SkippedRecord>,
    replica: ConfigReplica,
    read_from: LogOffset,
    plan_id: Option<PlanId>,
    plan_offsets: Vec<LogOffset>,
}

/// Result of a replay up to the end of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatchUpOutcome {
    /// All records on the log were replayed.
    AtEnd,
    /// The log could not be read, despite repeated reads, for this reason.
    Unreadable(String),
    /// The log has dropped records that are needed and has no complete snapshot of them.
    RecordsMissing,
}

impl CatchUpOutcome {
    /// Returns why the log was not replayed to its end, if it was not.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        match self {
            Self::AtEnd => None,
            Self::Unreadable(reason) => {
                Some(format!("the configuration log cannot be read: {reason}"))
            }
            Self::RecordsMissing => {
                let text = "the log has dropped records and has no complete snapshot of them";
                Some(text.to_owned())
            }
        }
    }
}

impl ConfigFollower {
    /// Creates a follower at the start of the stream that records the offsets of a plan's copies.
    #[must_use]
    pub fn new(log: LogClient, plan_id: Option<PlanId>) -> Self {
        Self {
            log,
            skipped: Vec::new(),
            replica: ConfigReplica::default(),
            read_from: LogOffset::default(),
            plan_id,
            plan_offsets: Vec::new(),
        }
    }

    /// Returns the configuration after the last replayed record.
    #[must_use]
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.replica.current)
    }

    /// Returns the replayed copies of the plan that was given to `new`.
    #[must_use]
    pub fn copies(&self) -> Vec<PlanCopy> {
        let LogPosition {
            era,
            offset: replayed,
        } = self.replica.current.next();
        let copies = self
            .plan_offsets
            .iter()
            .filter(|offset| **offset < replayed);
        let is_skipped = |offset| self.skipped.iter().any(|skipped| skipped.offset == offset);
        copies
            .map(|offset| PlanCopy {
                position: LogPosition {
                    era,
                    offset: *offset,
                },
                in_force: !is_skipped(*offset),
            })
            .collect()
    }

    /// Returns the reason why the record at an offset was skipped; `unknown` if it was not.
    #[must_use]
    pub fn skip_reason(&self, offset: LogOffset) -> &str {
        let skipped = self.skipped.iter().find(|skipped| skipped.offset == offset);
        skipped.map_or("unknown", |skipped| &skipped.reason)
    }

    /// Reads and replays records up to the end of the stream; a failed read is repeated for a bounded
    /// time.
    pub async fn catch_up(&mut self) -> CatchUpOutcome {
        let deadline = Instant::now() + UNREADABLE_TIMEOUT;
        loop {
            match self.replay_to_end().await {
                CatchUpOutcome::Unreadable(_) if Instant::now() < deadline => {
                    sleep(RETRY_PAUSE).await;
                }
                outcome => return outcome,
            }
        }
    }

    async fn replay_to_end(&mut self) -> CatchUpOutcome {
        loop {
            let window = ReadWindow {
                from: self.read_from,
                limit: PAGE_RECORDS,
                wait: Duration::ZERO,
            };
            let page = match self.log.read(window).await {
                ReadOutcome::Page(page) => page,
                ReadOutcome::Unavailable(reason) => return CatchUpOutcome::Unreadable(reason),
            };
            let next = page.next;
            if page.era > self.replica.next().era {
                self.forget_records();
            }
            let decoded = DecodedPage::from_log(page);
            self.record_copies(&decoded.page);
            let outcome = self.replica.apply_page(decoded.page);
            self.skipped.extend(outcome.skipped);
            self.read_from = outcome.read_from;
            if self.replica.current.next_offset >= next {
                return CatchUpOutcome::AtEnd;
            }
            if self.read_from >= next {
                return CatchUpOutcome::RecordsMissing;
            }
        }
    }

    /// Forgets what was read in an earlier era of the log, which may lack it now.
    fn forget_records(&mut self) {
        self.skipped.clear();
        self.plan_offsets.clear();
        self.replica = ConfigReplica::default();
    }

    fn record_copies(&mut self, page: &StreamPage) {
        for numbered in &page.records {
            if let StreamRecord::Plan(record) = &numbered.record
                && Some(record.plan_id) == self.plan_id
                && !self.plan_offsets.contains(&numbered.offset)
            {
                self.plan_offsets.push(numbered.offset);
            }
        }
    }
}

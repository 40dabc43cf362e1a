//! Append-only log of the simulated platform: numbered records in named topics, with retention, a
//! rate limit, outages and lost responses.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::kernel::Moment;

/// Burst of the append rate limit: appends may run ahead of the rate by this time.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Name prefix of the topics whose records have keys.
///
/// Such a record is the length of the key as one byte, the key, and the value.
pub const KEYED_PREFIX: &str = "keyed.";

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Size in bytes of the record bodies at which a page ends.
const PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Retention and rate limit of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Number of newest records that each topic retains.
    pub retention_records: usize,
    /// Maximum rate of appends per second, over all topics.
    pub appends_per_second: u64,
}

/// One record of a topic.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// Offset of the record in its topic; the first one is 0.
    pub offset: u64,
    /// Content of the record.
    pub body: Arc<str>,
}

/// Result of a read of a topic.
#[derive(Debug, Clone)]
pub struct LogPage {
    /// Offset of the oldest retained record.
    pub first: u64,
    /// End of the topic: the offset of the next append.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(u64),
    /// The topic ends at this offset instead of the expected one; nothing was appended.
    OffsetMismatch(u64),
    /// The record was appended, but the response to the caller is lost.
    ResponseLost,
    /// Nothing was appended, because of an outage or the rate limit.
    Unavailable,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    dropped: u64,
    records: VecDeque<Arc<str>>,
}

/// Topics of the log, and the injected faults.
#[derive(Debug, Clone)]
pub struct AppendLog {
    limits: LogLimits,
    topics: BTreeMap<String, Topic>,
    /// Newest record of each key, by topic; only for topics with the prefix [`KEYED_PREFIX`].
    keyed: BTreeMap<String, BTreeMap<String, LogRecord>>,
    next_append: Moment,
    /// End of the current or last outage.
    pub outage_until: Moment,
    /// Number of next appends whose responses are lost.
    pub lost_responses: u64,
    /// Number of times that the log has come back from a copy.
    pub era: u64,
    copy: LogCopy,
}

/// Copy of the topics from which the log can come back.
#[derive(Debug, Clone, Default)]
struct LogCopy {
    topics: BTreeMap<String, Topic>,
    keyed: BTreeMap<String, BTreeMap<String, LogRecord>>,
}

impl AppendLog {
    /// Creates a log without topics.
    #[must_use]
    pub const fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            topics: BTreeMap::new(),
            keyed: BTreeMap::new(),
            next_append: Moment::START,
            outage_until: Moment::START,
            lost_responses: 0,
            era: 0,
            copy: LogCopy {
                topics: BTreeMap::new(),
                keyed: BTreeMap::new(),
            },
        }
    }

    /// Copies all topics, in place of an earlier copy.
    pub fn copy_topics(&mut self) {
        self.copy = LogCopy {
            topics: self.topics.clone(),
            keyed: self.keyed.clone(),
        };
    }

    /// Replaces all topics by the last copy, which is empty if none was made, and raises the era.
    pub fn restore_copy(&mut self) {
        self.topics.clone_from(&self.copy.topics);
        self.keyed.clone_from(&self.copy.keyed);
        self.era += 1;
    }

    /// Returns whether an outage is in effect.
    #[must_use]
    pub fn is_unavailable(&self, now: Moment) -> bool {
        !self.outage_until.is_due(now)
    }

    /// Appends a record to a topic, which is created if missing.
    ///
    /// With `at` the record is appended only if the topic ends at that offset.
    pub fn append(
        &mut self,
        now: Moment,
        name: &str,
        body: &str,
        at: Option<u64>,
    ) -> AppendOutcome {
        if self.is_unavailable(now) || !self.acquire_append(now) {
            return AppendOutcome::Unavailable;
        }
        let end = self.topics.get(name).map_or(0, Topic::next);
        if at.is_some_and(|at| at != end) {
            return AppendOutcome::OffsetMismatch(end);
        }
        if name.starts_with(KEYED_PREFIX) {
            self.update_key(name, end, body);
        }
        let topic = self.topics.entry(name.to_owned()).or_default();
        topic.records.push_back(body.into());
        let offset = topic.next() - 1;
        let oldest = topic
            .next()
            .saturating_sub(self.limits.retention_records as u64);
        topic.trim_before(oldest);
        if self.lost_responses == 0 {
            return AppendOutcome::Appended(offset);
        }
        self.lost_responses -= 1;
        AppendOutcome::ResponseLost
    }

    /// Stores the newest record of its key; a record without a value deletes the key.
    fn update_key(&mut self, name: &str, offset: u64, body: &str) {
        let Some((length, rest)) = body.split_at_checked(1) else {
            return;
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(length.as_bytes()[0])) else {
            return;
        };
        let keys = self.keyed.entry(name.to_owned()).or_default();
        if value.is_empty() {
            keys.remove(key);
            return;
        }
        let record = LogRecord {
            offset,
            body: value.into(),
        };
        keys.insert(key.to_owned(), record);
    }

    /// Returns the newest record of each key of a topic, and the end offset of the topic.
    #[must_use]
    pub fn newest(&self, name: &str) -> (Vec<(String, LogRecord)>, u64) {
        let keys = self.keyed.get(name).into_iter().flatten();
        let records = keys.map(|(key, record)| (key.clone(), record.clone()));
        let end = self.topics.get(name).map_or(0, Topic::next);
        (records.collect(), end)
    }

    /// Returns the records from an offset on, or `None` if a reader has to wait for the next one.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, limit: usize) -> Option<LogPage> {
        let page = self.page(name, from, limit);
        let has_gap = from < page.first || from > page.next;
        (has_gap || !page.records.is_empty()).then_some(page)
    }

    /// Returns the records from an offset on, possibly none.
    #[must_use]
    pub fn page(&self, name: &str, from: u64, limit: usize) -> LogPage {
        let Some(topic) = self.topics.get(name) else {
            return LogPage {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        LogPage {
            first: topic.first(),
            next: topic.next(),
            records: topic.read(from, limit),
        }
    }

    /// Deletes the records of a topic before an offset.
    pub fn trim_before(&mut self, name: &str, first: u64) {
        if let Some(topic) = self.topics.get_mut(name) {
            topic.trim_before(first);
        }
    }

    /// Returns the name and the end offset of each topic.
    pub fn next_offsets(&self) -> impl Iterator<Item = (&str, u64)> {
        let topics = self.topics.iter();
        topics.map(|(name, topic)| (name.as_str(), topic.next()))
    }

    fn acquire_append(&mut self, now: Moment) -> bool {
        if !self.next_append.is_due(now.after(BURST_TIME)) {
            return false;
        }
        let interval = SECOND_US / self.limits.appends_per_second.max(1);
        let start = self.next_append.max(now);
        self.next_append = start.after(Duration::from_micros(interval));
        true
    }
}

impl Topic {
    const fn first(&self) -> u64 {
        self.dropped
    }

    fn next(&self) -> u64 {
        self.first() + self.records.len() as u64
    }

    fn trim_before(&mut self, first: u64) {
        while self.first() < first && self.records.pop_front().is_some() {
            self.dropped += 1;
        }
    }

    fn read(&self, from: u64, limit: usize) -> Vec<LogRecord> {
        let first = self.first();
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = (first..).zip(&self.records).skip(skipped).take(limit);
        records
            .take_while(|(_, body)| {
                let fits = bytes < PAGE_BYTES;
                bytes += body.len();
                fits
            })
            .map(|(offset, body)| LogRecord {
                offset,
                body: Arc::clone(body),
            })
            .collect()
    }
}

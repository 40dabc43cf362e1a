//! Append-only log: numbered records in named streams, with retention, a rate limit and outages.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::kernel::Moment;

/// Appends may run ahead of the rate limit by as much as this time allows.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Start of the names of streams whose records have keys: the length of the key as one byte, the
/// key, and the value.
pub const KEYED_PREFIX: &str = "keyed.";

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Bytes of record bodies after which a page ends.
const PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Bounds of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Records that each stream keeps.
    pub retention_records: usize,
    /// Appends accepted a second, over all streams.
    pub appends_per_second: u64,
}

/// One record.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// Offset, counted from 0 in each stream.
    pub offset: u64,
    /// Content.
    pub body: Arc<str>,
}

/// Answer to a read.
#[derive(Debug, Clone)]
pub struct LogPage {
    /// Offset of the oldest kept record.
    pub first: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// The records read.
    pub records: Vec<LogRecord>,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record has this offset.
    Appended(u64),
    /// The stream ends at this offset and not where the append expected; nothing was appended.
    Moved(u64),
    /// The record was appended but nobody is told.
    AnswerLost,
    /// Nothing was appended: the log is out of service or the rate limit is reached.
    Unavailable,
}

#[derive(Debug, Clone, Default)]
struct LogStream {
    dropped: u64,
    records: VecDeque<Arc<str>>,
}

/// Streams of a log and the faults in effect.
#[derive(Debug, Clone)]
pub struct AppendLog {
    limits: LogLimits,
    streams: BTreeMap<String, LogStream>,
    /// Newest record of each key of streams whose names begin with [`KEYED_PREFIX`].
    keyed: BTreeMap<String, BTreeMap<String, LogRecord>>,
    next_append: Moment,
    /// When the present or last outage ends.
    pub outage_until: Moment,
    /// Number of next appends whose answers are lost.
    pub lost_answers: u64,
}

impl AppendLog {
    /// Creates a log without streams.
    #[must_use]
    pub const fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            streams: BTreeMap::new(),
            keyed: BTreeMap::new(),
            next_append: Moment::START,
            outage_until: Moment::START,
            lost_answers: 0,
        }
    }

    /// Tells whether the log is out of service.
    #[must_use]
    pub fn is_out(&self, now: Moment) -> bool {
        !self.outage_until.is_due(now)
    }

    /// Appends a record to a stream, which is created when missing; with `at` only if the stream
    /// ends there.
    pub fn append(
        &mut self,
        now: Moment,
        name: &str,
        body: &str,
        at: Option<u64>,
    ) -> AppendOutcome {
        if self.is_out(now) || !self.take_allowance(now) {
            return AppendOutcome::Unavailable;
        }
        let end = self.streams.get(name).map_or(0, LogStream::next);
        if at.is_some_and(|at| at != end) {
            return AppendOutcome::Moved(end);
        }
        if name.starts_with(KEYED_PREFIX) {
            self.note_key(name, end, body);
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.records.push_back(body.into());
        let offset = stream.next() - 1;
        let oldest = stream
            .next()
            .saturating_sub(self.limits.retention_records as u64);
        stream.retain_from(oldest);
        if self.lost_answers == 0 {
            return AppendOutcome::Appended(offset);
        }
        self.lost_answers -= 1;
        AppendOutcome::AnswerLost
    }

    /// Notes the newest record of a key; a record that is only a key drops it.
    fn note_key(&mut self, name: &str, offset: u64, body: &str) {
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

    /// Returns the newest record of each key of a stream, and where the stream ends.
    #[must_use]
    pub fn newest(&self, name: &str) -> (Vec<(String, LogRecord)>, u64) {
        let keys = self.keyed.get(name).into_iter().flatten();
        let records = keys.map(|(key, record)| (key.clone(), record.clone()));
        let end = self.streams.get(name).map_or(0, LogStream::next);
        (records.collect(), end)
    }

    /// Returns records from an offset on; `None` while a reader has to wait for one.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, limit: usize) -> Option<LogPage> {
        let page = self.page(name, from, limit);
        let has_gap = from < page.first;
        (has_gap || !page.records.is_empty()).then_some(page)
    }

    /// Returns records from an offset on, possibly none.
    #[must_use]
    pub fn page(&self, name: &str, from: u64, limit: usize) -> LogPage {
        let Some(stream) = self.streams.get(name) else {
            return LogPage {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        LogPage {
            first: stream.first(),
            next: stream.next(),
            records: stream.read(from, limit),
        }
    }

    /// Drops the records of a stream before an offset.
    pub fn retain_from(&mut self, name: &str, first: u64) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.retain_from(first);
        }
    }

    /// Returns the offset that the next append to each stream gets.
    pub fn next_offsets(&self) -> impl Iterator<Item = (&str, u64)> {
        let streams = self.streams.iter();
        streams.map(|(name, stream)| (name.as_str(), stream.next()))
    }

    fn take_allowance(&mut self, now: Moment) -> bool {
        if !self.next_append.is_due(now.after(BURST_TIME)) {
            return false;
        }
        let interval = SECOND_US / self.limits.appends_per_second.max(1);
        let start = self.next_append.max(now);
        self.next_append = start.after(Duration::from_micros(interval));
        true
    }
}

impl LogStream {
    const fn first(&self) -> u64 {
        self.dropped
    }

    fn next(&self) -> u64 {
        self.first() + self.records.len() as u64
    }

    fn retain_from(&mut self, first: u64) {
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

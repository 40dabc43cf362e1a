//! Recent records of the configuration stream, kept to be passed on to other processes.

use std::collections::VecDeque;

use crate::decide::config_replica::{NumberedRecord, StreamPage, StreamRecord};
use crate::decide::ids::LogOffset;
use crate::platform::log_client::LogRecord;
use crate::wire::config_page::WireNumberedRecord;
use crate::wire::config_snapshot::decode_stream_record;

/// Most records that are kept.
const MAX_RECORDS: usize = 512;

/// Most bytes of record bodies that are kept.
const MAX_BYTES: usize = 1024 * 1024;

/// Consecutive records up to the newest one replayed.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    records: VecDeque<WireNumberedRecord>,
    bytes: usize,
}

impl ConfigHistory {
    /// Returns the records from an offset on, or `None` if some of them are not kept.
    #[must_use]
    pub fn since(&self, from: LogOffset) -> Option<Vec<WireNumberedRecord>> {
        let first = self.records.front()?.offset;
        if from.0 < first {
            return None;
        }
        let newer = self.records.iter().filter(|record| record.offset >= from.0);
        Some(newer.cloned().collect())
    }

    /// Keeps a record that has just been replayed.
    pub fn keep(&mut self, record: WireNumberedRecord) {
        let follows = self.records.back().map(|last| last.offset + 1);
        if follows.is_some_and(|follows| follows != record.offset) {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += record.body.as_ref().map_or(0, String::len);
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= dropped.body.as_ref().map_or(0, String::len);
        }
    }
}

/// Records in the two forms that are needed: to replay and to pass on.
#[derive(Debug)]
pub struct DecodedPage {
    /// To replay.
    pub page: StreamPage,
    /// To pass on.
    pub history: Vec<WireNumberedRecord>,
}

impl DecodedPage {
    /// Decodes records of the log.
    #[must_use]
    pub fn from_log(first: LogOffset, next: LogOffset, records: Vec<LogRecord>) -> Self {
        let history = records.into_iter().map(|record| WireNumberedRecord {
            offset: record.offset.0,
            body: Some(record.body),
        });
        Self::new(first, next, history.collect())
    }

    /// Decodes records passed on by another process.
    #[must_use]
    pub fn from_peer(next: LogOffset, history: Vec<WireNumberedRecord>) -> Self {
        let first = history
            .first()
            .map_or(next, |first| LogOffset(first.offset));
        Self::new(first, next, history)
    }

    fn new(first: LogOffset, next: LogOffset, mut history: Vec<WireNumberedRecord>) -> Self {
        let mut records = Vec::new();
        for wire in &mut history {
            let record = match &wire.body {
                Some(body) => decode_stream_record(body),
                None => StreamRecord::Omitted,
            };
            if matches!(record, StreamRecord::Part(_)) {
                wire.body = None;
            }
            let offset = LogOffset(wire.offset);
            records.push(NumberedRecord { offset, record });
        }
        Self {
            page: StreamPage {
                first,
                next,
                records,
            },
            history,
        }
    }
}

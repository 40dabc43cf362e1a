//! Recent records of the configuration stream, kept to be served to other processes.

use std::collections::VecDeque;

use crate::decide::config_replica::{NumberedRecord, StreamPage, StreamRecord};
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::platform::log_client::LogPage;
use crate::wire::config_page::WireNumberedRecord;
use crate::wire::config_snapshot::decode_stream_record;

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 512;

/// Maximum total size of the record bodies that are kept, in bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// Size of the bodies in one page from which no further record is added, in bytes. The time for a
/// page includes the wait for its first record, and what does not arrive in it is sent anew.
const PAGE_BYTES: usize = 64 * 1024;

/// Consecutive records of the configuration stream up to the newest one that was replayed.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    records: VecDeque<WireNumberedRecord>,
    bytes: usize,
}

impl ConfigHistory {
    /// Returns the kept records from an offset on that fit into a page, at least one if there is one,
    /// or `None` if some of them are no longer kept.
    #[must_use]
    pub fn since(&self, from: LogOffset) -> Option<Vec<WireNumberedRecord>> {
        let first = self.records.front()?.offset;
        if from.0 < first {
            return None;
        }
        let newer = self.records.iter().filter(|record| record.offset >= from.0);
        let mut bytes = 0;
        let fitting = newer.take_while(|record| {
            let is_open = bytes < PAGE_BYTES;
            bytes += body_bytes(record);
            is_open
        });
        Some(fitting.cloned().collect())
    }

    /// Adds a record that has just been replayed, and drops the oldest records beyond the limits.
    ///
    /// A record that does not follow the newest one, as after a snapshot, clears the history first.
    pub fn keep(&mut self, record: WireNumberedRecord) {
        let expected = self.records.back().map(|last| last.offset + 1);
        if expected.is_some_and(|expected| expected != record.offset) {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += body_bytes(&record);
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= body_bytes(&dropped);
        }
    }
}

fn body_bytes(record: &WireNumberedRecord) -> usize {
    record.body.as_ref().map_or(0, String::len)
}

/// Page of the configuration stream, decoded for replay and in its wire form for other processes.
#[derive(Debug)]
pub struct DecodedPage {
    /// Decoded records, for replay.
    pub page: StreamPage,
    /// Records in their wire form; parts of snapshots have no body.
    pub history: Vec<WireNumberedRecord>,
}

impl DecodedPage {
    /// Decodes records that were read from the log.
    #[must_use]
    pub fn from_log(page: LogPage) -> Self {
        let history = page.records.into_iter().map(|record| WireNumberedRecord {
            offset: record.offset.0,
            body: Some(record.body),
        });
        Self::new(page.era, page.first, page.next, history.collect())
    }

    /// Decodes records that another process sent, which has replayed the log up to `next`.
    #[must_use]
    pub fn from_peer(next: LogPosition, history: Vec<WireNumberedRecord>) -> Self {
        let first = history
            .first()
            .map_or(next.offset, |first| LogOffset(first.offset));
        Self::new(next.era, first, next.offset, history)
    }

    fn new(
        era: StoreEra,
        first: LogOffset,
        next: LogOffset,
        mut history: Vec<WireNumberedRecord>,
    ) -> Self {
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
                era,
                first,
                next,
                records,
            },
            history,
        }
    }
}

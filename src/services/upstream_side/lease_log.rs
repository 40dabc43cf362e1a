//! Stream of load leases: reads, acquisition and release by one process.

use std::time::Duration;

use crate::decide::ids::{Incarnation, LogOffset};
use crate::decide::lease::{LeaseRecord, LeaseTable, OwnLease};
use crate::kernel::Directory;
use crate::platform::log_client::{AppendOutcome, LogClient, ReadOutcome, ReadWindow};
use crate::services::common::mail::Mail;
use crate::wire::lease_record::{decode_lease, encode_lease};

/// Maximum number of records in one page.
const PAGE_RECORDS: u32 = 256;

/// View of the lease stream by one process.
#[derive(Debug)]
pub struct LeaseLog {
    /// Client of the lease stream.
    pub log: LogClient,
    /// Name of the upstream whose engine is to load weights.
    pub upstream: String,
    /// Incarnation of this process.
    pub holder: Incarnation,
    /// Leases read so far.
    pub table: LeaseTable,
    /// Lease of this process, if it has acquired one.
    pub own: Option<OwnLease>,
}

impl LeaseLog {
    /// Reads to the end of the stream; if there are no new records, waits up to `wait` for one.
    ///
    /// Returns early if the log is unavailable; the table then keeps what was read.
    pub async fn read(&mut self, directory: &Directory<Mail>, wait: Duration) {
        let mut wait = wait;
        loop {
            let window = ReadWindow {
                from: self.table.next_offset,
                limit: PAGE_RECORDS,
                wait,
            };
            let ReadOutcome::Page(page) = self.log.read(window).await else {
                return;
            };
            let now = directory.now();
            for record in &page.records {
                match decode_lease(&record.body) {
                    Some(lease) => self.table.apply(now, record.offset, &lease),
                    None => self.table.skip(record.offset),
                }
            }
            if page.records.is_empty() || self.table.next_offset >= page.next {
                return;
            }
            wait = Duration::ZERO;
        }
    }

    /// Appends an acquisition; after an unknown outcome, looks for it in the stream.
    pub async fn acquire(&mut self, directory: &Directory<Mail>) {
        let sent_at = directory.now();
        let record = LeaseRecord::Acquire {
            upstream: self.upstream.clone(),
            holder: self.holder,
        };
        match self.log.append(encode_lease(record)).await {
            AppendOutcome::Appended(offset) => self.own = Some(OwnLease::new(offset, sent_at)),
            AppendOutcome::Refused(_) => {}
            AppendOutcome::Unknown(_) => {
                self.read(directory, Duration::ZERO).await;
                let found = self.table.find(&self.upstream, self.holder);
                self.own = found.map(|lease| OwnLease::new(lease.offset, sent_at));
            }
        }
    }

    /// Appends a release; if that fails, the lease ends when it expires.
    pub async fn release(&mut self, lease: LogOffset) {
        self.own = None;
        let record = LeaseRecord::Release { lease };
        match self.log.append(encode_lease(record)).await {
            AppendOutcome::Appended(_) | AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => {}
        }
    }
}

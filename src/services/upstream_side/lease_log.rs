//! The stream of leases as one process reads and writes it.

use std::time::Duration;

use crate::decide::ids::{Incarnation, LogOffset};
use crate::decide::lease::{LeaseRecord, LeaseTable, OwnLease};
use crate::kernel::Directory;
use crate::platform::log_client::{AppendOutcome, LogClient, ReadOutcome, ReadWindow};
use crate::services::common::mail::Mail;
use crate::wire::lease_record::{decode_lease, encode_lease};

/// Most records in one page.
const PAGE_RECORDS: u32 = 256;

/// The leases, and the own one among them.
#[derive(Debug)]
pub struct LeaseLog {
    /// Reaches the stream.
    pub log: LogClient,
    /// Upstream whose engine is to load.
    pub upstream: String,
    /// Incarnation of this process.
    pub holder: Incarnation,
    /// All leases as read so far.
    pub table: LeaseTable,
    /// The own lease.
    pub own: Option<OwnLease>,
}

impl LeaseLog {
    /// Reads to the end of the stream; waits for a first record if asked to.
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

    /// Asks for a lease; a lost answer is settled by reading.
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

    /// Gives a lease back; one that cannot be given back ends by itself.
    pub async fn release(&mut self, lease: LogOffset) {
        self.own = None;
        let record = LeaseRecord::Release { lease };
        match self.log.append(encode_lease(record)).await {
            AppendOutcome::Appended(_) | AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => {}
        }
    }
}

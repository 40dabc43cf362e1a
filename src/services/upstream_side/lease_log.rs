//! Stream of load leases: reads, acquisition and release by one process.

use std::time::Duration;

use crate::decide::ids::Incarnation;
use crate::decide::lease::{LeaseRecord, LeaseTable, OwnLease};
use crate::events::{STORE_RESTORED, log_event};
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
                from: self.table.next.offset,
                limit: PAGE_RECORDS,
                wait,
            };
            let ReadOutcome::Page(page) = self.log.read(window).await else {
                return;
            };
            let known = self.table.next;
            let now = directory.now();
            if self.table.enter_era(now, page.era) {
                let (era, leases) = (page.era.0, known.offset.0);
                log_event(&STORE_RESTORED, &[("era", &era), ("leases", &leases)]);
                wait = Duration::ZERO;
                continue;
            }
            if page.era < known.era {
                return;
            }
            for record in &page.records {
                match decode_lease(&record.body) {
                    Some(lease) => self.table.apply(now, record.offset, &lease),
                    None => self.table.skip(record.offset),
                }
            }
            if page.records.is_empty() || self.table.next.offset >= page.next {
                return;
            }
            wait = Duration::ZERO;
        }
    }

    /// Appends an acquisition, unless lost leases may still be in use; after an unknown outcome, looks for
    /// it in the stream.
    pub async fn acquire(&mut self, directory: &Directory<Mail>) {
        if !self.table.lost_until.is_due(directory.now()) {
            return;
        }
        if let Some(record) = self.table.end_of_lost(directory.now()) {
            // If it is lost, others wait on their own.
            let _outcome = self.log.append(encode_lease(record)).await;
        }
        let sent_at = directory.now();
        let from = self.table.next;
        let record = LeaseRecord::Acquire {
            upstream: self.upstream.clone(),
            holder: self.holder,
        };
        match self.log.append(encode_lease(record)).await {
            AppendOutcome::Appended(position) => self.own = Some(OwnLease::new(position, sent_at)),
            AppendOutcome::Refused(_) => {}
            AppendOutcome::Unknown(_) => {
                self.read(directory, Duration::ZERO).await;
                let found = self.table.find(&self.upstream, self.holder, from);
                self.own = found.map(|position| OwnLease::new(position, sent_at));
            }
        }
    }

    /// Gives up the lease of this process and appends a release, if it may still be released; if that
    /// fails, the lease ends when it expires.
    pub async fn release(&mut self, directory: &Directory<Mail>) {
        let own = self.own.take();
        let Some(own) = own.filter(|own| self.table.may_release(directory.now(), *own)) else {
            return;
        };
        let record = LeaseRecord::Release {
            lease: own.position.offset,
        };
        match self.log.append(encode_lease(record)).await {
            AppendOutcome::Appended(_) | AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => {}
        }
    }
}

//! I/O task `claim-log` of a sidecar: appends to and reads from the claim partitions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use super::claims::CLAIMS;
use crate::decide::claim_coordinator::ClaimPage;
use crate::decide::claims::{ClaimRecord, PartitionId};
use crate::decide::ids::{LogOffset, LogPosition};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::log_client::{AppendOutcome, LogClient, LogPage, ReadOutcome, ReadWindow};
use crate::services::common::mail::{ClaimLogMail, ClaimsMail, Mail};
use crate::wire::claim_record::{decode_batch, encode_batch};

/// Name of the I/O task `claim-log`.
pub const CLAIM_LOG: &str = "claim-log";

/// Timeout of one call; after a timed-out append, a read shows whether the records were appended.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of batches in one page.
const PAGE_RECORDS: u32 = 256;

/// Creates the I/O task `claim-log`, which calls the platform's log at the address.
#[must_use]
pub fn claim_log_task(platform: SocketAddr) -> IoTask<Mail> {
    IoTask::new(CLAIM_LOG, move |inbox, directory| {
        run(platform, inbox, directory)
    })
}

async fn run(platform: SocketAddr, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    // The service `claims` has at most one call in flight per open partition.
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            Some(_ended) = calls.join_next() => {}
            signal = inbox.receive() => match signal {
                Some(Signal::Mail(Mail::ClaimLog(mail))) => {
                    calls.spawn(call_log(platform, mail, directory.clone()));
                }
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"calls": calls.len()}));
                }
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
        }
    }
}

/// Carries out one call and sends its result to the service `claims`.
async fn call_log(platform: SocketAddr, mail: ClaimLogMail, directory: Directory<Mail>) {
    let result = match mail {
        ClaimLogMail::Append(id, records) => {
            ClaimsMail::Appended(id, append(platform, id, &records).await)
        }
        ClaimLogMail::Read(id, from) => ClaimsMail::Page(id, read(platform, id, from).await),
    };
    directory.send_waiting(CLAIMS, Mail::Claims(result)).await;
}

/// Appends records as one batch; `None` if it was refused or its outcome is unknown.
async fn append(
    platform: SocketAddr,
    id: PartitionId,
    records: &[ClaimRecord],
) -> Option<LogPosition> {
    let client = LogClient::new(platform, &id.stream());
    match timeout(CALL_TIMEOUT, client.append(encode_batch(records))).await {
        Ok(AppendOutcome::Appended(position)) => Some(position),
        Ok(AppendOutcome::Refused(_) | AppendOutcome::Unknown(_)) | Err(_) => None,
    }
}

/// Reads a page of batches without waiting for new ones; `None` if the log did not respond.
async fn read(platform: SocketAddr, id: PartitionId, from: LogOffset) -> Option<ClaimPage> {
    let client = LogClient::new(platform, &id.stream());
    let window = ReadWindow {
        from,
        limit: PAGE_RECORDS,
        wait: Duration::ZERO,
    };
    match timeout(CALL_TIMEOUT, client.read(window)).await {
        Ok(ReadOutcome::Page(page)) => Some(page.into()),
        Ok(ReadOutcome::Unavailable(_)) | Err(_) => None,
    }
}

impl From<LogPage> for ClaimPage {
    fn from(page: LogPage) -> Self {
        let batches = page.records.into_iter().map(|record| {
            // All readers take an undecodable record as an empty batch, so their replays agree.
            (
                record.offset,
                decode_batch(&record.body).unwrap_or_default(),
            )
        });
        Self {
            era: page.era,
            first: page.first,
            next: page.next,
            batches: batches.collect(),
        }
    }
}

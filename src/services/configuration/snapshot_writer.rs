//! I/O task `snapshot-writer`: appends snapshots of the configuration to the log when they are
//! due.

use std::net::SocketAddr;

use super::config::CONFIG;
use crate::kernel::{Directory, IoTask};
use crate::platform::log_client::{AppendOutcome, LogClient};
use crate::services::common::mail::{ConfigMail, Mail, NextSnapshotWrite};
use crate::services::common::wait::{run_until_stop, sleep_until};
use crate::wire::config_record::CONFIG_STREAM;

/// Name of the I/O task that appends snapshots of the configuration.
pub const SNAPSHOT_WRITER: &str = "snapshot-writer";

/// Creates the I/O task `snapshot-writer`, which appends to the log of the platform at an address.
#[must_use]
pub fn snapshot_writer(platform: SocketAddr) -> IoTask<Mail> {
    IoTask::new(SNAPSHOT_WRITER, move |inbox, directory| {
        let log = LogClient::new(platform, CONFIG_STREAM);
        run_until_stop(inbox, async move { run(&log, &directory).await })
    })
}

async fn run(log: &LogClient, directory: &Directory<Mail>) {
    let message = |reply_to| Mail::Config(ConfigMail::NextSnapshotWrite(reply_to));
    while let Some(next) = directory.ask(CONFIG, message).await {
        match next {
            NextSnapshotWrite::WaitUntil(deadline) => sleep_until(directory, deadline).await,
            NextSnapshotWrite::Write(bodies) => append_parts(log, bodies).await,
        }
    }
}

/// Appends the parts of a snapshot in order; stops at the first failure, since an incomplete
/// snapshot is written again later.
async fn append_parts(log: &LogClient, bodies: Vec<String>) {
    for body in bodies {
        match log.append(body).await {
            AppendOutcome::Appended(_) => {}
            // The part may be on the log nevertheless; readers accept duplicate parts.
            AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => return,
        }
    }
}

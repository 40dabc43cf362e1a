//! I/O task `snapshot-writer`: appends snapshots of the configuration when they are due.

use std::net::SocketAddr;

use super::config::CONFIG;
use crate::kernel::{Directory, IoTask};
use crate::platform::log_client::{AppendOutcome, LogClient};
use crate::services::common::mail::{ConfigMail, Mail, SnapshotTurn};
use crate::services::common::wait::{run_until_stop, sleep_until};
use crate::wire::config_record::CONFIG_STREAM;

/// Name of the task that appends snapshots.
pub const SNAPSHOT_WRITER: &str = "snapshot-writer";

/// Creates the task `snapshot-writer` for the platform at an address.
#[must_use]
pub fn snapshot_writer(platform: SocketAddr) -> IoTask<Mail> {
    IoTask::new(SNAPSHOT_WRITER, move |inbox, directory| {
        let log = LogClient::new(platform, CONFIG_STREAM);
        run_until_stop(inbox, async move { write(&log, &directory).await })
    })
}

async fn write(log: &LogClient, directory: &Directory<Mail>) {
    let question = |reply_to| Mail::Config(ConfigMail::SnapshotTurn(reply_to));
    while let Some(turn) = directory.ask(CONFIG, question).await {
        match turn {
            SnapshotTurn::WaitUntil(deadline) => sleep_until(directory, deadline).await,
            SnapshotTurn::Write(bodies) => append_all(log, bodies).await,
        }
    }
}

/// Appends the parts one after another; a snapshot cut short is written again later.
async fn append_all(log: &LogClient, bodies: Vec<String>) {
    for body in bodies {
        match log.append(body).await {
            AppendOutcome::Appended(_) => {}
            // Parts may stand on the log twice.
            AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => return,
        }
    }
}

//! I/O task `leaving-watch` of a sidecar: tells the ledger when the platform wants it to go.

use std::net::SocketAddr;
use std::time::Duration;

use crate::events::{LOG_UNREADABLE, log_event};
use crate::kernel::{Directory, IoTask};
use crate::platform::instance_topics::InstanceTopics;
use crate::services::common::mail::{LedgerMail, Mail};
use crate::services::common::wait::run_until_stop;

/// Time that the store holds a read back until there is a record.
const READ_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed read; a sidecar that learns late only goes on serving for as long.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Creates the task `leaving-watch` of the process with a name.
#[must_use]
pub fn leaving_watch(platform: SocketAddr, name: String) -> IoTask<Mail> {
    IoTask::new("leaving-watch", move |inbox, directory| {
        run_until_stop(inbox, async move {
            watch(InstanceTopics::new(platform), &name, &directory).await;
        })
    })
}

async fn watch(mut topics: InstanceTopics, name: &str, directory: &Directory<Mail>) {
    let mut from = None;
    loop {
        match topics.await_leaving(name, &mut from, READ_WAIT).await {
            Ok(false) => {}
            Ok(true) => {
                directory
                    .send_waiting("ledger", Mail::Ledger(LedgerMail::Leaving))
                    .await;
            }
            Err(error) => {
                log_event(&LOG_UNREADABLE, &[("reason", &error)]);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

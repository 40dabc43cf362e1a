//! I/O task `leaving-watch` of a sidecar: reports to the ledger that the instance is to leave.

use std::net::SocketAddr;
use std::time::Duration;

use crate::events::{LOG_UNREADABLE, log_event};
use crate::kernel::{Directory, IoTask};
use crate::platform::instance_topics::InstanceTopics;
use crate::services::common::mail::{LedgerMail, Mail};
use crate::services::common::wait::run_until_stop;

/// Long-poll wait of a read at the store.
const READ_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed read; until the next one, a leaving sidecar still accepts requests.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Creates the I/O task `leaving-watch` of the instance `name`.
#[must_use]
pub fn leaving_watch_task(platform: SocketAddr, name: String) -> IoTask<Mail> {
    IoTask::new("leaving-watch", move |inbox, directory| {
        run_until_stop(inbox, async move {
            watch(InstanceTopics::new(platform), &name, &directory).await;
        })
    })
}

/// Reads the platform's topic of leaving instances until the process stops.
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

//! I/O task `config-feed` of a sidecar: forwards each new configuration to the service `ledger`.

use crate::decide::ids::LogPosition;
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::services::common::mail::{ConfigMail, LedgerMail, Mail};
use crate::services::configuration::config::CONFIG;

/// Creates the I/O task `config-feed`.
#[must_use]
pub fn config_feed_task() -> IoTask<Mail> {
    IoTask::new("config-feed", run)
}

async fn run(mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut feeder = Box::pin(feed(directory));
    loop {
        tokio::select! {
            () = &mut feeder => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
        }
    }
}

/// Waits for a configuration newer than the last one and forwards it, until the process stops.
async fn feed(directory: Directory<Mail>) {
    let mut than = LogPosition::default();
    loop {
        let request = |reply_to| Mail::Config(ConfigMail::Newer { than, reply_to });
        let Some(configuration) = directory.ask(CONFIG, request).await else {
            return;
        };
        than = configuration.next();
        directory
            .send_waiting(
                "ledger",
                Mail::Ledger(LedgerMail::Configured(configuration)),
            )
            .await;
    }
}

//! I/O task `log-reader`: reads the configuration stream and hands its records to `config`.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep_until;

use super::config::CONFIG;
use super::mail::{ConfigMail, Mail};
use crate::decide::ids::LogOffset;
use crate::events::{LOG_UNREADABLE, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::log_client::{LogClient, LogPage, ReadOutcome, ReadWindow};
use crate::wire::config_record::CONFIG_STREAM;

/// Name of the task that reads the configuration stream.
pub const LOG_READER: &str = "log-reader";

/// Time that the log may hold back an answer without records.
const LONG_POLL: Duration = Duration::from_secs(20);

/// Most records in one page.
const PAGE_RECORDS: u32 = 256;

/// Range of the pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 200..800;

/// Creates the task `log-reader` for the platform at an address.
#[must_use]
pub fn log_reader(platform: SocketAddr) -> IoTask<Mail> {
    IoTask::new(LOG_READER, move |mut inbox, directory| async move {
        let log = LogClient::new(platform, CONFIG_STREAM);
        tokio::select! {
            () = follow(&log, &directory) => {}
            () = stopped(&mut inbox) => {}
        }
    })
}

async fn stopped(inbox: &mut Inbox<Mail>) {
    while let Some(signal) = inbox.receive().await {
        match signal {
            Signal::Stop => return,
            Signal::Dump(reply_to) => reply_to.send(serde_json::json!({})),
            Signal::Start | Signal::Mail(_) | Signal::Due => {}
        }
    }
}

async fn follow(log: &LogClient, directory: &Directory<Mail>) {
    let mut from = LogOffset::default();
    loop {
        let window = ReadWindow {
            from,
            limit: PAGE_RECORDS,
            wait: LONG_POLL,
        };
        let next = match log.read(window).await {
            ReadOutcome::Page(page) => hand_over(directory, page).await,
            ReadOutcome::Unavailable(reason) => {
                log_event(&LOG_UNREADABLE, &[("reason", &reason)]);
                None
            }
        };
        match next {
            Some(next) => from = next,
            None => pause(directory).await,
        }
    }
}

/// Hands a page to `config` and returns the offset to read from next.
async fn hand_over(directory: &Directory<Mail>, page: LogPage) -> Option<LogOffset> {
    let question = |reply_to| Mail::Config(ConfigMail::Apply { page, reply_to });
    directory.ask(CONFIG, question).await
}

async fn pause(directory: &Directory<Mail>) {
    let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
    let retry_at = directory.now().after(Duration::from_millis(pause_ms));
    sleep_until(directory.clock().instant(retry_at).into()).await;
}

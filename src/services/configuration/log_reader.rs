//! I/O task `log-reader`: reads the configuration stream from the log when the service `config`
//! asks for it.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::CONFIG;
use crate::decide::propagation::LogStep;
use crate::events::{LOG_UNREADABLE, log_event};
use crate::kernel::{Directory, IoTask};
use crate::platform::log_client::{LogClient, ReadOutcome, ReadWindow};
use crate::services::common::mail::{ConfigMail, Mail, NextLogRead};
use crate::services::common::wait::{run_until_stop, sleep_until};
use crate::wire::config_record::CONFIG_STREAM;

/// Name of the I/O task that reads the configuration stream.
pub const LOG_READER: &str = "log-reader";

/// Time for which the log may hold a read open until there are records (long polling).
const FOLLOW_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of records in one page.
const PAGE_RECORDS: u32 = 64;

/// Creates the I/O task `log-reader`, which reads the log of the platform at an address.
#[must_use]
pub fn log_reader(platform: SocketAddr) -> IoTask<Mail> {
    IoTask::new(LOG_READER, move |inbox, directory| {
        let log = LogClient::new(platform, CONFIG_STREAM);
        run_until_stop(inbox, async move { read_log(&log, &directory).await })
    })
}

async fn read_log(log: &LogClient, directory: &Directory<Mail>) {
    let message = |reply_to| Mail::Config(ConfigMail::NextLogRead(reply_to));
    while let Some(NextLogRead { step, from }) = directory.ask(CONFIG, message).await {
        let wait = match step {
            LogStep::WaitUntil(deadline) => {
                sleep_until(directory, deadline).await;
                continue;
            }
            LogStep::Follow => FOLLOW_WAIT,
            LogStep::Probe => Duration::ZERO,
        };
        let window = ReadWindow {
            from,
            limit: PAGE_RECORDS,
            wait,
        };
        let mail = match log.read(window).await {
            ReadOutcome::Page(page) => ConfigMail::LogRead(page),
            ReadOutcome::Unavailable(reason) => {
                log_event(&LOG_UNREADABLE, &[("reason", &reason)]);
                ConfigMail::LogFailed
            }
        };
        directory.send_waiting(CONFIG, Mail::Config(mail)).await;
    }
}

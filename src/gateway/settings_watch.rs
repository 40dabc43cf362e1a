//! I/O task `settings`: reloads the settings file on SIGHUP and when it has changed.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use crate::events::{SETTINGS_REFUSED, SETTINGS_RELOADED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::settings_file::InstanceSettings;

/// Interval at which the file is read; it may change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Names of the I/O tasks that receive changed settings.
const RECEIVERS: [&str; 4] = ["operator-watch", "upstream-watch", "peers", "orders"];

/// Creates the I/O task `settings`, which watches the settings file at `path`.
///
/// # Errors
///
/// Returns an error when the handler for SIGHUP cannot be installed.
pub fn settings_task(
    path: String,
    current: InstanceSettings,
) -> std::io::Result<IoTask<GatewayMail>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(IoTask::new(
        "settings",
        move |mut inbox: Inbox<GatewayMail>, directory| async move {
            let mut current = current;
            let mut ticks = tokio::time::interval(POLL_INTERVAL);
            loop {
                tokio::select! {
                    _ = hangup.recv() => {}
                    _ = ticks.tick() => {}
                    signal = inbox.receive() => match signal {
                        Some(Signal::Stop) | None => return,
                        Some(Signal::Dump(reply_to)) => {
                            reply_to.send(serde_json::json!({"name": current.name}));
                            continue;
                        }
                        Some(_) => continue,
                    },
                }
                reload(&directory, &path, &mut current);
            }
        },
    ))
}

/// Reads the file and sends its settings to the other tasks and `dispatch` if they have changed.
fn reload(directory: &Directory<GatewayMail>, path: &str, current: &mut InstanceSettings) {
    match InstanceSettings::load(Some(path)) {
        Ok(settings) if settings == *current => {}
        Ok(settings) => {
            current.clone_from(&settings);
            log_event(&SETTINGS_RELOADED, &[("store", &settings.store_address)]);
            let settings = Arc::new(settings);
            for name in RECEIVERS {
                // A full mailbox means that the task is far behind; it gets the next change.
                let _outcome = directory.send(name, GatewayMail::Settings(Arc::clone(&settings)));
            }
            dispatch::tell(directory, DispatchMail::Settings(settings));
        }
        // A partly written file is read again after the next interval; until then the current
        // settings stay in force.
        Err(error) => log_event(&SETTINGS_REFUSED, &[("reason", &error)]),
    }
}

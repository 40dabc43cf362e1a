//! I/O task `settings`: reads the settings file again on SIGHUP and when it has changed.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use crate::events::{SETTINGS_REFUSED, SETTINGS_RELOADED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::settings_file::InstanceSettings;

/// Time between two looks at the file; it may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Parts that are told of new settings.
const LISTENERS: [&str; 4] = ["operator-watch", "upstream-watch", "peers", "orders"];

/// Creates the I/O task.
///
/// # Errors
///
/// Returns an error when the signal cannot be watched.
pub fn settings_task(
    path: String,
    current: InstanceSettings,
) -> std::io::Result<IoTask<GatewayMail>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(IoTask::new(
        "settings",
        move |mut inbox: Inbox<GatewayMail>, directory| async move {
            let mut current = current;
            let mut ticks = tokio::time::interval(LOOK_INTERVAL);
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
                look(&directory, &path, &mut current);
            }
        },
    ))
}

/// Reads the file and tells the parts when it says something new.
fn look(directory: &Directory<GatewayMail>, path: &str, current: &mut InstanceSettings) {
    match InstanceSettings::load(Some(path)) {
        Ok(settings) if settings == *current => {}
        Ok(settings) => {
            current.clone_from(&settings);
            log_event(&SETTINGS_RELOADED, &[("store", &settings.store_address)]);
            let settings = Arc::new(settings);
            for name in LISTENERS {
                // A full mailbox means that the part is far behind; the next change comes again.
                let _outcome = directory.send(name, GatewayMail::Settings(Arc::clone(&settings)));
            }
            dispatch::tell(directory, DispatchMail::Settings(settings));
        }
        // A file that is being written is read again at the next look; what is in force stays.
        Err(error) => log_event(&SETTINGS_REFUSED, &[("reason", &error)]),
    }
}

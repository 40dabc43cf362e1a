//! Helpers for I/O tasks that wait.

use crate::kernel::{Directory, Inbox, Moment, Signal};
use crate::services::common::mail::Mail;

/// Sleeps until a deadline on the clock of the kernel.
pub async fn sleep_until(directory: &Directory<Mail>, deadline: Moment) {
    tokio::time::sleep_until(directory.clock().instant(deadline).into()).await;
}

/// Runs the work of an I/O task that handles no messages, until the work ends or the task is
/// stopped.
pub async fn run_until_stop(mut inbox: Inbox<Mail>, work: impl Future<Output = ()>) {
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(Signal::Start | Signal::Mail(_) | Signal::Due) => {}
            },
        }
    }
}

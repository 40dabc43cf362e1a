//! Waiting as the I/O tasks need it.

use crate::kernel::{Directory, Inbox, Moment, Signal};
use crate::services::common::mail::Mail;

/// Sleeps until a deadline.
pub async fn sleep_until(directory: &Directory<Mail>, deadline: Moment) {
    tokio::time::sleep_until(directory.clock().instant(deadline).into()).await;
}

/// Runs a loop that takes no mail until it ends or the task is told to stop.
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

//! I/O tasks `registration` and `deregistration`: the record of this process on the platform's
//! list of instances.

use std::net::SocketAddr;

use super::mail::Mail;
use crate::events::{REGISTRATION_FAILED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::instance_topics::{
    InstanceTopics, RENEWAL_INTERVAL, WireInstance, WireInstanceState,
};

/// Creates the I/O task `registration`, which renews the record of an instance periodically and
/// marks it as leaving when the task stops.
#[must_use]
pub fn registration_task(platform: SocketAddr, instance: WireInstance) -> IoTask<Mail> {
    IoTask::new("registration", move |inbox, directory| {
        run(InstanceTopics::new(platform), instance, inbox, directory)
    })
}

/// Creates the I/O task `deregistration`, which removes the record of an instance when it stops.
///
/// It has to be added to the kernel first, so that it stops last. If the record stayed, a new
/// process of the same name would find itself marked as leaving.
#[must_use]
pub fn deregistration_task(platform: SocketAddr, name: String) -> IoTask<Mail> {
    IoTask::new("deregistration", move |mut inbox, _| async move {
        loop {
            match inbox.receive().await {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) => break,
                None => return,
                Some(_) => {}
            }
        }
        // If the store is unavailable, the record expires by itself.
        if let Err(error) = InstanceTopics::new(platform).remove(&name).await {
            log_event(&REGISTRATION_FAILED, &[("reason", &error)]);
        }
    })
}

async fn run(
    mut topics: InstanceTopics,
    mut instance: WireInstance,
    mut inbox: Inbox<Mail>,
    directory: Directory<Mail>,
) {
    let mut next_renewal = directory.now();
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"state": instance.state}));
                }
                Some(Signal::Stop) | None => break,
                Some(_) => {}
            },
            () = tokio::time::sleep_until(directory.clock().instant(next_renewal).into()) => {
                renew(&mut topics, &instance).await;
                next_renewal = directory.now().after(RENEWAL_INTERVAL);
            }
        }
    }
    instance.state = WireInstanceState::Leaving;
    renew(&mut topics, &instance).await;
}

async fn renew(topics: &mut InstanceTopics, instance: &WireInstance) {
    if let Err(error) = topics.renew(instance).await {
        log_event(&REGISTRATION_FAILED, &[("reason", &error)]);
    }
}

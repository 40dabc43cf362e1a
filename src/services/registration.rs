//! I/O task `registration`: keeps this process on the platform's instance list.

use std::time::Duration;

use super::mail::{LedgerMail, Mail};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::instance_client::{InstanceClient, WireInstance, WireInstanceState};

/// Interval between two renewals; an instance that is not renewed for 10 s drops out.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Creates the I/O task `registration`.
#[must_use]
pub fn registration_task(client: InstanceClient, instance: WireInstance) -> IoTask<Mail> {
    IoTask::new("registration", move |inbox, directory| {
        run(client, instance, inbox, directory)
    })
}

/// Creates the I/O task `deregistration`, which takes the instance off the list when it stops.
///
/// It is registered first, so that it stops last: a next life under the same name would otherwise
/// find itself leaving.
#[must_use]
pub fn deregistration_task(client: InstanceClient, name: String) -> IoTask<Mail> {
    IoTask::new("deregistration", move |mut inbox, _| async move {
        loop {
            match inbox.receive().await {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) => break client.deregister(&name).await,
                None => return,
                Some(_) => {}
            }
        }
    })
}

async fn run(
    client: InstanceClient,
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
                let state = client.renew(&instance).await;
                if state == Some(WireInstanceState::Leaving) {
                    instance.state = WireInstanceState::Leaving;
                    tell_ledger(&directory).await;
                }
                next_renewal = directory.now().after(RENEWAL_INTERVAL);
            }
        }
    }
    instance.state = WireInstanceState::Leaving;
    // Without the platform the instance drops out of the list by itself.
    let _state = client.renew(&instance).await;
}

/// Tells the sidecar's ledger that the platform wants this instance to go.
async fn tell_ledger(directory: &Directory<Mail>) {
    if directory.find("ledger").is_some() {
        directory
            .deliver("ledger", Mail::Ledger(LedgerMail::Leaving))
            .await;
    }
}

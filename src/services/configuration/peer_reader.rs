//! I/O task `peer-reader`: fetches newer configuration records from sidecars by long polling.

use std::time::Duration;

use super::config::CONFIG;
use crate::decide::propagation::{CallKind, PeerStep};
use crate::kernel::{Directory, IoTask, whole_us};
use crate::services::common::mail::{ConfigMail, Mail, NextPeerCall};
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::services::common::wait::{run_until_stop, sleep_until};
use crate::wire::config_page::ConfigSinceCall;
use crate::wire::position::WirePosition;

/// Name of the I/O task that fetches configuration records from sidecars.
pub const PEER_READER: &str = "peer-reader";

/// Time for which a sidecar may hold a call open until there are newer records.
const PEER_WAIT: Duration = Duration::from_secs(2);

/// Timeout of a call, [`PEER_WAIT`] included.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause after a failed call, since a call can fail immediately.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Creates the I/O task `peer-reader`, which runs one loop for each kind of call.
#[must_use]
pub fn peer_reader() -> IoTask<Mail> {
    IoTask::new(PEER_READER, |inbox, directory| {
        run_until_stop(inbox, async move {
            tokio::join!(
                read_from_sidecars(CallKind::Parent, &directory),
                read_from_sidecars(CallKind::Random, &directory)
            );
        })
    })
}

async fn read_from_sidecars(kind: CallKind, directory: &Directory<Mail>) {
    let message = |reply_to| Mail::Config(ConfigMail::NextPeerCall(kind, reply_to));
    while let Some(NextPeerCall { step, from }) = directory.ask(CONFIG, message).await {
        let address = match step {
            PeerStep::WaitUntil(deadline) => {
                sleep_until(directory, deadline).await;
                continue;
            }
            PeerStep::FetchFromPeer(address) => address,
        };
        let calls = SidecarCalls {
            directory: directory.clone(),
            address,
        };
        let call = ConfigSinceCall {
            from_offset: WirePosition::from(from).0,
            wait_us: whole_us(PEER_WAIT),
        };
        let mail = if let Some(page) = calls.config_since(call, PEER_TIMEOUT).await {
            ConfigMail::PeerRead(page)
        } else {
            sleep_until(directory, directory.now().after(FAILURE_PAUSE)).await;
            ConfigMail::PeerFailed(address)
        };
        directory.send_waiting(CONFIG, Mail::Config(mail)).await;
    }
}

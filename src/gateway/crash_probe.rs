//! Connection attempt after a lost request, which tells a crash of the upstream from a response that
//! was broken off.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::upstream_call::{CONNECT_TIMEOUT, MAX_RESPONSE_BYTES};
use crate::decide::fleet::MemberKey;
use crate::kernel::Directory;
use crate::platform::http_connection::dial_bounded;

/// Time after which an upstream that has accepted a connection is tried once more: a process that ends may
/// close its connections before it stops accepting others.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Connects to an upstream that has lost a request, and tells `dispatch` if that fails, now or shortly after.
///
/// A request that is sent again waits for the first attempt, so that a request which crashes upstreams is
/// known before it reaches the next one.
pub async fn probe_after_loss(
    directory: &Directory<GatewayMail>,
    member: MemberKey,
    address: SocketAddr,
) {
    if !is_up(address).await {
        dispatch::tell(directory, DispatchMail::ProbeFailed(member));
        return;
    }
    let directory = directory.clone();
    tokio::spawn(async move {
        sleep(SECOND_PROBE_DELAY).await;
        if !is_up(address).await {
            dispatch::tell(&directory, DispatchMail::ProbeFailed(member));
        }
    });
}

async fn is_up(address: SocketAddr) -> bool {
    let connected = dial_bounded(address, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES).await;
    connected.is_ok()
}

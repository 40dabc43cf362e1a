//! Connection attempt after a lost request, which tells a crash of the upstream from a response that
//! was broken off.

use std::net::SocketAddr;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::upstream_call::{CONNECT_TIMEOUT, MAX_RESPONSE_BYTES};
use crate::decide::fleet::MemberKey;
use crate::kernel::Directory;
use crate::platform::http_connection::dial_bounded;

/// Connects to an upstream that has lost a request, and tells `dispatch` if that fails.
///
/// A request that is sent again waits for this, so that a prompt which crashes upstreams is known
/// before it reaches the next one.
pub async fn probe_after_loss(
    directory: &Directory<GatewayMail>,
    member: MemberKey,
    address: SocketAddr,
) {
    if let Err(_unreachable) = dial_bounded(address, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES).await {
        dispatch::tell(directory, DispatchMail::ProbeFailed(member));
    }
}

//! What the I/O task `peers` asks of `dispatch` for exchanges with other instances.

use std::collections::HashMap;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, PeerProgress};
use super::peer_connection::PeerConnection;
use crate::decide::route_table::DataCentreId;
use crate::kernel::Directory;
use crate::wire::origin_news::WireStreamOrigin;
use crate::wire::pace_news::WirePace;
use crate::wire::peer_rpc::{GossipMessage, WireSegmentNews, WireUpstreamLimit};
use crate::wire::site_digest::WireDigestCall;
use crate::wire::suspect_news::WireSuspectNews;
use crate::wire::use_news::WireUseCall;

/// News that go to each instance of a round.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerNews {
    segments: Vec<WireSegmentNews>,
    limits: Vec<WireUpstreamLimit>,
    paces: Vec<WirePace>,
    origins: Vec<WireStreamOrigin>,
    suspects: Vec<WireSuspectNews>,
}

impl PeerNews {
    /// Requests all news from `dispatch`.
    pub(super) async fn build(directory: &Directory<GatewayMail>) -> Self {
        let segments = dispatch::ask(directory, DispatchMail::BuildSegmentNews).await;
        let limits = dispatch::ask(directory, DispatchMail::BuildLimitNews).await;
        let paces = dispatch::ask(directory, DispatchMail::BuildPaceNews).await;
        let origins = dispatch::ask(directory, DispatchMail::BuildStreamNews).await;
        let suspects = dispatch::ask(directory, DispatchMail::BuildSuspectNews).await;
        Self {
            segments: segments.unwrap_or_default(),
            limits: limits.unwrap_or_default(),
            paces: paces.unwrap_or_default(),
            origins: origins.unwrap_or_default(),
            suspects: suspects.unwrap_or_default(),
        }
    }

    /// Sends the news on the connection of a successful exchange.
    pub(super) async fn report(self, connection: &mut PeerConnection) {
        connection.report_segments(self.segments).await;
        connection.report_limits(self.limits).await;
        connection.report_paces(self.paces).await;
        connection.report_origins(self.origins).await;
        connection.report_suspects(self.suspects).await;
    }
}

/// Requests this instance's gossip message from `dispatch`.
pub(super) async fn own_gossip(
    directory: &Directory<GatewayMail>,
    progress: PeerProgress,
) -> Option<GossipMessage> {
    dispatch::ask(directory, |reply_to| {
        DispatchMail::BuildGossip(progress, reply_to)
    })
    .await
}

/// Requests the digests for instances of a data centre from `dispatch`, unless they are known.
pub(super) async fn digests_for(
    directory: &Directory<GatewayMail>,
    place: DataCentreId,
    known: &mut HashMap<DataCentreId, WireDigestCall>,
) -> Option<WireDigestCall> {
    if let Some(digests) = known.get(&place) {
        return Some(digests.clone());
    }
    let digests = dispatch::ask(directory, |reply_to| {
        DispatchMail::BuildDigests(place, reply_to)
    });
    let digests = digests.await?;
    known.insert(place, digests.clone());
    Some(digests)
}

/// Requests the reports of customers' use for instances of a data centre from `dispatch`.
pub(super) async fn uses_for(
    directory: &Directory<GatewayMail>,
    place: DataCentreId,
) -> Option<WireUseCall> {
    let uses = dispatch::ask(directory, |reply_to| {
        DispatchMail::BuildUses(place, reply_to)
    });
    uses.await.flatten()
}

/// Passes another instance's reports of customers' use to `dispatch`.
pub(super) fn tell_uses(directory: &Directory<GatewayMail>, uses: Option<WireUseCall>) {
    if let Some(uses) = uses {
        dispatch::tell(directory, DispatchMail::Uses(Box::new(uses)));
    }
}

//! Serves the calls of other gateway instances.

use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpStream;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, PeerProgress, PeersMail};
use super::peer_news::own_gossip;
use crate::decide::route_table::DataCentreId;
use crate::kernel::Directory;
use crate::platform::http_connection::set_tcp_options;
use crate::wire::origin_news::{WireStreamKey, WireStreamOrigin};
use crate::wire::pace_news::WirePace;
use crate::wire::peer_rpc::{
    GossipMessage, PeerRpc, WireLoadCall, WireSegmentNews, WireUpstreamLimit,
};
use crate::wire::records_call::{WireRecordsCall, WireRecordsReply};
use crate::wire::site_digest::WireDigestCall;
use crate::wire::suspect_news::WireSuspectNews;
use crate::wire::transport;
use crate::wire::use_news::WireUseCall;

/// Serves the exchanges on one connection of another instance.
pub(super) async fn serve_peer(
    stream: TcpStream,
    directory: Directory<GatewayMail>,
    data_centre: DataCentreId,
) {
    set_tcp_options(&stream);
    let channel = BaseChannel::with_defaults(transport::framed(stream));
    let handler = ExchangeHandler {
        directory,
        data_centre,
    };
    transport::run_calls(channel.execute(handler.serve())).await;
}

/// Serves exchanges: applies the client's gossip message and responds with this instance's own.
#[derive(Debug, Clone)]
struct ExchangeHandler {
    directory: Directory<GatewayMail>,
    /// Data centre of this instance.
    data_centre: DataCentreId,
}

impl PeerRpc for ExchangeHandler {
    async fn exchange(self, _: Context, gossip: GossipMessage) -> GossipMessage {
        let progress = PeerProgress::of_sender(&gossip);
        let is_remote = gossip.data_centre() != Some(self.data_centre);
        if let Some(address) = gossip.address {
            let heard = PeersMail::PeerCalled(address, gossip.data_centre(), gossip.peers.clone());
            // A full mailbox drops the message; the next exchange repeats it.
            let _outcome = self.directory.send("peers", GatewayMail::Peers(heard));
        }
        dispatch::tell(&self.directory, DispatchMail::Gossip(Box::new(gossip)));
        // `dispatch` does not reply while the process shuts down; the response then has no
        // address.
        let own = own_gossip(&self.directory, progress).await;
        let own = own.unwrap_or_default();
        if is_remote {
            own.without_digested()
        } else {
            own
        }
    }

    async fn exchange_digests(self, _: Context, call: WireDigestCall) -> WireDigestCall {
        let place = DataCentreId(call.place);
        let received = PeersMail::DigestsReceived(Box::new(call.clone()));
        // A full mailbox drops the message; later digests repeat it.
        let _outcome = self.directory.send("peers", GatewayMail::Peers(received));
        dispatch::tell(&self.directory, DispatchMail::Digests(Box::new(call)));
        let digests = dispatch::ask(&self.directory, |reply_to| {
            DispatchMail::BuildDigests(place, reply_to)
        });
        let none = WireDigestCall {
            place: self.data_centre.0,
            digests: Vec::new(),
        };
        // `dispatch` does not reply while the process shuts down.
        digests.await.unwrap_or(none)
    }

    async fn exchange_loads(self, _: Context, call: WireLoadCall) -> WireLoadCall {
        dispatch::tell(&self.directory, DispatchMail::Loads(call));
        let loads = dispatch::ask(&self.directory, DispatchMail::BuildLoads);
        // `dispatch` does not reply while the process shuts down; the reply then names no sender.
        loads.await.unwrap_or(WireLoadCall {
            sender: 0,
            loads: Vec::new(),
        })
    }

    async fn exchange_uses(self, _: Context, call: WireUseCall) -> Option<WireUseCall> {
        let place = call.data_centre();
        dispatch::tell(&self.directory, DispatchMail::Uses(Box::new(call)));
        let uses = dispatch::ask(&self.directory, |reply_to| {
            DispatchMail::BuildUses(place, reply_to)
        });
        // `dispatch` does not reply while the process shuts down.
        uses.await.flatten()
    }

    async fn read_records(self, _: Context, call: WireRecordsCall) -> WireRecordsReply {
        let reply = dispatch::ask(&self.directory, |reply_to| {
            DispatchMail::ReadRecords(call, reply_to)
        });
        // `dispatch` does not reply while the process shuts down.
        reply.await.unwrap_or(WireRecordsReply::Busy)
    }

    async fn report_limits(self, _: Context, limits: Vec<WireUpstreamLimit>) {
        dispatch::tell(&self.directory, DispatchMail::LimitNews(limits));
    }

    async fn report_paces(self, _: Context, paces: Vec<WirePace>) {
        dispatch::tell(&self.directory, DispatchMail::PaceNews(paces));
    }

    async fn report_origins(self, _: Context, origins: Vec<WireStreamOrigin>) {
        dispatch::tell(&self.directory, DispatchMail::OriginNews(origins));
    }

    async fn find_origins(self, _: Context, streams: Vec<WireStreamKey>) -> Vec<WireStreamOrigin> {
        let recorded = dispatch::ask(&self.directory, |reply_to| {
            DispatchMail::RecordedOrigins(streams, reply_to)
        });
        // `dispatch` does not reply while the process shuts down.
        recorded.await.unwrap_or_default()
    }

    async fn report_suspects(self, _: Context, news: Vec<WireSuspectNews>) {
        dispatch::tell(&self.directory, DispatchMail::SuspectNews(news));
    }

    async fn report_segments(self, _: Context, news: Vec<WireSegmentNews>) {
        dispatch::tell(&self.directory, DispatchMail::SegmentNews(news));
    }
}

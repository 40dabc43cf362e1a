//! I/O task `peers`: exchanges gossip messages with the other instances, as client and as server.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::dispatch;
use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail, PeerProgress, PeersMail};
use super::peer_connection::PeerConnection;
use crate::decide::ids::LogOffset;
use crate::decide::route_table::DataCentreId;
use crate::kernel::{Directory, Inbox, IoTask, Moment, ReplyTo, Signal};
use crate::platform::http_connection::set_tcp_options;
use crate::wire::peer_rpc::{GossipMessage, PeerRpc, WireProgress, WireSegmentNews};
use crate::wire::transport;

/// Time between two rounds of exchanges.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of instances in the own data centre that are called per round. They place requests on
/// the same upstreams, so each has to know the load from the others within a few hundred
/// milliseconds.
const LOCAL_FAN_OUT: usize = 4;

/// Minimum number of instances in other data centres that are called per round; a message reaches
/// all of them within a few rounds.
const REMOTE_FAN_OUT: usize = 2;

/// Number of instances that are called per round if that many are known.
const FAN_OUT: usize = 4;

/// Maximum number of connections from other instances.
const MAX_CONNECTIONS: usize = 256;

/// Time without a response after which an instance is forgotten unless it is a seed.
const PEER_EXPIRY: Duration = Duration::from_secs(10);

/// Creates the I/O task `peers`.
#[must_use]
pub fn peers_task(
    listener: TcpListener,
    identity: &InstanceIdentity,
    seeds: Vec<SocketAddr>,
) -> IoTask<GatewayMail> {
    let (own, data_centre) = (identity.peer_address, identity.data_centre);
    IoTask::new("peers", move |inbox, directory| {
        let mut exchange = PeerExchange {
            own,
            connections: HashMap::new(),
            known_peers: HashMap::new(),
            seeds,
            exchanges: JoinSet::new(),
            in_exchange: HashSet::new(),
            waiting: Vec::new(),
            data_centre,
            round: 0,
        };
        async move { exchange.run(listener, inbox, directory).await }
    })
}

/// Instances that a round of exchanges includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoundScope {
    /// The next ones in rotation.
    Rotation,
    /// All known instances.
    All,
}

/// Result of one exchange.
#[derive(Debug)]
struct ExchangeResult {
    connection: PeerConnection,
    /// Time at which the exchange began.
    called_at: Moment,
    /// Message of the other instance; `None` if it did not respond.
    response: Option<GossipMessage>,
}

/// Another instance that is known by its address.
#[derive(Debug, Clone, Copy)]
struct KnownPeer {
    /// Time of the last response, or of the first mention by another instance.
    heard_at: Moment,
    /// Data centre; `None` until the instance has reported it.
    data_centre: Option<DataCentreId>,
}

/// State of the I/O task.
#[derive(Debug)]
struct PeerExchange {
    /// Address of this instance.
    own: SocketAddr,
    /// Connections without a running exchange.
    connections: HashMap<SocketAddr, PeerConnection>,
    known_peers: HashMap<SocketAddr, KnownPeer>,
    /// Data centre of this instance.
    data_centre: DataCentreId,
    /// Addresses from the settings, which are never forgotten.
    seeds: Vec<SocketAddr>,
    exchanges: JoinSet<ExchangeResult>,
    /// Addresses with a running exchange.
    in_exchange: HashSet<SocketAddr>,
    /// Reply handles of tasks that wait until the running exchanges are over.
    waiting: Vec<ReplyTo<()>>,
    /// Number of rounds so far.
    round: usize,
}

impl PeerExchange {
    async fn run(
        &mut self,
        listener: TcpListener,
        mut inbox: Inbox<GatewayMail>,
        directory: Directory<GatewayMail>,
    ) {
        let mut incoming = JoinSet::new();
        let mut due = directory.now();
        loop {
            tokio::select! {
                accepted = listener.accept(), if incoming.len() < MAX_CONNECTIONS => {
                    if let Ok((stream, _peer)) = accepted {
                        incoming.spawn(serve(stream, directory.clone()));
                    }
                }
                Some(_ended) = incoming.join_next() => {}
                Some(ended) = self.exchanges.join_next() => {
                    if let Ok(end) = ended {
                        self.finish_exchange(&directory, end);
                    }
                    self.reply_to_waiting();
                }
                () = sleep_until(directory.clock().instant(due).into()) => {
                    due = directory.now().after(ROUND_INTERVAL);
                    self.begin_round(&directory, RoundScope::Rotation).await;
                }
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::Peers(PeersMail::ExchangeNow(reply_to)))) => {
                        self.waiting.push(reply_to);
                        self.begin_round(&directory, RoundScope::All).await;
                        self.reply_to_waiting();
                    }
                    Some(Signal::Mail(GatewayMail::Peers(
                        PeersMail::PeerCalled(address, data_centre, others),
                    ))) => {
                        self.record_peer(directory.now(), address, data_centre, &others);
                    }
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        self.seeds.clone_from(&settings.seed_peers);
                    }
                    Some(Signal::Dump(reply_to)) => {
                        reply_to.send(serde_json::json!({"peers": self.known_peers.len()}));
                    }
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
            }
        }
    }

    /// Returns the instances for the next round: instances in the own data centre and in others,
    /// each in rotation.
    fn next_peers(&mut self, now: Moment, scope: RoundScope) -> Vec<SocketAddr> {
        self.known_peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_EXPIRY);
        let mut known: Vec<SocketAddr> = self.known_peers.keys().copied().collect();
        known.extend(self.seeds.iter().copied());
        known.sort_unstable();
        known.dedup();
        known.retain(|address| *address != self.own);
        if scope == RoundScope::All {
            return known;
        }
        let is_local = |address: &SocketAddr| {
            let peer = self.known_peers.get(address);
            peer.is_some_and(|peer| peer.data_centre == Some(self.data_centre))
        };
        let (mut local, mut remote): (Vec<_>, Vec<_>) = known.into_iter().partition(is_local);
        let local_count = local.len().min(LOCAL_FAN_OUT);
        select_in_rotation(&mut local, LOCAL_FAN_OUT, self.round);
        select_in_rotation(
            &mut remote,
            REMOTE_FAN_OUT.max(FAN_OUT - local_count),
            self.round,
        );
        self.round = self.round.wrapping_add(1);
        local.append(&mut remote);
        local
    }

    /// Starts exchanges with the instances of the round that have none running.
    async fn begin_round(&mut self, directory: &Directory<GatewayMail>, scope: RoundScope) {
        let known = self.next_peers(directory.now(), scope);
        if known.is_empty() {
            return;
        }
        let Some(mut gossip) = own_gossip(directory, PeerProgress::without_records()).await else {
            return;
        };
        gossip.peers = self.known_peers.keys().copied().collect();
        let news = dispatch::ask(directory, DispatchMail::BuildSegmentNews).await;
        let news = news.unwrap_or_default();
        for address in known {
            if !self.in_exchange.insert(address) {
                continue;
            }
            let mut connection = self
                .connections
                .remove(&address)
                .unwrap_or_else(|| PeerConnection::new(address));
            let (gossip, news) = (gossip.clone(), news.clone());
            let called_at = directory.now();
            self.exchanges.spawn(async move {
                let response = connection.exchange(gossip).await;
                connection.report_segments(news).await;
                ExchangeResult {
                    connection,
                    called_at,
                    response,
                }
            });
        }
    }

    /// Applies the response of an exchange and keeps its connection.
    fn finish_exchange(&mut self, directory: &Directory<GatewayMail>, result: ExchangeResult) {
        let ExchangeResult {
            connection,
            called_at,
            response,
        } = result;
        self.in_exchange.remove(&connection.address);
        if let Some(gossip) = response {
            self.record_peer(
                directory.now(),
                connection.address,
                gossip.data_centre(),
                &gossip.peers,
            );
            let mail = DispatchMail::GossipResponse(Box::new(gossip), called_at);
            dispatch::tell(directory, mail);
        }
        self.connections.insert(connection.address, connection);
    }

    /// Records an instance that has just responded or called, and the peers that it knows.
    fn record_peer(
        &mut self,
        now: Moment,
        address: SocketAddr,
        data_centre: Option<DataCentreId>,
        others: &[SocketAddr],
    ) {
        self.known_peers.insert(
            address,
            KnownPeer {
                heard_at: now,
                data_centre,
            },
        );
        for other in others {
            let unconfirmed = KnownPeer {
                heard_at: now,
                data_centre: None,
            };
            self.known_peers.entry(*other).or_insert(unconfirmed);
        }
        self.known_peers.remove(&self.own);
    }

    /// Replies to tasks that wait for the exchanges, once none is running.
    fn reply_to_waiting(&mut self) {
        if self.exchanges.is_empty() {
            for reply_to in self.waiting.drain(..) {
                reply_to.send(());
            }
        }
    }
}

/// Keeps `count` addresses, which differ from round to round so that each address gets its turn.
fn select_in_rotation(addresses: &mut Vec<SocketAddr>, count: usize, round: usize) {
    if addresses.is_empty() {
        return;
    }
    let first = round.wrapping_mul(count) % addresses.len();
    addresses.rotate_left(first);
    addresses.truncate(count);
}

impl PeerProgress {
    /// Progress of an instance that is to get no records.
    const fn without_records() -> Self {
        Self {
            operator: None,
            upstream: None,
        }
    }

    /// Returns the progress of the sender of a gossip message.
    fn of_sender(gossip: &GossipMessage) -> Self {
        let needed_from = |progress: WireProgress| Some(LogOffset(progress.next));
        Self {
            operator: needed_from(gossip.operator),
            upstream: needed_from(gossip.upstream),
        }
    }
}

/// Requests this instance's gossip message from `dispatch`.
async fn own_gossip(
    directory: &Directory<GatewayMail>,
    progress: PeerProgress,
) -> Option<GossipMessage> {
    dispatch::ask(directory, |reply_to| {
        DispatchMail::BuildGossip(progress, reply_to)
    })
    .await
}

/// Serves the exchanges on one connection of another instance.
async fn serve(stream: TcpStream, directory: Directory<GatewayMail>) {
    set_tcp_options(&stream);
    let channel = BaseChannel::with_defaults(transport::framed(stream));
    let handler = ExchangeHandler { directory };
    transport::run_calls(channel.execute(handler.serve())).await;
}

/// Serves exchanges: applies the client's gossip message and responds with this instance's own.
#[derive(Debug, Clone)]
struct ExchangeHandler {
    directory: Directory<GatewayMail>,
}

impl PeerRpc for ExchangeHandler {
    async fn exchange(self, _: Context, gossip: GossipMessage) -> GossipMessage {
        let progress = PeerProgress::of_sender(&gossip);
        if let Some(address) = gossip.address {
            let heard = PeersMail::PeerCalled(address, gossip.data_centre(), gossip.peers.clone());
            // A full mailbox drops the message; the next exchange repeats it.
            let _outcome = self.directory.send("peers", GatewayMail::Peers(heard));
        }
        dispatch::tell(&self.directory, DispatchMail::Gossip(Box::new(gossip)));
        // `dispatch` does not reply while the process shuts down; the response then has no
        // address.
        own_gossip(&self.directory, progress)
            .await
            .unwrap_or_default()
    }

    async fn report_segments(self, _: Context, news: Vec<WireSegmentNews>) {
        dispatch::tell(&self.directory, DispatchMail::SegmentNews(news));
    }
}

//! I/O task `peers`: exchanges gossip messages with the other instances, as client and as server.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::dispatch;
use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail, PeerProgress, PeersMail};
use super::peer_connection::{ExchangeError, PeerConnection};
use super::peer_failures::PeerFailures;
use super::peer_news::{PeerNews, digests_for, own_gossip, tell_uses, uses_for};
use super::peer_server::serve_peer;
use super::peer_table::{PeerTable, RoundScope};
use crate::decide::route_table::DataCentreId;
use crate::kernel::{Directory, Inbox, IoTask, Moment, ReplyTo, Signal};
use crate::wire::peer_rpc::{GossipMessage, WireLoadCall, WireProgress};
use crate::wire::site_digest::WireDigestCall;
use crate::wire::use_news::WireUseCall;

/// Time between two rounds of exchanges.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two exchanges of loads within a data centre; a long prompt is prefilled in a few times
/// as long.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of connections from other instances.
const MAX_CONNECTIONS: usize = 256;

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
            peers: PeerTable::new(own, data_centre, seeds),
            failures: PeerFailures::default(),
            connections: HashMap::new(),
            data_centre,
            exchanges: JoinSet::new(),
            load_exchanges: JoinSet::new(),
            in_exchange: HashSet::new(),
            waiting: Vec::new(),
        };
        async move { exchange.run(listener, inbox, directory).await }
    })
}

/// Result of one exchange.
#[derive(Debug)]
struct ExchangeResult {
    connection: PeerConnection,
    /// Time at which the exchange began.
    called_at: Moment,
    /// Message of the other instance.
    response: Result<GossipMessage, ExchangeError>,
    /// Digests of the other instance, if it has sent some.
    digests: Option<WireDigestCall>,
    /// Reports of customers' use from the other instance, if it has sent some.
    uses: Option<WireUseCall>,
}

/// Result of one exchange of loads.
#[derive(Debug)]
struct LoadResult {
    connection: PeerConnection,
    loads: Option<WireLoadCall>,
    uses: Option<WireUseCall>,
}

/// State of the I/O task.
#[derive(Debug)]
struct PeerExchange {
    peers: PeerTable,
    failures: PeerFailures,
    /// Data centre of this instance.
    data_centre: DataCentreId,
    /// Connections without a running exchange.
    connections: HashMap<SocketAddr, PeerConnection>,
    exchanges: JoinSet<ExchangeResult>,
    /// Running exchanges of loads.
    load_exchanges: JoinSet<LoadResult>,
    /// Addresses with a running exchange.
    in_exchange: HashSet<SocketAddr>,
    /// Reply handles of tasks that wait until the running exchanges are over.
    waiting: Vec<ReplyTo<()>>,
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
        let mut loads_due = due;
        loop {
            tokio::select! {
                accepted = listener.accept(), if incoming.len() < MAX_CONNECTIONS => {
                    if let Ok((stream, _peer)) = accepted {
                        incoming.spawn(serve_peer(stream, directory.clone(), self.data_centre));
                    }
                }
                Some(_ended) = incoming.join_next() => {}
                Some(ended) = self.exchanges.join_next() => {
                    if let Ok(end) = ended {
                        self.finish_exchange(&directory, end);
                    }
                    self.reply_to_waiting();
                }
                Some(ended) = self.load_exchanges.join_next() => {
                    if let Ok(end) = ended {
                        self.finish_load_exchange(&directory, end);
                    }
                }
                () = sleep_until(directory.clock().instant(due).into()) => {
                    due = directory.now().after(ROUND_INTERVAL);
                    self.begin_round(&directory, RoundScope::Rotation).await;
                }
                () = sleep_until(directory.clock().instant(loads_due).into()) => {
                    loads_due = directory.now().after(LOAD_INTERVAL);
                    let local = self.peers.next_load_round();
                    self.begin_load_round(&directory, local).await;
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
                        self.peers.record(directory.now(), address, data_centre, &others);
                    }
                    Some(Signal::Mail(GatewayMail::Peers(PeersMail::LoadsChanged))) => {
                        let local = self.peers.informed_at_once();
                        self.begin_load_round(&directory, local).await;
                    }
                    Some(Signal::Mail(GatewayMail::Peers(PeersMail::DigestsReceived(call)))) => {
                        self.record_digests(directory.now(), &call);
                    }
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        self.peers.seeds.clone_from(&settings.seed_peers);
                    }
                    Some(Signal::Dump(reply_to)) => {
                        reply_to.send(serde_json::json!({"peers": self.peers.len()}));
                    }
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
            }
        }
    }

    /// Starts exchanges with the instances of the round that have none running.
    async fn begin_round(&mut self, directory: &Directory<GatewayMail>, scope: RoundScope) {
        let known = self.peers.next_round(directory.now(), scope);
        self.failures.retain(|peer| self.peers.knows(peer));
        if known.is_empty() {
            return;
        }
        let Some(gossip) = own_gossip(directory, PeerProgress::without_records()).await else {
            return;
        };
        let news = PeerNews::build(directory).await;
        let mut digests: HashMap<DataCentreId, WireDigestCall> = HashMap::new();
        for address in known {
            if !self.in_exchange.insert(address) {
                continue;
            }
            let place = self.peers.data_centre_of(address);
            let digest = match place.filter(|_| scope == RoundScope::Rotation) {
                Some(place) => digests_for(directory, place, &mut digests).await,
                None => None,
            };
            let mut connection = self
                .connections
                .remove(&address)
                .unwrap_or_else(|| PeerConnection::new(address));
            let (mut gossip, news) = (gossip.clone(), news.clone());
            if place.is_some_and(|place| place != self.data_centre) {
                gossip = gossip.without_digested();
            }
            let uses = match place.filter(|place| *place != self.data_centre) {
                Some(place) => uses_for(directory, place).await,
                None => None,
            };
            gossip.peers = self.peers.addresses_for(directory.now(), address);
            let called_at = directory.now();
            self.exchanges.spawn(async move {
                let response = connection.exchange(gossip).await;
                news.report(&mut connection).await;
                let digests = match digest {
                    Some(digest) => connection.exchange_digests(digest).await,
                    None => None,
                };
                let uses = match uses {
                    Some(uses) => connection.exchange_uses(uses).await,
                    None => None,
                };
                ExchangeResult {
                    connection,
                    called_at,
                    response,
                    digests,
                    uses,
                }
            });
        }
    }

    /// Starts exchanges of loads with instances of the own data centre that are connected.
    async fn begin_load_round(
        &mut self,
        directory: &Directory<GatewayMail>,
        local: Vec<SocketAddr>,
    ) {
        if local.is_empty() {
            return;
        }
        let Some(loads) = dispatch::ask(directory, DispatchMail::BuildLoads).await else {
            return;
        };
        let uses = uses_for(directory, self.data_centre).await;
        let paces = dispatch::ask(directory, DispatchMail::BuildPaceNews).await;
        let paces = paces.unwrap_or_default();
        let origins = dispatch::ask(directory, DispatchMail::BuildStreamNews).await;
        let origins = origins.unwrap_or_default();
        for address in local {
            let Some(mut connection) = self.connections.remove(&address) else {
                continue;
            };
            self.in_exchange.insert(address);
            let (loads, uses, paces) = (loads.clone(), uses.clone(), paces.clone());
            let origins = origins.clone();
            self.load_exchanges.spawn(async move {
                let loads = connection.exchange_loads(loads).await;
                let uses = match uses {
                    Some(uses) => connection.exchange_uses(uses).await,
                    None => None,
                };
                connection.report_paces(paces).await;
                connection.report_origins(origins).await;
                LoadResult {
                    connection,
                    loads,
                    uses,
                }
            });
        }
    }

    /// Applies the load from another instance and keeps the connection.
    fn finish_load_exchange(&mut self, directory: &Directory<GatewayMail>, result: LoadResult) {
        let LoadResult {
            connection,
            loads,
            uses,
        } = result;
        let address = connection.address;
        self.in_exchange.remove(&address);
        self.connections.insert(address, connection);
        if let Some(loads) = loads {
            self.peers.record_response(directory.now(), address);
            dispatch::tell(directory, DispatchMail::Loads(loads));
        }
        tell_uses(directory, uses);
    }

    /// Applies the response of an exchange and keeps its connection.
    fn finish_exchange(&mut self, directory: &Directory<GatewayMail>, result: ExchangeResult) {
        let ExchangeResult {
            connection,
            called_at,
            response,
            digests,
            uses,
        } = result;
        self.in_exchange.remove(&connection.address);
        let (now, address) = (directory.now(), connection.address);
        let outcome = match response {
            Ok(gossip) => {
                self.failures.record_success(now, address);
                self.peers
                    .record(now, address, gossip.data_centre(), &gossip.peers);
                let mail = DispatchMail::GossipResponse(Box::new(gossip), called_at);
                dispatch::tell(directory, mail);
                "answered"
            }
            Err(error) => {
                self.failures
                    .record_failure(now, address, called_at, &error);
                error.name()
            }
        };
        if let Some(digests) = digests {
            self.record_digests(now, &digests);
            dispatch::tell(directory, DispatchMail::Digests(Box::new(digests)));
        }
        tell_uses(directory, uses);
        dispatch::tell(directory, DispatchMail::ExchangeEnded(outcome));
        self.connections.insert(connection.address, connection);
    }

    /// Records the instances of which another instance has heard through digests.
    fn record_digests(&mut self, now: Moment, call: &WireDigestCall) {
        for digest in &call.digests {
            let place = digest.data_centre();
            if place == self.data_centre {
                continue;
            }
            let built_at = now.before(Duration::from_millis(digest.ago_ms));
            self.peers.record_digest(built_at, place);
            for member in digest.members.iter().filter(|member| !member.is_leaving) {
                let heard_at = built_at.before(Duration::from_millis(member.ago_ms));
                self.peers.record_mention(heard_at, member.address, place);
            }
        }
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

impl PeerProgress {
    /// Progress of an instance that is to get no records.
    const fn without_records() -> Self {
        Self {
            operator: None,
            upstream: None,
        }
    }

    /// Returns the progress of the sender of a gossip message.
    pub(super) fn of_sender(gossip: &GossipMessage) -> Self {
        let needed_from = |progress: WireProgress| Some(progress.next.into());
        Self {
            operator: needed_from(gossip.operator),
            upstream: needed_from(gossip.upstream),
        }
    }
}

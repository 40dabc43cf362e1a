//! I/O task `peers`: exchanges news with the other instances and answers their calls.

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
use super::peer_link::PeerLink;
use crate::decide::ids::LogOffset;
use crate::decide::route_table::DataCentreId;
use crate::kernel::{Directory, Inbox, IoTask, Moment, ReplyTo, Signal};
use crate::platform::http_link::watch_for_silence;
use crate::wire::peer_rpc::{PeerNews, PeerRpc, WireProgress};
use crate::wire::transport;

/// Time between two exchanges with each chosen instance.
const INTERVAL: Duration = Duration::from_millis(250);

/// Instances of the own data centre that are called in one interval: they send to the same
/// upstreams, and each is to know what the others have sent within a few hundred milliseconds.
const NEAR_FAN_OUT: usize = 4;

/// Instances elsewhere that are called in one interval, at least; news reach all in a few intervals.
const FAR_FAN_OUT: usize = 2;

/// Instances that are called in one interval when there are so many.
const FAN_OUT: usize = 4;

/// Connections from other instances served at the same time.
const MAX_CONNECTIONS: usize = 256;

/// Time without an answer after which an instance that is no seed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Creates the I/O task.
#[must_use]
pub fn peers_task(
    listener: TcpListener,
    identity: &InstanceIdentity,
    seeds: Vec<SocketAddr>,
) -> IoTask<GatewayMail> {
    let (own, place) = (identity.peer_address, identity.data_centre);
    IoTask::new("peers", move |inbox, directory| {
        let mut exchange = PeerExchange {
            own,
            links: HashMap::new(),
            heard: HashMap::new(),
            seeds,
            calls: JoinSet::new(),
            calling: HashSet::new(),
            waiting: Vec::new(),
            place,
            turn: 0,
        };
        async move { exchange.run(listener, inbox, directory).await }
    })
}

/// Whom a round of calls reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoundReach {
    /// Those whose turn it is.
    Some,
    /// All that are known.
    All,
}

/// Result of one call: the link and what came back over it.
type CallEnd = (PeerLink, Option<PeerNews>);

/// What is known of another instance's address.
#[derive(Debug, Clone, Copy)]
struct HeardPeer {
    heard: Moment,
    /// Data centre, once it has said so itself.
    place: Option<DataCentreId>,
}

#[derive(Debug)]
struct PeerExchange {
    own: SocketAddr,
    /// Links that are not in a call.
    links: HashMap<SocketAddr, PeerLink>,
    heard: HashMap<SocketAddr, HeardPeer>,
    /// Own data centre.
    place: DataCentreId,
    seeds: Vec<SocketAddr>,
    calls: JoinSet<CallEnd>,
    /// Addresses with a call under way.
    calling: HashSet<SocketAddr>,
    /// Whoever waits until the calls under way are over.
    waiting: Vec<ReplyTo<()>>,
    turn: usize,
}

impl PeerExchange {
    async fn run(
        &mut self,
        listener: TcpListener,
        mut inbox: Inbox<GatewayMail>,
        directory: Directory<GatewayMail>,
    ) {
        let mut connections = JoinSet::new();
        let mut due = directory.now();
        loop {
            tokio::select! {
                accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                    if let Ok((stream, _peer)) = accepted {
                        connections.spawn(serve(stream, directory.clone()));
                    }
                }
                Some(_ended) = connections.join_next() => {}
                Some(ended) = self.calls.join_next() => {
                    if let Ok(end) = ended {
                        self.finish(&directory, end);
                    }
                    self.release_waiting();
                }
                () = sleep_until(directory.clock().instant(due).into()) => {
                    due = directory.now().after(INTERVAL);
                    self.begin_round(&directory, RoundReach::Some).await;
                }
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::Peers(PeersMail::ExchangeNow(reply_to)))) => {
                        self.waiting.push(reply_to);
                        self.begin_round(&directory, RoundReach::All).await;
                        self.release_waiting();
                    }
                    Some(Signal::Mail(GatewayMail::Peers(PeersMail::Heard(address, place, others)))) => {
                        self.note(directory.now(), address, place, &others);
                    }
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        self.seeds.clone_from(&settings.seed_peers);
                    }
                    Some(Signal::Dump(reply_to)) => {
                        reply_to.send(serde_json::json!({"peers": self.heard.len()}));
                    }
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
            }
        }
    }

    /// Chooses the instances that are called next, near ones and others in turn.
    fn next_peers(&mut self, now: Moment, reach: RoundReach) -> Vec<SocketAddr> {
        self.heard
            .retain(|_, peer| now.since(peer.heard) < FORGET_AFTER);
        let mut known: Vec<SocketAddr> = self.heard.keys().copied().collect();
        known.extend(self.seeds.iter().copied());
        known.sort_unstable();
        known.dedup();
        known.retain(|address| *address != self.own);
        if reach == RoundReach::All {
            return known;
        }
        let is_near = |address: &SocketAddr| {
            let peer = self.heard.get(address);
            peer.is_some_and(|peer| peer.place == Some(self.place))
        };
        let (mut near, mut far): (Vec<_>, Vec<_>) = known.into_iter().partition(is_near);
        let near_count = near.len().min(NEAR_FAN_OUT);
        take_turn(&mut near, NEAR_FAN_OUT, self.turn);
        take_turn(&mut far, FAR_FAN_OUT.max(FAN_OUT - near_count), self.turn);
        self.turn = self.turn.wrapping_add(1);
        near.append(&mut far);
        near
    }

    /// Starts calls to the next instances that are not in a call.
    async fn begin_round(&mut self, directory: &Directory<GatewayMail>, reach: RoundReach) {
        let known = self.next_peers(directory.now(), reach);
        if known.is_empty() {
            return;
        }
        let Some(mut news) = own_news(directory, PeerProgress::nothing()).await else {
            return;
        };
        news.peers = self.heard.keys().copied().collect();
        for address in known {
            if !self.calling.insert(address) {
                continue;
            }
            let mut link = self
                .links
                .remove(&address)
                .unwrap_or_else(|| PeerLink::new(address));
            let news = news.clone();
            self.calls.spawn(async move {
                let answer = link.exchange(news).await;
                (link, answer)
            });
        }
    }

    fn finish(&mut self, directory: &Directory<GatewayMail>, (link, answer): CallEnd) {
        self.calling.remove(&link.address);
        if let Some(news) = answer {
            self.note(directory.now(), link.address, news.place(), &news.peers);
            dispatch::tell(directory, DispatchMail::News(Box::new(news)));
        }
        self.links.insert(link.address, link);
    }

    fn note(
        &mut self,
        now: Moment,
        address: SocketAddr,
        place: Option<DataCentreId>,
        others: &[SocketAddr],
    ) {
        self.heard.insert(address, HeardPeer { heard: now, place });
        for other in others {
            let unmet = HeardPeer {
                heard: now,
                place: None,
            };
            self.heard.entry(*other).or_insert(unmet);
        }
        self.heard.remove(&self.own);
    }

    fn release_waiting(&mut self) {
        if self.calls.is_empty() {
            for reply_to in self.waiting.drain(..) {
                reply_to.send(());
            }
        }
    }
}

/// Keeps the addresses whose turn it is, so many of them.
fn take_turn(addresses: &mut Vec<SocketAddr>, count: usize, turn: usize) {
    if addresses.is_empty() {
        return;
    }
    let first = turn.wrapping_mul(count) % addresses.len();
    addresses.rotate_left(first);
    addresses.truncate(count);
}

impl PeerProgress {
    /// Progress of an instance that needs nothing handed on.
    const fn nothing() -> Self {
        Self {
            operator: None,
            upstream: None,
        }
    }

    /// Returns what the sender of news lacks.
    fn of(news: &PeerNews) -> Self {
        let needs = |progress: WireProgress| Some(LogOffset(progress.next));
        Self {
            operator: needs(news.operator),
            upstream: needs(news.upstream),
        }
    }
}

async fn own_news(directory: &Directory<GatewayMail>, progress: PeerProgress) -> Option<PeerNews> {
    dispatch::ask(directory, |reply_to| {
        DispatchMail::NewsFor(progress, reply_to)
    })
    .await
}

async fn serve(stream: TcpStream, directory: Directory<GatewayMail>) {
    watch_for_silence(&stream);
    let channel = BaseChannel::with_defaults(transport::framed(stream));
    let handler = ExchangeHandler { directory };
    transport::run_calls(channel.execute(handler.serve())).await;
}

/// Takes in the news of a caller and answers with this instance's.
#[derive(Debug, Clone)]
struct ExchangeHandler {
    directory: Directory<GatewayMail>,
}

impl PeerRpc for ExchangeHandler {
    async fn exchange(self, _: Context, news: PeerNews) -> PeerNews {
        let progress = PeerProgress::of(&news);
        if let Some(address) = news.address {
            let heard = PeersMail::Heard(address, news.place(), news.peers.clone());
            // A full mailbox costs one notice; the next exchange brings it again.
            let _outcome = self.directory.send("peers", GatewayMail::Peers(heard));
        }
        dispatch::tell(&self.directory, DispatchMail::News(Box::new(news)));
        // Only an instance that is ending has none; what it answers then has no address.
        own_news(&self.directory, progress)
            .await
            .unwrap_or_default()
    }
}

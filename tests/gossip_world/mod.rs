//! Gateway instances in several data centres that exchange gossip in virtual time: the real service
//! `dispatch` and the real choice of peers, without sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::route_table::DataCentreId;
use bulrushslip::gateway::dispatch::DispatchState;
use bulrushslip::gateway::mail::{DispatchMail, PeerProgress, StateQuery, TopicRecords};
use bulrushslip::gateway::peer_table::{PeerTable, RoundScope};
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::wire::peer_rpc::{GossipMessage, WireTopic};

use crate::dispatch_harness::{DispatchDriver, dispatch_settings};

/// Time between two rounds of gossip, in milliseconds.
const ROUND_MS: u64 = 250;

/// Time between two rounds of loads, in milliseconds.
const LOAD_ROUND_MS: u64 = 50;

pub fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

pub fn site(index: usize) -> DataCentreId {
    DataCentreId::of(&format!("dc-{index}"))
}

/// One instance.
struct Node {
    driver: DispatchDriver,
    peers: PeerTable,
    place: DataCentreId,
    address: SocketAddr,
    is_alive: bool,
}

/// Fleet of instances that share the upstreams.
pub struct GossipWorld {
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    /// Current time in milliseconds.
    pub now_ms: u64,
    /// Bytes of all calls and replies between data centres.
    pub remote_bytes: u64,
    upstreams: usize,
}

fn address(index: usize) -> SocketAddr {
    let host = u8::try_from(index / 250).expect("a small index");
    let last = u8::try_from(index % 250 + 1).expect("below 252");
    SocketAddr::from(([10, 0, host, last], 7_000))
}

/// Returns the configuration: one service of engines.
fn configuration() -> TopicRecords {
    let document = r#"{"version":1,"routes":[],"services":[{"name":"llm","max-connections":100,
        "engine":{"kv-capacity-tokens":152318,"token-kv-bytes":327680.0,"link-mbps":280000.0}}],
        "limits":{"max-header-bytes":4096,"max-body-bytes":100000,"header-timeout-ms":3000,
        "idle-timeout-ms":15000}}"#;
    TopicRecords {
        topic: WireTopic::Operator,
        records: vec![KeyedRecord {
            key: "config".to_owned(),
            value: Some(document.into()),
            position: LogOffset(0).into(),
        }],
        next: LogOffset(1).into(),
        confirmed_at: at(0),
    }
}

impl GossipWorld {
    /// Creates instances spread over data centres, of which each knows the first of each data centre
    /// as a seed, and upstreams spread likewise.
    pub fn new(instances: usize, sites: usize, upstreams: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..sites).map(address).collect();
        let nodes = (0..instances).map(|index| {
            let place = site(index % sites);
            let mut settings = dispatch_settings(index as u64 + 1);
            settings.identity.data_centre = place;
            settings.identity.peer_address = address(index);
            let mut driver = DispatchDriver::new(settings);
            let records = (0..upstreams).map(|upstream| KeyedRecord {
                key: format!("i-{upstream}"),
                value: Some(
                    format!(
                        r#"{{"service":"llm","address":"127.0.0.1:{}","zone":"dc-{}","slots":12,"version":"v1","cold-left-ms":0,"sequence":0,
                        "state":"ready","born":1,"models":[{{"name":"m","version":1}}]}}"#,
                        upstream + 1,
                        upstream % sites
                    )
                    .into(),
                ),
                position: LogOffset(upstream as u64).into(),
            });
            let records = TopicRecords {
                topic: WireTopic::Upstream,
                records: records.collect(),
                next: LogOffset(upstreams as u64).into(),
                confirmed_at: at(0),
            };
            driver.send(at(0), DispatchMail::Snapshot(records));
            driver.send(at(0), DispatchMail::Snapshot(configuration()));
            Node {
                driver,
                peers: PeerTable::new(address(index), place, seeds.clone()),
                place,
                address: address(index),
                is_alive: true,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let by_address = nodes.iter().enumerate();
        let by_address = by_address.map(|(index, node)| (node.address, index));
        Self {
            by_address: by_address.collect(),
            nodes,
            now_ms: 0,
            remote_bytes: 0,
            upstreams,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns how often an instance had others of its data centre told at once.
    pub fn load_changes(&self, index: usize) -> usize {
        self.nodes[index].driver.load_changes
    }

    /// Stops an instance without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_alive = false;
    }

    /// Runs exchanges of all living instances for a time.
    pub fn run(&mut self, time_ms: u64) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            for index in 0..self.nodes.len() {
                // The rounds of the instances are spread over the interval.
                let offset = index as u64 * 7 % ROUND_MS / LOAD_ROUND_MS * LOAD_ROUND_MS;
                if !self.nodes[index].is_alive {
                    continue;
                }
                if (self.now_ms + offset).is_multiple_of(ROUND_MS) {
                    self.gossip_round(index);
                }
                if (self.now_ms + offset).is_multiple_of(LOAD_ROUND_MS * 2) {
                    self.load_round(index);
                }
            }
            self.now_ms += LOAD_ROUND_MS;
        }
    }

    fn now(&self) -> Moment {
        at(self.now_ms)
    }

    pub fn ask<T: Send + 'static>(
        &mut self,
        index: usize,
        question: impl FnOnce(ReplyTo<T>) -> DispatchMail,
    ) -> T {
        let now = self.now();
        self.nodes[index].driver.ask(now, question)
    }

    pub fn tell(&mut self, index: usize, mail: DispatchMail) {
        let now = self.now();
        self.nodes[index].driver.send(now, mail);
    }

    /// Lets an instance read from the store that its list of upstreams is up to date.
    pub fn confirm(&mut self, index: usize) {
        let upstreams = self.upstreams;
        let records = TopicRecords {
            topic: WireTopic::Upstream,
            records: Vec::new(),
            next: LogOffset(upstreams as u64).into(),
            confirmed_at: self.now(),
        };
        self.tell(index, DispatchMail::Records(records));
    }

    /// Reads the state of an instance's `dispatch`.
    pub fn inspect<T: Send + 'static>(
        &mut self,
        index: usize,
        read: impl FnOnce(Moment, &DispatchState) -> T + Send + 'static,
    ) -> T {
        self.ask(index, |reply_to| {
            DispatchMail::Inspect(StateQuery {
                inspect: Box::new(move |now, state| reply_to.send(read(now, state))),
            })
        })
    }

    fn gossip(&mut self, index: usize, is_remote: bool) -> GossipMessage {
        let progress = PeerProgress {
            operator: None,
            upstream: None,
        };
        let gossip = self.ask(index, |reply_to| {
            DispatchMail::BuildGossip(progress, reply_to)
        });
        if is_remote {
            gossip.without_digested()
        } else {
            gossip
        }
    }

    /// Counts an exchange between data centres: the encoded JSON stands for the message.
    fn count(&mut self, is_remote: bool, message: &impl serde::Serialize) {
        if is_remote {
            let bytes = serde_json::to_vec(message).expect("an encodable message");
            self.remote_bytes += bytes.len() as u64;
        }
    }

    fn gossip_round(&mut self, caller: usize) {
        let now = self.now();
        let round = self.nodes[caller]
            .peers
            .next_round(now, RoundScope::Rotation);
        for address in round {
            let other = self.by_address[&address];
            if self.nodes[other].is_alive {
                self.exchange(caller, other);
            }
        }
    }

    fn exchange(&mut self, caller: usize, other: usize) {
        let now = self.now();
        let places = [self.nodes[caller].place, self.nodes[other].place];
        let is_remote = places[0] != places[1];
        let known = self.nodes[caller]
            .peers
            .data_centre_of(self.nodes[other].address);
        for (from, to) in [(caller, other), (other, caller)] {
            let mut gossip = self.gossip(from, is_remote);
            if from == caller {
                gossip.peers = self.nodes[from]
                    .peers
                    .addresses_for(now, self.nodes[to].address);
            }
            self.count(is_remote, &gossip);
            let (sender, place) = (self.nodes[from].address, self.nodes[from].place);
            self.nodes[to]
                .peers
                .record(now, sender, Some(place), &gossip.peers);
            let mail = if from == caller {
                DispatchMail::Gossip(Box::new(gossip))
            } else {
                DispatchMail::GossipResponse(Box::new(gossip), now)
            };
            self.tell(to, mail);
        }
        if known.is_none() {
            return;
        }
        for (from, to) in [(caller, other), (other, caller)] {
            let place = self.nodes[to].place;
            let digests = self.ask(from, |reply_to| DispatchMail::BuildDigests(place, reply_to));
            self.count(is_remote, &digests);
            let own = self.nodes[to].place;
            let received = digests.digests.iter();
            for digest in received.filter(|digest| digest.data_centre() != own) {
                let place = digest.data_centre();
                let built_at = now.before(Duration::from_millis(digest.ago_ms));
                let peers = &mut self.nodes[to].peers;
                peers.record_digest(built_at, place);
                for member in &digest.members {
                    let heard_at = built_at.before(Duration::from_millis(member.ago_ms));
                    peers.record_mention(heard_at, member.address, place);
                }
            }
            self.tell(to, DispatchMail::Digests(Box::new(digests)));
        }
    }

    fn load_round(&mut self, caller: usize) {
        for address in self.nodes[caller].peers.next_load_round() {
            let other = self.by_address[&address];
            if !self.nodes[other].is_alive {
                continue;
            }
            let now = self.now();
            self.nodes[caller].peers.record_response(now, address);
            for (from, to) in [(caller, other), (other, caller)] {
                let loads = self.ask(from, DispatchMail::BuildLoads);
                self.tell(to, DispatchMail::Loads(loads));
            }
        }
    }
}

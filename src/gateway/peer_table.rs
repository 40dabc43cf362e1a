//! Other gateway instances that are known, and the choice of those to exchange gossip with.
//!
//! Instances of one data centre call each other in rotation. Between two data centres one instance of
//! each calls one of the other, for all in its data centre, so that messages between data centres do
//! not grow with the number of instances.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::decide::hashing::{first_word, hash_parts};
use crate::decide::route_table::DataCentreId;
use crate::kernel::Moment;

/// Number of instances in the own data centre that are called per round. They place requests on
/// the same upstreams, so each has to know the load from the others within a few hundred
/// milliseconds.
const LOCAL_FAN_OUT: usize = 4;

/// Number of instances in the own data centre with which loads are exchanged per round of loads.
const LOAD_FAN_OUT: usize = 5;

/// Most addresses that a message to another data centre mentions.
const MAX_REMOTE_MENTIONS: usize = 8;

/// Most instances in the own data centre that are told at once of a long prompt.
const INFORMED_AT_ONCE: usize = 16;

/// Number of instances of unknown data centre that are called per round, to learn it.
const UNKNOWN_FAN_OUT: usize = 2;

/// Time without a response after which an instance is forgotten unless it is a seed.
const PEER_EXPIRY: Duration = Duration::from_secs(10);

/// Time since the last message of an instance up to which it is expected to call other data centres
/// on behalf of its own.
const RELAY_LIFETIME: Duration = Duration::from_secs(3);

/// Time without a digest of another data centre after which instances call there themselves, the one
/// that is next in rank first.
const RELAY_TIMEOUT: Duration = Duration::from_millis(750);

/// Additional time without a digest for each rank.
const RELAY_RANK_DELAY: Duration = Duration::from_millis(250);

/// Instances that a round of exchanges includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundScope {
    /// The next ones in rotation.
    Rotation,
    /// All known instances.
    All,
}

/// Another instance that is known by its address.
#[derive(Debug, Clone, Copy)]
struct KnownPeer {
    /// Time of the last response, or of the first mention by another instance.
    heard_at: Moment,
    /// Data centre; `None` until the instance has reported it.
    data_centre: Option<DataCentreId>,
    /// Time of the last exchange with it; `START` if there was none.
    met_at: Moment,
}

/// Other instances that are known to this one.
#[derive(Debug)]
pub struct PeerTable {
    /// Address of this instance.
    own: SocketAddr,
    /// Data centre of this instance.
    data_centre: DataCentreId,
    known: HashMap<SocketAddr, KnownPeer>,
    /// Addresses from the settings, which are never forgotten.
    pub seeds: Vec<SocketAddr>,
    /// Number of rounds so far.
    round: usize,
    /// Number of rounds of loads so far.
    load_round: usize,
    /// Time of the newest digest of each other data centre.
    digests: HashMap<DataCentreId, Moment>,
}

impl PeerTable {
    /// Creates the table of an instance that knows only the addresses from its settings.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: DataCentreId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            data_centre,
            known: HashMap::new(),
            seeds,
            round: 0,
            load_round: 0,
            digests: HashMap::new(),
        }
    }

    /// Returns the addresses of other instances for a message to `receiver`: all for one in the own
    /// data centre, else those in the receiver's that this instance has just met.
    #[must_use]
    pub fn addresses_for(&self, now: Moment, receiver: SocketAddr) -> Vec<SocketAddr> {
        let place = self.data_centre_of(receiver);
        let Some(place) = place.filter(|place| *place != self.data_centre) else {
            let known = self.known.iter();
            let known = known.filter(|(_, peer)| peer.data_centre.is_some());
            return known.map(|(address, _)| *address).collect();
        };
        // Digests tell of the others; these may have just started.
        let met = self.known.iter().filter(|(_, peer)| {
            peer.data_centre == Some(place) && now.since(peer.met_at) < RELAY_LIFETIME
        });
        let met = met.map(|(address, _)| *address);
        met.take(MAX_REMOTE_MENTIONS).collect()
    }

    /// Returns the data centre of an instance, if it is known.
    #[must_use]
    pub fn data_centre_of(&self, address: SocketAddr) -> Option<DataCentreId> {
        self.known.get(&address)?.data_centre
    }

    /// Returns whether an instance is a seed or was heard of recently.
    #[must_use]
    pub fn knows(&self, address: &SocketAddr) -> bool {
        self.known.contains_key(address) || self.seeds.contains(address)
    }

    /// Returns the number of instances that were heard of recently.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no instance was heard of recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the instances for the next round: some of the own data centre, some whose data centre
    /// is unknown, and one for each other data centre that this instance is to call.
    pub fn next_round(&mut self, now: Moment, scope: RoundScope) -> Vec<SocketAddr> {
        self.known
            .retain(|_, peer| now.since(peer.heard_at) < PEER_EXPIRY);
        if scope == RoundScope::All {
            return self.all();
        }
        let mut by_place: BTreeMap<Option<DataCentreId>, Vec<SocketAddr>> = BTreeMap::new();
        for address in self.all() {
            let place = self.known.get(&address).and_then(|peer| peer.data_centre);
            by_place.entry(place).or_default().push(address);
        }
        let mut round = Vec::new();
        for (place, mut addresses) in by_place {
            let count = match place {
                None => UNKNOWN_FAN_OUT,
                Some(place) if place == self.data_centre => LOCAL_FAN_OUT,
                Some(place) => usize::from(self.is_to_call(now, place)),
            };
            select_in_rotation(&mut addresses, count, self.round);
            round.append(&mut addresses);
        }
        self.round = self.round.wrapping_add(1);
        round
    }

    /// Returns the instances of the own data centre for the next exchange of loads.
    pub fn next_load_round(&mut self) -> Vec<SocketAddr> {
        self.load_round = self.load_round.wrapping_add(1);
        self.local(LOAD_FAN_OUT)
    }

    /// Returns the instances of the own data centre that learn at once of a long prompt.
    #[must_use]
    pub fn informed_at_once(&self) -> Vec<SocketAddr> {
        self.local(INFORMED_AT_ONCE)
    }

    fn local(&self, count: usize) -> Vec<SocketAddr> {
        let local = self.known.iter();
        let local = local.filter(|(_, peer)| peer.data_centre == Some(self.data_centre));
        let mut local: Vec<SocketAddr> = local.map(|(address, _)| *address).collect();
        local.sort_unstable();
        select_in_rotation(&mut local, count, self.load_round);
        local
    }

    fn all(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.known.keys().copied().collect();
        all.extend(self.seeds.iter().copied());
        all.sort_unstable();
        all.dedup();
        all.retain(|address| *address != self.own);
        all
    }

    /// Reports whether this instance calls another data centre in this round, for all instances of
    /// its own.
    fn is_to_call(&self, now: Moment, place: DataCentreId) -> bool {
        let weight = |address: SocketAddr| relay_weight(address, place);
        let own = weight(self.own);
        let others = self.known.iter().filter(|(_, peer)| {
            peer.data_centre == Some(self.data_centre) && now.since(peer.heard_at) < RELAY_LIFETIME
        });
        let rank = others.filter(|(other, _)| weight(**other) < own).count();
        let Ok(rank @ 1..) = u32::try_from(rank) else {
            return true;
        };
        let heard_at = self.digests.get(&place).copied();
        let silence = now.since(heard_at.unwrap_or(Moment::START));
        silence >= RELAY_TIMEOUT + RELAY_RANK_DELAY * rank
    }

    /// Records a digest of another data centre.
    pub fn record_digest(&mut self, heard_at: Moment, place: DataCentreId) {
        let newest = self.digests.entry(place).or_insert(heard_at);
        *newest = heard_at.max(*newest);
    }

    /// Records an instance of which another instance has heard at `heard_at`.
    pub fn record_mention(&mut self, heard_at: Moment, address: SocketAddr, place: DataCentreId) {
        if address == self.own {
            return;
        }
        let known = self.known.entry(address).or_insert(KnownPeer {
            heard_at,
            data_centre: Some(place),
            met_at: Moment::START,
        });
        known.heard_at = known.heard_at.max(heard_at);
        known.data_centre = Some(place);
    }

    /// Records that a known instance has just responded.
    pub fn record_response(&mut self, now: Moment, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.heard_at = now;
            known.met_at = now;
        }
    }

    /// Records an instance that has just responded or called, and the peers that it knows.
    pub fn record(
        &mut self,
        now: Moment,
        address: SocketAddr,
        data_centre: Option<DataCentreId>,
        others: &[SocketAddr],
    ) {
        self.known.insert(
            address,
            KnownPeer {
                heard_at: now,
                data_centre,
                met_at: now,
            },
        );
        for other in others {
            let unconfirmed = KnownPeer {
                heard_at: now,
                data_centre: None,
                met_at: Moment::START,
            };
            self.known.entry(*other).or_insert(unconfirmed);
        }
        self.known.remove(&self.own);
    }
}

/// Returns the weight of an instance for calls to a data centre; the lowest one calls it.
fn relay_weight(address: SocketAddr, place: DataCentreId) -> u64 {
    let host = match address.ip() {
        IpAddr::V4(host) => u64::from(host.to_bits()),
        IpAddr::V6(host) => first_word(&hash_parts(&[&host.octets()])),
    };
    let instance = host << 16 | u64::from(address.port());
    (instance ^ place.0)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
        .wrapping_mul(0xc4ce_b9fe_1a85_ec53)
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

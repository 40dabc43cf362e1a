//! Digests of data centres: what the instances of one data centre let those of the others know, and
//! the forwarding of digests that this instance has received from another data centre.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::state::{DispatchState, PeerState};
use crate::decide::fleet::MemberLoad;
use crate::decide::route_table::DataCentreId;
use crate::kernel::{Moment, whole_ms};
use crate::wire::peer_rpc::{PrefillStage, WireLoad, WireSegment};
use crate::wire::site_digest::{WireDigestCall, WireSiteDigest, WireSiteMember};

/// Time from the start of the process in which it builds no digest, because it does not know the
/// load from the other instances of its data centre yet.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Age up to which a digest of another data centre is passed on to instances in this one.
const FORWARD_AGE: Duration = Duration::from_secs(1);

/// Least difference between the times at which two digests of a data centre were built. What differs
/// less is a copy of the same one.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an update about a prompt segment is part of the digest.
const PART_DIGEST_TIME: Duration = Duration::from_secs(1);

/// Time in which an update about a prompt segment that comes again is a copy.
const PART_COPY_TIME: Duration = Duration::from_secs(3);

/// Time for which an instance that has left is part of the digest.
const LEAVING_DIGEST_TIME: Duration = Duration::from_secs(2);

/// Most other instances that a digest names; each has its turn within a few digests.
const MAX_DIGEST_MEMBERS: usize = 12;

/// Number of digests in which each upstream's total of added tokens has its turn.
const ADDED_TOKENS_TURNS: usize = 4;

/// Updates about prompt segments that were received lately.
#[derive(Debug, Default)]
pub(super) struct ReceivedParts {
    /// Time of the first receipt of each update.
    received: HashMap<(u64, u64, PrefillStage), Moment>,
    /// Updates from instances of this data centre, oldest first.
    local: VecDeque<(Moment, WireSegment)>,
    next_sweep: Moment,
}

impl ReceivedParts {
    /// Records an update and returns whether it is new.
    pub(super) fn record(&mut self, now: Moment, part: WireSegment, is_local: bool) -> bool {
        if self.next_sweep.is_due(now) {
            self.next_sweep = now.after(PART_COPY_TIME);
            self.received
                .retain(|_, received_at| now.since(*received_at) < PART_COPY_TIME);
        }
        let key = (part.chain, part.upstream, part.stage);
        let known = self.received.get(&key);
        if known.is_some_and(|received_at| now.since(*received_at) < PART_COPY_TIME) {
            return false;
        }
        self.received.insert(key, now);
        if is_local {
            self.local.push_back((now, part));
        }
        true
    }

    /// Returns the updates from this data centre that other data centres have to know.
    fn for_digest(&mut self, now: Moment) -> impl Iterator<Item = WireSegment> + '_ {
        while let Some((received_at, _)) = self.local.front() {
            if now.since(*received_at) < PART_DIGEST_TIME {
                break;
            }
            self.local.pop_front();
        }
        self.local.iter().map(|(_, part)| *part)
    }
}

/// Newest digest of another data centre.
#[derive(Debug)]
struct ReceivedDigest {
    digest: WireSiteDigest,
    built_at: Moment,
}

/// Digests of other data centres and what belongs into that of this one.
#[derive(Debug, Default)]
pub(super) struct SiteDigests {
    received: HashMap<DataCentreId, ReceivedDigest>,
    /// Updates about prompt segments from other instances.
    pub(super) parts: ReceivedParts,
    /// Instances of this data centre that are shutting down, each with the time of its message.
    leaving: Vec<(Moment, u64, PeerState)>,
    /// Number of digests built.
    turn: usize,
}

impl SiteDigests {
    /// Records an instance that is shutting down.
    pub(super) fn record_leaving(&mut self, now: Moment, id: u64, peer: PeerState) {
        self.leaving.push((now, id, peer));
    }
}

impl DispatchState {
    /// Returns the digests for an instance: that of this data centre for one in another, and those
    /// that others have sent here for one in this.
    pub(super) fn digests_for(&mut self, now: Moment, receiver: DataCentreId) -> WireDigestCall {
        let digests = if receiver == self.identity.data_centre {
            self.forwarded_digests(now)
        } else {
            self.own_digest(now).into_iter().collect()
        };
        WireDigestCall {
            place: self.identity.data_centre.0,
            digests,
        }
    }

    fn forwarded_digests(&self, now: Moment) -> Vec<WireSiteDigest> {
        let received = self.digests.received.values();
        let forwarded = received.filter(|received| now.since(received.built_at) < FORWARD_AGE);
        let aged = forwarded.map(|received| {
            let built_at = received.built_at;
            WireSiteDigest {
                // Rounded up, so that no instance makes a digest younger by passing it on.
                ago_ms: whole_ms(now.since(built_at)).saturating_add(1),
                members: self.known_members(built_at, &received.digest),
                ..received.digest.clone()
            }
        });
        aged.collect()
    }

    /// Returns the members of a digest and the instances that earlier digests of its data centre have
    /// named.
    fn known_members(&self, built_at: Moment, digest: &WireSiteDigest) -> Vec<WireSiteMember> {
        let mut members = digest.members.clone();
        let named: HashSet<u64> = members.iter().map(|member| member.id).collect();
        let peers = self.peers.iter();
        let others = peers.filter(|(id, peer)| {
            peer.data_centre == Some(digest.data_centre()) && !named.contains(id)
        });
        members.extend(others.filter_map(|(id, peer)| site_member(built_at, *id, peer, false)));
        members
    }

    /// Builds the digest of this data centre; `None` while this instance has just started.
    fn own_digest(&mut self, now: Moment) -> Option<WireSiteDigest> {
        if now.since(Moment::START) < SETTLING_TIME {
            return None;
        }
        self.digests.turn = self.digests.turn.wrapping_add(1);
        let turn = self.digests.turn % ADDED_TOKENS_TURNS;
        let mut loads = Vec::new();
        let mut added_tokens = Vec::new();
        for (index, (_, member)) in self.fleet.iter().enumerate() {
            let load = member.local_load(now);
            if load.is_busy() {
                loads.push(WireLoad::new(member.id_hash, load));
            } else if load.added_tokens > 0 && index % ADDED_TOKENS_TURNS == turn {
                added_tokens.push((member.id_hash, load.added_tokens));
            }
        }
        let own_parts = self.recent_parts.iter();
        let own_parts = own_parts.filter(|(at, _)| now.since(*at) < PART_DIGEST_TIME);
        let mut parts: Vec<WireSegment> = own_parts.map(|(_, part)| *part).collect();
        parts.extend(self.digests.parts.for_digest(now));
        Some(WireSiteDigest {
            place: self.identity.data_centre.0,
            ago_ms: 0,
            members: self.site_members(now),
            loads,
            added_tokens,
            saved_tokens: self.site_saved_tokens(),
            parts,
        })
    }

    /// Returns the instances of this data centre, also those that have just left.
    fn site_members(&mut self, now: Moment) -> Vec<WireSiteMember> {
        let own = self.identity.data_centre;
        let failing = [self.operator_health, self.upstream_health];
        let mut members = vec![WireSiteMember {
            id: self.identity.id,
            address: self.identity.peer_address,
            ago_ms: 0,
            reaches_store: failing.iter().all(|health| health.failing_since.is_none()),
            is_leaving: self.is_leaving,
        }];
        let peers = self.peers.iter();
        let local = peers.filter(|(_, peer)| peer.data_centre == Some(own));
        let mut local: Vec<_> = local.collect();
        local.sort_unstable_by_key(|(id, _)| **id);
        if let Some(first) = (self.digests.turn * MAX_DIGEST_MEMBERS).checked_rem(local.len()) {
            local.rotate_left(first);
        }
        local.truncate(MAX_DIGEST_MEMBERS);
        let named = local.into_iter();
        members.extend(named.filter_map(|(id, peer)| site_member(now, *id, peer, false)));
        self.digests
            .leaving
            .retain(|(at, ..)| now.since(*at) < LEAVING_DIGEST_TIME);
        let leaving = self.digests.leaving.iter();
        let leaving = leaving.filter(|(_, _, peer)| peer.data_centre == Some(own));
        members.extend(leaving.filter_map(|(_, id, peer)| site_member(now, *id, peer, true)));
        members
    }

    /// Returns the tokens that the instances of this data centre have had saved to each KV store.
    fn site_saved_tokens(&self) -> Vec<(u64, u64)> {
        let own = self.identity.data_centre;
        let peers = self.peers.iter();
        let local = peers.filter(|(_, peer)| peer.data_centre == Some(own));
        let instances = local.map(|(id, _)| *id).chain([self.identity.id]);
        let mut totals: HashMap<DataCentreId, u64> = HashMap::new();
        for (store, tokens) in instances.flat_map(|instance| self.parts.saved_by(instance)) {
            *totals.entry(store).or_default() += tokens;
        }
        totals
            .into_iter()
            .map(|(store, tokens)| (store.0, tokens))
            .collect()
    }

    /// Applies the digests that another instance has sent.
    pub(super) fn apply_digests(&mut self, now: Moment, call: &WireDigestCall) {
        for digest in &call.digests {
            if digest.data_centre() != self.identity.data_centre {
                self.apply_digest(now, digest);
            }
        }
        self.forget_silent_peers(now);
    }

    fn apply_digest(&mut self, now: Moment, digest: &WireSiteDigest) {
        let built_at = now.before(Duration::from_millis(digest.ago_ms));
        let site = digest.data_centre();
        self.apply_site_members(now, built_at, digest);
        let known = self.digests.received.get(&site);
        if known.is_some_and(|known| built_at < known.built_at.after(MIN_DIGEST_INTERVAL)) {
            return;
        }
        self.apply_site_loads(built_at, digest);
        for (store, total) in &digest.saved_tokens {
            self.parts
                .record_site_saved_total(site, DataCentreId(*store), *total);
        }
        for part in &digest.parts {
            if self.digests.parts.record(now, *part, false) {
                self.apply_part(now, *part);
            }
        }
        let received = ReceivedDigest {
            digest: digest.clone(),
            built_at,
        };
        self.digests.received.insert(site, received);
    }

    fn apply_site_members(&mut self, now: Moment, built_at: Moment, digest: &WireSiteDigest) {
        for member in &digest.members {
            if member.id == self.identity.id {
                continue;
            }
            if member.is_leaving {
                self.remove_peer(now, member.id);
                continue;
            }
            let heard_at = built_at.before(Duration::from_millis(member.ago_ms));
            let known = self.peers.get(&member.id);
            if known.is_some_and(|known| known.heard_at >= heard_at) {
                continue;
            }
            let peer = PeerState {
                heard_at,
                reaches_store: member.reaches_store,
                data_centre: Some(digest.data_centre()),
                address: Some(member.address),
            };
            self.peers.insert(member.id, peer);
        }
    }

    fn apply_site_loads(&mut self, built_at: Moment, digest: &WireSiteDigest) {
        let loads: HashMap<u64, MemberLoad> = digest
            .loads
            .iter()
            .map(|load| (load.upstream, MemberLoad::from(load)))
            .collect();
        let added: HashMap<u64, u64> = digest.added_tokens.iter().copied().collect();
        let keys: Vec<_> = self.fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            let load = loads.get(&member.id_hash).copied();
            let added_tokens = load
                .map(|load| load.added_tokens)
                .or_else(|| added.get(&member.id_hash).copied());
            let load = load.unwrap_or_default();
            member.record_site_load(built_at, digest.data_centre(), load, added_tokens);
        }
    }
}

/// Describes an instance in a digest that is built at `now`.
fn site_member(now: Moment, id: u64, peer: &PeerState, is_leaving: bool) -> Option<WireSiteMember> {
    Some(WireSiteMember {
        id,
        address: peer.address?,
        ago_ms: whole_ms(now.since(peer.heard_at)),
        reaches_store: peer.reaches_store,
        is_leaving,
    })
}

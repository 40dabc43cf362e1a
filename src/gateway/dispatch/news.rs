//! News between instances: loads, holds, weights, parts, suspicions and records of the store.

use std::time::Duration;

use bytes::Bytes;

use super::state::{DispatchState, PeerState};
use crate::decide::fleet::MemberLoad;
use crate::decide::ids::{EngineEpoch, Incarnation, LogOffset};
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::prompt_parts::kv_store_for;
use crate::decide::route_table::DataCentreId;
use crate::decide::suspects::{CrashId, Fingerprint};
use crate::gateway::mail::{GatewayMail, PeerProgress, ReadNeed};
use crate::kernel::{Moment, Turn, whole_ms};
use crate::wire::peer_rpc::{
    PartStage, PeerNews, WireLimit, WireLoad, WirePart, WireProgress, WireRecord, WireSuspicion,
    WireTopic,
};

/// Age up to which another instance counts as alive; with some thirty, one in another data centre is
/// met every three seconds at least.
const PEER_LIFETIME: Duration = Duration::from_secs(4);

/// Time for which a new suspicion is told; it reaches all instances in a few exchanges.
const SUSPICION_NEWS: Duration = Duration::from_millis(1_500);

/// Longest hold that is told at once; it is told again while it lasts.
const TOLD_HOLD: Duration = Duration::from_millis(1_200);

/// Instances that read the store for all; a second one covers the loss of the first.
const READERS: usize = 2;

/// Age of the store's last confirmation, to anyone, from which an instance reads itself; with the
/// reading it is well within the time in which a draining upstream may still get work.
const CURRENT_AGE: Duration = Duration::from_millis(1_200);

/// Time for which the store's return from an outage is told.
const RETURN_NEWS: Duration = Duration::from_secs(4);

impl DispatchState {
    /// Takes in another instance's news.
    pub(super) fn take_news(&mut self, turn: &mut Turn<'_, GatewayMail>, news: &PeerNews) {
        let now = turn.now;
        // News without an address come from an instance that is ending and say nothing.
        if news.sender == self.identity.id || news.address.is_none() {
            return;
        }
        if news.is_leaving {
            self.peers.remove(&news.sender);
        } else {
            let peer = PeerState {
                heard: now,
                reaches_store: news.reaches_store,
            };
            self.peers.insert(news.sender, peer);
        }
        self.peers
            .retain(|_, peer| now.since(peer.heard) < PEER_LIFETIME);
        self.take_loads(now, news);
        for (upstream, version) in &news.weights {
            if let Some(key) = self.fleet.find_hash(*upstream) {
                self.note_weights(now, key, *version);
            }
        }
        for limit in &news.limits {
            let due = now.after(Duration::from_millis(limit.left_ms));
            if let Some(named) = self.versions.get_mut(&limit.model) {
                named.tighten(limit.version, due);
            }
        }
        for (store, total) in &news.saved_tokens {
            self.parts
                .record_saved_total(news.sender, DataCentreId(*store), *total);
        }
        for part in &news.parts {
            self.take_part(now, *part);
        }
        for suspicion in &news.suspicions {
            let crash = CrashId {
                sidecar: Incarnation(suspicion.upstream),
                epoch: EngineEpoch(suspicion.born),
            };
            let fingerprint = Fingerprint(suspicion.fingerprint);
            if !self.suspects.crashes(now, fingerprint).contains(&crash) {
                self.suspects.report(now, fingerprint, crash);
                self.recent_suspicions.push_back((now, *suspicion));
            }
        }
        self.take_handed_records(turn, news);
    }

    fn take_loads(&mut self, now: Moment, news: &PeerNews) {
        let keys: Vec<_> = self.fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            let load = news
                .loads
                .iter()
                .find(|load| load.upstream == member.id_hash);
            let load = load.map_or_else(MemberLoad::default, MemberLoad::from);
            member.record_peer_load(now, news.sender, load);
            let hold = news
                .holds
                .iter()
                .find(|(upstream, _)| *upstream == member.id_hash);
            let hold_ms = hold.map_or(0, |(_, left_ms)| *left_ms);
            if hold_ms > 0 {
                let until = now.after(Duration::from_millis(hold_ms.into()));
                member.held_until = member.held_until.max(until);
            }
        }
    }

    fn take_part(&mut self, now: Moment, part: WirePart) {
        let Some(key) = self.fleet.find_hash(part.upstream) else {
            return;
        };
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let chain = [(part.chain, 0)];
        let (mark, place) = (member.total_added_tokens, member.entry.data_centre);
        match part.stage {
            PartStage::Reading => self.parts.record_prefill_start(now, &chain),
            PartStage::GivenUp => self.parts.record_prefill_abandoned(&chain),
            PartStage::Read => self.parts.record_cached(now, &chain, key, mark),
            PartStage::Kept => {
                self.parts.record_cached(now, &chain, key, mark);
                let stores = self.routes.as_ref().map(|routes| &routes.kv_stores);
                let stores = stores.map(Vec::as_slice).unwrap_or_default();
                if let Some(store) = kv_store_for(stores, place, part.chain) {
                    self.parts.record_saved(&chain, store.data_centre);
                }
            }
        }
    }

    /// Takes in records that another instance handed on, and how current they are.
    fn take_handed_records(&mut self, turn: &mut Turn<'_, GatewayMail>, news: &PeerNews) {
        for topic in [WireTopic::Operator, WireTopic::Upstream] {
            let progress = match topic {
                WireTopic::Operator => news.operator,
                WireTopic::Upstream => news.upstream,
            };
            let own = self.view(topic).next.0;
            let is_complete = progress.from.is_some_and(|from| from <= own);
            if progress.next < own || (progress.next > own && !is_complete) {
                continue;
            }
            self.take_return(turn.now, topic, progress.returned_ms);
            let records: Vec<KeyedRecord> = news
                .records
                .iter()
                .filter(|record| record.topic == topic)
                .map(KeyedRecord::from)
                .collect();
            self.take_handed_on(turn, topic, &records, LogOffset(progress.next));
            let confirmed = moment_before(turn.now, progress.age_ms);
            let health = self.health_mut(topic);
            health.confirmed = health.confirmed.max(confirmed);
        }
    }

    /// Learns of the store's return from an outage that another instance saw.
    fn take_return(&mut self, now: Moment, topic: WireTopic, returned_ms: Option<u64>) {
        let Some(returned_ms) = returned_ms else {
            return;
        };
        let returned = moment_before(now, returned_ms);
        let health = self.health_mut(topic);
        health.regained = Some(
            health
                .regained
                .map_or(returned, |known| known.max(returned)),
        );
    }

    /// Says whether this instance reads a topic itself: few do, for all, and each does once what
    /// it hears from others is no longer current.
    pub(super) fn read_need(&self, now: Moment, topic: WireTopic) -> ReadNeed {
        let next = self.view(topic).next;
        let before = self
            .peers
            .iter()
            .filter(|(id, peer)| **id < self.identity.id && peer.reaches_store)
            .count();
        let current_until = self.health(topic).confirmed.after(CURRENT_AGE);
        if before < READERS || next == LogOffset::default() || current_until.is_due(now) {
            return ReadNeed::Now(next);
        }
        ReadNeed::Later(current_until)
    }

    fn progress(&self, now: Moment, topic: WireTopic, from: Option<LogOffset>) -> WireProgress {
        let health = self.health(topic);
        let age = now.since(health.confirmed);
        let returned = health.regained.map(|at| now.since(at));
        WireProgress {
            next: self.view(topic).next.0,
            from: from.map(|from| from.0),
            age_ms: whole_ms(age),
            returned_ms: returned.filter(|age| *age < RETURN_NEWS).map(whole_ms),
        }
    }

    /// Returns news for an instance that has read as far as stated.
    pub(super) fn news_for(&self, now: Moment, progress: PeerProgress) -> PeerNews {
        let members = || self.fleet.iter().map(|(_, member)| member);
        // A hold is told by whoever gives the order, so that none outlives it by being passed on.
        let held = members().filter(|member| member.is_own_hold && !member.held_until.is_due(now));
        let holds = held.map(|member| {
            let left = member.held_until.remaining(now).min(TOLD_HOLD).as_millis();
            (member.id_hash, u32::try_from(left).unwrap_or(0))
        });
        let busy = members().filter(|member| member.own != MemberLoad::default());
        let weights = self.recent_weights.iter().filter_map(|(_, key)| {
            let member = self.fleet.get(*key)?;
            Some((member.id_hash, member.version()?))
        });
        let mut records = Vec::new();
        if let Some(from) = progress.operator {
            records.extend(handed_on(WireTopic::Operator, self.operator.since(from)));
        }
        if let Some(from) = progress.upstream {
            records.extend(handed_on(WireTopic::Upstream, self.upstreams.since(from)));
        }
        let saved = self.parts.saved_by(self.identity.id).into_iter();
        let failing = [self.operator_health, self.upstream_health];
        PeerNews {
            sender: self.identity.id,
            address: Some(self.identity.peer_address),
            place: Some(self.identity.data_centre.0),
            is_leaving: self.is_leaving,
            peers: Vec::new(),
            operator: self.progress(now, WireTopic::Operator, progress.operator),
            upstream: self.progress(now, WireTopic::Upstream, progress.upstream),
            reaches_store: failing.iter().all(|health| health.failing_since.is_none()),
            loads: busy
                .map(|member| WireLoad {
                    upstream: member.id_hash,
                    in_flight: member.own.in_flight,
                    unread_tokens: member.own.unread_tokens,
                    memory_tokens: member.own.memory_tokens,
                    added_tokens: member.own.added_tokens,
                })
                .collect(),
            holds: holds.collect(),
            weights: weights.collect(),
            limits: self.limits(now),
            saved_tokens: saved.map(|(store, tokens)| (store.0, tokens)).collect(),
            parts: self.recent_parts.iter().map(|(_, part)| *part).collect(),
            suspicions: self.suspicions(now),
            records,
        }
    }

    fn limits(&self, now: Moment) -> Vec<WireLimit> {
        let named = self.versions.iter();
        let limits = named.flat_map(|(model, named)| {
            named.limits.iter().map(|(version, due)| WireLimit {
                model: *model,
                version: *version,
                left_ms: whole_ms(due.remaining(now)),
            })
        });
        limits.collect()
    }

    /// Returns the suspicions that are new here; each instance passes them on once.
    fn suspicions(&self, now: Moment) -> Vec<WireSuspicion> {
        let recent = self.recent_suspicions.iter();
        let fresh = recent.filter(|(heard, _)| now.since(*heard) < SUSPICION_NEWS);
        fresh.map(|(_, suspicion)| *suspicion).collect()
    }
}

/// Returns the moment that lies so many milliseconds back, at the earliest the start.
const fn moment_before(now: Moment, age_ms: u64) -> Moment {
    Moment::from_micros(now.as_micros().saturating_sub(age_ms.saturating_mul(1_000)))
}

fn handed_on(topic: WireTopic, records: Vec<KeyedRecord>) -> Vec<WireRecord> {
    let wire = records.into_iter().map(|record| WireRecord {
        topic,
        key: record.key,
        value: record.value.map(|value| value.to_vec()),
        offset: record.offset.0,
    });
    wire.collect()
}

impl From<&WireRecord> for KeyedRecord {
    fn from(wire: &WireRecord) -> Self {
        Self {
            key: wire.key.clone(),
            value: wire.value.clone().map(Bytes::from),
            offset: LogOffset(wire.offset),
        }
    }
}

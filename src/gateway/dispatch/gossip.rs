//! Gossip between instances: loads, holds, weights, prompt segments, crash suspicions and records
//! of the store.

use std::time::Duration;

use bytes::Bytes;

use super::records::MIN_OUTAGE;
use super::state::{DispatchState, PeerState};
use super::transfers::gossip_records;
use crate::decide::fleet::MemberLoad;
use crate::decide::ids::{EngineEpoch, Incarnation, LogPosition};
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::prompt_parts::kv_store_for;
use crate::decide::route_table::DataCentreId;
use crate::decide::stated_weights::{StatementSource, WeightsStatement};
use crate::decide::suspects::{CrashId, Fingerprint};
use crate::gateway::mail::{GatewayMail, PeerProgress, ReadNeed};
use crate::kernel::{Moment, Turn, whole_ms};
use crate::wire::peer_rpc::{
    GossipMessage, PrefillStage, WireLoad, WireProgress, WireSegment, WireSuspicion, WireTopic,
    WireTopicRecord, WireVersionDeadline,
};

/// Time since the last message of an instance, or of another one that has heard from it, after which
/// it counts as gone.
const PEER_LIFETIME: Duration = Duration::from_secs(4);

/// Longest remaining hold that one gossip message announces; later messages extend it while the
/// hold lasts. Most orders end within it, and instances in other data centres may get no second
/// message from the holder before that.
const MAX_ANNOUNCED_HOLD: Duration = Duration::from_millis(2_200);

/// Number of instances that read the store on behalf of all; the second takes over if the first
/// fails.
const STORE_READERS: usize = 2;

/// Age of the store's last confirmation from which an instance reads the store itself, in percent of
/// the time in which a record has to take effect. The rest is for the read.
const MAX_CONFIRMATION_PERCENT: u32 = 60;

/// Time for which the end of a store outage is reported to others.
const RECOVERY_REPEAT_TIME: Duration = Duration::from_secs(4);

impl DispatchState {
    /// Applies a gossip message of another instance. `built_after` is a time before the message was
    /// built, if one is known.
    pub(super) fn apply_gossip(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        gossip: &GossipMessage,
        built_after: Option<Moment>,
    ) {
        let now = turn.now;
        // A message without an address is the empty reply of an instance that is shutting down.
        if gossip.sender == self.identity.id || gossip.address.is_none() {
            return;
        }
        if gossip.is_leaving {
            self.remove_peer(now, gossip.sender);
        } else {
            let peer = PeerState {
                heard_at: now,
                reaches_store: gossip.reaches_store,
                data_centre: gossip.data_centre(),
                address: gossip.address,
            };
            self.peers.insert(gossip.sender, peer);
        }
        self.forget_silent_peers(now);
        let is_local = gossip.data_centre() == Some(self.identity.data_centre);
        if is_local {
            self.apply_loads(now, gossip);
        }
        self.apply_holds(now, gossip);
        for (upstream, version) in &gossip.weights {
            if let Some(key) = self.fleet.find_hash(*upstream) {
                let statement = WeightsStatement {
                    version: *version,
                    source: StatementSource::Instance,
                };
                self.record_statement(now, key, statement);
            }
        }
        for limit in &gossip.limits {
            let due = now.after(Duration::from_millis(limit.left_ms));
            self.record_version_deadline(now, limit.model, limit.version, due);
        }
        for (store, total) in &gossip.saved_tokens {
            self.parts
                .record_saved_total(gossip.sender, DataCentreId(*store), *total);
        }
        for part in &gossip.parts {
            if self.digests.parts.record(now, *part, is_local) {
                self.apply_part(now, *part);
            }
        }
        for suspicion in &gossip.suspicions {
            let crash = CrashId {
                sidecar: Incarnation(suspicion.upstream),
                epoch: EngineEpoch(suspicion.born),
            };
            self.record_suspicion(now, Fingerprint(suspicion.fingerprint), crash);
        }
        if !gossip.records.is_empty() {
            let received = record_bytes(&gossip.records);
            self.counters.count_record_bytes("received", received);
        }
        self.apply_peer_records(turn, gossip, built_after);
    }

    /// Removes an instance that is shutting down.
    pub(super) fn remove_peer(&mut self, now: Moment, id: u64) {
        self.uses.roster.remove(id);
        if let Some(peer) = self.peers.remove(&id) {
            self.digests.record_leaving(now, id, peer);
        }
    }

    /// Removes the instances that count as gone.
    pub(super) fn forget_silent_peers(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_LIFETIME);
    }

    /// Applies an update about a prompt segment at an upstream.
    pub(super) fn apply_part(&mut self, now: Moment, part: WireSegment) {
        let Some(key) = self.fleet.find_hash(part.upstream) else {
            return;
        };
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let chain = [(part.chain, 0)];
        let (mark, data_centre) = (member.total_added_tokens, member.entry.data_centre);
        match part.stage {
            PrefillStage::Reading => self.parts.record_prefill_start(now, &chain),
            PrefillStage::GivenUp => self.parts.record_prefill_abandoned(&chain),
            PrefillStage::Read => self.parts.record_cached(now, &chain, key, mark),
            PrefillStage::Kept => {
                self.parts.record_cached(now, &chain, key, mark);
                let stores = self.routes.as_ref().map(|routes| &routes.kv_stores);
                let stores = stores.map(Vec::as_slice).unwrap_or_default();
                if let Some(store) = kv_store_for(stores, data_centre, part.chain) {
                    self.parts.record_saved(&chain, store.data_centre);
                }
            }
        }
    }

    /// Applies store records that another instance forwarded, and the time at which the store
    /// last confirmed them. Ages in the message count only if `built_after` is known, because the
    /// time in transit adds to them.
    fn apply_peer_records(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        gossip: &GossipMessage,
        built_after: Option<Moment>,
    ) {
        for topic in [WireTopic::Operator, WireTopic::Upstream] {
            let progress = match topic {
                WireTopic::Operator => gossip.operator,
                WireTopic::Upstream => gossip.upstream,
            };
            // Records are complete if they start at a position that this instance has reached.
            let own = self.view(topic).next;
            let next = LogPosition::from(progress.next);
            let from = progress.from.map(LogPosition::from);
            let is_complete = from.is_some_and(|from| is_continued(own, from, next));
            if next < own {
                continue;
            }
            if next > own && !is_complete {
                self.announce_source(turn, topic, gossip, built_after.is_some());
                continue;
            }
            if let Some(built_after) = built_after {
                self.apply_store_recovery(built_after, topic, progress.returned_ms);
            }
            let records: Vec<KeyedRecord> = gossip
                .records
                .iter()
                .filter(|record| record.topic == topic)
                .map(KeyedRecord::from)
                .collect();
            self.apply_forwarded(turn, topic, &records, next);
            if let Some(built_after) = built_after {
                let confirmed_at = built_after.before(Duration::from_millis(progress.age_ms));
                self.record_confirmation(topic, confirmed_at);
            }
        }
    }

    /// Takes over the end of a store outage that another instance has seen, if this instance was
    /// without news from the store as well: the store may have refused only the other instance.
    fn apply_store_recovery(
        &mut self,
        built_after: Moment,
        topic: WireTopic,
        returned_ms: Option<u64>,
    ) {
        let Some(returned_ms) = returned_ms else {
            return;
        };
        let returned = built_after.before(Duration::from_millis(returned_ms));
        let health = self.health_mut(topic);
        if returned.since(health.confirmed_at) < MIN_OUTAGE {
            return;
        }
        health.recovered_at = Some(
            health
                .recovered_at
                .map_or(returned, |known| known.max(returned)),
        );
    }

    /// Decides whether this instance reads a topic itself. A few instances read for all; any
    /// other reads as soon as the records received from its peers are out of date.
    pub(super) fn read_need(&self, now: Moment, topic: WireTopic) -> ReadNeed {
        let next = self.view(topic).next;
        let readers = self
            .peers
            .iter()
            .filter(|(id, peer)| **id < self.identity.id && peer.reaches_store)
            .count();
        let limit = match topic {
            WireTopic::Operator => self.identity.apply_limit,
            WireTopic::Upstream => self.identity.drain_limit,
        };
        let max_age = limit * MAX_CONFIRMATION_PERCENT / 100;
        let current_until = self.health(topic).confirmed_at.after(max_age);
        if topic == WireTopic::Upstream && self.view_check.is_wanted() {
            return ReadNeed::Listing;
        }
        if readers < STORE_READERS || next == LogPosition::default() {
            return ReadNeed::Now(next);
        }
        let later = current_until.max(self.transfer_end(topic));
        if later.is_due(now) {
            return ReadNeed::Now(next);
        }
        ReadNeed::Later(later)
    }

    /// Returns how far this instance has read a topic, for a gossip message whose records start
    /// at `from`.
    fn progress(&self, now: Moment, topic: WireTopic, from: Option<LogPosition>) -> WireProgress {
        let health = self.health(topic);
        let age = now.since(health.confirmed_at);
        let returned = health.recovered_at.map(|at| now.since(at));
        WireProgress {
            next: self.view(topic).next.into(),
            from: from.map(Into::into),
            // Rounded up, because each instance on the way adds its own rounding.
            age_ms: whole_ms(age).saturating_add(1),
            returned_ms: returned
                .filter(|age| *age < RECOVERY_REPEAT_TIME)
                .map(whole_ms),
        }
    }

    /// Builds the gossip message for an instance that has read both topics up to `progress`.
    pub(super) fn build_gossip(&mut self, now: Moment, progress: PeerProgress) -> GossipMessage {
        self.expire_suspicions(now);
        let members = || self.fleet.iter().map(|(_, member)| member);
        // Only the instance that gives an order announces its hold; a forwarded hold would
        // outlast it.
        let held = members().filter(|member| member.is_own_hold && !member.held_until.is_due(now));
        let holds = held.map(|member| {
            let left = member
                .held_until
                .remaining(now)
                .min(MAX_ANNOUNCED_HOLD)
                .as_millis();
            (member.id_hash, u32::try_from(left).unwrap_or(0))
        });
        let busy = members().filter(|member| member.own != MemberLoad::default());
        let weights = self.recent_weights.iter().filter_map(|(_, key)| {
            let member = self.fleet.get(*key)?;
            Some((member.id_hash, member.version()?))
        });
        let mut records = Vec::new();
        let mut include = |topic, from: Option<LogPosition>| {
            let included = gossip_records(self.view(topic), from?)?;
            records.extend(wire_records(topic, included));
            from
        };
        let operator = include(WireTopic::Operator, progress.operator);
        let upstream = include(WireTopic::Upstream, progress.upstream);
        if !records.is_empty() {
            self.counters
                .count_record_bytes("sent", record_bytes(&records));
        }
        let saved = self.parts.saved_by(self.identity.id).into_iter();
        let failing = [self.operator_health, self.upstream_health];
        GossipMessage {
            sender: self.identity.id,
            address: Some(self.identity.peer_address),
            place: Some(self.identity.data_centre.0),
            is_leaving: self.is_leaving,
            peers: Vec::new(),
            operator: self.progress(now, WireTopic::Operator, operator),
            upstream: self.progress(now, WireTopic::Upstream, upstream),
            reaches_store: failing.iter().all(|health| health.failing_since.is_none()),
            loads: busy
                .map(|member| WireLoad::new(member.id_hash, member.own))
                .collect(),
            holds: holds.collect(),
            weights: weights.collect(),
            limits: self.limits(now),
            saved_tokens: saved.map(|(store, tokens)| (store.0, tokens)).collect(),
            parts: self.recent_parts.iter().map(|(_, part)| *part).collect(),
            suspicions: self.suspicions(),
            records,
        }
    }

    /// Returns the deadlines of all target versions as remaining times.
    fn limits(&self, now: Moment) -> Vec<WireVersionDeadline> {
        let models = self.version_deadlines.iter();
        let limits = models.flat_map(|(model, deadlines)| {
            deadlines
                .observed()
                .map(|(version, due)| WireVersionDeadline {
                    model: *model,
                    version,
                    // Rounded up, so that no instance shortens the deadline by passing it on.
                    left_ms: whole_ms(due.remaining(now)).saturating_add(1),
                })
        });
        limits.collect()
    }

    /// Returns the suspicions that are still news.
    fn suspicions(&self) -> Vec<WireSuspicion> {
        let recent = self.recent_suspicions.iter();
        recent.map(|(_, suspicion)| *suspicion).collect()
    }
}

/// Returns whether a view that is known below `own` is complete below `next` with the newest records from
/// `from` on. Those from an earlier era on tell of no deletions in the era that the view is in.
pub(super) fn is_continued(own: LogPosition, from: LogPosition, next: LogPosition) -> bool {
    from <= own && (from.era == own.era || own.era < next.era)
}

/// Returns the size of the values of records, in bytes.
fn record_bytes(records: &[WireTopicRecord]) -> usize {
    let values = records.iter().filter_map(|record| record.value.as_ref());
    values.map(Vec::len).sum()
}

/// Converts records to the form in which gossip messages forward them.
fn wire_records(topic: WireTopic, records: Vec<KeyedRecord>) -> Vec<WireTopicRecord> {
    let wire = records.into_iter().map(|record| WireTopicRecord {
        topic,
        key: record.key,
        value: record.value.map(|value| value.to_vec()),
        position: record.position.into(),
    });
    wire.collect()
}

impl From<&WireTopicRecord> for KeyedRecord {
    fn from(wire: &WireTopicRecord) -> Self {
        Self {
            key: wire.key.clone(),
            value: wire.value.clone().map(Bytes::from),
            position: wire.position.into(),
        }
    }
}

//! News between instances: loads, holds, weights, parts, suspicions and records of the store.

use std::time::Duration;

use bytes::Bytes;

use super::state::{DispatchState, PeerState};
use crate::decide::fleet::MemberLoad;
use crate::decide::ids::{EngineEpoch, Incarnation, LogOffset};
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::suspects::{CrashId, Fingerprint};
use crate::gateway::mail::{GatewayMail, PeerProgress};
use crate::kernel::{Moment, Turn};
use crate::wire::peer_rpc::{
    PeerNews, WireLimit, WireLoad, WireProgress, WireRecord, WireSuspicion, WireTopic,
};

/// Age up to which another instance counts as alive.
const PEER_LIFETIME: Duration = Duration::from_millis(2_500);

/// Time for which a new suspicion is told; it reaches all instances in a few exchanges.
const SUSPICION_NEWS: Duration = Duration::from_millis(1_500);

/// Longest hold that is told at once; it is told again while it lasts.
const TOLD_HOLD: Duration = Duration::from_millis(1_200);

/// Age of the store's last answer up to which an instance needs no records handed on.
const FRESH_READING: Duration = Duration::from_millis(1_200);

impl DispatchState {
    /// Takes in another instance's news.
    pub(super) fn take_news(&mut self, turn: &mut Turn<'_, GatewayMail>, news: &PeerNews) {
        let now = turn.now;
        if news.sender == self.identity.id {
            return;
        }
        if news.is_leaving {
            self.peers.remove(&news.sender);
        } else {
            let peer = PeerState {
                heard: now,
                reaches_store: news.operator.is_fresh && news.upstream.is_fresh,
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
            member.note_peer_load(now, news.sender, load);
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

    fn take_part(&mut self, now: Moment, part: crate::wire::peer_rpc::WirePart) {
        let Some(key) = self.fleet.find_hash(part.upstream) else {
            return;
        };
        let Some(member) = self.fleet.get_mut(key) else {
            return;
        };
        let chain = [(part.chain, 0)];
        let is_new = !self.parts.holders(&chain).any(|holder| holder == key);
        if is_new {
            member.read_mark += part.read_tokens;
        }
        if !part.is_read {
            self.parts.note_reading(now, &chain);
            return;
        }
        let mark = member.read_mark;
        self.parts.note_used(now, &chain, key, mark);
        if part.is_kept {
            self.parts.note_kept(now, &chain);
        }
    }

    fn take_handed_records(&mut self, turn: &mut Turn<'_, GatewayMail>, news: &PeerNews) {
        for topic in [WireTopic::Operator, WireTopic::Upstream] {
            let records: Vec<KeyedRecord> = news
                .records
                .iter()
                .filter(|record| record.topic == topic)
                .map(KeyedRecord::from)
                .collect();
            if records.is_empty() {
                continue;
            }
            let progress = match topic {
                WireTopic::Operator => news.operator,
                WireTopic::Upstream => news.upstream,
            };
            self.take_handed_on(turn, topic, &records, LogOffset(progress.next));
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
        let busy = members().filter(|member| member.own.in_flight > 0);
        let weights = self.recent_weights.iter().filter_map(|(_, key)| {
            let member = self.fleet.get(*key)?;
            Some((member.id_hash, member.version()?))
        });
        let mut records = handed_on(WireTopic::Operator, self.operator.since(progress.operator));
        if let Some(from) = progress.upstream {
            records.extend(handed_on(WireTopic::Upstream, self.upstreams.since(from)));
        }
        PeerNews {
            sender: self.identity.id,
            address: Some(self.identity.peer_address),
            is_leaving: self.is_leaving,
            peers: Vec::new(),
            operator: WireProgress {
                next: self.operator.next.0,
                is_fresh: self.operator_health.failing_since.is_none(),
            },
            upstream: WireProgress {
                next: self.upstreams.next.0,
                is_fresh: self.upstream_health.answered != Moment::START
                    && now.since(self.upstream_health.answered) < FRESH_READING,
            },
            loads: busy
                .map(|member| WireLoad {
                    upstream: member.id_hash,
                    in_flight: member.own.in_flight,
                    unread_tokens: member.own.unread_tokens,
                    memory_tokens: member.own.memory_tokens,
                })
                .collect(),
            holds: holds.collect(),
            weights: weights.collect(),
            limits: self.limits(now),
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
                left_ms: u64::try_from(due.remaining(now).as_millis()).unwrap_or(u64::MAX),
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

//! What operators and upstreams write: taking it in and putting it in force.

use std::time::Duration;

use super::state::{DeferredRemoval, DispatchState, NamedVersion};
use crate::decide::fleet::{EntryChange, MemberKey, MemberState};
use crate::decide::hashing::name_hash;
use crate::decide::ids::LogOffset;
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::route_table::RouteTable;
use crate::events::{
    CONFIGURATION_IN_FORCE, EventField, RECORD_SKIPPED, STORE_LOST, STORE_REGAINED,
    UPSTREAM_CHANGED, WEIGHTS_NAMED, log_event,
};
use crate::gateway::mail::{GatewayMail, TopicRecords};
use crate::kernel::{Moment, Turn};
use crate::platform::config_document::{
    CONFIGURATION_KEY, NamedWeights, WEIGHTS_PREFIX, decode_configuration, decode_weights,
};
use crate::platform::upstream_entry::decode_entry;
use crate::wire::peer_rpc::WireTopic;

/// Time after the store's return in which entries that lapsed meanwhile may come back.
const RETURN_WAIT: Duration = Duration::from_millis(2_100);

/// Time that a request may wait at an upstream before it begins, taken off the limit for weights.
const START_MARGIN: Duration = Duration::from_millis(1_500);

/// Versions of a model whose limits are kept; older ones have been passed by newer ones.
const MAX_LIMITS: usize = 16;

/// Failure of the store from which on removals may be lapses.
const LAPSE_OUTAGE: Duration = Duration::from_secs(1);

/// Time for which weights seen at an upstream are told to other instances.
const WEIGHTS_NEWS: Duration = Duration::from_secs(2);

impl DispatchState {
    /// Takes in records that the store returned.
    pub(super) fn take_records(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        self.note_store_answer(turn.now, read.topic);
        for record in &read.records {
            self.apply(turn, read.topic, record);
        }
        self.view_mut(read.topic).advance(read.next);
    }

    /// Takes in a whole reading of a topic; keys that it does not name are gone.
    pub(super) fn take_newest(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        self.note_store_answer(turn.now, read.topic);
        let missing = self.view(read.topic).missing_from(&read.records, read.next);
        for record in read.records.iter().chain(&missing) {
            self.apply(turn, read.topic, record);
        }
        self.view_mut(read.topic).advance(read.next);
    }

    /// Takes in records that another instance handed on.
    pub(super) fn take_handed_on(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        records: &[KeyedRecord],
        next: LogOffset,
    ) {
        for record in records {
            self.apply(turn, topic, record);
        }
        self.view_mut(topic).advance(next);
    }

    fn view_mut(&mut self, topic: WireTopic) -> &mut crate::decide::keyed_view::KeyedView {
        match topic {
            WireTopic::Operator => &mut self.operator,
            WireTopic::Upstream => &mut self.upstreams,
        }
    }

    fn apply(&mut self, turn: &mut Turn<'_, GatewayMail>, topic: WireTopic, record: &KeyedRecord) {
        if !self.view_mut(topic).apply(record) {
            return;
        }
        match topic {
            WireTopic::Operator => self.apply_operator(turn, record),
            WireTopic::Upstream => self.apply_upstream(turn.now, record),
        }
    }

    fn apply_operator(&mut self, turn: &mut Turn<'_, GatewayMail>, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            return;
        };
        if record.key == CONFIGURATION_KEY {
            match decode_configuration(value) {
                Ok(configuration) => self.put_in_force(RouteTable::new(configuration), record),
                Err(error) => skip(record, &error.to_string()),
            }
        } else if record.key.starts_with(WEIGHTS_PREFIX) {
            match decode_weights(value) {
                Ok(named) => self.name_weights(turn, named),
                Err(error) => skip(record, &error.to_string()),
            }
        }
    }

    /// Puts a configuration in force unless a newer one already is.
    fn put_in_force(&mut self, routes: RouteTable, record: &KeyedRecord) {
        let current = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && routes.version <= current {
            return;
        }
        log_event(
            &CONFIGURATION_IN_FORCE,
            &[
                ("version", &routes.version),
                ("before", &current),
                ("offset", &record.offset.0),
            ],
        );
        self.routes = Some(routes);
    }

    fn name_weights(&mut self, turn: &mut Turn<'_, GatewayMail>, named: NamedWeights) {
        let model = name_hash(&named.model);
        let known = self.versions.get(&model);
        if known.is_some_and(|known| named.version <= known.version) {
            return;
        }
        let mut limits = known.map_or_else(Vec::new, |known| known.limits.clone());
        // What was written before this instance started may have been named any time before.
        let is_old = self.operator.next == LogOffset::default();
        let allowed = if is_old {
            self.identity.settling_time
        } else {
            self.identity.weights_limit
        };
        log_event(
            &WEIGHTS_NAMED,
            &[("model", &named.model), ("version", &named.version)],
        );
        let allowed = allowed.saturating_sub(START_MARGIN);
        limits.push((named.version, turn.now.after(allowed)));
        let excess = limits.len().saturating_sub(MAX_LIMITS);
        limits.drain(..excess);
        let version = NamedVersion {
            name: named.model,
            version: named.version,
            learned: turn.now,
            limits,
        };
        self.versions.insert(model, version);
        turn.send("orders", GatewayMail::OrdersDue);
    }

    fn apply_upstream(&mut self, now: Moment, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            self.remove_entry(now, &record.key);
            return;
        };
        match decode_entry(&record.key, value) {
            Ok(entry) => {
                self.removals.retain(|removal| removal.id != record.key);
                let state = entry.state;
                let change = self.fleet.apply(entry);
                if matches!(change, EntryChange::Same(_)) {
                    self.upstreams.note_unchanged(&record.key);
                }
                self.note_change(now, change, state);
            }
            // An entry that cannot be read names no upstream; one known before is left as it was.
            Err(reason) => skip(record, &reason),
        }
    }

    fn note_change(&mut self, now: Moment, change: EntryChange, state: MemberState) {
        let (key, what) = match change {
            EntryChange::Same(_) => return,
            EntryChange::Added(key) => (key, "added"),
            EntryChange::Updated(key) => (key, "state"),
            EntryChange::Reloaded(key) => {
                self.parts.remove_member(key);
                self.remember_weights(now, key);
                (key, "weights")
            }
            EntryChange::Restarted { old, new } => {
                self.note_crash(now, old);
                self.parts.remove_member(old);
                self.pool.forget(old);
                (new, "restarted")
            }
        };
        if state == MemberState::Draining {
            self.pool.forget(key);
        }
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        log_event(
            &UPSTREAM_CHANGED,
            &[
                ("upstream", &member.entry.id),
                ("address", &member.entry.address),
                ("change", &what),
                ("draining", &(state == MemberState::Draining)),
                ("weights", &member.version().unwrap_or(0)),
            ],
        );
    }

    /// Removes an upstream whose entry is gone; at once, unless it may only have lapsed.
    fn remove_entry(&mut self, now: Moment, id: &str) {
        let health = self.upstream_health;
        let returned = health.regained.filter(|at| now.since(*at) < RETURN_WAIT);
        match returned {
            Some(at) => self.removals.push(DeferredRemoval {
                id: id.to_owned(),
                due: at.after(RETURN_WAIT),
            }),
            None => self.remove_member(id, "removed"),
        }
    }

    fn remove_member(&mut self, id: &str, change: &str) {
        let Some(key) = self.fleet.find(id) else {
            return;
        };
        self.fleet.remove(key);
        self.parts.remove_member(key);
        self.pool.forget(key);
        log_event(&UPSTREAM_CHANGED, &[("upstream", &id), ("change", &change)]);
    }

    /// Removes upstreams whose entries have not come back.
    pub(super) fn settle_removals(&mut self, turn: &Turn<'_, GatewayMail>) {
        let due: Vec<DeferredRemoval> = self
            .removals
            .extract_if(.., |removal| removal.due.is_due(turn.now))
            .collect();
        for removal in due {
            self.remove_member(&removal.id, "lapsed");
        }
    }

    fn note_store_answer(&mut self, now: Moment, topic: WireTopic) {
        let health = self.health_mut(topic);
        health.confirmed = now;
        let Some(since) = health.failing_since.take() else {
            return;
        };
        let failed = now.since(since);
        if failed >= LAPSE_OUTAGE {
            health.regained = Some(now);
        }
        let failed_ms = failed.as_millis();
        log_event(
            &STORE_REGAINED,
            &[("topic", &topic_name(topic)), ("failed_ms", &failed_ms)],
        );
    }

    /// Notes that the store has not answered.
    pub(super) fn note_store_failure(&mut self, now: Moment, topic: WireTopic, reason: &str) {
        let health = self.health_mut(topic);
        if health.failing_since.is_none() {
            health.failing_since = Some(now);
            let fields: [EventField<'_>; 2] = [("topic", &topic_name(topic)), ("reason", &reason)];
            log_event(&STORE_LOST, &fields);
        }
    }

    /// Notes that an upstream runs other weights than its entry says.
    pub(super) fn note_weights(&mut self, now: Moment, key: MemberKey, version: u64) {
        let Some(member) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(weights) = &mut member.entry.weights else {
            return;
        };
        if weights.version >= version {
            return;
        }
        weights.version = version;
        // Whoever loaded them has ended the hold.
        member.held_until = now;
        member.is_own_hold = false;
        self.parts.remove_member(key);
        self.remember_weights(now, key);
    }

    fn remember_weights(&mut self, now: Moment, key: MemberKey) {
        self.recent_weights.push_back((now, key));
        while let Some((seen, _)) = self.recent_weights.front() {
            if now.since(*seen) < WEIGHTS_NEWS {
                break;
            }
            self.recent_weights.pop_front();
        }
    }
}

fn skip(record: &KeyedRecord, reason: &str) {
    log_event(
        &RECORD_SKIPPED,
        &[
            ("offset", &record.offset.0),
            ("key", &record.key),
            ("reason", &reason),
        ],
    );
}

const fn topic_name(topic: WireTopic) -> &'static str {
    match topic {
        WireTopic::Operator => "operator",
        WireTopic::Upstream => "upstream",
    }
}

//! Records of the store: applies what operators and upstreams write to the state of `dispatch`.

use std::time::Duration;

use super::crashes::CrashSign;
use super::paces::PaceCause;
use super::send_check::SEND_TIME;
use super::state::{DeferredRemoval, DispatchState};
use crate::decide::fleet::{EntryChange, MemberState};
use crate::decide::ids::LogOffset;
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::route_table::RouteTable;
use crate::events::{
    CONFIGURATION_IN_FORCE, EventField, RECORD_SKIPPED, STORE_LOST, STORE_REGAINED,
    UPSTREAM_CHANGED, log_event,
};
use crate::gateway::mail::{GatewayMail, TopicRecords};
use crate::kernel::{Moment, Turn};
use crate::platform::config_document::{
    CONFIGURATION_KEY, TARGET_VERSION_PREFIX, decode_configuration, decode_target_version,
};
use crate::platform::upstream_entry::decode_entry;
use crate::wire::peer_rpc::WireTopic;

/// Time after a store outage for which removals of upstreams are deferred, because entries that
/// expired during the outage may be written again.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_100);

/// Minimum length of a store outage after which removed entries may merely have expired.
pub(super) const MIN_OUTAGE: Duration = Duration::from_secs(1);

impl DispatchState {
    /// Applies new records that were read from the store.
    pub(super) fn apply_records(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        self.record_store_success(turn.now, read.topic);
        let absent_at = self.absent_at(read.topic);
        for record in &read.records {
            if self.view_mut(read.topic).apply(record) {
                self.apply_effect(turn, read.topic, record, absent_at);
            }
        }
        self.view_mut(read.topic).advance(read.next);
        self.record_confirmation(read.topic, read.confirmed_at);
    }

    /// Applies a complete snapshot of a topic; keys that are missing from it have been removed.
    pub(super) fn apply_snapshot(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        self.record_store_success(turn.now, read.topic);
        let missing = self
            .view(read.topic)
            .deletions_for_missing_keys(&read.records, read.next);
        let absent_at = self.absent_at(read.topic);
        self.record_listing(read, &missing);
        self.view_mut(read.topic).begin_at(read.next);
        for record in read.records.iter().chain(&missing) {
            self.apply_newest(turn, read.topic, record, absent_at);
        }
        self.view_mut(read.topic).advance(read.next);
        self.record_confirmation(read.topic, read.confirmed_at);
    }

    /// Applies a snapshot that may miss keys; none of them counts as removed.
    pub(super) fn apply_partial_snapshot(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        read: &TopicRecords,
    ) {
        self.record_store_success(turn.now, read.topic);
        self.record_partial_listing(read.topic);
        self.apply_forwarded(turn, read.topic, &read.records, read.next);
    }

    /// Applies records that another instance forwarded.
    pub(super) fn apply_forwarded(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        records: &[KeyedRecord],
        next: LogOffset,
    ) {
        let absent_at = self.absent_at(topic);
        self.view_mut(topic).begin_at(next);
        for record in records {
            self.apply_newest(turn, topic, record, absent_at);
        }
        self.view_mut(topic).advance(next);
    }

    fn view_mut(&mut self, topic: WireTopic) -> &mut crate::decide::keyed_view::KeyedView {
        match topic {
            WireTopic::Operator => &mut self.operator,
            WireTopic::Upstream => &mut self.upstreams,
        }
    }

    /// Applies the newest record of a key unless a newer one is known.
    fn apply_newest(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        record: &KeyedRecord,
        absent_at: Moment,
    ) {
        if self.view_mut(topic).apply_newest(record) {
            self.apply_effect(turn, topic, record, absent_at);
        }
    }

    /// Returns a time at which the topic had no record that is not known here: that of the last
    /// confirmation, or of the end of an outage after it, in which the operators' limits do not count.
    fn absent_at(&self, topic: WireTopic) -> Moment {
        let health = self.health(topic);
        let recovered_at = health.recovered_at.unwrap_or(Moment::START);
        health.confirmed_at.max(recovered_at)
    }

    /// Applies what a record says that the view has not known before and the topic did not have at
    /// `absent_at`.
    fn apply_effect(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        record: &KeyedRecord,
        absent_at: Moment,
    ) {
        match topic {
            WireTopic::Operator => self.apply_operator(turn, record, absent_at),
            WireTopic::Upstream => self.apply_upstream(turn.now, record),
        }
    }

    /// Applies a record of the operators: a configuration or a target version.
    fn apply_operator(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        record: &KeyedRecord,
        absent_at: Moment,
    ) {
        let Some(value) = &record.value else {
            return;
        };
        if record.key == CONFIGURATION_KEY {
            match decode_configuration(value) {
                Ok(configuration) => {
                    self.activate(RouteTable::new(configuration), record, value.len());
                    self.apply_quotas(turn.now);
                }
                Err(error) => log_skipped_record(record, &error.to_string()),
            }
        } else if record.key.starts_with(TARGET_VERSION_PREFIX) {
            match decode_target_version(value) {
                Ok(named) => self.set_target_version(turn, named, absent_at),
                Err(error) => log_skipped_record(record, &error.to_string()),
            }
        }
    }

    /// Puts a configuration in force unless the current one is at least as new.
    fn activate(&mut self, routes: RouteTable, record: &KeyedRecord, bytes: usize) {
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
                ("bytes", &bytes),
            ],
        );
        self.routes = Some(routes);
    }

    /// Applies the entry of an upstream, or its removal.
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
                self.apply_change(now, change, state);
            }
            // An invalid entry describes no upstream; an earlier valid entry under the key stays
            // in force.
            Err(reason) => log_skipped_record(record, &reason),
        }
    }

    /// Drops cached state that a changed entry invalidates, and logs the change.
    fn apply_change(&mut self, now: Moment, change: EntryChange, state: MemberState) {
        let (key, what) = match change {
            EntryChange::Same(_) => return,
            EntryChange::Added(key) => {
                self.record_software(now, key);
                self.pace_new_entry(now, key);
                (key, "added")
            }
            EntryChange::Updated(key) => (key, "state"),
            EntryChange::Reloaded(key) => {
                let member = self.fleet.get(key);
                // The delivery of an own order ends its hold itself.
                if member.is_some_and(|member| !member.is_own_hold) {
                    self.end_hold(now, key);
                }
                self.parts.remove_member(key);
                self.announce_weights(now, key);
                self.begin_pace(now, key, PaceCause::Reloaded);
                (key, "weights")
            }
            EntryChange::Restarted { old, new } => {
                self.record_software(now, new);
                self.record_crash(now, old, CrashSign::Restarted);
                self.parts.remove_member(old);
                self.pool.close_all(old);
                self.pace_new_entry(now, new);
                (new, "restarted")
            }
        };
        if state == MemberState::Draining {
            self.pool.close_all(key);
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

    /// Removes an upstream whose entry was removed: at once, or deferred if the entry may merely
    /// have expired during an outage.
    fn remove_entry(&mut self, now: Moment, id: &str) {
        let health = self.upstream_health;
        let returned = health
            .recovered_at
            .filter(|at| now.since(*at) < REMOVAL_DELAY);
        match returned {
            Some(at) => self.removals.push(DeferredRemoval {
                id: id.to_owned(),
                due: self.removal_due(now, at),
            }),
            None => self.remove_member(id, "removed"),
        }
    }

    /// Returns when a removal takes effect that is read after an outage which ended at
    /// `recovered_at`.
    fn removal_due(&self, now: Moment, recovered_at: Moment) -> Moment {
        let due = recovered_at.after(REMOVAL_DELAY);
        // The removal was written after the last confirmation. If that is older than the limit,
        // the outage lies between, and the entry may have expired in it.
        let limit = self.identity.drain_limit.saturating_sub(SEND_TIME);
        let written_limit = self.upstream_health.confirmed_at.after(limit);
        if written_limit.is_due(now) {
            due
        } else {
            due.min(written_limit)
        }
    }

    fn remove_member(&mut self, id: &str, change: &str) {
        let Some(key) = self.fleet.find(id) else {
            return;
        };
        self.fleet.remove(key);
        self.parts.remove_member(key);
        self.pool.close_all(key);
        log_event(&UPSTREAM_CHANGED, &[("upstream", &id), ("change", &change)]);
    }

    /// Removes upstreams whose entries were not written again in time.
    pub(super) fn apply_due_removals(&mut self, now: Moment) {
        let due: Vec<DeferredRemoval> = self
            .removals
            .extract_if(.., |removal| removal.due.is_due(now))
            .collect();
        for removal in due {
            self.remove_member(&removal.id, "lapsed");
        }
    }

    /// Returns the time of the next deferred removal.
    pub(super) fn next_removal(&self) -> Moment {
        let due = self.removals.iter().map(|removal| removal.due);
        due.min().unwrap_or(Moment::NEVER)
    }

    /// Records a successful read from the store, which ends an outage.
    fn record_store_success(&mut self, now: Moment, topic: WireTopic) {
        let health = self.health_mut(topic);
        let Some(since) = health.failing_since.take() else {
            return;
        };
        let failed = now.since(since);
        if failed >= MIN_OUTAGE {
            health.recovered_at = Some(now);
        }
        let failed_ms = failed.as_millis();
        log_event(
            &STORE_REGAINED,
            &[("topic", &topic_name(topic)), ("failed_ms", &failed_ms)],
        );
    }

    /// Records that the store had no records of a topic at `confirmed_at` that are not applied
    /// here.
    pub(super) fn record_confirmation(&mut self, topic: WireTopic, confirmed_at: Moment) {
        let health = self.health_mut(topic);
        health.confirmed_at = health.confirmed_at.max(confirmed_at);
    }

    /// Records that a read from the store failed.
    pub(super) fn record_store_failure(&mut self, now: Moment, topic: WireTopic, reason: &str) {
        let health = self.health_mut(topic);
        health.failed_at = now;
        if health.failing_since.is_none() {
            health.failing_since = Some(now);
            let fields: [EventField<'_>; 2] = [("topic", &topic_name(topic)), ("reason", &reason)];
            log_event(&STORE_LOST, &fields);
        }
    }
}

fn log_skipped_record(record: &KeyedRecord, reason: &str) {
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

//! Records of the store: applies what operators and upstreams write to the state of `dispatch`.

use std::time::Duration;

use super::crashes::CrashSign;
use super::paces::PaceCause;
use super::state::DispatchState;
use crate::decide::fleet::{EntryChange, MemberState};
use crate::decide::ids::LogPosition;
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::route_table::RouteTable;
use crate::events::{
    CONFIGURATION_IN_FORCE, EventField, RECORD_SKIPPED, STORE_LOST, STORE_REGAINED,
    UPSTREAM_CHANGED, VIEW_RESTORED, log_event,
};
use crate::gateway::mail::{GatewayMail, TopicRecords};
use crate::kernel::{Moment, Turn};
use crate::platform::config_document::{
    CONFIGURATION_KEY, TARGET_VERSION_PREFIX, decode_configuration, decode_target_version,
};
use crate::platform::upstream_entry::decode_entry;
use crate::wire::peer_rpc::WireTopic;

/// Minimum length of a store outage after which removed entries may merely have expired.
pub(super) const MIN_OUTAGE: Duration = Duration::from_secs(1);

impl DispatchState {
    /// Applies new records that were read from the store.
    pub(super) fn apply_records(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        if read.next.era != self.view(read.topic).next.era {
            return;
        }
        self.record_store_success(turn.now, read.topic);
        let absent_at = self.absent_at(read.topic);
        for record in &read.records {
            if self.view_mut(read.topic).apply(record) {
                self.apply_effect(turn, read.topic, record, absent_at);
            }
        }
        self.view_mut(read.topic).advance(read.next);
        if read.confirmed_at > Moment::START {
            // A listing that could not be completed leaves keys of earlier eras.
            self.apply_lost_keys(turn.now, read.topic, read.next);
        }
        self.record_confirmation(read.topic, read.confirmed_at);
    }

    /// Applies a complete snapshot of a topic; keys that are missing from it have been removed.
    pub(super) fn apply_snapshot(&mut self, turn: &mut Turn<'_, GatewayMail>, read: &TopicRecords) {
        let known = self.view(read.topic).next;
        if read.next.era < known.era {
            return;
        }
        self.record_store_success(turn.now, read.topic);
        if read.next.era > known.era && known != LogPosition::default() {
            self.record_listing(read, &[]);
            self.apply_forwarded(turn, read.topic, &read.records, read.next);
            self.record_confirmation(read.topic, read.confirmed_at);
            return;
        }
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
        if read.next.era < self.view(read.topic).next.era {
            return;
        }
        self.record_store_success(turn.now, read.topic);
        self.record_partial_listing(read.topic);
        self.apply_all(turn, read.topic, &read.records, read.next);
        self.view_mut(read.topic).advance(read.next);
    }

    /// Applies records that another instance forwarded.
    pub(super) fn apply_forwarded(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        records: &[KeyedRecord],
        next: LogPosition,
    ) {
        self.apply_all(turn, topic, records, next);
        if next.era > self.view(topic).next.era {
            self.apply_lost_keys(turn.now, topic, next);
        }
        self.view_mut(topic).advance(next);
    }

    /// Deletes the keys that a topic of a later era lacks below `next`, and defers what follows for upstreams.
    fn apply_lost_keys(&mut self, now: Moment, topic: WireTopic, next: LogPosition) {
        for deletion in self.view(topic).deletions_for_lost_keys(next) {
            if self.view_mut(topic).apply_missing(&deletion) && topic == WireTopic::Upstream {
                self.defer_lost_removal(now, &deletion.key);
            }
        }
    }

    /// Applies the newest records of some keys of a topic, which is known below `next` with them.
    fn apply_all(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        records: &[KeyedRecord],
        next: LogPosition,
    ) {
        let absent_at = self.absent_at(topic);
        self.enter_era(turn.now, topic, next);
        self.view_mut(topic).begin_at(next);
        for record in records {
            self.apply_newest(turn, topic, record, absent_at);
        }
    }

    /// Defers removals if the topic comes back from an older copy, because entries that the copy lacks may be
    /// written again.
    fn enter_era(&mut self, now: Moment, topic: WireTopic, next: LogPosition) {
        let known = self.view(topic).next;
        if next.era <= known.era || known == LogPosition::default() {
            return;
        }
        self.health_mut(topic).recovered_at = Some(now);
        self.renew_lost_removals(now);
        log_event(
            &VIEW_RESTORED,
            &[
                ("topic", &topic_name(topic)),
                ("era", &next.era.0),
                ("known", &known.offset.0),
                ("next", &next.offset.0),
            ],
        );
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
                ("era", &record.position.era.0),
                ("offset", &record.position.offset.0),
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
                self.record_replacement(now, key);
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
        if topic == WireTopic::Upstream {
            self.renew_after_silence(confirmed_at);
        }
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
            ("era", &record.position.era.0),
            ("offset", &record.position.offset.0),
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

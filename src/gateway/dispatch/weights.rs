//! Target versions of weights, weights that upstreams are stated to run, and the end of the holds for
//! loading them.

use std::time::Duration;

use super::paces::PaceCause;
use super::state::{DispatchState, TargetVersion};
use crate::decide::fleet::{FleetMember, MemberKey};
use crate::decide::hashing::name_hash;
use crate::decide::ids::LogPosition;
use crate::decide::stated_weights::{StatementEffect, WeightsStatement};
use crate::decide::version_deadlines::VersionDeadlines;
use crate::events::{WEIGHTS_NAMED, WEIGHTS_REFUTED, WEIGHTS_STATED, log_event};
use crate::gateway::mail::GatewayMail;
use crate::kernel::{Moment, Turn};
use crate::platform::config_document::TargetVersionRecord;

/// Time for which newly stated weights of an upstream are reported to other instances.
const WEIGHTS_REPEAT_TIME: Duration = Duration::from_secs(2);

/// Longest time from the last confirmation without a version to its record up to which the deadline that
/// follows is told to other instances: that of a reader of the store, whose reads take up to 600 ms. A
/// deadline that is less exact binds only this instance.
const MAX_TOLD_LAG: Duration = Duration::from_millis(800);

impl DispatchState {
    /// Sets the target version of a model unless the current one is at least as new. Operators have set
    /// it after `absent_at`, from which its limit counts.
    pub(super) fn set_target_version(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        named: TargetVersionRecord,
        absent_at: Moment,
    ) {
        let model = name_hash(&named.model);
        let known = self.target_versions.get(&model);
        if known.is_some_and(|known| named.version <= known.version) {
            return;
        }
        let limit = self.identity.weights_limit;
        // Records of the first read may be of any age.
        let is_of_unknown_age = self.operator.next == LogPosition::default();
        let deadline = if is_of_unknown_age {
            turn.now.after(self.identity.settling_time.min(limit))
        } else {
            absent_at.after(limit)
        };
        let lag = turn.now.since(absent_at);
        log_event(
            &WEIGHTS_NAMED,
            &[
                ("model", &named.model),
                ("version", &named.version),
                ("allowed_ms", &deadline.remaining(turn.now).as_millis()),
                ("lag_ms", &lag.as_millis()),
            ],
        );
        let deadlines = self.version_deadlines.entry(model).or_default();
        if !is_of_unknown_age && lag <= MAX_TOLD_LAG {
            deadlines.record(named.version, deadline);
        } else if is_of_unknown_age || !deadlines.is_observed(named.version) {
            deadlines.assume(named.version, deadline);
        }
        self.next_cancellation = turn.now;
        let version = TargetVersion {
            name: named.model,
            version: named.version,
            received_at: turn.now,
        };
        self.target_versions.insert(model, version);
        turn.send("orders", GatewayMail::OrdersDue);
    }

    /// Records a statement that an upstream runs other weights than its entry states.
    pub(super) fn record_statement(
        &mut self,
        now: Moment,
        key: MemberKey,
        statement: WeightsStatement,
    ) {
        let member = self.fleet.get(key);
        let Some(listed) = member.and_then(|member| member.entry.weights) else {
            return;
        };
        let newest = self.newest_named(listed.model);
        let Some(member) = self.fleet.get_mut(key) else {
            return;
        };
        let effect = member.stated.record(now, statement, listed.version, newest);
        match effect {
            StatementEffect::Ignored => {}
            StatementEffect::Accepted => {
                log_event(
                    &WEIGHTS_STATED,
                    &[
                        ("upstream", &member.entry.id),
                        ("version", &statement.version),
                        ("listed", &listed.version),
                        ("source", &statement.source.name()),
                    ],
                );
                self.end_hold(now, key);
                self.parts.remove_member(key);
                self.announce_weights(now, key);
                self.begin_pace(now, key, PaceCause::Reloaded);
            }
            StatementEffect::Unnamed => {
                log_refuted(member, statement.version, "not_named");
                self.counters.count_notice("weights_refuted");
            }
            StatementEffect::Contradicted { version } => {
                self.drop_statement(key, version, "rejection");
            }
        }
    }

    /// Returns the newest version of a model that operators have named, as far as this instance knows;
    /// 0 if they have named none.
    pub(super) fn newest_named(&self, model: u64) -> u64 {
        let target = self.target_versions.get(&model);
        // Another instance may have reported the deadline of a version that is not read here yet.
        let reported = self.version_deadlines.get(&model);
        let reported = reported.map_or(0, VersionDeadlines::newest);
        target.map_or(0, |target| target.version).max(reported)
    }

    /// Refutes statements that the entries have not confirmed in time.
    pub(super) fn check_statements(&mut self, now: Moment) {
        let (confirmed_at, entry_lag) =
            (self.upstream_health.confirmed_at, self.identity.entry_lag);
        let keys: Vec<MemberKey> = self.fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            if let Some(version) = member.stated.check(now, confirmed_at, entry_lag) {
                self.drop_statement(key, version, "entry");
            }
        }
    }

    /// Drops what rests on a refuted statement.
    fn drop_statement(&mut self, key: MemberKey, version: u64, reason: &str) {
        self.parts.remove_member(key);
        self.counters.count_notice("weights_refuted");
        if let Some(member) = self.fleet.get(key) {
            log_refuted(member, version, reason);
        }
    }

    /// Ends the hold on an upstream that has loaded weights, whichever instance ordered it.
    pub(super) fn end_hold(&mut self, now: Moment, key: MemberKey) {
        if let Some(member) = self.fleet.get_mut(key) {
            member.held_until = now;
            member.is_own_hold = false;
        }
    }

    /// Queues the weights of an upstream for gossip.
    pub(super) fn announce_weights(&mut self, now: Moment, key: MemberKey) {
        self.recent_weights.push_back((now, key));
        while let Some((seen, _)) = self.recent_weights.front() {
            if now.since(*seen) < WEIGHTS_REPEAT_TIME {
                break;
            }
            self.recent_weights.pop_front();
        }
    }
}

fn log_refuted(member: &FleetMember, version: u64, reason: &str) {
    log_event(
        &WEIGHTS_REFUTED,
        &[
            ("upstream", &member.entry.id),
            ("version", &version),
            ("runs", &member.version().unwrap_or(0)),
            ("reason", &reason),
        ],
    );
}

//! Quotas of customers: which requests are within them, and what instances tell each other of use.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::state::DispatchState;
use crate::decide::customer_quota::{QuotaBucket, QuotaStep};
use crate::decide::customer_use::{CustomerHash, UseReport, UseSource};
use crate::decide::fleet::MemberOutcome;
use crate::decide::hashing::name_hash;
use crate::decide::ids::Rank;
use crate::decide::route_table::DataCentreId;
use crate::events::{QUOTA_EXCEEDED, log_event};
use crate::gateway::placement::{PlacementRefusal, PlacementRequest};
use crate::kernel::{Moment, whole_ms};
use crate::wire::use_news::{WireCustomerUse, WireUseCall, WireUseReport};

/// Most customers that metrics and dump name: those that have used most of their quotas.
const MAX_LISTED_CUSTOMERS: usize = 20;

/// Time between two log lines of a customer that is over its quota.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a placed request uses of its customer's quota.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway::dispatch) struct QuotaUse {
    customer: CustomerHash,
    units: f64,
}

/// Use of a customer's quota, for metrics and dump.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::gateway::dispatch) struct QuotaUsage {
    /// Name of the customer.
    pub customer: String,
    /// Limit in units per second.
    pub per_s: u64,
    /// Units that all instances use per second.
    pub used_per_s: f64,
    /// Units that the customer asks for per second.
    pub asked_per_s: f64,
    /// Units that may still be used.
    pub level: f64,
}

impl DispatchState {
    /// Puts the quotas of the configuration into force.
    pub(super) fn apply_quotas(&mut self, now: Moment) {
        let Some(routes) = &self.routes else {
            return;
        };
        let quotas = routes.quotas();
        let rules: HashMap<_, _> = quotas
            .map(|(name, rule)| (CustomerHash(name_hash(name)), rule))
            .collect();
        self.quota_logs
            .retain(|customer, _| rules.contains_key(customer));
        self.uses.set_rules(now, &rules);
    }

    /// Counts a new request and refuses it if it is over its customer's quota.
    pub(super) fn check_new_request(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Option<PlacementRefusal> {
        let used = self.quota_use(request)?;
        let is_urgent = request.rank == Rank::Urgent;
        self.uses
            .record_asked(now, used.customer, used.units, is_urgent);
        self.over_quota(now, request)
    }

    /// Returns the refusal of a request that is over its customer's quota now. A retry is not refused:
    /// the request may have run already.
    pub(super) fn over_quota(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Option<PlacementRefusal> {
        if request.is_retry {
            return None;
        }
        let used = self.quota_use(request)?;
        let is_urgent = request.rank == Rank::Urgent;
        let step = self.uses.step(now, used.customer, used.units, is_urgent);
        match step {
            QuotaStep::Use => None,
            QuotaStep::Refuse(until) => {
                self.log_quota(now, used.customer, &request.customer);
                Some(PlacementRefusal::OverQuota(until))
            }
        }
    }

    /// Logs that a customer is over its quota, once per interval.
    fn log_quota(&mut self, now: Moment, customer: CustomerHash, name: &str) {
        let next_log = self.quota_logs.entry(customer).or_default();
        if !next_log.is_due(now) {
            return;
        }
        *next_log = now.after(LOG_INTERVAL);
        let Some(found) = self.uses.find(customer) else {
            return;
        };
        let level = found.bucket.as_ref().map_or(0.0, QuotaBucket::level);
        log_event(
            &QUOTA_EXCEEDED,
            &[
                ("customer", &name),
                ("level", &level.round()),
                ("used_per_s", &found.used_per_s(now).round()),
                ("asked_per_s", &found.asked_per_s(now).round()),
                ("own_asked_per_s", &found.own_asked_per_s(now).round()),
                ("share_in_touch", &self.uses.roster.share_in_touch()),
            ],
        );
    }

    /// Charges a request that is sent to an upstream to its customer.
    pub(super) fn charge_quota(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Option<QuotaUse> {
        let used = self.quota_use(request)?;
        self.uses.record_sent(now, used.customer, used.units);
        Some(used)
    }

    /// Gives back what a request was charged that its upstream has not run.
    pub(super) fn return_quota(
        &mut self,
        now: Moment,
        used: Option<QuotaUse>,
        outcome: MemberOutcome,
    ) {
        let Some(used) = used.filter(|_| outcome.has_not_run()) else {
            return;
        };
        self.uses.record_not_run(now, used.customer, used.units);
    }

    fn quota_use(&self, request: &PlacementRequest) -> Option<QuotaUse> {
        if request.customer.is_empty() || !self.uses.is_needed() {
            return None;
        }
        let customer = CustomerHash(name_hash(&request.customer));
        let units = self.uses.units(customer, request.stated_tokens);
        Some(QuotaUse { customer, units })
    }

    /// Takes note of the instances that share the quotas.
    pub(super) fn record_quota_fleet(&mut self, now: Moment) {
        let peers = self.peers.iter().map(|(id, peer)| (*id, peer.heard_at));
        self.uses.record_fleet(now, peers);
    }

    /// Applies what another instance reports of customers' use.
    pub(super) fn apply_uses(&mut self, now: Moment, call: &WireUseCall) {
        let own = self.identity.data_centre;
        for report in &call.reports {
            let built_at = now.before(Duration::from_millis(report.ago_ms));
            let source = match report.place.map(DataCentreId) {
                Some(place) if place == own => continue,
                Some(place) => UseSource::DataCentre(place),
                None if call.data_centre() == own => UseSource::Instance(call.sender),
                None => continue,
            };
            let uses: Vec<UseReport> = report.uses.iter().map(UseReport::from).collect();
            self.uses.apply(now, source, built_at, &uses);
        }
    }

    /// Builds the reports for an instance of a data centre; `None` if nothing depends on use.
    pub(super) fn use_call(&self, now: Moment, receiver: DataCentreId) -> Option<WireUseCall> {
        if !self.uses.is_needed() {
            return None;
        }
        let own = self.identity.data_centre;
        let mut reports = Vec::new();
        if receiver == own {
            let uses = self.uses.own_reports(now);
            reports.push(wire_report(now, None, now, &uses));
            for place in self.other_data_centres() {
                if let Some((built_at, uses)) = self.uses.known_reports(now, place) {
                    reports.push(wire_report(now, Some(place), built_at, &uses));
                }
            }
        } else {
            let uses = self.uses.data_centre_reports(now);
            reports.push(wire_report(now, Some(own), now, &uses));
        }
        Some(WireUseCall {
            sender: self.incarnation.0,
            place: own.0,
            reports,
        })
    }

    fn other_data_centres(&self) -> Vec<DataCentreId> {
        let own = self.identity.data_centre;
        let places = self.peers.values().filter_map(|peer| peer.data_centre);
        let mut places: Vec<DataCentreId> = places.filter(|place| *place != own).collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Returns the customers that have used most of their quotas.
    pub(super) fn quota_usage(&self, now: Moment) -> Vec<QuotaUsage> {
        let Some(routes) = &self.routes else {
            return Vec::new();
        };
        let customers = routes.quotas().filter_map(|(name, rule)| {
            let customer = self.uses.find(CustomerHash(name_hash(name)))?;
            let bucket = customer.bucket.as_ref()?;
            Some(QuotaUsage {
                customer: name.to_owned(),
                per_s: rule.per_s,
                used_per_s: customer.used_per_s(now),
                asked_per_s: customer.asked_per_s(now),
                level: bucket.level(),
            })
        });
        let mut customers: Vec<QuotaUsage> = customers.collect();
        customers.sort_by(|one, other| other.used_share().total_cmp(&one.used_share()));
        customers.truncate(MAX_LISTED_CUSTOMERS);
        customers
    }

    /// Returns what the dump tells of quotas.
    pub(super) fn dump_quotas(&self, now: Moment) -> Value {
        let usage = self.quota_usage(now).into_iter().map(|usage| {
            json!({
                "customer": usage.customer,
                "limit_per_s": usage.per_s,
                "used_per_s": usage.used_per_s.round(),
                "asked_per_s": usage.asked_per_s.round(),
                "level": usage.level.round(),
            })
        });
        json!({
            "share_in_touch": self.uses.roster.share_in_touch(),
            "customers": usage.collect::<Vec<_>>(),
        })
    }
}

impl QuotaUsage {
    /// Returns the used share of the quota; 1 is all of it.
    #[expect(clippy::cast_precision_loss, reason = "quotas are far below 2^52")]
    pub(in crate::gateway::dispatch) fn used_share(&self) -> f64 {
        self.used_per_s / (self.per_s as f64).max(1.0)
    }
}

fn wire_report(
    now: Moment,
    place: Option<DataCentreId>,
    built_at: Moment,
    uses: &[UseReport],
) -> WireUseReport {
    WireUseReport {
        place: place.map(|place| place.0),
        // Rounded up, so that no instance makes a report younger by passing it on.
        ago_ms: if built_at == now {
            0
        } else {
            whole_ms(now.since(built_at)).saturating_add(1)
        },
        uses: uses.iter().map(WireCustomerUse::from).collect(),
    }
}

//! What each customer uses and asks for at all instances together, from this instance's own count and
//! the reports of others, and the quotas that limit it.

use std::collections::HashMap;
use std::time::Duration;

pub use super::customer_account::{CustomerHash, UseReport, UseSource};
use super::customer_account::{CustomerUse, USE_DECAY};
use super::customer_quota::{
    QuotaBucket, QuotaQuestion, QuotaRule, QuotaStep, QuotaTolerance, to_f64,
};
use super::instance_roster::InstanceRoster;
use super::route_table::DataCentreId;
use crate::kernel::{Arena, Key, Moment};

/// Age up to which the reports of another data centre are passed on in this one.
const FORWARD_AGE: Duration = Duration::from_secs(1);

/// Time since the first configuration in which an instance may not have heard of the others' use.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Time since the first configuration in which it may not have met most of the others.
const MEETING_TIME: Duration = Duration::from_millis(250);

/// Number of instances that is taken for granted in that time.
const UNMET_INSTANCES: f64 = 128.0;

/// Share of a customer's limit up to which all instances together may leave use unreported.
const UNREPORTED_SHARE: f64 = 0.25;

/// Use of all customers.
#[derive(Debug, Default)]
pub struct UseTable {
    customers: Arena<CustomerUse>,
    by_customer: HashMap<CustomerHash, Key<CustomerUse>>,
    /// Instances that share the quotas with this one.
    pub roster: InstanceRoster,
    /// How far the use of all instances may exceed a quota.
    tolerance: QuotaTolerance,
    /// Number of customers that have a quota.
    limited: usize,
    /// Time of the first configuration; `None` before it.
    configured_at: Option<Moment>,
}

impl UseTable {
    /// Creates the table of an instance that has just started.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Returns the use of a customer, if there is any.
    #[must_use]
    pub fn find(&self, customer: CustomerHash) -> Option<&CustomerUse> {
        self.customers.get(*self.by_customer.get(&customer)?)
    }

    /// Returns whether anything depends on what customers use.
    #[must_use]
    pub const fn is_needed(&self) -> bool {
        self.limited > 0
    }

    /// Iterates over the customers that have a quota or were reported lately.
    pub fn iter(&self) -> impl Iterator<Item = (CustomerHash, &CustomerUse)> {
        let customers = self.customers.iter();
        customers.map(|(_, customer)| (customer.customer, customer))
    }

    fn entry(&mut self, customer: CustomerHash) -> &mut CustomerUse {
        let customers = &mut self.customers;
        let key = self.by_customer.entry(customer);
        let key = *key.or_insert_with(|| customers.insert(CustomerUse::new(customer)));
        let found = self.customers.get_mut(key);
        found.expect("customers are removed from the index first")
    }

    /// Puts the quotas of a configuration into force.
    pub fn set_rules(&mut self, now: Moment, rules: &HashMap<CustomerHash, QuotaRule>) {
        let tolerance = self.tolerance;
        self.limited = rules.len();
        self.configured_at.get_or_insert(now);
        self.refill(now);
        let is_starting = self.is_settling(now);
        for key in self.by_customer.values() {
            if let Some(customer) = self.customers.get_mut(*key) {
                let is_limited = rules.contains_key(&customer.customer);
                customer.bucket = customer.bucket.take().filter(|_| is_limited);
            }
        }
        for (customer, rule) in rules {
            match &mut self.entry(*customer).bucket {
                Some(bucket) if bucket.rule == *rule => {}
                Some(bucket) => bucket.change_rule(now, *rule, tolerance),
                none if is_starting => *none = Some(QuotaBucket::at_start(now, *rule, tolerance)),
                none => *none = Some(QuotaBucket::full(now, *rule, tolerance)),
            }
        }
    }

    /// Returns the units of a request that states so many tokens, or none.
    #[must_use]
    pub fn units(&self, customer: CustomerHash, tokens: Option<u64>) -> f64 {
        let bucket = self.find(customer).and_then(|found| found.bucket.as_ref());
        let units = bucket.map_or_else(|| tokens.unwrap_or(1), |bucket| bucket.rule.units(tokens));
        to_f64(units)
    }

    /// Counts a request that a customer asks for.
    pub fn record_asked(
        &mut self,
        now: Moment,
        customer: CustomerHash,
        units: f64,
        is_urgent: bool,
    ) {
        self.entry(customer).record_asked(now, units, is_urgent);
    }

    /// Decides whether a request is within its customer's quota.
    pub fn step(
        &mut self,
        now: Moment,
        customer: CustomerHash,
        units: f64,
        is_urgent: bool,
    ) -> QuotaStep {
        let (share, horizon) = (self.roster.share_in_touch(), self.roster.horizon());
        let start_share = self.start_share(now);
        let customer = self.entry(customer);
        let (own, all) = (customer.own_asked_per_s(now), customer.asked_per_s(now));
        let urgent_share = customer.urgent_share(now);
        let part = if all > 0.0 { own / all } else { 1.0 };
        customer.refill(now, share);
        let Some(bucket) = &mut customer.bucket else {
            return QuotaStep::Use;
        };
        let question = QuotaQuestion {
            units,
            is_urgent,
            share: start_share.map_or(part, |most| part.min(most)),
            asked_per_s: all,
            asked_elsewhere_per_s: all - own,
            urgent_share,
            is_settling: start_share.is_some(),
        };
        bucket.step(now, question, horizon)
    }

    /// Counts a request that is sent to an upstream.
    pub fn record_sent(&mut self, now: Moment, customer: CustomerHash, units: f64) {
        let share = self.roster.share_in_touch();
        let customer = self.entry(customer);
        customer.record_used(now, units);
        customer.refill(now, share);
        if let Some(bucket) = &mut customer.bucket {
            bucket.draw(now, units);
        }
    }

    /// Takes back a request that has not run.
    pub fn record_not_run(&mut self, now: Moment, customer: CustomerHash, units: f64) {
        let customer = self.entry(customer);
        customer.record_used(now, -units);
        if let Some(bucket) = &mut customer.bucket {
            bucket.give_back(now, units);
        }
    }

    /// Applies what a source reported at `built_at`.
    pub fn apply(
        &mut self,
        now: Moment,
        source: UseSource,
        built_at: Moment,
        reports: &[UseReport],
    ) {
        let share = self.roster.share_in_touch();
        let is_settling = self.is_settling(now);
        for report in reports {
            let customer = self.entry(report.customer);
            let used = customer.apply(now, source, built_at, *report);
            customer.refill(now, share);
            let Some(bucket) = &mut customer.bucket else {
                continue;
            };
            // What was used before the start is part of the level that others know.
            if is_settling {
                bucket.adopt(report.level);
            } else {
                bucket.record_use_elsewhere(used);
            }
        }
    }

    /// Takes note of the instances that were heard of, each with the time.
    pub fn record_fleet(&mut self, now: Moment, heard: impl Iterator<Item = (u64, Moment)>) {
        let before = self.roster.share_in_touch();
        self.refill(now);
        self.roster.record(now, heard);
        let after = self.roster.share_in_touch();
        let silence = self.roster.silence().as_secs_f64();
        for key in self.by_customer.values() {
            let bucket = self
                .customers
                .get_mut(*key)
                .and_then(|found| found.bucket.as_mut());
            if let Some(bucket) = bucket.filter(|_| after < before) {
                // The silent instances have used their part since they were last heard of.
                bucket.record_use_elsewhere(bucket.per_s() * (before - after) * silence);
                bucket.keep_share(after / before);
            }
        }
        self.remove_idle(now);
    }

    /// Returns what this instance has to report to others of its data centre.
    #[must_use]
    pub fn own_reports(&self, now: Moment) -> Vec<UseReport> {
        self.reports(now, CustomerUse::own_use)
    }

    /// Returns what all instances of this data centre have used, for those of others.
    #[must_use]
    pub fn data_centre_reports(&self, now: Moment) -> Vec<UseReport> {
        self.reports(now, CustomerUse::data_centre_use)
    }

    /// Returns what an instance of another data centre has reported for it, with the time.
    #[must_use]
    pub fn known_reports(
        &self,
        now: Moment,
        site: DataCentreId,
    ) -> Option<(Moment, Vec<UseReport>)> {
        let source = UseSource::DataCentre(site);
        let customers = self.customers.iter();
        let known = customers.filter_map(|(_, customer)| customer.report_of(source));
        let known: Vec<_> = known.collect();
        let newest = known.iter().map(|(built_at, _)| *built_at).max()?;
        if now.since(newest) >= FORWARD_AGE {
            return None;
        }
        let reports = known
            .into_iter()
            .filter(|(built_at, _)| *built_at == newest);
        Some((newest, reports.map(|(_, report)| report).collect()))
    }

    fn reports(&self, now: Moment, sum: fn(&CustomerUse, Moment) -> (f64, f64)) -> Vec<UseReport> {
        let instances = self.roster.instances();
        let reports = self.iter().filter_map(|(hash, customer)| {
            let (used, asked_per_s) = sum(customer, now);
            let bucket = customer.bucket.as_ref()?;
            let least = bucket.per_s() * USE_DECAY.as_secs_f64() * UNREPORTED_SHARE / instances;
            let level = if self.is_settling(now) {
                0.0
            } else {
                bucket.level().max(0.0)
            };
            (used >= least || asked_per_s * USE_DECAY.as_secs_f64() >= least).then_some(UseReport {
                customer: hash,
                used,
                asked_per_s,
                level,
            })
        });
        reports.collect()
    }

    fn refill(&mut self, now: Moment) {
        let share = self.roster.share_in_touch();
        for key in self.by_customer.values() {
            if let Some(customer) = self.customers.get_mut(*key) {
                customer.refill(now, share);
            }
        }
    }

    /// Returns the largest part of a quota that this instance may draw while it may not have heard of
    /// all others; `None` once it has.
    fn start_share(&self, now: Moment) -> Option<f64> {
        if !self.is_settling(now) {
            return None;
        }
        let configured_at = self.configured_at.unwrap_or(now);
        let least = if now.since(configured_at) < MEETING_TIME {
            UNMET_INSTANCES
        } else {
            1.0
        };
        Some(1.0 / self.roster.instances().max(least))
    }

    fn remove_idle(&mut self, now: Moment) {
        let customers = &mut self.customers;
        self.by_customer.retain(|_, key| {
            let Some(customer) = customers.get_mut(*key) else {
                return false;
            };
            if customer.forget_silent(now) {
                customers.remove(*key);
                return false;
            }
            true
        });
    }

    /// Reports whether this instance may not have heard of the others' use yet.
    fn is_settling(&self, now: Moment) -> bool {
        let configured_at = self.configured_at;
        configured_at.is_none_or(|configured_at| now.since(configured_at) < SETTLING_TIME)
    }
}

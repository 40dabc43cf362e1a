//! Use of one customer: what this instance counts and what other instances report.
//!
//! Use is reported as a sum that decays with age. Such a sum says the same however often it is
//! delivered, may be added up over a data centre, and is forgotten when its instance has restarted.

use std::collections::HashMap;
use std::time::Duration;

use super::customer_quota::QuotaBucket;
use super::decayed_sum::{DecayedSum, remaining_share};
use super::route_table::DataCentreId;
use crate::kernel::Moment;

/// Time in which recorded use decays.
pub const USE_DECAY: Duration = Duration::from_secs(4);

/// Time over which the demand of a customer is averaged.
const ASKED_DECAY: Duration = Duration::from_secs(1);

/// Time for which the demand at an instance that has fallen silent is taken to go on.
const ASKED_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which a source that has reported nothing is forgotten; its use has decayed by then.
const SOURCE_LIFETIME: Duration = Duration::from_secs(30);

/// Use below which a customer without a quota is forgotten, in units.
const MIN_USED_UNITS: f64 = 1.0;

/// Hash of a customer's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CustomerHash(pub u64);

/// Instance or data centre that reports what customers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UseSource {
    /// One run of another instance of this data centre, by its random number.
    Instance(u64),
    /// An instance of another data centre, for all in that data centre.
    DataCentre(DataCentreId),
}

/// Use of one customer, as one source reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UseReport {
    /// The customer.
    pub customer: CustomerHash,
    /// Units used, decayed to the time of the report.
    pub used: f64,
    /// Units a second that the customer asks for.
    pub asked_per_s: f64,
    /// What the reporting instance takes to be left of the quota; 0 if it does not know.
    pub level: f64,
}

/// Newest report of one source.
#[derive(Debug, Clone, Copy)]
struct SourceUse {
    used: DecayedSum,
    asked_per_s: f64,
    built_at: Moment,
}

/// Use of one customer.
#[derive(Debug, Clone)]
pub struct CustomerUse {
    /// The customer.
    pub customer: CustomerHash,
    used: DecayedSum,
    asked: DecayedSum,
    asked_urgent: DecayedSum,
    sources: HashMap<UseSource, SourceUse>,
    /// The customer's quota; `None` without one.
    pub bucket: Option<QuotaBucket>,
}

impl CustomerUse {
    /// Creates the use of a customer that has used nothing.
    #[must_use]
    pub fn new(customer: CustomerHash) -> Self {
        Self {
            customer,
            used: DecayedSum::default(),
            asked: DecayedSum::default(),
            asked_urgent: DecayedSum::default(),
            sources: HashMap::new(),
            bucket: None,
        }
    }

    /// Returns what the customer used lately at all instances, in units a second.
    #[must_use]
    pub fn used_per_s(&self, now: Moment) -> f64 {
        let sources = self.sources.values();
        let others: f64 = sources
            .map(|source| source.used.value(now, USE_DECAY))
            .sum();
        (self.used.value(now, USE_DECAY) + others) / USE_DECAY.as_secs_f64()
    }

    /// Returns what the customer asks of this instance, in units a second.
    #[must_use]
    pub fn own_asked_per_s(&self, now: Moment) -> f64 {
        self.asked.value(now, ASKED_DECAY) / ASKED_DECAY.as_secs_f64()
    }

    /// Returns what the customer asks of all instances, in units a second.
    #[must_use]
    pub fn asked_per_s(&self, now: Moment) -> f64 {
        let live = self.sources.values();
        let live = live.filter(|source| now.since(source.built_at) < ASKED_LIFETIME);
        self.own_asked_per_s(now) + live.map(|source| source.asked_per_s).sum::<f64>()
    }

    /// Applies a report and returns the units used since the last one of its source.
    pub fn apply(
        &mut self,
        now: Moment,
        source: UseSource,
        built_at: Moment,
        report: UseReport,
    ) -> f64 {
        let used = DecayedSum::new(built_at, report.used);
        let new = SourceUse {
            used,
            asked_per_s: report.asked_per_s,
            built_at,
        };
        let Some(known) = self.sources.get_mut(&source) else {
            self.sources.insert(source, new);
            return used.value(now, USE_DECAY);
        };
        if built_at <= known.built_at {
            return 0.0;
        }
        let increase = used.value(now, USE_DECAY) - known.used.value(now, USE_DECAY);
        let middle = known.built_at.after(built_at.since(known.built_at) / 2);
        (known.asked_per_s, known.built_at) = (new.asked_per_s, built_at);
        // Instances that report for a data centre may know less than the last one did.
        if increase <= 0.0 {
            return 0.0;
        }
        known.used = used;
        increase / remaining_share(now.since(middle), USE_DECAY)
    }

    /// Returns what the instances of this data centre have used, as a sum that decays.
    #[must_use]
    pub fn data_centre_use(&self, now: Moment) -> (f64, f64) {
        let sources = self.sources.iter();
        let local = sources.filter(|(source, _)| matches!(source, UseSource::Instance(_)));
        local.fold(self.own_use(now), |(used, asked), (_, source)| {
            let more = if now.since(source.built_at) < ASKED_LIFETIME {
                source.asked_per_s
            } else {
                0.0
            };
            (used + source.used.value(now, USE_DECAY), asked + more)
        })
    }

    /// Returns what this instance has used, as a sum that decays, and what it is asked for in units a
    /// second.
    #[must_use]
    pub fn own_use(&self, now: Moment) -> (f64, f64) {
        (self.used.value(now, USE_DECAY), self.own_asked_per_s(now))
    }

    /// Refills the quota's bucket, of which the instances in touch with this one have this share.
    pub fn refill(&mut self, now: Moment, share: f64) {
        let asked_per_s = self.asked_per_s(now);
        match &mut self.bucket {
            Some(bucket) if share < 1.0 => bucket.refill(now, share),
            Some(bucket) => bucket.refill_whole(now, asked_per_s),
            None => {}
        }
    }

    /// Counts a request that the customer asks for.
    pub fn record_asked(&mut self, now: Moment, units: f64, is_urgent: bool) {
        self.asked.add(now, ASKED_DECAY, units);
        if is_urgent {
            self.asked_urgent.add(now, ASKED_DECAY, units);
        }
    }

    /// Returns the share of the units asked of this instance that is for urgent requests.
    #[must_use]
    pub fn urgent_share(&self, now: Moment) -> f64 {
        let asked = self.asked.value(now, ASKED_DECAY);
        if asked <= 0.0 {
            return 1.0;
        }
        self.asked_urgent.value(now, ASKED_DECAY) / asked
    }

    /// Counts units that are used, or negative ones that were not.
    pub fn record_used(&mut self, now: Moment, units: f64) {
        self.used.add(now, USE_DECAY, units);
    }

    /// Returns the newest report of a source and its time.
    #[must_use]
    pub fn report_of(&self, source: UseSource) -> Option<(Moment, UseReport)> {
        let known = self.sources.get(&source)?;
        let report = UseReport {
            customer: self.customer,
            used: known.used.value(known.built_at, USE_DECAY),
            asked_per_s: known.asked_per_s,
            level: 0.0,
        };
        Some((known.built_at, report))
    }

    /// Forgets sources that report no more, and tells whether nothing is left to keep.
    pub fn forget_silent(&mut self, now: Moment) -> bool {
        self.sources
            .retain(|_, source| now.since(source.built_at) < SOURCE_LIFETIME);
        self.sources.is_empty()
            && self.bucket.is_none()
            && self.used.value(now, USE_DECAY) < MIN_USED_UNITS
    }
}

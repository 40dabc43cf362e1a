//! Limit on what one customer uses at all instances together, and the part of it that one instance
//! may draw.
//!
//! Each instance keeps an estimate of the customer's one token bucket: it refills at the configured
//! rate, and what this instance draws and what others report is taken from it. While more is left than
//! the others may draw without having reported it, requests pass. Then what an instance draws between two
//! reports is bounded by its share of the demand, so that all together do not draw more than there is. Answers
//! the load of a customer that asks for many times its limit at many instances at once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::kernel::Moment;

/// Share of the tolerated overage that the bucket adds to rate and burst; the rest covers what
/// instances draw between two reports.
const OVERAGE_USE: f64 = 0.35;

/// Share of the tolerated overage that the rate adds while the customer asks for little more than its
/// limit and all instances receive each other's reports, so that little is unreported.
const CALM_OVERAGE_USE: f64 = 0.9;

/// Demand up to which that holds, in units of the limit.
const CALM_DEMAND: f64 = 1.5;

/// Share of the tolerated slack that the bucket adds to the burst.
const SLACK_USE: f64 = 0.7;

/// Divisor of the tolerance that gives what an instance may draw before it has received the first reports.
const START_DIVISOR: f64 = 256.0;

/// Share of the horizon after which most of what other instances draw is known.
const USUAL_LAG: f64 = 0.5;

/// Share of the burst that routine requests leave to urgent ones while the customer asks for more than
/// its limit.
const URGENT_RESERVE: f64 = 0.25;

/// Shortest `Retry-After` time of a request over the limit.
const MIN_RETURN_TIME: Duration = Duration::from_millis(100);

/// Longest `Retry-After` time of a request over the limit.
const MAX_RETURN_TIME: Duration = Duration::from_secs(30);

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and the most tokens of its answer.
    Tokens {
        /// Tokens of a request that states none.
        plain: u64,
    },
}

/// Limit of a customer, as configured by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRule {
    /// What the limit counts.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_s: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
}

impl QuotaRule {
    /// Returns the units of a request that states so many tokens, or none.
    #[must_use]
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// How far the use of all instances together may exceed a quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Share of the quota, in units of 1.
    pub overage: f64,
    /// Units beyond that share.
    pub slack: u64,
}

/// Request that is to use a quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaQuestion {
    /// Units of the request.
    pub units: f64,
    /// Whether the request has the higher rank.
    pub is_urgent: bool,
    /// Share of the customer's demand that this instance gets, from 0 to 1.
    pub share: f64,
    /// Units a second that the customer asks of all instances.
    pub asked_per_s: f64,
    /// Units a second that the customer asks of other instances.
    pub asked_elsewhere_per_s: f64,
    /// Share of the units asked that is for urgent requests, from 0 to 1.
    pub urgent_share: f64,
    /// Whether this instance may lack the first reports of the others.
    pub is_settling: bool,
}

/// Whether a request may use a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStep {
    /// The request may run.
    Use,
    /// The request is over the limit; a request like it would pass at this time.
    Refuse(Moment),
}

/// One instance's estimate of a customer's token bucket.
#[derive(Debug, Clone)]
pub struct QuotaBucket {
    /// Limit in force.
    pub rule: QuotaRule,
    /// Refill of all instances together, in units a second.
    per_s: f64,
    /// Further refill in calm, in units a second.
    calm_per_s: f64,
    /// Largest level.
    burst: f64,
    /// Units that may still be used; negative after more was used than there was.
    level: f64,
    /// Time up to which the level is refilled.
    refilled_at: Moment,
    /// Units that this instance may draw although the others may draw as well unheard; negative after
    /// a request was larger.
    credit: f64,
    /// Time up to which the credit has accrued.
    accrued_at: Moment,
    /// What this instance drew within the horizon, oldest first; older draws go with the next request.
    draws: VecDeque<(Moment, f64)>,
}

impl QuotaBucket {
    /// Creates the bucket of a customer whose limit was just configured.
    #[must_use]
    pub fn full(now: Moment, rule: QuotaRule, tolerance: QuotaTolerance) -> Self {
        let extra = tolerance.overage * OVERAGE_USE;
        let slack = to_f64(tolerance.slack) * SLACK_USE;
        let burst = to_f64(rule.burst) * (1.0 + extra) + slack;
        Self {
            rule,
            per_s: to_f64(rule.per_s) * (1.0 + extra),
            calm_per_s: to_f64(rule.per_s) * tolerance.overage * (CALM_OVERAGE_USE - OVERAGE_USE),
            burst,
            level: burst,
            refilled_at: now,
            credit: 0.0,
            accrued_at: now,
            draws: VecDeque::new(),
        }
    }

    /// Creates the bucket of an instance that has just started: others may have used up the quota.
    #[must_use]
    pub fn at_start(now: Moment, rule: QuotaRule, tolerance: QuotaTolerance) -> Self {
        let mut bucket = Self::full(now, rule, tolerance);
        let spare = to_f64(rule.burst) * tolerance.overage + to_f64(tolerance.slack);
        bucket.level = spare / START_DIVISOR;
        bucket
    }

    /// Replaces the limit; what has been used counts on.
    pub fn change_rule(&mut self, now: Moment, rule: QuotaRule, tolerance: QuotaTolerance) {
        let used = self.burst - self.level;
        let new = Self::full(now, rule, tolerance);
        self.level = (new.burst - used).max(0.0).min(new.burst);
        (self.rule, self.burst) = (new.rule, new.burst);
        (self.per_s, self.calm_per_s) = (new.per_s, new.calm_per_s);
    }

    /// Returns the units that may still be used.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the refill of all instances together, in units a second.
    #[must_use]
    pub const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Refills the bucket up to `now` by this share of the rate.
    pub fn refill(&mut self, now: Moment, share: f64) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        self.level = (self.level + self.per_s * share * passed).min(self.burst);
    }

    /// Refills the bucket up to `now` while all instances receive each other's reports and the customer
    /// asks for so many units a second.
    pub fn refill_whole(&mut self, now: Moment, asked_per_s: f64) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refill(now, 1.0);
        if asked_per_s <= to_f64(self.rule.per_s) * CALM_DEMAND {
            self.level = (self.level + self.calm_per_s * passed).min(self.burst);
        }
    }

    /// Leaves only a share of the level, when the others may use the rest unheard.
    pub fn keep_share(&mut self, share: f64) {
        if self.level > 0.0 {
            self.level *= share;
        }
    }

    /// Takes over the level that another instance knows, if it is higher.
    pub const fn adopt(&mut self, level: f64) {
        self.level = self.level.max(level).min(self.burst);
    }

    /// Takes what other instances have used.
    pub fn record_use_elsewhere(&mut self, units: f64) {
        self.level -= units;
    }

    /// Decides whether a request may run; [`Self::draw`] then takes its units.
    pub fn step(&mut self, now: Moment, question: QuotaQuestion, horizon: Duration) -> QuotaStep {
        // A few long requests of a small customer are no excess: a full bucket takes them.
        let is_over = question.asked_per_s > self.per_s + self.burst;
        let reserve = if is_over && !question.is_urgent {
            self.burst * URGENT_RESERVE
        } else {
            0.0
        };
        // A request larger than the bucket runs when the bucket is full, and is paid back afterwards.
        let units = question.units.min(self.burst - reserve);
        let spare = self.level - reserve;
        self.accrue_credit(now, question.share);
        self.forget_draws(now, horizon);
        if spare < units {
            return self.refuse(now, units - spare, question);
        }
        let unheard = unheard_units(question, horizon, is_over);
        if spare >= units + unheard && !question.is_settling {
            self.credit = self.credit.max(units);
            return QuotaStep::Use;
        }
        let drawn = self.drawn();
        if drawn + units <= question.share * (spare + drawn) {
            return QuotaStep::Use;
        }
        // A request that is larger than this instance's part overdraws its credit, which is paid back
        // before the next one.
        if self.credit > 0.0 {
            return QuotaStep::Use;
        }
        self.refuse(now, -self.credit, question)
    }

    /// Forgets draws that the others have heard of.
    fn forget_draws(&mut self, now: Moment, horizon: Duration) {
        while let Some((at, _)) = self.draws.front() {
            if now.since(*at) < horizon {
                break;
            }
            self.draws.pop_front();
        }
    }

    /// Returns what this instance drew that the others may not have heard of.
    fn drawn(&self) -> f64 {
        let drawn: f64 = self.draws.iter().map(|(_, units)| units).sum();
        drawn.max(0.0)
    }

    /// Adds this instance's share of the refill to what it may draw unheard, up to its share of what
    /// is left.
    fn accrue_credit(&mut self, now: Moment, share: f64) {
        let passed = now.since(self.accrued_at).as_secs_f64();
        self.accrued_at = now.max(self.accrued_at);
        let credit = self.credit + self.per_s * share * passed;
        self.credit = credit.min((self.level * share).max(0.0));
    }

    /// Takes the units of a request that is sent to an upstream.
    pub fn draw(&mut self, now: Moment, units: f64) {
        self.level -= units;
        self.credit -= units;
        self.draws.push_back((now, units));
    }

    /// Gives back the units of a request that has not run.
    pub fn give_back(&mut self, now: Moment, units: f64) {
        self.level = (self.level + units).min(self.burst);
        self.credit += units;
        self.draws.push_back((now, -units));
    }

    fn refuse(&self, now: Moment, missing: f64, question: QuotaQuestion) -> QuotaStep {
        // What is refused now comes back, so the caller is sent behind the excess of a second.
        let excess = (question.asked_per_s - self.per_s).max(0.0);
        let wait = Duration::try_from_secs_f64((missing + excess) / self.per_s.max(1.0));
        let wait = wait.unwrap_or(MAX_RETURN_TIME);
        QuotaStep::Refuse(now.after(wait.clamp(MIN_RETURN_TIME, MAX_RETURN_TIME)))
    }
}

/// Returns what other instances may draw before this one hears of it. While the customer is over its
/// limit, routine requests leave the reserve to urgent ones, which therefore only compete among
/// themselves for it.
fn unheard_units(question: QuotaQuestion, horizon: Duration, is_over: bool) -> f64 {
    let asked = question.asked_elsewhere_per_s * horizon.as_secs_f64() * USUAL_LAG;
    if is_over && question.is_urgent {
        asked * question.urgent_share
    } else {
        asked
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "quotas and their units are far below 2^52"
)]
pub(super) const fn to_f64(units: u64) -> f64 {
    units as f64
}

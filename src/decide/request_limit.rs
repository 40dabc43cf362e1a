//! Limit on the requests that an upstream takes from all instances together, and the share of it
//! that one instance may use.

use std::time::Duration;

use crate::kernel::Moment;

/// Lowest rate that one instance gets, in requests a second: a limit below it is used by one
/// instance, and a limit is divided among as many as get this much.
const MIN_SHARE_PER_S: f64 = 1.0;

/// Rate of a limit of zero, in requests a second, by which its end is learned.
const TRIAL_RATE_PER_S: f64 = 0.1;

/// Time without a response of the upstream after which each instance tries it, in case those with a
/// share have no requests for it.
const SILENCE_TIME: Duration = Duration::from_secs(10);

/// Time after which an instance without a share looks again whether it has one.
const SHARE_RETRY: Duration = Duration::from_secs(2);

/// Rate of requests, in thousandths of a request a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitRate(pub u64);

impl LimitRate {
    /// Returns the rate of so many requests a second, which is finite and not negative.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped first"
    )]
    pub fn per_second(rate: f64) -> Self {
        Self((rate.clamp(0.0, 1e9) * 1_000.0) as u64)
    }

    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    fn usable_per_s(self) -> f64 {
        (self.0 as f64 / 1_000.0).max(TRIAL_RATE_PER_S)
    }
}

/// What the newest response of an upstream says of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The response does not tell.
    #[default]
    Unstated,
    /// The upstream has no limit.
    Unlimited,
    /// The upstream takes this rate from all instances together.
    Limited(LimitRate),
}

/// Instances that may use a limit, as one of them sees it.
#[derive(Debug, Clone, Copy)]
pub struct LimitUsers<'a> {
    /// Hash of the name of this instance.
    pub own: u64,
    /// Hashes of the names of the instances that are to share the limit, this one included if it is
    /// one of them.
    pub candidates: &'a [u64],
    /// Number of all instances that were known lately.
    pub fleet_size: usize,
    /// Whether this instance may know only some of the others, so that their choice of those that
    /// use the limit may differ.
    pub is_uncertain: bool,
}

/// Limit of one run of an upstream, and the use that this instance makes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimit {
    /// Rate that the upstream takes; `None` without a limit.
    pub rate: Option<LimitRate>,
    /// Time of the newest response, to any instance, that the rate rests on.
    pub said_at: Moment,
    /// Time between two requests of this instance; `None` if it has no share.
    interval: Option<Duration>,
    /// Time from which the next request may be sent.
    next_send: Moment,
}

impl Default for RequestLimit {
    fn default() -> Self {
        Self {
            rate: None,
            said_at: Moment::START,
            interval: None,
            next_send: Moment::START,
        }
    }
}

impl RequestLimit {
    /// Applies what a response said at `said_at`; returns whether the limit has changed.
    pub fn apply(&mut self, said_at: Moment, notice: LimitNotice) -> bool {
        let rate = match notice {
            LimitNotice::Unstated => return false,
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(rate) => Some(rate),
        };
        if said_at < self.said_at {
            return false;
        }
        self.said_at = said_at;
        let has_changed = self.rate != rate;
        self.rate = rate;
        has_changed
    }

    /// Divides the limit anew among the instances that use it.
    pub fn divide(&mut self, now: Moment, upstream: u64, users: LimitUsers<'_>) {
        let before = self.interval;
        let per_s = self.rate.and_then(|rate| {
            let rate = rate.usable_per_s();
            let is_silent = now.since(self.said_at) >= SILENCE_TIME;
            share_per_s(rate, upstream, users, is_silent)
        });
        self.interval = per_s.map(|per_s| Duration::from_secs_f64(1.0 / per_s));
        // The first request waits for its turn as well, or all instances would send one at once.
        if let (None, Some(interval)) = (before, self.interval) {
            self.next_send = self.next_send.max(now.after(interval));
        }
    }

    /// Gives the whole limit to this instance.
    pub fn use_alone(&mut self, now: Moment) {
        let users = LimitUsers {
            own: 0,
            candidates: &[0],
            fleet_size: 1,
            is_uncertain: false,
        };
        self.divide(now, 0, users);
    }

    /// Returns when this instance may send the next request, or `None` if it may now.
    #[must_use]
    pub fn closed_until(&self, now: Moment) -> Option<Moment> {
        self.rate?;
        if self.interval.is_none() {
            return Some(now.after(SHARE_RETRY));
        }
        (!self.next_send.is_due(now)).then_some(self.next_send)
    }

    /// Returns how many requests a second this instance may send; `None` without a limit.
    #[must_use]
    pub fn own_per_s(&self) -> Option<f64> {
        self.rate?;
        Some(
            self.interval
                .map_or(0.0, |interval| 1.0 / interval.as_secs_f64()),
        )
    }

    /// Records that a request is sent to the upstream.
    pub fn record_sent(&mut self, now: Moment) {
        if let Some(interval) = self.interval {
            self.next_send = self.next_send.max(now).after(interval);
        }
    }
}

/// Returns the share of one instance, in requests a second; `None` if it has none.
fn share_per_s(rate: f64, upstream: u64, users: LimitUsers<'_>, is_silent: bool) -> Option<f64> {
    let all = to_f64(users.fleet_size.max(1));
    // Whoever cannot tell what the others do takes no more than if all of them did the same.
    if users.is_uncertain || is_silent {
        return Some(rate / all);
    }
    let mut ranked: Vec<u64> = users.candidates.to_vec();
    ranked.sort_by_cached_key(|id| rendezvous_weight(*id, upstream));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped first"
    )]
    let count = (rate / MIN_SHARE_PER_S).clamp(1.0, 1e6) as usize;
    let count = count.min(ranked.len());
    let has_share = ranked[..count].contains(&users.own);
    has_share.then(|| rate / to_f64(count))
}

/// Returns the weight by which instances are ranked for an upstream; both are hashes already.
pub(super) const fn rendezvous_weight(instance: u64, upstream: u64) -> u64 {
    (instance ^ upstream.rotate_left(32))
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
        .wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of instances are far below 2^52"
)]
const fn to_f64(count: usize) -> f64 {
    count as f64
}

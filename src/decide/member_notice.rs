//! What an upstream has said of itself in its responses: that it leaves, for how long it wants no
//! requests, and how many it takes from all instances.

use std::time::Duration;

use super::request_limit::{LimitNotice, RequestLimit};
use crate::kernel::Moment;

/// Number of requests that an upstream gets at first after the time for which it wanted none.
const FIRST_REQUESTS: u32 = 1;

/// What one response says of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether the upstream leaves.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this instance.
    pub pause: Option<Duration>,
    /// Limit on the requests from all instances.
    pub limit: LimitNotice,
}

impl UpstreamNotice {
    /// Returns the notice of a response by which the end of a limit is not learned.
    #[must_use]
    pub fn without_limit_end(self) -> Self {
        let limit = match self.limit {
            LimitNotice::Unlimited => LimitNotice::Unstated,
            limit => limit,
        };
        Self { limit, ..self }
    }

    /// Returns whether the response says nothing of its upstream.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// What the responses of one run of an upstream have said so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberNotice {
    /// Time of the response by which the upstream said that it leaves.
    pub left_at: Option<Moment>,
    /// Time until which the upstream wants no requests.
    pub paused_until: Moment,
    /// Number of requests that the upstream may get before one is answered; `None` without a recent
    /// pause.
    allowance: Option<u32>,
    /// Limit on the requests from all instances.
    pub limit: RequestLimit,
}

impl Default for MemberNotice {
    fn default() -> Self {
        Self {
            left_at: None,
            paused_until: Moment::START,
            allowance: None,
            limit: RequestLimit::default(),
        }
    }
}

impl MemberNotice {
    /// Applies what a response says.
    pub fn apply(&mut self, now: Moment, notice: UpstreamNotice) {
        if notice.is_leaving {
            self.left_at = self.left_at.or(Some(now));
        }
        if let Some(pause) = notice.pause {
            self.paused_until = self.paused_until.max(now.after(pause));
            self.allowance = Some(FIRST_REQUESTS);
        }
        self.limit.apply(now, notice.limit);
    }

    /// Returns whether the upstream may get a request now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        self.left_at.is_none()
            && self.paused_until.is_due(now)
            && self.allowance != Some(0)
            && self.limit.closed_until(now).is_none()
    }

    /// Returns when the upstream may get the next request, by its pause and its limit, or `None` if
    /// it may now.
    #[must_use]
    pub fn closed_until(&self, now: Moment) -> Option<Moment> {
        self.pause_end(now).max(self.limit.closed_until(now))
    }

    /// Returns the time until which the upstream wants no requests, or `None` if it wants some.
    #[must_use]
    pub fn pause_end(&self, now: Moment) -> Option<Moment> {
        (!self.paused_until.is_due(now)).then_some(self.paused_until)
    }

    /// Returns the notice for an upstream whose requests are no longer followed, so that none of them
    /// is waited for.
    #[must_use]
    pub fn without_requests(self) -> Self {
        Self {
            allowance: self.allowance.map(|_| FIRST_REQUESTS),
            ..self
        }
    }

    /// Records that a request is sent to the upstream.
    pub fn record_sent(&mut self, now: Moment) {
        self.limit.record_sent(now);
        if let Some(allowance) = &mut self.allowance {
            *allowance = allowance.saturating_sub(1);
        }
    }

    /// Records that the upstream has begun to answer a request, which allows two more.
    pub fn record_answer(&mut self, now: Moment, slots: u32) {
        self.allow(now, 2, slots);
    }

    /// Records the end of a request without an answer, which allows one in its place.
    pub fn record_failure(&mut self, now: Moment, slots: u32) {
        self.allow(now, 1, slots);
    }

    /// Allows further requests, until as many as the slots of the upstream are allowed. During the
    /// pause nothing counts, because the request was sent before it.
    fn allow(&mut self, now: Moment, count: u32, slots: u32) {
        let Some(allowance) = self.allowance else {
            return;
        };
        if !self.paused_until.is_due(now) {
            return;
        }
        let allowance = allowance + count;
        self.allowance = (allowance < slots).then_some(allowance);
    }
}

//! How fast an upstream takes work while requests wait.

use crate::kernel::Moment;

/// Work and time that are assumed before anything was observed, in microseconds.
const PRIOR_US: u64 = 1_000_000;

/// One part in this many is forgotten with each start.
const FORGETTING: u64 = 32;

/// Time that the upstream needs for a unit of estimated cost.
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    elapsed_us: u64,
    cost_us: u64,
    /// The last start after which requests still waited, and its cost.
    last: Option<(Moment, u64)>,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            elapsed_us: PRIOR_US,
            cost_us: PRIOR_US,
            last: None,
        }
    }
}

impl DrainRate {
    /// Records the start of a request, and whether the queue is empty after it.
    pub fn started(&mut self, now: Moment, cost_us: u64, queue_empty: bool) {
        if let Some((since, started_us)) = self.last {
            let elapsed_us = now.as_micros().saturating_sub(since.as_micros());
            self.elapsed_us = self.elapsed_us - self.elapsed_us / FORGETTING + elapsed_us;
            self.cost_us = self.cost_us - self.cost_us / FORGETTING + started_us;
        }
        self.last = (!queue_empty).then_some((now, cost_us));
    }

    /// Converts an estimated cost into time, in microseconds.
    #[must_use]
    pub const fn time_us(&self, cost_us: u64) -> u64 {
        let cost_us = cost_us as u128;
        let time_us = cost_us * self.elapsed_us as u128 / (self.cost_us as u128 + 1);
        if time_us > u64::MAX as u128 {
            return u64::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "checked against the range above"
        )]
        {
            time_us as u64
        }
    }
}

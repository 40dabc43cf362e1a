//! Estimate of an upstream's speed, observed while requests wait.

use crate::kernel::Moment;

/// Initial cost and time of the estimate, before any observation, in microseconds.
const PRIOR_US: u64 = 1_000_000;

/// Each start decays the earlier observations by one part in this many.
const DECAY_DIVISOR: u64 = 32;

/// Average time that the upstream needs for a unit of estimated cost, with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct ProcessingRate {
    elapsed_us: u64,
    cost_us: u64,
    /// Time and cost of the last start, if requests still waited after it.
    last: Option<(Moment, u64)>,
}

impl Default for ProcessingRate {
    fn default() -> Self {
        Self {
            elapsed_us: PRIOR_US,
            cost_us: PRIOR_US,
            last: None,
        }
    }
}

impl ProcessingRate {
    /// Records the start of a request and whether the queue is empty after it.
    pub fn record_start(&mut self, now: Moment, cost_us: u64, queue_empty: bool) {
        if let Some((since, started_us)) = self.last {
            let elapsed_us = now.as_micros().saturating_sub(since.as_micros());
            self.elapsed_us = self.elapsed_us - self.elapsed_us / DECAY_DIVISOR + elapsed_us;
            self.cost_us = self.cost_us - self.cost_us / DECAY_DIVISOR + started_us;
        }
        self.last = (!queue_empty).then_some((now, cost_us));
    }

    /// Converts an estimated cost into the expected time, in microseconds.
    #[must_use]
    pub const fn time_us(&self, cost_us: u64) -> u64 {
        let cost_us = cost_us as u128;
        let time_us = cost_us * self.elapsed_us as u128 / (self.cost_us as u128 + 1);
        if time_us > u64::MAX as u128 {
            return u64::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the range is checked above"
        )]
        {
            time_us as u64
        }
    }
}

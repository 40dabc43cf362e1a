//! Sum whose parts lose weight exponentially with age.

use std::time::Duration;

use crate::kernel::Moment;

/// Amount that was recorded up to a time, decayed to that time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayedSum {
    amount: f64,
    at: Moment,
}

impl DecayedSum {
    /// Creates a sum that has this value at `at`.
    #[must_use]
    pub const fn new(at: Moment, amount: f64) -> Self {
        Self { amount, at }
    }

    /// Returns the value at `now`.
    #[must_use]
    pub fn value(self, now: Moment, time_constant: Duration) -> f64 {
        self.amount * remaining_share(now.since(self.at), time_constant)
    }

    /// Adds an amount, which may be negative; the sum stays at zero or above.
    pub fn add(&mut self, now: Moment, time_constant: Duration, amount: f64) {
        let value = self.value(now, time_constant) + amount;
        *self = Self::new(now.max(self.at), value.max(0.0));
    }
}

/// Returns the share of an amount that is left after a time.
#[must_use]
pub fn remaining_share(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

//! Instances that share a budget with this one, and which part of the budget is left to those that are
//! in touch with it.

use std::collections::HashMap;
use std::time::Duration;

use crate::kernel::Moment;

/// Time for which the part of an instance that has fallen silent is kept for it: it may be cut off and
/// go on. One that says that it leaves, or comes back, is not silent.
const RESERVED_TIME: Duration = Duration::from_mins(5);

/// Least time after which a use by one instance is known to all others.
const MIN_HORIZON: Duration = Duration::from_millis(450);

/// Increase of that time for each instance.
const HORIZON_PER_INSTANCE: Duration = Duration::from_millis(4);

/// Number of horizons without news after which an instance counts as silent.
const SILENT_HORIZONS: u32 = 2;

/// Other instances by the hash of their name, each with the time at which it was last heard of.
#[derive(Debug, Clone, Default)]
pub struct InstanceRoster {
    heard: HashMap<u64, Moment>,
    /// Instances that were heard of lately, this one included.
    in_touch: usize,
}

impl InstanceRoster {
    /// Takes note of the instances that were heard of, each with the time.
    pub fn record(&mut self, now: Moment, heard: impl Iterator<Item = (u64, Moment)>) {
        for (id, at) in heard {
            let known = self.heard.entry(id).or_insert(at);
            *known = at.max(*known);
        }
        self.heard.retain(|_, at| now.since(*at) < RESERVED_TIME);
        let silence = self.silence();
        let live = self.heard.values().filter(|at| now.since(**at) < silence);
        self.in_touch = live.count() + 1;
    }

    /// Removes an instance that has said that it leaves.
    pub fn remove(&mut self, id: u64) {
        if self.heard.remove(&id).is_some() {
            self.in_touch = self.in_touch.saturating_sub(1);
        }
    }

    /// Returns the number of instances, this one included.
    #[must_use]
    pub fn instances(&self) -> f64 {
        to_f64(self.heard.len() + 1)
    }

    /// Returns the part of a budget that belongs to the instances in touch with this one.
    #[must_use]
    pub fn share_in_touch(&self) -> f64 {
        (to_f64(self.in_touch.max(1)) / self.instances()).min(1.0)
    }

    /// Returns the time without news after which an instance counts as silent.
    #[must_use]
    pub fn silence(&self) -> Duration {
        self.horizon() * SILENT_HORIZONS
    }

    /// Returns the time after which a use by one instance is known to all others.
    #[must_use]
    pub fn horizon(&self) -> Duration {
        let instances = u32::try_from(self.heard.len()).unwrap_or(u32::MAX);
        MIN_HORIZON + HORIZON_PER_INSTANCE.saturating_mul(instances)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of instances are far below 2^52"
)]
const fn to_f64(count: usize) -> f64 {
    count as f64
}

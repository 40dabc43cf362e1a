//! Plans that a process has seen in one era of the configuration stream, to tell whether the stream of
//! another era has newer ones.

use std::collections::{BTreeMap, HashSet};

use super::config_change::PlanId;
use super::ids::LogOffset;

/// Maximum number of plans that are kept; an older one counts as never seen.
const MAX_PLANS: usize = 16_384;

/// Plans of one era by their offsets.
#[derive(Debug, Default, Clone)]
pub struct PlanTrail {
    plans: BTreeMap<LogOffset, PlanId>,
}

impl PlanTrail {
    /// Adds the plan at an offset.
    pub fn add(&mut self, offset: LogOffset, plan: PlanId) {
        self.plans.insert(offset, plan);
        if self.plans.len() > MAX_PLANS {
            self.plans.pop_first();
        }
    }

    /// Returns whether there are plans from an offset on that another trail lacks.
    #[must_use]
    pub fn has_more_than(&self, other: &Self, from: LogOffset) -> bool {
        let known: HashSet<PlanId> = other.plans.values().copied().collect();
        let mut recent = self.plans.range(from..);
        recent.any(|(_, plan)| !known.contains(plan))
    }
}

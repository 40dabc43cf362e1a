//! Progress of an order to load weights, as the reports of its upstream show it.

use std::time::Duration;

/// Age that a report may have; reports lag behind by some hundred milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// State that an upstream reports of its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedWeights {
    /// Version of the model's weights; `None` if the upstream does not serve the model.
    pub version: Option<u64>,
    /// Whether the upstream carries out an order.
    pub is_busy: bool,
    /// Number of orders that the upstream has accepted.
    pub accepted_orders: u64,
}

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderProgress {
    /// The upstream runs the version or a newer one.
    Loaded,
    /// The upstream carries out this order or another one.
    Loading,
    /// The upstream runs an older version and carries out no order.
    Idle,
}

impl ReportedWeights {
    /// Returns the progress of an order to load `version`.
    #[must_use]
    pub fn progress(self, version: u64) -> OrderProgress {
        if self.is_busy {
            return OrderProgress::Loading;
        }
        if self.version.is_some_and(|reported| reported >= version) {
            return OrderProgress::Loaded;
        }
        OrderProgress::Idle
    }

    /// Returns the progress of an order to load `version` that was accepted after the report `before`,
    /// `since_accepted` ago.
    ///
    /// A report with the same number of accepted orders may be older than the order. After a
    /// restart the number is zero, so only zero can also mean a restart.
    #[must_use]
    pub fn progress_since(
        self,
        before: Self,
        since_accepted: Duration,
        version: u64,
    ) -> OrderProgress {
        let progress = self.progress(version);
        if progress != OrderProgress::Idle || self.accepted_orders != before.accepted_orders {
            return progress;
        }
        if self.accepted_orders == 0 && since_accepted >= MAX_REPORT_AGE {
            return OrderProgress::Idle;
        }
        OrderProgress::Loading
    }

    /// Reports whether an order without a response was accepted, given the report before it.
    #[must_use]
    pub const fn has_accepted_since(self, before: Self) -> bool {
        self.is_busy || self.accepted_orders != before.accepted_orders
    }
}

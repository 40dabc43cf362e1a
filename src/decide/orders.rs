//! Load orders to an engine, derived anew at each step from its declaration and its latest report.

use super::config::{Upstream, UpstreamKind};
use super::lease::{LeaseStatus, LeaseTable, OwnLease};
use crate::kernel::Moment;

/// State that the engine last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineReport {
    /// The engine serves a version of the weights.
    Serves {
        /// Version of the weights.
        version: String,
        /// Number of running requests.
        running: u32,
    },
    /// The engine does not respond.
    Down,
    /// The engine leaves, or wants no requests for some time.
    Closed,
}

/// State that the next step depends on.
#[derive(Debug, Clone, Copy)]
pub struct OrderView<'a> {
    /// Declaration of the upstream; `None` if it is not declared.
    pub upstream: Option<&'a Upstream>,
    /// Latest report of the engine.
    pub report: &'a EngineReport,
    /// Whether the sidecar currently refuses new requests.
    pub is_closed: bool,
    /// All leases, as read from the log.
    pub leases: &'a LeaseTable,
    /// Lease of this sidecar, if it has asked for one.
    pub own: Option<OwnLease>,
    /// Maximum number of concurrent loads in the fleet.
    pub limit: usize,
}

/// Next step towards the declared version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Do nothing: the engine is as declared or cannot be ordered.
    Rest,
    /// Release the lease, which is no longer needed or has ended.
    Release,
    /// Ask for a lease.
    Acquire,
    /// Read the leases again, at this time at the latest.
    WaitForLease(Moment),
    /// Refuse new requests until the running ones have ended.
    Drain,
    /// Order the engine to load the version.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
        /// Fencing number, which rises with the position of the lease.
        fence: u64,
    },
}

/// Returns the next step towards the declared version.
///
/// No state is kept between steps: an order whose response was lost shows in the report, and one
/// that was undone is given again. The lease is checked right before the order, so a process that
/// was paused beyond the end of its lease gives no order.
#[must_use]
pub fn next_order(now: Moment, view: OrderView<'_>) -> OrderStep {
    let Some(target) = target(view.upstream) else {
        return release(view.own);
    };
    let running = match view.report {
        EngineReport::Down => return OrderStep::Rest,
        // Other engines may use the lease meanwhile.
        EngineReport::Closed => return release(view.own),
        EngineReport::Serves { version, .. } if *version == target.version => {
            return release(view.own);
        }
        EngineReport::Serves { running, .. } => *running,
    };
    let Some(own) = view.own else {
        let lost_until = view.leases.lost_until;
        return if lost_until.is_due(now) {
            OrderStep::Acquire
        } else {
            OrderStep::WaitForLease(lost_until)
        };
    };
    match view.leases.status(now, own, view.limit) {
        LeaseStatus::Ended => OrderStep::Release,
        LeaseStatus::Waiting(until) => OrderStep::WaitForLease(until),
        LeaseStatus::Held if running > 0 || !view.is_closed => OrderStep::Drain,
        LeaseStatus::Held => match own.position.fence() {
            Some(fence) => OrderStep::Load {
                model: target.model.to_owned(),
                version: target.version.to_owned(),
                fence,
            },
            None => OrderStep::Rest,
        },
    }
}

#[derive(Debug, Clone, Copy)]
struct LoadTarget<'a> {
    model: &'a str,
    version: &'a str,
}

fn target(upstream: Option<&Upstream>) -> Option<LoadTarget<'_>> {
    let upstream = upstream.filter(|upstream| !upstream.retired)?;
    match &upstream.kind {
        UpstreamKind::Engine { model, version, .. } => Some(LoadTarget { model, version }),
        UpstreamKind::Plain { .. } => None,
    }
}

const fn release(own: Option<OwnLease>) -> OrderStep {
    match own {
        Some(_) => OrderStep::Release,
        None => OrderStep::Rest,
    }
}

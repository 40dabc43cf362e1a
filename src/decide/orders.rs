//! Orders to an engine, derived again and again from what is declared and what it reports.

use super::config::{Upstream, UpstreamKind};
use super::ids::LogOffset;
use super::lease::{LeaseStatus, LeaseTable, OwnLease};
use crate::kernel::Moment;

/// What the engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineReport {
    /// It serves this version and runs so many requests.
    Serves {
        /// Version of the weights.
        version: String,
        /// Requests that run.
        running: u32,
    },
    /// It cannot be asked.
    Down,
}

/// Everything that the next step depends on.
#[derive(Debug, Clone, Copy)]
pub struct OrderView<'a> {
    /// The declared upstream; `None` while it is not declared.
    pub upstream: Option<&'a Upstream>,
    /// Latest report of the engine.
    pub report: &'a EngineReport,
    /// Whether new work is refused for the time being.
    pub is_closed: bool,
    /// All leases as read so far.
    pub leases: &'a LeaseTable,
    /// The own lease, if one was asked for.
    pub own: Option<OwnLease>,
    /// Loads allowed at the same time.
    pub limit: usize,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// The engine is as declared, or cannot be ordered.
    Rest,
    /// Give the lease back: it is not needed any more or has ended.
    Release(LogOffset),
    /// Ask for a lease.
    Acquire,
    /// Read the leases again, at the latest at the moment.
    WaitForLease(Moment),
    /// Refuse new work until the requests that are here have ended.
    Drain,
    /// Order the engine to load; the fencing number is the offset of the lease.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
        /// Fencing number.
        fence: LogOffset,
    },
}

/// Returns the next step towards the declared version.
///
/// Nothing is remembered between steps: an order whose answer was lost shows in the report, and
/// one that was undone is given again. A lease is checked right before the order, so a process
/// that was paused past the end of its lease orders nothing.
#[must_use]
pub fn next_order(now: Moment, view: OrderView<'_>) -> OrderStep {
    let Some(target) = target(view.upstream) else {
        return release(view.own);
    };
    let running = match view.report {
        EngineReport::Down => return OrderStep::Rest,
        EngineReport::Serves { version, .. } if *version == target.version => {
            return release(view.own);
        }
        EngineReport::Serves { running, .. } => *running,
    };
    let Some(own) = view.own else {
        return OrderStep::Acquire;
    };
    match view.leases.status(now, own, view.limit) {
        LeaseStatus::Ended => OrderStep::Release(own.offset),
        LeaseStatus::Waiting(until) => OrderStep::WaitForLease(until),
        LeaseStatus::Held if running > 0 || !view.is_closed => OrderStep::Drain,
        LeaseStatus::Held => OrderStep::Load {
            model: target.model.to_owned(),
            version: target.version.to_owned(),
            fence: own.offset,
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
        Some(own) => OrderStep::Release(own.offset),
        None => OrderStep::Rest,
    }
}

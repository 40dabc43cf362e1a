//! Check of the list of upstreams against the store, when this instance can serve less than it should.

use std::time::Duration;

use super::state::DispatchState;
use crate::decide::ids::LogPosition;
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::route_table::ServiceId;
use crate::events::{VIEW_REPAIRED, log_event};
use crate::gateway::mail::TopicRecords;
use crate::kernel::Moment;
use crate::platform::upstream_entry::decode_entry;
use crate::wire::peer_rpc::WireTopic;

/// Least time between two checks of one instance.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Longest additional time, so that instances which miss the same do not all call the store at once.
const CHECK_SPREAD: Duration = Duration::from_secs(1);

/// Checks of the list of upstreams.
#[derive(Debug, Default)]
pub(super) struct ViewCheck {
    /// Whether the list is to be read from the store.
    is_wanted: bool,
    /// Time from which the next check may be wanted.
    next_from: Moment,
    /// Whether the store has listed no upstream, since the list became empty.
    is_empty_confirmed: bool,
}

impl ViewCheck {
    /// Returns whether the list is to be read from the store.
    pub(super) const fn is_wanted(&self) -> bool {
        self.is_wanted
    }
}

impl DispatchState {
    /// Wants a check because a request finds no upstream of its service on the list.
    pub(super) fn check_missing_service(&mut self, now: Moment, service: ServiceId) {
        if self.fleet.of_service(service).next().is_none() {
            self.want_view_check(now);
        }
    }

    /// Wants a check while the list is empty and the store has not said that it is.
    pub(super) fn check_empty_list(&mut self, now: Moment) {
        if self.upstreams.next == LogPosition::default() {
            // The first read is under way.
            return;
        }
        if !self.fleet.is_empty() {
            self.view_check.is_empty_confirmed = false;
        } else if !self.view_check.is_empty_confirmed {
            self.want_view_check(now);
        }
    }

    fn want_view_check(&mut self, now: Moment) {
        if self.view_check.is_wanted || !self.view_check.next_from.is_due(now) {
            return;
        }
        let spread = CHECK_SPREAD.mul_f64(self.random_fraction());
        self.view_check.is_wanted = true;
        self.view_check.next_from = now.after(CHECK_INTERVAL + spread);
    }

    /// Records a listing of a topic before it is applied, with the deletions that follow from it.
    pub(super) fn record_listing(&mut self, listing: &TopicRecords, deletions: &[KeyedRecord]) {
        if listing.topic != WireTopic::Upstream {
            return;
        }
        self.view_check.is_wanted = false;
        self.view_check.is_empty_confirmed = !listing.records.iter().any(names_upstream);
        let view = &self.upstreams;
        let lacking = listing.records.iter().filter(|record| view.lacks(record));
        let kept = deletions.iter().filter(|record| view.lacks(record));
        let (missing, stale) = (lacking.count(), kept.count());
        if missing + stale > 0 {
            log_event(&VIEW_REPAIRED, &[("missing", &missing), ("stale", &stale)]);
            self.counters.count_repairs(missing + stale);
        }
    }

    /// Records a listing that may miss upstreams, so that their topic is read on.
    pub(super) fn record_partial_listing(&mut self, topic: WireTopic) {
        if topic == WireTopic::Upstream {
            self.view_check.is_wanted = false;
        }
    }

    /// Returns whether this instance may serve nothing although others can.
    pub(super) fn may_lack_all_upstreams(&self) -> bool {
        self.fleet.is_empty() && !self.view_check.is_empty_confirmed
    }
}

/// Returns whether a record is the entry of an upstream.
fn names_upstream(record: &KeyedRecord) -> bool {
    let value = record.value.as_ref();
    value.is_some_and(|value| decode_entry(&record.key, value).is_ok())
}

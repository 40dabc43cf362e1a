//! Upstreams that a request has tried, and rules for trying them again.

use super::config::UpstreamKey;
use super::outcome::RefusalReason;

/// Upstreams that a request has tried.
///
/// An upstream that is excluded for its queue stays excluded only while a less loaded one may run
/// the request: it becomes eligible again when an upstream is excluded for another reason. A
/// refusal by a leaving upstream resets the count of submissions, because nothing has failed. A
/// lost upstream may have recovered and is tried again once no other upstream is left.
#[derive(Debug, Clone, Default)]
pub struct TriedUpstreams {
    /// Upstreams that must not be chosen.
    pub excluded: Vec<UpstreamKey>,
    /// Excluded upstreams whose queue was full or too long, or that want no requests for some time.
    overloaded: Vec<UpstreamKey>,
    /// Excluded upstreams that lost the answer.
    lost: Vec<UpstreamKey>,
    submissions: u32,
}

impl TriedUpstreams {
    /// Counts a submission.
    pub const fn record_submission(&mut self) {
        self.submissions += 1;
    }

    /// Returns whether the request may be submitted again.
    #[must_use]
    pub const fn may_submit(&self, max_submissions: u32) -> bool {
        self.submissions < max_submissions
    }

    /// Excludes an upstream for its refusal; `None` stands for a lost answer.
    pub fn exclude(&mut self, upstream: UpstreamKey, reason: Option<RefusalReason>) {
        let is_overload = matches!(
            reason,
            Some(RefusalReason::Busy | RefusalReason::QueueFull | RefusalReason::Paused)
        );
        if is_overload {
            self.overloaded.push(upstream);
        } else {
            let overloaded = std::mem::take(&mut self.overloaded);
            self.excluded
                .retain(|upstream| !overloaded.contains(upstream));
        }
        self.excluded.push(upstream);
        if reason.is_none() {
            self.lost.push(upstream);
        }
        if reason == Some(RefusalReason::Leaving) {
            self.submissions = 0;
        }
    }

    /// Makes lost upstreams eligible again; returns whether there is one and a submission is left.
    pub fn readmit_lost(&mut self, max_submissions: u32) -> bool {
        let lost = std::mem::take(&mut self.lost);
        self.excluded.retain(|upstream| !lost.contains(upstream));
        !lost.is_empty() && self.may_submit(max_submissions)
    }
}

//! Upstreams that a request has tried, and which of them it may be offered to again.

use super::config::UpstreamKey;
use super::outcome::RefusalReason;

/// Upstreams that a request has tried.
///
/// A long queue excludes an upstream only as long as a better one may take the request. Work that
/// a leaving upstream hands back starts its search anew, since nothing has failed. An upstream that
/// was lost may have come back, which is worth a look once no other is left.
#[derive(Debug, Clone, Default)]
pub struct TriedUpstreams {
    /// Upstreams that are not to be chosen.
    pub excluded: Vec<UpstreamKey>,
    passed_over: Vec<UpstreamKey>,
    lost: Vec<UpstreamKey>,
    submissions: u32,
}

impl TriedUpstreams {
    /// Counts a submission.
    pub const fn record_submission(&mut self) {
        self.submissions += 1;
    }

    /// Tells whether the request may be submitted again.
    #[must_use]
    pub const fn may_submit(&self, max_submissions: u32) -> bool {
        self.submissions < max_submissions
    }

    /// Excludes an upstream for the reason of its refusal, or because it was lost.
    pub fn exclude(&mut self, upstream: UpstreamKey, reason: Option<RefusalReason>) {
        let is_queue = matches!(reason, Some(RefusalReason::Busy | RefusalReason::QueueFull));
        if is_queue {
            self.passed_over.push(upstream);
        } else {
            let passed_over = std::mem::take(&mut self.passed_over);
            self.excluded.retain(|known| !passed_over.contains(known));
        }
        self.excluded.push(upstream);
        if reason.is_none() {
            self.lost.push(upstream);
        }
        if reason == Some(RefusalReason::Leaving) {
            self.submissions = 0;
        }
    }

    /// Admits the lost upstreams again; tells whether there is one and a submission is left.
    pub fn readmit_lost(&mut self, max_submissions: u32) -> bool {
        let lost = std::mem::take(&mut self.lost);
        self.excluded.retain(|known| !lost.contains(known));
        !lost.is_empty() && self.may_submit(max_submissions)
    }
}

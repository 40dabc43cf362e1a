//! What the upstream says of itself in its responses: that it leaves, or wants no requests for some
//! time.

use std::time::Duration;

use super::state::LedgerState;
use crate::decide::ids::EngineEpoch;
use crate::decide::member_notice::{MemberNotice, UpstreamNotice};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::events::{UPSTREAM_LEAVING, UPSTREAM_PAUSED, log_event};
use crate::kernel::Moment;
use crate::services::common::mail::EngineStatus;

/// Longest time for which an upstream that asks for it gets no requests; a longer one would take it
/// out of service by one wrong number.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// What one run of the upstream has said of itself.
#[derive(Debug, Default)]
pub(super) struct EngineNotice {
    said: MemberNotice,
    /// Latest run that was seen; it stays known while the upstream answers no polls.
    epoch: Option<EngineEpoch>,
}

impl LedgerState {
    /// Applies what a response says of the upstream. Queued requests go to other upstreams.
    pub fn on_engine_notice(&mut self, now: Moment, notice: UpstreamNotice) {
        let had_left = self.notice.said.left_at.is_some();
        let pause = notice.pause.map(|pause| pause.min(MAX_PAUSE));
        self.notice
            .said
            .apply(now, UpstreamNotice { pause, ..notice });
        let upstream = &self.settings.upstream;
        if notice.is_leaving && !had_left {
            log_event(&UPSTREAM_LEAVING, &[("upstream", upstream)]);
            self.end_queued(now, RefusalReason::Leaving);
        } else if let Some(pause) = pause {
            log_event(
                &UPSTREAM_PAUSED,
                &[("upstream", upstream), ("pause_ms", &pause.as_millis())],
            );
            self.end_queued(now, RefusalReason::Busy);
        }
    }

    /// Returns why the upstream gets no requests by what it has said, if it gets none.
    pub(super) fn notice_refusal(&self, now: Moment) -> Option<RefusalReason> {
        if self.notice.said.left_at.is_some() {
            return Some(RefusalReason::Leaving);
        }
        let pause_end = self.notice.said.pause_end(now);
        pause_end.map(|_| RefusalReason::Busy)
    }

    /// Forgets what an earlier run of the upstream has said. A plain service states no run, and counts
    /// as ended once it accepts no connection.
    pub(super) fn forget_notice(&mut self, engine: &EngineStatus) {
        let Some(epoch) = engine.epoch() else {
            if !self.serves_model() {
                self.notice = EngineNotice::default();
            }
            return;
        };
        if self.notice.epoch.is_some_and(|known| known != epoch) {
            self.notice.said = MemberNotice::default();
        }
        self.notice.epoch = Some(epoch);
    }

    fn serves_model(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| upstream.model().is_some())
    }

    /// Ends the queued requests as not run, for resubmission elsewhere.
    pub(super) fn end_queued(&mut self, now: Moment, reason: RefusalReason) {
        for ticket in self.queue.drain() {
            if let Some(key) = self.queued.remove(&ticket) {
                self.ledger.end(now, key, StreamEnd::NotRun(reason));
                self.reply_to_pending_read(key);
            }
        }
    }
}

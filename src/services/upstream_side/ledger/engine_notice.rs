//! What the upstream says of itself in its responses: that it leaves, or wants no requests for some
//! time.

use std::time::Duration;

use super::state::LedgerState;
use crate::decide::ids::EngineEpoch;
use crate::decide::member_notice::{MemberNotice, UpstreamNotice};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::events::{UPSTREAM_LEAVING, UPSTREAM_PAUSED, log_event, log_limit};
use crate::kernel::{Moment, whole_us};
use crate::services::common::mail::EngineStatus;
use crate::wire::rpc::SubmitCall;

/// Longest time for which an upstream that asks for it gets no requests; a longer one would take it
/// out of service by one wrong number.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// What one run of the upstream has said of itself.
#[derive(Debug, Default)]
pub(super) struct EngineNotice {
    pub(super) said: MemberNotice,
    /// Latest run that was seen; it stays known while the upstream answers no polls.
    epoch: Option<EngineEpoch>,
}

impl LedgerState {
    /// Applies what a response says of the upstream. Queued requests go to other upstreams.
    pub fn on_engine_notice(&mut self, now: Moment, notice: UpstreamNotice) {
        let had_left = self.notice.said.left_at.is_some();
        let limit_before = self.notice.said.limit.rate;
        let pause = notice.pause.map(|pause| pause.min(MAX_PAUSE));
        self.notice
            .said
            .apply(now, UpstreamNotice { pause, ..notice });
        let limit = &mut self.notice.said.limit;
        // All requests to the upstream pass through this process.
        limit.use_alone(now);
        let upstream = &self.settings.upstream;
        if limit.rate != limit_before {
            log_limit(upstream, limit.rate);
        }
        if notice.is_leaving && !had_left {
            log_event(&UPSTREAM_LEAVING, &[("upstream", upstream)]);
            self.end_queued(now, RefusalReason::Leaving);
        } else if let Some(pause) = pause {
            log_event(
                &UPSTREAM_PAUSED,
                &[("upstream", upstream), ("pause_ms", &pause.as_millis())],
            );
            self.end_queued(now, RefusalReason::Paused);
        }
    }

    /// Returns the end of the time for which the upstream wants no requests, if it wants none.
    pub(super) fn pause_end(&self, now: Moment) -> Option<Moment> {
        self.notice.said.pause_end(now)
    }

    /// Returns the time for which the upstream wants no requests.
    pub(super) fn pause_left(&self, now: Moment) -> Duration {
        let end = self.pause_end(now);
        end.map_or(Duration::ZERO, |end| end.remaining(now))
    }

    /// Returns how long a request may wait in the queue, in microseconds; `None` if it cannot wait
    /// for the end of the upstream's pause.
    pub(super) fn wait_limit_us(&self, now: Moment, call: &SubmitCall) -> Option<u64> {
        let pause = self.pause_left(now);
        if pause.is_zero() {
            return Some(call.wait_limit_us);
        }
        let limit_us = call.wait_limit_us.min(call.start_budget_us);
        limit_us.checked_sub(whole_us(pause))
    }

    /// Returns whether the upstream has said that it leaves.
    pub(super) const fn has_said_leaving(&self) -> bool {
        self.notice.said.left_at.is_some()
    }

    /// Returns when a queued request may start by what the upstream has said; `None` if it may now.
    pub(super) fn start_after(&self, now: Moment) -> Option<Moment> {
        if self.notice.said.is_open(now) {
            return None;
        }
        // Without a pause, the next message about a request that has started decides.
        Some(self.notice.said.closed_until(now).unwrap_or(Moment::NEVER))
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
                self.reply_to_pending_read(now, key);
            }
        }
    }
}

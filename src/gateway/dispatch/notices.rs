//! Upstreams that leave, want no requests for some time or limit them, by what their responses say.

use super::paces::PaceCause;
use super::state::DispatchState;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::Ticket;
use crate::decide::member_choice::ChoiceOutcome;
use crate::decide::member_notice::UpstreamNotice;
use crate::events::{UPSTREAM_LEAVING, UPSTREAM_PAUSED, log_event};
use crate::gateway::mail::{PlacementRefusal, PlacementReply};
use crate::kernel::Moment;

impl DispatchState {
    /// Applies what a response says of its upstream.
    pub(super) fn record_notice(&mut self, now: Moment, key: MemberKey, notice: UpstreamNotice) {
        let max_pause = self.max_upstream_pause;
        let Some(member) = self.fleet.get_mut(key) else {
            return;
        };
        let had_left = member.notice.left_at.is_some();
        let limit_before = member.notice.limit.rate;
        let pause = notice.pause.map(|pause| pause.min(max_pause));
        member.notice.apply(now, UpstreamNotice { pause, ..notice });
        let id = member.entry.id.clone();
        if notice.is_leaving && !had_left {
            self.counters.count_notice("leaving");
            self.pool.close_all(key);
            log_event(&UPSTREAM_LEAVING, &[("upstream", &id)]);
        }
        self.apply_limit_change(now, key, limit_before);
        if let Some(pause) = pause {
            self.begin_pace(now, key, PaceCause::Paused);
            self.counters.count_notice("paused");
            log_event(
                &UPSTREAM_PAUSED,
                &[("upstream", &id), ("pause_ms", &pause.as_millis())],
            );
            self.refuse_hopeless(now);
        }
    }

    /// Refuses waiting requests that no upstream wants before they have to start.
    fn refuse_hopeless(&mut self, now: Moment) {
        let hopeless = self.waiting.iter().filter_map(|(ticket, waiting)| {
            let choice = self.choose_upstream(now, &waiting.request);
            let ChoiceOutcome::Paused(until) = choice else {
                return None;
            };
            (until > waiting.request.start_by).then_some((*ticket, until))
        });
        let hopeless: Vec<(Ticket, Moment)> = hopeless.collect();
        for (ticket, until) in hopeless {
            self.refuse_waiting(ticket, PlacementRefusal::Paused(until));
        }
    }

    /// Refuses a request that waits in the queue of its service.
    pub(super) fn refuse_waiting(&mut self, ticket: Ticket, refusal: PlacementRefusal) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&waiting.request.service) {
            queue.remove(ticket);
        }
        waiting.reply_to.send(PlacementReply::Refused(refusal));
    }
}

//! Age of the list of upstreams: whether a request may still be sent on what is known of its
//! upstream.

use std::time::Duration;

use super::state::DispatchState;
use crate::decide::ids::Ticket;
use crate::events::{UPSTREAMS_OUTDATED, log_event};
use crate::gateway::mail::SendCheck;
use crate::kernel::Moment;
use crate::wire::peer_rpc::WireTopic;

/// Time reserved from the decision to send a request until it reaches its upstream.
pub(super) const SEND_TIME: Duration = Duration::from_millis(250);

/// Time after its placement from which a request is sent only after another check.
const PLACEMENT_LIFETIME: Duration = Duration::from_millis(20);

impl DispatchState {
    /// Returns until when requests may be sent on the present list of upstreams. An upstream may
    /// have left since the last confirmation, and the drain limit counts from its leave.
    ///
    /// While reads fail, nothing newer can be learned and the list stays in use.
    fn sendable_until(&self) -> Moment {
        let health = self.health(WireTopic::Upstream);
        if health.failed_at > health.confirmed_at {
            return Moment::NEVER;
        }
        let limit = self.identity.drain_limit.saturating_sub(SEND_TIME);
        health.confirmed_at.after(limit)
    }

    /// Reports whether the list of upstreams is recent enough to send requests.
    pub(super) fn is_sendable(&self, now: Moment) -> bool {
        !self.sendable_until().is_due(now)
    }

    /// Returns until when a request that is placed now may be sent without another check.
    pub(super) fn placement_end(&self, now: Moment) -> Moment {
        self.sendable_until().min(now.after(PLACEMENT_LIFETIME))
    }

    /// Decides whether a placed request may be sent now.
    pub(super) fn check_send(&self, now: Moment, ticket: Ticket) -> SendCheck {
        let running = self.running.get(&ticket);
        let member = running.and_then(|running| self.fleet.get(running.member));
        if member.is_none_or(|member| !member.wants_requests(now)) {
            SendCheck::UpstreamLeft
        } else if self.is_sendable(now) {
            SendCheck::Send
        } else {
            SendCheck::Outdated
        }
    }

    /// Logs that requests wait for a newer list of upstreams, once until it is newer.
    pub(super) fn log_outdated_list(&mut self, now: Moment) {
        let is_waiting = !self.waiting.is_empty() && !self.is_sendable(now);
        if is_waiting && !self.is_outdated_logged {
            let age = now.since(self.upstream_health.confirmed_at);
            log_event(
                &UPSTREAMS_OUTDATED,
                &[
                    ("age_ms", &age.as_millis()),
                    ("limit_ms", &self.identity.drain_limit.as_millis()),
                    ("waiting", &self.waiting.len()),
                ],
            );
        }
        self.is_outdated_logged = is_waiting;
    }
}

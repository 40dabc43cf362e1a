//! Withdrawal of requests that have not started at their upstream when no request may start on its
//! weights any more.

use std::time::Duration;

use super::state::{DispatchState, RunningRequest};
use crate::decide::ids::Ticket;
use crate::events::{OUTDATED_START, REQUEST_WITHDRAWN, log_event};
use crate::gateway::mail::PlacementRequest;
use crate::gateway::withdrawal::{WithdrawalSender, WithdrawalSignal, withdrawal};
use crate::kernel::Moment;

/// Time in which an upstream notices that a request was withdrawn.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(250);

/// Request that was sent to an upstream and has produced no output yet.
#[derive(Debug)]
pub(super) struct UnstartedRequest {
    /// Hash of the name of the request's model.
    model: u64,
    /// Version of the weights that the request was sent for; 0 if it is not known.
    weights: u64,
    sender: WithdrawalSender,
}

impl DispatchState {
    /// Registers a placement so that it is withdrawn unless the request starts in time. Newer
    /// versions may be named after the placement.
    pub(super) fn expect_start(
        &mut self,
        ticket: Ticket,
        request: &PlacementRequest,
        weights: Option<u64>,
    ) -> WithdrawalSignal {
        let Some(prompt) = &request.prompt else {
            return WithdrawalSignal::never();
        };
        let (sender, signal) = withdrawal();
        let unstarted = UnstartedRequest {
            model: prompt.model,
            weights: weights.unwrap_or(0),
            sender,
        };
        if let Some(deadline) = self.start_deadline(&unstarted) {
            let due = deadline.before(WITHDRAWAL_TIME);
            self.next_withdrawal = self.next_withdrawal.min(due);
        }
        self.unstarted.insert(ticket, unstarted);
        signal
    }

    /// Withdraws the requests that have not started and may no longer start. Returns the time of the
    /// next withdrawal.
    pub(super) fn withdraw_unstarted(&mut self, now: Moment) -> Moment {
        if !self.next_withdrawal.is_due(now) {
            return self.next_withdrawal;
        }
        let mut next = Moment::NEVER;
        let mut expired = Vec::new();
        for (ticket, unstarted) in &self.unstarted {
            let Some(deadline) = self.start_deadline(unstarted) else {
                continue;
            };
            let due = deadline.before(WITHDRAWAL_TIME);
            if due.is_due(now) {
                expired.push(*ticket);
            } else {
                next = next.min(due);
            }
        }
        for ticket in expired {
            self.withdraw(now, ticket);
        }
        self.next_withdrawal = next;
        next
    }

    fn withdraw(&mut self, now: Moment, ticket: Ticket) {
        let Some(unstarted) = self.unstarted.remove(&ticket) else {
            return;
        };
        if let Some(running) = self.running.get(&ticket) {
            let waited = now.since(running.placed_at);
            log_event(
                &REQUEST_WITHDRAWN,
                &[
                    ("request", &running.request_id),
                    ("upstream", &self.upstream_name(running)),
                    ("weights", &unstarted.weights),
                    ("waited_ms", &waited.as_millis()),
                ],
            );
        }
        unstarted.sender.send();
    }

    /// Counts how long a request waited at its upstream before its first output, and logs the wait if
    /// newer weights were named and it used up half of the time that was left when it was sent.
    pub(super) fn report_start(&mut self, now: Moment, ticket: Ticket, running: &RunningRequest) {
        let waited = now.since(running.placed_at);
        self.counters.observe_start(waited);
        let Some(unstarted) = self.unstarted.remove(&ticket) else {
            return;
        };
        let Some(deadline) = self.start_deadline(&unstarted) else {
            return;
        };
        let left = deadline.remaining(running.placed_at);
        if waited < left / 2 {
            return;
        }
        log_event(
            &OUTDATED_START,
            &[
                ("request", &running.request_id),
                ("upstream", &self.upstream_name(running)),
                ("weights", &unstarted.weights),
                ("waited_ms", &waited.as_millis()),
                ("left_when_sent_ms", &left.as_millis()),
            ],
        );
    }

    fn start_deadline(&self, unstarted: &UnstartedRequest) -> Option<Moment> {
        let deadlines = self.version_deadlines.get(&unstarted.model)?;
        deadlines.start_deadline(unstarted.weights)
    }

    fn upstream_name(&self, running: &RunningRequest) -> &str {
        let member = self.fleet.get(running.member);
        member.map_or("", |member| &member.entry.id)
    }
}

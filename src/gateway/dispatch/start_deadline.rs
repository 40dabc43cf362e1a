//! Cancellation of requests that have not started at their upstream when they may not start there any
//! more.

use super::state::{DispatchState, RunningRequest};
use crate::decide::ids::Ticket;
use crate::events::{OUTDATED_START, START_CANCELLED, log_event};
use crate::gateway::cancellation::{CancelSender, CancelSignal, cancellation};
use crate::gateway::mail::PlacementRequest;
use crate::kernel::Moment;

/// Why a request that has not started is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelReason {
    /// No request may start on the upstream's weights any more.
    OutdatedWeights,
    /// A segment of its prompt crashes upstreams.
    RefusedSegment,
}

impl CancelReason {
    const fn name(self) -> &'static str {
        match self {
            Self::OutdatedWeights => "outdated_weights",
            Self::RefusedSegment => "refused_segment",
        }
    }
}

/// Request that was sent to an upstream and has produced no output yet.
#[derive(Debug)]
pub(super) struct UnstartedRequest {
    /// Hash of the name of the request's model.
    model: u64,
    /// Version of the weights that the request was sent for; 0 if it is not known.
    weights: u64,
    /// Cancels the request; `None` once it is cancelled.
    sender: Option<CancelSender>,
}

impl DispatchState {
    /// Registers a placement so that it is cancelled unless the request starts in time. Newer
    /// versions may be named after the placement.
    pub(super) fn expect_start(
        &mut self,
        ticket: Ticket,
        request: &PlacementRequest,
        weights: Option<u64>,
    ) -> CancelSignal {
        let Some(prompt) = &request.prompt else {
            return CancelSignal::never();
        };
        let (sender, signal) = cancellation();
        let unstarted = UnstartedRequest {
            model: prompt.model,
            weights: weights.unwrap_or(0),
            sender: Some(sender),
        };
        if let Some(due) = self.cancel_at(&unstarted) {
            self.next_cancellation = self.next_cancellation.min(due);
        }
        self.unstarted.insert(ticket, unstarted);
        signal
    }

    /// Cancels the requests that have not started and may no longer start, and sets the time of the
    /// next cancellation.
    pub(super) fn cancel_unstarted(&mut self, now: Moment) {
        if !self.next_cancellation.is_due(now) {
            return;
        }
        let mut next = Moment::NEVER;
        let mut expired = Vec::new();
        for (ticket, unstarted) in &self.unstarted {
            match self.cancel_at(unstarted) {
                Some(due) if due.is_due(now) => expired.push(*ticket),
                Some(due) => next = next.min(due),
                None => {}
            }
        }
        for ticket in expired {
            self.cancel(now, ticket, CancelReason::OutdatedWeights);
        }
        self.next_cancellation = next;
    }

    /// Cancels a request that has not started.
    pub(super) fn cancel(&mut self, now: Moment, ticket: Ticket, reason: CancelReason) {
        let Some(unstarted) = self.unstarted.get_mut(&ticket) else {
            return;
        };
        let Some(sender) = unstarted.sender.take() else {
            return;
        };
        let weights = unstarted.weights;
        if let Some(running) = self.running.get(&ticket) {
            let waited = now.since(running.placed_at);
            log_event(
                &START_CANCELLED,
                &[
                    ("request", &running.request_id),
                    ("upstream", &self.upstream_name(running)),
                    ("reason", &reason.name()),
                    ("weights", &weights),
                    ("waited_ms", &waited.as_millis()),
                ],
            );
        }
        sender.send();
    }

    /// Counts how long a prompt waited at its upstream before its first output, and logs the wait if
    /// newer weights were named and it used up half of the time that was left when it was sent.
    pub(super) fn report_start(&mut self, now: Moment, ticket: Ticket, running: &RunningRequest) {
        let Some(unstarted) = self.unstarted.remove(&ticket) else {
            return;
        };
        let waited = now.since(running.placed_at);
        self.counters.observe_start(waited);
        let deadlines = self.version_deadlines.get(&unstarted.model);
        let deadline = deadlines.and_then(|known| known.start_deadline(unstarted.weights));
        let Some(deadline) = deadline else {
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

    fn cancel_at(&self, unstarted: &UnstartedRequest) -> Option<Moment> {
        let deadlines = self.version_deadlines.get(&unstarted.model)?;
        deadlines.cancel_at(unstarted.weights)
    }

    fn upstream_name(&self, running: &RunningRequest) -> &str {
        let member = self.fleet.get(running.member);
        member.map_or("", |member| &member.entry.id)
    }
}

//! State machine of one request at an entry: submission, reading, retries and the final status.

use super::config::UpstreamKey;
use super::ids::{Incarnation, Repeatability, Ticket};
use super::outcome::{RefusalReason, RunStatus, StreamEnd};
use super::request_step::{
    HOLDER_SUBMIT_TIMEOUT, RETRY_PAUSE, RequestEvent, RequestPolicy, RequestStep, RunEvidence,
    SidecarCall, SubmitCause,
};
use super::tried_upstreams::TriedUpstreams;
use crate::kernel::Moment;

/// State of one request over all of its attempts.
///
/// The owner executes each [`RequestStep`] and passes the result to [`RequestState::handle`],
/// until the step is [`RequestStep::Finish`].
#[derive(Debug, Clone)]
pub struct RequestState {
    /// Properties that stay the same for all attempts.
    pub policy: RequestPolicy,
    /// Upstreams that the request has tried.
    pub tried: TriedUpstreams,
    /// Number of submissions so far.
    pub submissions: u32,
    /// Number of submissions that followed a failure.
    pub retries: u32,
    /// Whether an earlier ticket was lost after the caller received part of the answer.
    pub has_partial_answer: bool,
    follows_failure: bool,
    evidence: RunEvidence,
    last_refusal: Option<RefusalReason>,
    target: Option<SubmitTarget>,
}

#[derive(Debug, Clone, Copy)]
struct SubmitTarget {
    upstream: UpstreamKey,
    incarnation: Incarnation,
    ticket: Ticket,
    next_index: u64,
    call: SidecarCall,
    /// Whether the sidecar may have received the ticket although no reply arrived.
    ambiguous: bool,
    accepted: bool,
    /// Deadline for a reply after calls have failed; `NEVER` while calls succeed.
    recover_by: Moment,
    /// For a ticket of another request: when to withdraw it if the sidecar does not know it yet.
    withdraw_at: Option<Moment>,
}

impl RequestState {
    /// Creates the state of a new request, whose first step is [`RequestStep::Choose`].
    #[must_use]
    pub fn new(policy: RequestPolicy) -> Self {
        Self {
            policy,
            tried: TriedUpstreams::default(),
            submissions: 0,
            retries: 0,
            follows_failure: false,
            has_partial_answer: false,
            evidence: RunEvidence::NeverRan,
            last_refusal: None,
            target: None,
        }
    }

    /// Returns the current ticket if the request owns it, and the incarnation of its sidecar.
    #[must_use]
    pub fn target(&self) -> Option<(Ticket, Incarnation)> {
        let owned = self.target.filter(|target| target.withdraw_at.is_none());
        owned.map(|target| (target.ticket, target.incarnation))
    }

    /// Returns the upstream of the current attempt.
    #[must_use]
    pub fn upstream(&self) -> Option<UpstreamKey> {
        self.target.map(|target| target.upstream)
    }

    /// Returns whether a ticket of the request ran or may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.evidence != RunEvidence::NeverRan
    }

    /// Returns the cause of the next submission.
    #[must_use]
    pub const fn cause(&self) -> SubmitCause {
        if self.submissions == 0 {
            SubmitCause::First
        } else if self.follows_failure {
            SubmitCause::Retry(self.retries)
        } else {
            SubmitCause::Spill
        }
    }

    /// Returns the index of the next item to read from the current ticket.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.target.map_or(0, |target| target.next_index)
    }

    /// Applies an event and returns the next step.
    pub fn handle(&mut self, now: Moment, event: RequestEvent) -> RequestStep {
        match event {
            RequestEvent::Chosen(upstream, incarnation, ticket) => {
                self.retries += u32::from(self.follows_failure);
                self.set_target(upstream, incarnation, ticket);
                self.call(now, SidecarCall::Submit(ticket))
            }
            RequestEvent::Held(upstream, incarnation, ticket) => {
                let target = self.set_target(upstream, incarnation, ticket);
                target.ambiguous = true;
                target.withdraw_at = Some(now.after(HOLDER_SUBMIT_TIMEOUT));
                self.read(now)
            }
            RequestEvent::HolderGone => {
                self.evidence = self.evidence.max(RunEvidence::MayHaveRan);
                self.finish_without_answer(None)
            }
            RequestEvent::NoChoice(_) if self.tried.readmit_lost(self.max_submissions()) => {
                RequestStep::Choose
            }
            RequestEvent::NoChoice(reason) => {
                let reason = self.last_refusal.unwrap_or(reason);
                self.finish_without_answer(Some(reason))
            }
            RequestEvent::CallerGone => {
                if self
                    .target
                    .is_some_and(|target| target.accepted || target.ambiguous)
                {
                    self.evidence = self.evidence.max(RunEvidence::MayHaveRan);
                }
                self.finish_without_answer(None)
            }
            _ => self.on_reply(now, event),
        }
    }

    fn set_target(
        &mut self,
        upstream: UpstreamKey,
        incarnation: Incarnation,
        ticket: Ticket,
    ) -> &mut SubmitTarget {
        self.submissions += 1;
        self.tried.record_submission();
        self.target.insert(SubmitTarget {
            upstream,
            incarnation,
            ticket,
            next_index: 0,
            call: SidecarCall::Submit(ticket),
            ambiguous: false,
            accepted: false,
            recover_by: Moment::NEVER,
            withdraw_at: None,
        })
    }

    fn on_reply(&mut self, now: Moment, event: RequestEvent) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        if event != RequestEvent::Lost && event != RequestEvent::Unsent {
            target.recover_by = Moment::NEVER;
        }
        match event {
            RequestEvent::Accepted | RequestEvent::WithdrawnLate => {
                target.accepted = true;
                self.read(now)
            }
            RequestEvent::Refused(reason, incarnation) => self.on_refused(now, reason, incarnation),
            RequestEvent::Items {
                from_index,
                count,
                end,
            } => self.on_items(now, from_index, count, end),
            RequestEvent::UnknownTicket(incarnation) => self.on_unknown_ticket(now, incarnation),
            RequestEvent::WithdrawnUnrun => self.on_not_run(now, RefusalReason::Withdrawn),
            RequestEvent::Attached(incarnation) => {
                target.incarnation = incarnation;
                target.accepted = true;
                self.read(now)
            }
            RequestEvent::WithdrawnForgotten | RequestEvent::NotAttached => {
                self.on_answer_lost(now, RunEvidence::MayHaveRan)
            }
            RequestEvent::Unsent => self.on_call_failed(now, false),
            RequestEvent::Lost => self.on_call_failed(now, true),
            // `handle` processes the other events.
            _ => RequestStep::Choose,
        }
    }

    fn on_refused(
        &mut self,
        now: Moment,
        reason: RefusalReason,
        incarnation: Incarnation,
    ) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        // Only a refusal by the addressed incarnation proves that the ticket did not run there.
        let is_other_incarnation = target.incarnation != incarnation;
        let is_first_contact = target.incarnation == Incarnation::default();
        match reason {
            RefusalReason::WrongIncarnation if is_first_contact => {
                target.incarnation = incarnation;
                let call = SidecarCall::Submit(target.ticket);
                self.call(now, call)
            }
            RefusalReason::WrongIncarnation if is_other_incarnation => {
                // The earlier incarnation may have started the ticket on the engine.
                target.incarnation = incarnation;
                let call = SidecarCall::Attach(target.ticket);
                self.call(now, call)
            }
            _ if is_other_incarnation && target.ambiguous => self.on_call_failed(now, true),
            RefusalReason::Forgotten => self.on_answer_lost(now, RunEvidence::MayHaveRan),
            _ => self.on_not_run(now, reason),
        }
    }

    fn on_items(
        &mut self,
        now: Moment,
        from_index: u64,
        count: u64,
        end: Option<StreamEnd>,
    ) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        if from_index != target.next_index {
            // A delayed or reordered reply is discarded.
            return self.read(now);
        }
        target.next_index += count;
        if count > 0 {
            self.evidence = RunEvidence::Ran;
        }
        match end {
            // A sidecar that shuts down replies to reads at once and without items.
            None if count == 0 => self.read(now.after(RETRY_PAUSE)),
            None => self.read(now),
            Some(StreamEnd::Complete) => RequestStep::Finish(RunStatus::Complete, None),
            Some(StreamEnd::NotRun(RefusalReason::Forgotten)) => {
                self.on_answer_lost(now, RunEvidence::MayHaveRan)
            }
            Some(StreamEnd::NotRun(reason)) => self.on_not_run(now, reason),
            Some(StreamEnd::Uncertain) => self.on_answer_lost(now, RunEvidence::MayHaveRan),
            Some(StreamEnd::EngineLost) => self.on_answer_lost(now, RunEvidence::Ran),
            Some(StreamEnd::Cancelled) => {
                // Without an item it is unknown whether the start reached the engine.
                self.evidence = self.evidence.max(RunEvidence::MayHaveRan);
                self.finish_without_answer(None)
            }
        }
    }

    fn on_unknown_ticket(&mut self, now: Moment, incarnation: Incarnation) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        if target.incarnation == incarnation && target.accepted {
            // The sidecar evicted the answer before it was read.
            return self.on_answer_lost(now, RunEvidence::MayHaveRan);
        }
        if let Some(withdraw_at) = target.withdraw_at
            && target.incarnation == incarnation
        {
            // The owner of the ticket has not submitted it yet, or ended before it could.
            let ticket = target.ticket;
            return if withdraw_at.is_due(now) {
                self.call(now, SidecarCall::Withdraw(ticket))
            } else {
                self.read(now.after(RETRY_PAUSE))
            };
        }
        target.incarnation = incarnation;
        let call = SidecarCall::Attach(target.ticket);
        self.call(now, call)
    }

    /// Handles proof that the current ticket will not run: tries another upstream or finishes.
    fn on_not_run(&mut self, now: Moment, reason: RefusalReason) -> RequestStep {
        self.last_refusal = Some(reason);
        self.follows_failure = !reason.is_spill();
        self.exclude_target(Some(reason));
        let can_submit = self.tried.may_submit(self.max_submissions());
        let in_time = !self.policy.start_by.is_due(now);
        // Other upstreams refuse the request for these reasons as well.
        let is_final = matches!(
            reason,
            RefusalReason::Poisonous | RefusalReason::CustomerLimit
        );
        if !can_submit || !in_time || is_final {
            return self.finish_without_answer(Some(reason));
        }
        self.target = None;
        RequestStep::Choose
    }

    /// Handles the loss of the current ticket's answer: repeats the request or finishes.
    fn on_answer_lost(&mut self, now: Moment, evidence: RunEvidence) -> RequestStep {
        self.evidence = self.evidence.max(evidence);
        let delivered = self.next_index() > 0 || self.has_partial_answer;
        let may_repeat = self.policy.repeatability == Repeatability::Idempotent
            && (self.policy.continuable || !delivered);
        let can_submit = self.tried.may_submit(self.max_submissions());
        let in_time = delivered || !self.policy.start_by.is_due(now);
        if !may_repeat || !can_submit || !in_time {
            return self.finish_without_answer(None);
        }
        self.has_partial_answer = delivered;
        self.follows_failure = true;
        self.exclude_target(None);
        self.target = None;
        RequestStep::Choose
    }

    /// Returns the limit of submissions. It doubles once a ticket may have run, so that refusals
    /// before the start do not use up the attempts that recover a lost answer.
    fn max_submissions(&self) -> u32 {
        let max = self.policy.max_submissions;
        if self.may_have_run() { 2 * max } else { max }
    }

    fn exclude_target(&mut self, reason: Option<RefusalReason>) {
        if let Some(target) = self.target.filter(|target| target.withdraw_at.is_none()) {
            self.tried.exclude(target.upstream, reason);
        }
    }

    fn on_call_failed(&mut self, now: Moment, may_have_arrived: bool) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        if may_have_arrived {
            target.ambiguous = true;
        }
        let certainly_unsent = !target.ambiguous && !target.accepted;
        if certainly_unsent {
            return self.on_not_run(now, RefusalReason::EngineDown);
        }
        if target.recover_by == Moment::NEVER {
            target.recover_by = now.after(self.policy.recovery_time());
        }
        if target.recover_by.is_due(now) {
            return self.on_answer_lost(now, RunEvidence::MayHaveRan);
        }
        let call = match target.call {
            SidecarCall::Submit(ticket) if self.policy.start_by.is_due(now) => {
                SidecarCall::Withdraw(ticket)
            }
            call => call,
        };
        self.call(now.after(RETRY_PAUSE), call)
    }

    fn finish_without_answer(&self, reason: Option<RefusalReason>) -> RequestStep {
        let status = match self.evidence {
            RunEvidence::NeverRan => RunStatus::NotRun,
            RunEvidence::MayHaveRan => RunStatus::Unknown,
            RunEvidence::Ran => RunStatus::Incomplete,
        };
        RequestStep::Finish(status, reason)
    }

    fn read(&mut self, not_before: Moment) -> RequestStep {
        let Some(target) = self.target else {
            return RequestStep::Choose;
        };
        self.call(
            not_before,
            SidecarCall::Read(target.ticket, target.next_index),
        )
    }

    fn call(&mut self, not_before: Moment, call: SidecarCall) -> RequestStep {
        let Some(target) = self.target.as_mut() else {
            return RequestStep::Choose;
        };
        target.call = call;
        RequestStep::Call {
            upstream: target.upstream,
            incarnation: target.incarnation,
            call,
            not_before,
        }
    }
}

//! Attempts of one request at upstreams, until one responds or no further attempt is allowed.

use std::time::Duration;

use super::abandonment::log_abandoned;
use super::attempts_outcome::{AttemptsOutcome, BufferedResponse, PlacedStream};
use super::crash_probe::probe_after_loss;
use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, Placement, PlacementRefusal, PlacementRequest};
use super::patience::Patience;
use super::placement_guard::{GuardedPlacement, place};
use super::request::CallerRequest;
use super::response_body::read_response_body;
use super::upstream_call::{CallOutcome, UpstreamResponse, call, reusable_until};
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::Rank;
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::{AttemptOutcome, RetryDecision, SendHistory};
use crate::decide::stated_weights::{StatementSource, WeightsStatement};
use crate::events::{REQUEST_RETRIED, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::request_headers::{RESPONSE_WEIGHTS, header_number};

/// Longest wait of an urgent request for an upstream, in percent of the route's target latency.
const URGENT_WAIT_PERCENT: u64 = 70;

/// Longest wait of a routine request for an upstream, in percent of the route's target latency.
/// It exceeds 100 because late responses to routine requests are still useful.
const ROUTINE_WAIT_PERCENT: u64 = 150;

/// Longest wait for another request's prefill of the shared prefix, in percent of the route's
/// target latency. Callers of streams give up at four times the target latency.
const PREFILL_WAIT_PERCENT: u64 = 300;

/// Time without a complete response after which an idempotent request is retried at another
/// upstream, in percent of the route's target latency.
const RESPONSE_TIMEOUT_PERCENT: u64 = 200;

/// Time without a response head after which a resumable stream is retried at another upstream, in
/// percent of the route's target latency.
const STREAM_HEAD_TIMEOUT_PERCENT: u64 = 300;

/// Sends one request to upstreams, one after the other, until an attempt decides its outcome.
#[derive(Debug)]
pub struct RequestAttempts<'a> {
    directory: &'a Directory<GatewayMail>,
    request: &'a CallerRequest,
    /// Counts of the attempts so far.
    pub history: SendHistory,
    /// Upstreams that are not tried again.
    pub excluded: Vec<MemberKey>,
    /// Identifier of the last stream event that the caller received.
    pub last_event: Option<u64>,
    /// Upstream that the request was last sent to; empty before the first attempt.
    upstream: String,
    /// Whether the outcome is known.
    has_ended: bool,
    /// Upstream and outcome of the last failed attempt, for log events.
    pub last_failure: Option<(String, MemberOutcome)>,
    /// Last 5xx response that led to a retry, returned if no later attempt succeeds.
    failed_response: Option<BufferedResponse>,
}

impl<'a> RequestAttempts<'a> {
    /// Creates the state of a request that has not been sent to any upstream.
    #[must_use]
    pub const fn new(directory: &'a Directory<GatewayMail>, request: &'a CallerRequest) -> Self {
        Self {
            directory,
            request,
            history: SendHistory {
                offers: 0,
                runs: 0,
                arrivals: 0,
            },
            excluded: Vec::new(),
            last_event: request.last_event,
            upstream: String::new(),
            has_ended: false,
            last_failure: None,
            failed_response: None,
        }
    }

    /// Sends the request until an upstream responds or no further attempt is allowed.
    pub async fn run(&mut self) -> AttemptsOutcome {
        let end = self.run_to_end().await;
        self.has_ended = true;
        self.or_failed_response(end)
    }

    async fn run_to_end(&mut self) -> AttemptsOutcome {
        loop {
            let now = self.directory.now();
            if self.request.deadline.is_due(now) {
                return self.timed_out();
            }
            let placement = match place(self.directory, self.placement_request(now)).await {
                Ok(placement) => placement,
                Err(refusal) => return self.refused(refusal),
            };
            self.upstream.clone_from(&placement.at.upstream);
            if let Some(end) = self.attempt(placement).await {
                return end;
            }
        }
    }

    /// Replaces an outcome without a response by the last 5xx response of an upstream, if any.
    fn or_failed_response(&mut self, end: AttemptsOutcome) -> AttemptsOutcome {
        match (end, self.failed_response.take()) {
            (AttemptsOutcome::Complete(response), _) => AttemptsOutcome::Complete(response),
            (AttemptsOutcome::Stream(stream), _) => AttemptsOutcome::Stream(stream),
            (_, Some(failed_response)) => AttemptsOutcome::Complete(Box::new(failed_response)),
            (end, None) => end,
        }
    }

    fn placement_request(&self, now: Moment) -> PlacementRequest {
        let is_retry = self.history.arrivals > 0;
        placement_request(self.request, now, self.excluded.clone(), is_retry)
    }

    /// Makes one attempt at an upstream; returns `None` if the request has to be retried.
    async fn attempt(&mut self, mut placement: GuardedPlacement) -> Option<AttemptsOutcome> {
        let now = self.directory.now();
        let patience = self.patience(now, placement.at.member);
        let (request, last_event) = (self.request, self.last_event);
        let at = &mut placement.at;
        let outcome = call(self.directory, request, at, last_event, &patience).await;
        let GuardedPlacement { at, guard } = placement;
        let (end, outcome) = match outcome {
            CallOutcome::Response(response) => {
                let placement = GuardedPlacement { at, guard };
                return self.read_response(*response, placement, &patience).await;
            }
            CallOutcome::TurnedAway => (AttemptOutcome::NotRun, MemberOutcome::TurnedAway),
            CallOutcome::Misdirected { weights } => {
                if let Some(version) = weights {
                    self.state_weights(at.member, version, StatementSource::Rejection);
                }
                let outcome = match weights {
                    Some(_) => MemberOutcome::Abandoned,
                    None => MemberOutcome::Misdirected,
                };
                (AttemptOutcome::NotRun, outcome)
            }
            CallOutcome::Unreachable => (AttemptOutcome::NotArrived, MemberOutcome::Unreachable),
            CallOutcome::Unsent => (AttemptOutcome::NotArrived, MemberOutcome::Abandoned),
            CallOutcome::Lost => (AttemptOutcome::MayHaveRun, MemberOutcome::Lost),
            CallOutcome::Silent => (AttemptOutcome::MayHaveRun, MemberOutcome::Silent),
            CallOutcome::Cancelled => (AttemptOutcome::MayHaveRun, MemberOutcome::Cancelled),
        };
        guard.end(outcome);
        self.probe_if_lost(outcome, &at).await;
        if outcome.is_about_upstream() {
            self.excluded.push(at.member);
        }
        self.history.record(end);
        self.after_failure(end, &at.upstream, outcome)
    }

    /// Handles a response head: passes a stream on unread, and reads any other body to its end.
    ///
    /// Returns `None` if the request has to be retried.
    async fn read_response(
        &mut self,
        response: UpstreamResponse,
        placement: GuardedPlacement,
        patience: &Patience,
    ) -> Option<AttemptsOutcome> {
        let GuardedPlacement { at, guard } = placement;
        let (head, body) = response.response.into_parts();
        if let Some(version) = header_number(&head.headers, &RESPONSE_WEIGHTS) {
            self.state_weights(at.member, version, StatementSource::Response);
        }
        if self.request.route.kind.is_stream() && head.status.is_success() {
            self.history.record(AttemptOutcome::MayHaveRun);
            return Some(AttemptsOutcome::Stream(Box::new(PlacedStream {
                head,
                body,
                connection: response.connection,
                member: at.member,
                upstream: at.upstream,
                address: at.address,
                software: at.software,
                cancellation: at.cancellation,
                guard,
            })));
        }
        if head.status.is_success() {
            guard.record_first_output();
        }
        let reading = read_response_body(body, &self.request.memory);
        let (end, outcome) = match patience.wait(self.directory, reading).await {
            None => (AttemptOutcome::MayHaveRun, MemberOutcome::Silent),
            Some(Err(_cut_or_too_long)) => (AttemptOutcome::MayHaveRun, MemberOutcome::Lost),
            Some(Ok(body)) => {
                let reusable = reusable_until(&head.headers, self.directory.now());
                let is_failure = head.status.is_server_error();
                let outcome = if is_failure {
                    MemberOutcome::Failed
                } else {
                    MemberOutcome::Answered
                };
                guard.end_with_connection(outcome, response.connection, reusable);
                let complete = BufferedResponse {
                    head,
                    body,
                    upstream: at.upstream.clone(),
                };
                return self.finish_or_retry(complete, at.member, is_failure);
            }
        };
        guard.end(outcome);
        self.probe_if_lost(outcome, &at).await;
        self.excluded.push(at.member);
        self.history.record(end);
        self.after_failure(end, &at.upstream, outcome)
    }

    /// Tells `dispatch` which weights a response states.
    fn state_weights(&self, member: MemberKey, version: u64, source: StatementSource) {
        let statement = WeightsStatement { version, source };
        dispatch::tell(
            self.directory,
            DispatchMail::WeightsStated(member, statement),
        );
    }

    /// Looks for a crash of an upstream that has lost the request.
    async fn probe_if_lost(&self, outcome: MemberOutcome, at: &Placement) {
        if outcome == MemberOutcome::Lost {
            probe_after_loss(self.directory, at.member, at.address).await;
        }
    }

    /// Passes a complete response on, or returns `None` if it is a 5xx response to be retried.
    fn finish_or_retry(
        &mut self,
        complete: BufferedResponse,
        member: MemberKey,
        is_failure: bool,
    ) -> Option<AttemptsOutcome> {
        let end = if is_failure {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::MayHaveRun
        };
        self.history.record(end);
        let route = &self.request.route;
        let next = self.history.next(end, route.kind, route.max_attempts);
        let has_time = !self.request.deadline.is_due(self.directory.now());
        if is_failure && has_time && next == RetryDecision::Retry {
            self.excluded.push(member);
            self.log_retry(&complete.upstream, MemberOutcome::Failed);
            self.failed_response = Some(complete);
            return None;
        }
        Some(AttemptsOutcome::Complete(Box::new(complete)))
    }

    /// Decides what follows a failed attempt; returns `None` if the request has to be retried.
    fn after_failure(
        &mut self,
        end: AttemptOutcome,
        upstream: &str,
        outcome: MemberOutcome,
    ) -> Option<AttemptsOutcome> {
        self.last_failure = Some((upstream.to_owned(), outcome));
        let route = &self.request.route;
        let is_late = self.request.deadline.is_due(self.directory.now());
        match self.history.next(end, route.kind, route.max_attempts) {
            _ if is_late => Some(self.timed_out()),
            RetryDecision::Retry => {
                self.log_retry(upstream, outcome);
                None
            }
            RetryDecision::RefuseNotRun => Some(AttemptsOutcome::NotRun(PlacementRefusal::Busy)),
            RetryDecision::FailUnknown | RetryDecision::Forward => Some(AttemptsOutcome::Unknown),
        }
    }

    fn log_retry(&self, upstream: &str, outcome: MemberOutcome) {
        log_event(
            &REQUEST_RETRIED,
            &[
                ("request", &self.request.id),
                ("upstream", &upstream),
                ("outcome", &outcome.name()),
                ("offers", &self.history.offers),
                ("runs", &self.history.runs),
            ],
        );
    }

    /// Returns how long to wait for a response of an upstream.
    fn patience(&self, now: Moment, member: MemberKey) -> Patience {
        Patience {
            until: self.attempt_deadline(now),
            deadline: self.request.deadline,
            retry: retry_request(self.request, now, &self.excluded, member),
        }
    }

    /// Returns when an attempt without a response is abandoned: at the request's deadline, or
    /// earlier if the request may run again at another upstream.
    fn attempt_deadline(&self, now: Moment) -> Moment {
        let route = &self.request.route;
        let percent = match route.kind {
            RouteKind::Idempotent => RESPONSE_TIMEOUT_PERCENT,
            RouteKind::ResumableStream => STREAM_HEAD_TIMEOUT_PERCENT,
            RouteKind::NonIdempotent | RouteKind::OnceStream => return self.request.deadline,
        };
        if self.history.runs + 1 >= route.max_attempts {
            return self.request.deadline;
        }
        let allowed = Duration::from_millis(route.target_latency_ms * percent / 100);
        now.after(allowed).min(self.request.deadline)
    }

    fn refused(&self, refusal: PlacementRefusal) -> AttemptsOutcome {
        match self.history.give_up() {
            RetryDecision::RefuseNotRun => AttemptsOutcome::NotRun(refusal),
            _ => AttemptsOutcome::Unknown,
        }
    }

    const fn timed_out(&self) -> AttemptsOutcome {
        if self.history.runs == 0 {
            AttemptsOutcome::NotRun(PlacementRefusal::Busy)
        } else {
            AttemptsOutcome::TimedOut
        }
    }
}

impl Drop for RequestAttempts<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            log_abandoned(self.directory, self.request, &self.upstream, self.history);
        }
    }
}

/// Returns the request for a placement at another upstream than `member`, which does not respond.
pub fn retry_request(
    request: &CallerRequest,
    now: Moment,
    excluded: &[MemberKey],
    member: MemberKey,
) -> PlacementRequest {
    let excluded = excluded.iter().copied().chain([member]).collect();
    placement_request(request, now, excluded, true)
}

fn placement_request(
    request: &CallerRequest,
    now: Moment,
    excluded: Vec<MemberKey>,
    is_retry: bool,
) -> PlacementRequest {
    let percent = match request.rank() {
        Rank::Urgent => URGENT_WAIT_PERCENT,
        Rank::Routine => ROUTINE_WAIT_PERCENT,
    };
    let wait_until = |percent: u64| {
        let wait = Duration::from_millis(request.route.target_latency_ms * percent / 100);
        request.received.after(wait).max(now).min(request.deadline)
    };
    PlacementRequest {
        request_id: request.id.clone(),
        service: request.route.service,
        prompt: request.prompt.clone(),
        customer: request.route.customer.clone().unwrap_or_default(),
        stated_tokens: request.stated_tokens,
        body_bytes: request.body.len(),
        excluded,
        software: request.software,
        is_retry,
        received: request.received,
        rank: request.rank(),
        start_by: wait_until(percent),
        deadline: request.deadline,
        prefill_deadline: wait_until(PREFILL_WAIT_PERCENT),
        fingerprint: request.fingerprint,
    }
}

//! The sends of one request, until one brings an answer or none will.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, PlaceAsk, PlaceRefusal};
use super::placement_guard::{PlaceGuard, Placement, place};
use super::request::CallerRequest;
use super::upstream_call::{CallStep, UpstreamAnswer, call, usable_until};
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::Rank;
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::{AttemptOutcome, RetryDecision, SendHistory};
use crate::events::{REQUEST_RETRIED, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::http_link::OpenLink;
use crate::platform::request_headers::{ANSWER_WEIGHTS, number};

/// Share of the objective that urgent work waits for an upstream, in percent.
const URGENT_WAIT_PERCENT: u64 = 70;

/// Share of the objective that other work waits for an upstream, in percent; late answers of it
/// are still worth much.
const ROUTINE_WAIT_PERCENT: u64 = 150;

/// Longest wait for another request's reading of the shared parts, in percent of the route's
/// objective; callers of streams give up at four times the objective.
const READING_WAIT_PERCENT: u64 = 300;

/// Longest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time without an answer after which a request that may be repeated is sent elsewhere, in
/// percent of its objective.
const SILENCE_PERCENT: u64 = 200;

/// The same for the head of a stream.
const STREAM_SILENCE_PERCENT: u64 = 300;

/// An event stream that has begun, and the place that it comes from.
#[derive(Debug)]
pub struct PlacedStream {
    /// Status and headers.
    pub head: Parts,
    /// The stream.
    pub body: Incoming,
    /// The connection that it comes on.
    pub link: OpenLink,
    /// The upstream.
    pub member: MemberKey,
    /// Its identity.
    pub upstream: String,
    /// Gives the place back.
    pub guard: PlaceGuard,
}

/// An answer that was read whole.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
    /// The upstream's identity.
    pub upstream: String,
}

/// How the sends ended.
#[derive(Debug)]
pub enum AttemptsEnd {
    /// An upstream answered.
    Whole(Box<WholeAnswer>),
    /// An upstream has begun a stream.
    Stream(Box<PlacedStream>),
    /// It has not run and never will.
    NotRun(PlaceRefusal),
    /// It failed and may have run.
    Unknown,
    /// Its time is up; it may have run.
    TimedOut,
}

/// Sends of one request, over all upstreams that it is offered to.
#[derive(Debug)]
pub struct RequestAttempts<'a> {
    directory: &'a Directory<GatewayMail>,
    request: &'a CallerRequest,
    /// What is known of the sends so far.
    pub history: SendHistory,
    /// Upstreams that it must not go to again.
    pub excluded: Vec<MemberKey>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Upstream and outcome of the last send that brought no answer, for logs.
    pub last_send: Option<(String, MemberOutcome)>,
    /// Failure that an upstream answered before the request was sent again.
    failure: Option<WholeAnswer>,
}

impl<'a> RequestAttempts<'a> {
    /// Starts with a request that has not been sent.
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
            last_send: None,
            failure: None,
        }
    }

    /// Sends the request until an upstream answers it or no further send is allowed.
    pub async fn run(&mut self) -> AttemptsEnd {
        loop {
            let now = self.directory.now();
            if self.request.deadline.is_due(now) {
                return self.or_failure(self.timed_out());
            }
            let placement = match place(self.directory, self.ask(now)).await {
                Ok(placement) => placement,
                Err(refusal) => return self.or_failure(self.refused(refusal)),
            };
            if let Some(end) = self.send(placement).await {
                return self.or_failure(end);
            }
        }
    }

    /// Prefers a failure that an upstream answered to one of this instance's own.
    fn or_failure(&mut self, end: AttemptsEnd) -> AttemptsEnd {
        match (end, self.failure.take()) {
            (AttemptsEnd::Whole(whole), _) => AttemptsEnd::Whole(whole),
            (AttemptsEnd::Stream(stream), _) => AttemptsEnd::Stream(stream),
            (_, Some(failure)) => AttemptsEnd::Whole(Box::new(failure)),
            (end, None) => end,
        }
    }

    fn ask(&self, now: Moment) -> PlaceAsk {
        let request = self.request;
        let percent = match request.rank() {
            Rank::Urgent => URGENT_WAIT_PERCENT,
            Rank::Routine => ROUTINE_WAIT_PERCENT,
        };
        let due = |percent: u64| {
            let wait = Duration::from_millis(request.route.target_latency_ms * percent / 100);
            request.received.after(wait).max(now).min(request.deadline)
        };
        let start_by = due(percent);
        PlaceAsk {
            request_id: request.id.clone(),
            service: request.route.service,
            prompt: request.prompt.clone(),
            customer: request.route.customer.clone().unwrap_or_default(),
            is_isolated: request.route.is_isolated,
            body_bytes: request.body.len(),
            excluded: self.excluded.clone(),
            is_retry: self.history.arrivals > 0,
            received: request.received,
            rank: request.rank(),
            start_by,
            shared_by: due(READING_WAIT_PERCENT),
            fingerprint: request.fingerprint,
        }
    }

    /// Sends the request to one place; `None` when it is to be sent again.
    async fn send(&mut self, mut placement: Placement) -> Option<AttemptsEnd> {
        let now = self.directory.now();
        let until = self.silence_limit(now);
        let step = call(self.request, &mut placement.at, self.last_event, now, until).await;
        let Placement { at, guard } = placement;
        let (end, outcome) = match step {
            CallStep::Answer(answer) => {
                let placement = Placement { at, guard };
                return self.answered(*answer, placement, until).await;
            }
            CallStep::TurnedAway => (AttemptOutcome::NotRun, MemberOutcome::TurnedAway),
            CallStep::Misdirected { weights } => {
                if let Some(version) = weights {
                    let seen = DispatchMail::SeenWeights(at.member, version);
                    dispatch::tell(self.directory, seen);
                }
                let outcome = match weights {
                    Some(_) => MemberOutcome::Abandoned,
                    None => MemberOutcome::Misdirected,
                };
                (AttemptOutcome::NotRun, outcome)
            }
            CallStep::Unreachable => (AttemptOutcome::NotArrived, MemberOutcome::Unreachable),
            CallStep::Unsent => (AttemptOutcome::NotArrived, MemberOutcome::Abandoned),
            CallStep::Lost => (AttemptOutcome::MayHaveRun, MemberOutcome::Lost),
            CallStep::Silent => (AttemptOutcome::MayHaveRun, MemberOutcome::Silent),
        };
        guard.end(outcome);
        if !matches!(outcome, MemberOutcome::Abandoned) {
            self.excluded.push(at.member);
        }
        self.history.record(end);
        self.after(end, &at.upstream, outcome)
    }

    /// Reads an answer; a success is handed on, a failure may be sent again.
    async fn answered(
        &mut self,
        answer: UpstreamAnswer,
        placement: Placement,
        until: Moment,
    ) -> Option<AttemptsEnd> {
        let Placement { at, guard } = placement;
        let (head, body) = answer.response.into_parts();
        if let Some(version) = number(&head.headers, &ANSWER_WEIGHTS) {
            let seen = DispatchMail::SeenWeights(at.member, version);
            dispatch::tell(self.directory, seen);
        }
        if self.request.route.kind.is_stream() && head.status.is_success() {
            self.history.record(AttemptOutcome::MayHaveRun);
            return Some(AttemptsEnd::Stream(Box::new(PlacedStream {
                head,
                body,
                link: answer.link,
                member: at.member,
                upstream: at.upstream,
                guard,
            })));
        }
        let now = self.directory.now();
        let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let (end, outcome) = match timeout(until.remaining(now), reading).await {
            Err(_elapsed) => (AttemptOutcome::MayHaveRun, MemberOutcome::Silent),
            Ok(Err(_cut)) => (AttemptOutcome::MayHaveRun, MemberOutcome::Lost),
            Ok(Ok(read)) => {
                let usable = usable_until(&head.headers, self.directory.now());
                let is_failure = head.status.is_server_error();
                let outcome = if is_failure {
                    MemberOutcome::Failed
                } else {
                    MemberOutcome::Answered
                };
                guard.end_with_link(outcome, answer.link, usable);
                let whole = WholeAnswer {
                    head,
                    body: read.to_bytes(),
                    upstream: at.upstream,
                };
                return self.judge_whole(whole, at.member, is_failure);
            }
        };
        guard.end(outcome);
        self.excluded.push(at.member);
        self.history.record(end);
        self.after(end, &at.upstream, outcome)
    }

    /// Hands a whole answer on, unless it is a failure that may be tried again elsewhere.
    fn judge_whole(
        &mut self,
        whole: WholeAnswer,
        member: MemberKey,
        is_failure: bool,
    ) -> Option<AttemptsEnd> {
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
            self.log_retry(&whole.upstream, MemberOutcome::Failed);
            self.failure = Some(whole);
            return None;
        }
        Some(AttemptsEnd::Whole(Box::new(whole)))
    }

    fn after(
        &mut self,
        end: AttemptOutcome,
        upstream: &str,
        outcome: MemberOutcome,
    ) -> Option<AttemptsEnd> {
        self.last_send = Some((upstream.to_owned(), outcome));
        let route = &self.request.route;
        let is_late = self.request.deadline.is_due(self.directory.now());
        match self.history.next(end, route.kind, route.max_attempts) {
            _ if is_late => Some(self.timed_out()),
            RetryDecision::Retry => {
                self.log_retry(upstream, outcome);
                None
            }
            RetryDecision::RefuseNotRun => Some(AttemptsEnd::NotRun(PlaceRefusal::Busy)),
            RetryDecision::FailUnknown | RetryDecision::Forward => Some(AttemptsEnd::Unknown),
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

    /// Returns when an unanswered send is given up: at the deadline, or earlier if the request
    /// may be repeated and has a run left.
    fn silence_limit(&self, now: Moment) -> Moment {
        let route = &self.request.route;
        let percent = match route.kind {
            RouteKind::Idempotent => SILENCE_PERCENT,
            RouteKind::ResumableStream => STREAM_SILENCE_PERCENT,
            RouteKind::NonIdempotent | RouteKind::OnceStream => return self.request.deadline,
        };
        if self.history.runs + 1 >= route.max_attempts {
            return self.request.deadline;
        }
        let silence = Duration::from_millis(route.target_latency_ms * percent / 100);
        now.after(silence).min(self.request.deadline)
    }

    fn refused(&self, refusal: PlaceRefusal) -> AttemptsEnd {
        match self.history.give_up() {
            RetryDecision::RefuseNotRun => AttemptsEnd::NotRun(refusal),
            _ => AttemptsEnd::Unknown,
        }
    }

    const fn timed_out(&self) -> AttemptsEnd {
        if self.history.runs == 0 {
            AttemptsEnd::NotRun(PlaceRefusal::Busy)
        } else {
            AttemptsEnd::TimedOut
        }
    }
}

//! Task that forwards an event stream to its caller and resumes it at another upstream if the
//! connection to the first one breaks.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{sleep, sleep_until};

use super::abandonment::log_abandoned;
use super::attempts::{RequestAttempts, retry_request};
use super::attempts_outcome::{AttemptsOutcome, PlacedStream};
use super::cancellation::CancelSignal;
use super::crash_probe::probe_after_loss;
use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::patience::{ALTERNATIVE_INTERVAL, has_alternative};
use super::request::CallerRequest;
use super::stream_backlog::StreamBacklog;
use super::stream_origin::record_begin;
use super::stream_source::{StreamEnd, StreamSource, has_events};
use super::upstream_call::reusable_until;
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::memory_plan::STREAM_BYTES;
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::{AttemptOutcome, RetryDecision, SendHistory};
use crate::events::{STREAM_BODY_ENDED, STREAM_BROKEN, STREAM_RESUMED, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::http_server::ResponseBody;
use crate::platform::request_headers::BodyFraming;
use crate::wire::event_scanner::StreamPosition;
use crate::wire::event_splitter::{EventSplitter, SplitStep};

/// Time without a complete event after which a resumable stream is resumed at another upstream, in
/// percent of the route's target latency for the first event.
const STALL_PERCENT: u64 = 250;

/// State of the task that forwards one stream.
#[derive(Debug)]
struct StreamRelay {
    directory: Directory<GatewayMail>,
    request: CallerRequest,
    /// What was received and the caller has not read.
    backlog: StreamBacklog,
    history: SendHistory,
    excluded: Vec<MemberKey>,
    last_event: Option<u64>,
    /// Time of the last delivered event, or of the head of the current response.
    progress_at: Moment,
    /// Time before which a stalled stream is not given up.
    patient_until: Moment,
    /// Whether the memory for the buffers is reserved.
    has_memory: bool,
    /// Whether the caller has received bytes that are no events, after which nothing can follow.
    is_unsplit: bool,
}

/// Starts a task that forwards a stream and returns the response body for the caller.
#[must_use]
pub fn start(
    directory: Directory<GatewayMail>,
    request: CallerRequest,
    stream: PlacedStream,
    history: SendHistory,
    excluded: Vec<MemberKey>,
) -> ResponseBody {
    let (backlog, body) = StreamBacklog::new();
    let relay = StreamRelay {
        last_event: request.last_event,
        has_memory: false,
        is_unsplit: false,
        progress_at: directory.now(),
        patient_until: Moment::START,
        directory,
        request,
        backlog,
        history,
        excluded,
    };
    tokio::spawn(relay.run(stream));
    body.boxed()
}

impl StreamRelay {
    async fn run(mut self, first: PlacedStream) {
        let mut stream = first;
        loop {
            let PlacedStream {
                head,
                body,
                connection,
                member,
                upstream,
                address,
                software,
                mut cancellation,
                guard,
            } = stream;
            let end = match self.reserve_memory(&mut cancellation).await {
                Ok(()) => {
                    let source = StreamSource {
                        upstream: &upstream,
                        member,
                        software,
                        framing: BodyFraming::of(&head.headers),
                        has_events: has_events(&head),
                        guard: &guard,
                    };
                    self.forward(body, source, &mut cancellation).await
                }
                Err(end) => end,
            };
            match end {
                StreamEnd::Complete => {
                    let reusable = reusable_until(&head.headers, self.directory.now());
                    guard.end_with_connection(MemberOutcome::Answered, connection, reusable);
                    return match self.drain().await {
                        Ok(()) => self.backlog.complete(),
                        Err(StreamEnd::CallerGone) => self.log_abandoned(&upstream),
                        Err(end) => self.abort(&upstream, end).await,
                    };
                }
                // Dropping the guard and the connection cancels the request at the upstream.
                StreamEnd::CallerGone => return self.log_abandoned(&upstream),
                StreamEnd::TimedOut => {
                    drop((guard, connection));
                    return self.abort(&upstream, end).await;
                }
                StreamEnd::Broken(outcome) => {
                    guard.end(outcome);
                    drop(connection);
                    if outcome == MemberOutcome::Lost {
                        probe_after_loss(&self.directory, member, address).await;
                    }
                    if outcome.is_about_upstream() {
                        self.excluded.push(member);
                    }
                }
            }
            let Some(resumed) = self.resume(&upstream).await else {
                // The response is aborted whether or not the caller has read what was received.
                let _drained = self.drain().await;
                return self.abort(&upstream, end).await;
            };
            stream = resumed;
        }
    }

    /// Reserves memory for the buffers of the stream, once; the upstream waits while there is none.
    async fn reserve_memory(&mut self, cancellation: &mut CancelSignal) -> Result<(), StreamEnd> {
        if self.has_memory {
            return Ok(());
        }
        let remaining = self.request.deadline.remaining(self.directory.now());
        tokio::select! {
            () = self.request.memory.grow_for_response(STREAM_BYTES) => {}
            () = self.backlog.gone(&self.request) => return Err(StreamEnd::CallerGone),
            () = cancellation.received() => {
                return Err(StreamEnd::Broken(MemberOutcome::Cancelled));
            }
            () = sleep(remaining) => return Err(StreamEnd::TimedOut),
        }
        self.has_memory = true;
        Ok(())
    }

    /// Forwards the stream of one upstream until it ends, breaks or stalls, or until it is cancelled
    /// because it has not started.
    async fn forward(
        &mut self,
        mut body: Incoming,
        source: StreamSource<'_>,
        cancellation: &mut CancelSignal,
    ) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let mut has_begun = false;
        self.progress_at = self.directory.now();
        loop {
            let now = self.directory.now();
            let has_room = self.backlog.has_room(&self.request, now).await;
            let stalls_at = if has_room {
                self.stall_deadline()
            } else {
                // The upstream is not silent while nothing is read.
                self.progress_at = now;
                self.request.deadline.min(self.backlog.next_ask())
            };
            let clock = self.directory.clock();
            let frame = tokio::select! {
                frame = body.frame(), if has_room => frame,
                advanced = self.backlog.advance(&self.request) => match advanced {
                    Ok(()) => continue,
                    Err(end) => return end,
                },
                () = cancellation.received(), if !has_begun => {
                    return StreamEnd::Broken(MemberOutcome::Cancelled);
                }
                () = sleep_until(clock.instant(stalls_at).into()) => {
                    let now = self.directory.now();
                    if self.request.deadline.is_due(now) {
                        return StreamEnd::TimedOut;
                    }
                    if !has_room {
                        continue;
                    }
                    if self.has_alternative(now, source.member).await {
                        return StreamEnd::Broken(MemberOutcome::Silent);
                    }
                    self.patient_until = now.after(ALTERNATIVE_INTERVAL);
                    continue;
                }
            };
            let data = match frame {
                None => {
                    let position = splitter.position();
                    self.log_body_end(source, position);
                    let end = source.end_at(position);
                    let rest = splitter.take_rest();
                    if end == StreamEnd::Complete && !rest.is_empty() {
                        // Comments after the last event are part of the body.
                        self.backlog.push(rest);
                    }
                    return end;
                }
                Some(Err(_broken)) => return StreamEnd::Broken(MemberOutcome::Lost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers apply to one connection only and are not forwarded.
                    Err(_trailers) => continue,
                },
            };
            if !has_begun && !data.is_empty() {
                has_begun = true;
                source.guard.record_first_output();
            }
            if let Err(end) = self.deliver(source, &mut splitter, data) {
                return end;
            }
        }
    }

    /// Sends received bytes to the caller: of a resumable stream complete events only, of other
    /// bodies the bytes as they were received.
    fn deliver(
        &mut self,
        source: StreamSource<'_>,
        splitter: &mut EventSplitter,
        data: Bytes,
    ) -> Result<(), StreamEnd> {
        if !source.has_events {
            self.is_unsplit = true;
            self.backlog.push(data);
            return Ok(());
        }
        if self.request.route.kind != RouteKind::ResumableStream {
            if !splitter.pass(&data) {
                return Err(StreamEnd::Broken(MemberOutcome::Lost));
            }
            self.backlog.push(data);
            return Ok(());
        }
        splitter.push(&data);
        loop {
            match splitter.next_event() {
                SplitStep::Incomplete => return Ok(()),
                SplitStep::TooLong => return Err(StreamEnd::Broken(MemberOutcome::Lost)),
                // Identifiers ascend, so this is not the continuation that was asked for.
                SplitStep::Event(event) if event.id.is_some() && event.id <= self.last_event => {
                    return Err(StreamEnd::Broken(MemberOutcome::Lost));
                }
                SplitStep::Event(event) => {
                    record_begin(&self.directory, &mut self.request, source.software);
                    self.backlog.push(event.bytes);
                    self.last_event = event.id.or(self.last_event);
                    self.progress_at = self.directory.now();
                }
            }
        }
    }

    /// Hands what was received to the caller, until the deadline.
    async fn drain(&mut self) -> Result<(), StreamEnd> {
        self.backlog
            .drain(&self.request, self.directory.now())
            .await
    }

    /// Returns when the stream counts as stalled: at the request's deadline, or earlier if it can
    /// be resumed.
    fn stall_deadline(&self) -> Moment {
        let route = &self.request.route;
        let may_resume = route.kind == RouteKind::ResumableStream
            && !self.is_unsplit
            && self.history.runs < route.max_attempts;
        if !may_resume {
            return self.request.deadline;
        }
        let stall = Duration::from_millis(route.target_latency_ms * STALL_PERCENT / 100);
        let stalls_at = self.progress_at.after(stall).max(self.patient_until);
        stalls_at.min(self.request.deadline)
    }

    /// Returns whether another upstream can go on with a stream that has stalled at `member`.
    async fn has_alternative(&self, now: Moment, member: MemberKey) -> bool {
        let retry = retry_request(&self.request, now, &self.excluded, member);
        has_alternative(&self.directory, &retry).await
    }

    /// Requests the rest of the stream, after the last delivered event, from another upstream.
    ///
    /// Returns `None` if the stream cannot be resumed or the caller has closed its connection.
    async fn resume(&mut self, upstream: &str) -> Option<PlacedStream> {
        let route = &self.request.route;
        let next = self
            .history
            .next(AttemptOutcome::MayHaveRun, route.kind, route.max_attempts);
        if next != RetryDecision::Retry || self.is_unsplit {
            return None;
        }
        let mut attempts = RequestAttempts::new(&self.directory, &self.request);
        attempts.history = self.history;
        attempts.excluded.clone_from(&self.excluded);
        attempts.last_event = self.last_event;
        let end = tokio::select! {
            end = attempts.run() => end,
            () = self.backlog.gone(&self.request) => return None,
        };
        self.history = attempts.history;
        self.excluded = std::mem::take(&mut attempts.excluded);
        let AttemptsOutcome::Stream(stream) = end else {
            return None;
        };
        if !has_events(&stream.head) {
            return None;
        }
        log_event(
            &STREAM_RESUMED,
            &[
                ("request", &self.request.id),
                ("from", &upstream),
                ("upstream", &stream.upstream),
                ("last_event", &self.last_event.unwrap_or(0)),
            ],
        );
        Some(*stream)
    }

    /// Counts the end of a response body, and logs one that does not show by itself whether the
    /// stream is complete.
    fn log_body_end(&self, source: StreamSource<'_>, position: StreamPosition) {
        let framing = source.framing;
        let mail = DispatchMail::StreamBodyEnded(framing, position);
        dispatch::tell(&self.directory, mail);
        let is_framed = framing != BodyFraming::ConnectionClose;
        if is_framed && position == StreamPosition::BetweenEvents {
            return;
        }
        log_event(
            &STREAM_BODY_ENDED,
            &[
                ("request", &self.request.id),
                ("upstream", &source.upstream),
                ("framing", &framing.name()),
                ("position", &position.name()),
            ],
        );
    }

    fn log_abandoned(&self, upstream: &str) {
        log_abandoned(&self.directory, &self.request, upstream, self.history);
    }

    /// Aborts the caller's connection, and keeps the memory of its buffers until it is closed.
    async fn abort(self, upstream: &str, end: StreamEnd) {
        log_event(
            &STREAM_BROKEN,
            &[
                ("request", &self.request.id),
                ("upstream", &upstream),
                ("end", &format_args!("{end:?}")),
                ("last_event", &self.last_event.unwrap_or(0)),
                ("runs", &self.history.runs),
            ],
        );
        self.backlog.abort(&self.request).await;
    }
}

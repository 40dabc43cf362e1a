//! Task that hands an event stream on to its caller and resumes it elsewhere when it breaks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::attempts::{AttemptsEnd, PlacedStream, RequestAttempts};
use super::mail::GatewayMail;
use super::placement_guard::PlaceGuard;
use super::request::CallerRequest;
use super::upstream_call::usable_until;
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::{AttemptOutcome, RetryDecision, SendHistory};
use crate::events::{STREAM_BROKEN, STREAM_RESUMED, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::http_server::ResponseBody;
use crate::wire::event_cutter::{CutStep, EventCutter};

/// Parts of a stream that wait for a slow caller.
const RELAY_CAPACITY: usize = 8;

/// Time without a part of a resumable stream after which it is resumed elsewhere, in percent of
/// the time in which its first event is on time.
const PAUSE_PERCENT: u64 = 250;

/// A part for the caller; an error in place of one breaks the caller's connection.
type RelayPart = Result<Frame<Bytes>, io::Error>;

/// Body that the caller's connection reads; dropping it ends the task that feeds it.
#[derive(Debug)]
struct RelayBody {
    parts: mpsc::Receiver<RelayPart>,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<RelayPart>> {
        self.parts.poll_recv(cx)
    }
}

/// How the reading of one upstream's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The stream is whole.
    Complete,
    /// The upstream's connection broke or went silent.
    Broken(MemberOutcome),
    /// The caller has gone away.
    CallerGone,
    /// The request's time is up.
    TimedOut,
}

/// One stream on its way to its caller.
#[derive(Debug)]
struct StreamRelay {
    directory: Directory<GatewayMail>,
    request: CallerRequest,
    parts: mpsc::Sender<RelayPart>,
    history: SendHistory,
    excluded: Vec<MemberKey>,
    last_event: Option<u64>,
}

/// Starts the task and returns the body that the caller reads.
#[must_use]
pub fn start(
    directory: Directory<GatewayMail>,
    request: CallerRequest,
    stream: PlacedStream,
    history: SendHistory,
    excluded: Vec<MemberKey>,
) -> ResponseBody {
    let (parts, receiver) = mpsc::channel(RELAY_CAPACITY);
    let relay = StreamRelay {
        last_event: request.last_event,
        directory,
        request,
        parts,
        history,
        excluded,
    };
    tokio::spawn(relay.run(stream));
    RelayBody { parts: receiver }.boxed()
}

impl StreamRelay {
    async fn run(mut self, first: PlacedStream) {
        let mut stream = first;
        loop {
            let PlacedStream {
                head,
                body,
                link,
                member,
                upstream,
                guard,
            } = stream;
            let end = self.hand_on(body, &guard).await;
            match end {
                StreamEnd::Complete => {
                    let usable = usable_until(&head.headers, self.directory.now());
                    guard.end_with_link(MemberOutcome::Answered, link, usable);
                    return;
                }
                // The place and the connection are given up on drop, which cancels the run.
                StreamEnd::CallerGone => return,
                StreamEnd::TimedOut => return self.break_off(&upstream, end).await,
                StreamEnd::Broken(outcome) => {
                    guard.end(outcome);
                    drop(link);
                    self.excluded.push(member);
                }
            }
            match self.resume(&upstream).await {
                Some(resumed) => stream = resumed,
                None => return self.break_off(&upstream, end).await,
            }
        }
    }

    /// Hands on the parts of one upstream's stream.
    async fn hand_on(&mut self, mut body: Incoming, guard: &PlaceGuard) -> StreamEnd {
        let mut cutter = EventCutter::default();
        let mut has_begun = false;
        loop {
            let pause = self.pause_limit();
            let clock = self.directory.clock();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.parts.closed() => return StreamEnd::CallerGone,
                () = sleep_until(clock.instant(pause).into()) => {
                    return if self.request.deadline.is_due(self.directory.now()) {
                        StreamEnd::TimedOut
                    } else {
                        StreamEnd::Broken(MemberOutcome::Silent)
                    };
                }
            };
            let data = match frame {
                None if cutter.is_mid_event() => return StreamEnd::Broken(MemberOutcome::Lost),
                None => return StreamEnd::Complete,
                Some(Err(_broken)) => return StreamEnd::Broken(MemberOutcome::Lost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers belong to one connection.
                    Err(_trailers) => continue,
                },
            };
            if !has_begun && !data.is_empty() {
                has_begun = true;
                guard.note_producing();
            }
            if let Err(end) = self.deliver(&mut cutter, data).await {
                return end;
            }
        }
    }

    /// Delivers received bytes: whole events of a resumable stream, else the bytes as they came.
    async fn deliver(&mut self, cutter: &mut EventCutter, data: Bytes) -> Result<(), StreamEnd> {
        if self.request.route.kind != RouteKind::ResumableStream {
            return self.send(data).await;
        }
        cutter.push(&data);
        loop {
            match cutter.next_event() {
                CutStep::Incomplete => return Ok(()),
                CutStep::TooLong => return Err(StreamEnd::Broken(MemberOutcome::Lost)),
                CutStep::Event(event) => {
                    self.send(event.bytes).await?;
                    self.last_event = event.id.or(self.last_event);
                }
            }
        }
    }

    async fn send(&self, data: Bytes) -> Result<(), StreamEnd> {
        let sent = self.parts.send(Ok(Frame::data(data))).await;
        sent.map_err(|_gone| StreamEnd::CallerGone)
    }

    /// Returns when the next part must have come.
    fn pause_limit(&self) -> Moment {
        let route = &self.request.route;
        let may_resume =
            route.kind == RouteKind::ResumableStream && self.history.runs < route.max_attempts;
        if !may_resume {
            return self.request.deadline;
        }
        let pause = Duration::from_millis(route.target_latency_ms * PAUSE_PERCENT / 100);
        self.directory.now().after(pause).min(self.request.deadline)
    }

    /// Goes on at another upstream after the last event that was delivered.
    async fn resume(&mut self, upstream: &str) -> Option<PlacedStream> {
        let route = &self.request.route;
        let next = self
            .history
            .next(AttemptOutcome::MayHaveRun, route.kind, route.max_attempts);
        if next != RetryDecision::Retry {
            return None;
        }
        let mut attempts = RequestAttempts::new(&self.directory, &self.request);
        attempts.history = self.history;
        attempts.excluded.clone_from(&self.excluded);
        attempts.last_event = self.last_event;
        let end = tokio::select! {
            end = attempts.run() => end,
            () = self.parts.closed() => return None,
        };
        self.history = attempts.history;
        self.excluded = std::mem::take(&mut attempts.excluded);
        let AttemptsEnd::Stream(stream) = end else {
            return None;
        };
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

    /// Breaks the caller's connection, so that a stream that ends early never looks complete.
    async fn break_off(self, upstream: &str, end: StreamEnd) {
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
        let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
        // A caller that has gone away needs no break.
        drop(self.parts.send(Err(broken)).await);
    }
}

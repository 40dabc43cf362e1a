//! Response stream of one ticket: submission to the upstream, events in order, resumption, end.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use super::engine_notice::open_reported;
use super::engine_requests::{resume_request, submit_request};
use super::engine_task::{EngineKind, EngineTarget, ResponseLimits};
use crate::decide::ids::{Repeatability, Ticket};
use crate::decide::ledger::TicketKey;
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Directory, Moment};
use crate::platform::http_client::OpenResponse;
use crate::platform::request_headers::is_event_stream;
use crate::services::common::mail::{LedgerMail, Mail};
use crate::wire::event_scanner::{EventScanner, StreamPosition};
use crate::wire::headers::forwarded_headers;
use crate::wire::rpc::{StreamItem, SubmitCall};
use crate::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};

/// Timeout of the response head of a plain service, which sends it after the work is done.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Time without data after which a connection to a model engine is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for resuming a non-idempotent ticket, whose outcome only this engine knows.
const NON_IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(5);

/// Time limit for resuming an idempotent ticket, which another upstream can run instead.
const IDEMPOTENT_RECOVERY: Duration = Duration::from_millis(300);

/// Pause between two attempts to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of a stream without a new event, with comments and repeated events, after which the engine
/// counts as lost.
const MAX_IDLE_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Payload of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// Response headers of a model engine that are forwarded.
const MODEL_HEADERS: [&str; 3] = ["content-type", "x-cached-pieces", "x-engine-epoch"];

/// First step of a response stream.
#[derive(Debug)]
pub enum StreamOrigin {
    /// Submit the request to the upstream.
    Submit(Arc<SubmitCall>),
    /// Resume from the start a ticket that the engine already has.
    Resume,
}

/// What follows an HTTP exchange for a ticket.
enum StreamStep {
    /// Resume the stream at the next event.
    Resume,
    /// End the stream.
    End(StreamEnd),
}

/// Response stream of one ticket; reports items and the end to the service `ledger`.
#[derive(Debug)]
pub struct EngineStream {
    target: EngineTarget,
    limits: ResponseLimits,
    directory: Directory<Mail>,
    key: TicketKey,
    ticket: Ticket,
    repeatability: Repeatability,
    next_event: u64,
    head_sent: bool,
    epoch: Option<String>,
    recover_by: Moment,
    /// When an engine without a new event counts as lost.
    progress_by: Moment,
}

impl EngineStream {
    /// Creates the stream of a ticket of which nothing has been received.
    #[must_use]
    pub const fn new(
        target: EngineTarget,
        limits: ResponseLimits,
        directory: Directory<Mail>,
        key: TicketKey,
        ticket: Ticket,
        repeatability: Repeatability,
    ) -> Self {
        Self {
            target,
            limits,
            directory,
            key,
            ticket,
            repeatability,
            next_event: 0,
            head_sent: false,
            epoch: None,
            recover_by: Moment::NEVER,
            progress_by: Moment::NEVER,
        }
    }

    /// Runs the stream to its end, at most for its time limit, and reports the end.
    pub async fn run(mut self, origin: StreamOrigin) {
        self.record_progress();
        let end = match timeout(self.limits.total, self.follow(origin)).await {
            Ok(end) => end,
            Err(_elapsed) => self.lost_end(),
        };
        self.report(LedgerMail::ResponseEnded(self.key, end)).await;
    }

    /// Follows the stream through all its connections to its end.
    async fn follow(&mut self, origin: StreamOrigin) -> StreamEnd {
        let mut next = match origin {
            StreamOrigin::Submit(call) => self.submit(&call).await,
            StreamOrigin::Resume => StreamStep::Resume,
        };
        loop {
            match next {
                StreamStep::End(end) => return end,
                StreamStep::Resume if self.progress_by.is_due(self.directory.now()) => {
                    return self.lost_end();
                }
                StreamStep::Resume => next = self.resume().await,
            }
        }
    }

    fn record_progress(&mut self) {
        self.progress_by = self.directory.now().after(self.limits.progress);
    }

    /// Sends the request and streams the response.
    async fn submit(&mut self, call: &SubmitCall) -> StreamStep {
        let Ok(request) = submit_request(self.target, self.ticket, call) else {
            return StreamStep::End(StreamEnd::NotRun(RefusalReason::EngineDown));
        };
        let is_model = self.target.kind == EngineKind::Model;
        let limit = if is_model {
            SILENCE_TIMEOUT
        } else {
            PLAIN_HEAD_TIMEOUT
        };
        match open_reported(&self.directory, self.target.address, request, limit).await {
            Ok(open) if is_model => self.handle_model_response(open).await,
            Ok(open) => self.copy_plain(open).await,
            Err(error) if error.is_unsent() => {
                StreamStep::End(StreamEnd::NotRun(RefusalReason::EngineDown))
            }
            // The engine may have received the request; resuming shows whether it has.
            Err(_) if is_model => StreamStep::Resume,
            Err(_) => StreamStep::End(StreamEnd::Uncertain),
        }
    }

    /// Maps the response status of a model engine to a refusal or streams the response.
    async fn handle_model_response(&mut self, open: OpenResponse) -> StreamStep {
        match open.response.status() {
            StatusCode::CONFLICT => StreamStep::End(StreamEnd::NotRun(RefusalReason::WrongVersion)),
            StatusCode::SERVICE_UNAVAILABLE => {
                StreamStep::End(StreamEnd::NotRun(RefusalReason::Busy))
            }
            status if status.is_success() => self.copy_events(open).await,
            _ => self.copy_plain(open).await,
        }
    }

    /// Reconnects to the stream; ends it if the engine has lost it or remains unreachable.
    async fn resume(&mut self) -> StreamStep {
        let now = self.directory.now();
        if self.recover_by == Moment::NEVER {
            let recovery = match self.repeatability {
                Repeatability::Idempotent => IDEMPOTENT_RECOVERY,
                Repeatability::NonIdempotent => NON_IDEMPOTENT_RECOVERY,
            };
            self.recover_by = now.after(recovery);
        }
        let Ok(request) = resume_request(self.target, self.ticket, self.next_event) else {
            return StreamStep::End(self.lost_end());
        };
        match open_reported(
            &self.directory,
            self.target.address,
            request,
            SILENCE_TIMEOUT,
        )
        .await
        {
            Ok(open) if self.is_same_epoch(&open.response) => self.copy_events(open).await,
            Ok(_) => StreamStep::End(self.lost_end()),
            Err(_) if self.recover_by.is_due(now) => StreamStep::End(self.lost_end()),
            Err(_) => {
                tokio::time::sleep(RESUME_PAUSE).await;
                StreamStep::Resume
            }
        }
    }

    /// Returns the end of a ticket that cannot be resumed.
    const fn lost_end(&self) -> StreamEnd {
        if self.head_sent {
            StreamEnd::EngineLost
        } else {
            StreamEnd::Uncertain
        }
    }

    /// Returns whether the engine knows the ticket and has not restarted since the last response.
    fn is_same_epoch(&self, response: &Response<Incoming>) -> bool {
        let epoch = epoch_of(response.headers());
        let same = self.epoch.is_none() || self.epoch == epoch;
        response.status().is_success() && same
    }

    /// Forwards the events of a model engine until `[DONE]`, a gap or a broken connection.
    async fn copy_events(&mut self, open: OpenResponse) -> StreamStep {
        let OpenResponse {
            response,
            connection,
        } = open;
        let (head, mut body) = response.into_parts();
        self.epoch = epoch_of(&head.headers);
        self.send_head(head.status, &head.headers).await;
        let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
        let mut idle_bytes = 0;
        loop {
            let frame = match timeout(SILENCE_TIMEOUT, body.frame()).await {
                // The engine is slow or the connection is dead; a new connection shows which.
                Err(_elapsed) => {
                    self.recover_by = Moment::NEVER;
                    return StreamStep::Resume;
                }
                Ok(None | Some(Err(_))) => break,
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            decoder.push(&bytes);
            idle_bytes += bytes.len();
            let before = self.next_event;
            match self.forward_events(&mut decoder).await {
                EventsOutcome::More if self.next_event > before => idle_bytes = 0,
                EventsOutcome::More
                    if idle_bytes > MAX_IDLE_BYTES
                        || self.progress_by.is_due(self.directory.now()) =>
                {
                    return StreamStep::End(StreamEnd::EngineLost);
                }
                EventsOutcome::More => {}
                EventsOutcome::Done => {
                    drop(connection);
                    return StreamStep::End(StreamEnd::Complete);
                }
                EventsOutcome::Unreadable => return StreamStep::End(StreamEnd::EngineLost),
            }
        }
        if self.recover_by.is_due(self.directory.now()) {
            // No event has come since an earlier break.
            return StreamStep::End(self.lost_end());
        }
        // The body ended early: the engine has crashed, or only the connection was closed.
        StreamStep::Resume
    }

    /// Reports the complete events of the decoder, without those received before a resumption.
    async fn forward_events(&mut self, decoder: &mut SseDecoder) -> EventsOutcome {
        let mut items = Vec::new();
        let outcome = loop {
            let event = match decoder.next_event() {
                SseStep::NeedMore => break EventsOutcome::More,
                SseStep::TooLarge => break EventsOutcome::Unreadable,
                SseStep::Event(event) => event,
            };
            let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
            if number.is_some_and(|number| number < self.next_event) {
                continue;
            }
            if number.is_some_and(|number| number > self.next_event) {
                break EventsOutcome::Unreadable;
            }
            if event.data == DONE {
                break EventsOutcome::Done;
            }
            self.next_event += 1;
            items.push(StreamItem::Data(event.data));
        };
        if !items.is_empty() {
            self.recover_by = Moment::NEVER;
            self.record_progress();
            self.report(LedgerMail::Items(self.key, items)).await;
        }
        outcome
    }

    /// Forwards a response body as it arrives; an interrupted body, or an event stream that ends
    /// inside an event, ends the ticket.
    async fn copy_plain(&mut self, open: OpenResponse) -> StreamStep {
        let OpenResponse {
            response,
            connection,
        } = open;
        let (head, mut body) = response.into_parts();
        self.send_head(head.status, &head.headers).await;
        let has_events = is_event_stream(&head.headers).unwrap_or(false);
        let mut scanner = EventScanner::default();
        loop {
            match timeout(PLAIN_HEAD_TIMEOUT, body.frame()).await {
                Err(_) | Ok(Some(Err(_))) => return StreamStep::End(StreamEnd::EngineLost),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    for byte in bytes.iter().filter(|_| has_events) {
                        scanner.advance(*byte);
                    }
                    let items = vec![StreamItem::Data(bytes.to_vec())];
                    self.report(LedgerMail::Items(self.key, items)).await;
                }
            }
        }
        drop(connection);
        if scanner.position() == StreamPosition::InsideEvent {
            return StreamStep::End(StreamEnd::EngineLost);
        }
        StreamStep::End(StreamEnd::Complete)
    }

    /// Reports the response head, unless it was reported before a resumption.
    async fn send_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        if self.head_sent {
            return;
        }
        self.head_sent = true;
        let mut headers = forwarded_headers(headers);
        if self.target.kind == EngineKind::Model {
            headers.retain(|(name, _)| MODEL_HEADERS.contains(&name.as_str()));
        }
        let head = StreamItem::Head {
            status: status.as_u16(),
            headers,
        };
        self.report(LedgerMail::Items(self.key, vec![head])).await;
    }

    async fn report(&self, mail: LedgerMail) {
        self.directory
            .send_waiting("ledger", Mail::Ledger(mail))
            .await;
    }
}

/// State of an event stream after the events received so far.
enum EventsOutcome {
    /// More events follow.
    More,
    /// The last event was `[DONE]`.
    Done,
    /// An event is missing or too large.
    Unreadable,
}

/// Returns the engine epoch from response headers.
fn epoch_of(headers: &HeaderMap) -> Option<String> {
    Some(headers.get("x-engine-epoch")?.to_str().ok()?.to_owned())
}

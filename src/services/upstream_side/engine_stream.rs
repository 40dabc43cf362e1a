//! One ticket's exchange with the upstream: start, events in order, resumption, end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::time::timeout;

use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::{Repeatability, Ticket};
use crate::decide::ledger::TicketKey;
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::kernel::{Directory, Moment};
use crate::platform::http_client::{self, HttpError, OpenResponse};
use crate::services::common::mail::{LedgerMail, Mail};
use crate::wire::headers::forwarded_headers;
use crate::wire::rpc::{StreamItem, SubmitCall};
use crate::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};

/// Time for the response head of a plain service, which sends it once it is done.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Silence after which the connection is replaced by a new one.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an unreachable engine is given when only it can tell what became of the ticket.
const NON_IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(5);

/// Time that an unreachable engine is given when the request can run elsewhere.
const IDEMPOTENT_RECOVERY: Duration = Duration::from_millis(300);

/// Pause between two tries to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Payload of the event that ends a whole stream.
const DONE: &[u8] = b"[DONE]";

/// Response headers of a model engine that are passed on.
const MODEL_HEADERS: [&str; 3] = ["content-type", "x-cached-pieces", "x-engine-epoch"];

/// How the exchange begins.
#[derive(Debug)]
pub enum StreamOrigin {
    /// The request is sent to the upstream.
    Submit(Arc<SubmitCall>),
    /// The engine has the request already.
    Resume,
}

/// What the next try is.
enum NextTry {
    /// Resume from the next event.
    Resume,
    /// The stream is over.
    End(StreamEnd),
}

/// Returns the engine's path for resuming a ticket at an event.
#[must_use]
pub fn resume_path(ticket: Ticket, from_event: u64) -> String {
    format!("/requests/{ticket}/stream?from={from_event}")
}

/// One ticket's exchange; reports items and the end to the service `ledger`.
#[derive(Debug)]
pub struct EngineStream {
    target: EngineTarget,
    directory: Directory<Mail>,
    key: TicketKey,
    ticket: Ticket,
    repeatability: Repeatability,
    next_event: u64,
    head_sent: bool,
    epoch: Option<String>,
    recover_by: Moment,
}

impl EngineStream {
    /// Creates the exchange of a ticket that has not begun.
    #[must_use]
    pub const fn new(
        target: EngineTarget,
        directory: Directory<Mail>,
        key: TicketKey,
        ticket: Ticket,
        repeatability: Repeatability,
    ) -> Self {
        Self {
            target,
            directory,
            key,
            ticket,
            repeatability,
            next_event: 0,
            head_sent: false,
            epoch: None,
            recover_by: Moment::NEVER,
        }
    }

    /// Runs the exchange to its end.
    pub async fn run(mut self, origin: StreamOrigin) {
        let mut next = match origin {
            StreamOrigin::Submit(call) => self.submit(&call).await,
            StreamOrigin::Resume => NextTry::Resume,
        };
        let end = loop {
            match next {
                NextTry::End(end) => break end,
                NextTry::Resume => next = self.resume().await,
            }
        };
        self.report(LedgerMail::ResponseEnded(self.key, end)).await;
    }

    async fn submit(&mut self, call: &SubmitCall) -> NextTry {
        let Ok(request) = self.submit_request(call) else {
            return NextTry::End(StreamEnd::NotRun(RefusalReason::EngineDown));
        };
        let is_model = self.target.kind == EngineKind::Model;
        let limit = if is_model {
            SILENCE_TIMEOUT
        } else {
            PLAIN_HEAD_TIMEOUT
        };
        match http_client::open(self.target.address, request, limit).await {
            Ok(open) if is_model => self.accept_model(open).await,
            Ok(open) => self.copy_plain(open).await,
            Err(error) if error.is_unsent() => {
                NextTry::End(StreamEnd::NotRun(RefusalReason::EngineDown))
            }
            // The request may have arrived; only the engine can tell.
            Err(_) if is_model => NextTry::Resume,
            Err(_) => NextTry::End(StreamEnd::Uncertain),
        }
    }

    fn submit_request(&self, call: &SubmitCall) -> Result<Request<Full<Bytes>>, HttpError> {
        let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::POST);
        let mut builder = http_client::request(method, self.target.address, &call.path);
        for (name, value) in &call.headers {
            builder = builder.header(name, value);
        }
        builder = builder.header("x-request-id", self.ticket.to_string());
        if self.target.kind == EngineKind::Model {
            let keys: Vec<String> = call
                .prefix_keys
                .iter()
                .map(|key| format!("{key:016x}"))
                .collect();
            builder = builder
                .header("x-priority", call.rank.0.to_string())
                .header("x-weights-version", &call.version)
                .header("x-prefix-keys", keys.join(","));
        }
        builder
            .body(Full::new(Bytes::from(call.body.clone())))
            .map_err(HttpError::Build)
    }

    async fn accept_model(&mut self, open: OpenResponse) -> NextTry {
        match open.response.status() {
            StatusCode::CONFLICT => NextTry::End(StreamEnd::NotRun(RefusalReason::WrongVersion)),
            StatusCode::SERVICE_UNAVAILABLE => NextTry::End(StreamEnd::NotRun(RefusalReason::Busy)),
            status if status.is_success() => self.copy_events(open).await,
            _ => self.copy_plain(open).await,
        }
    }

    async fn resume(&mut self) -> NextTry {
        let now = self.directory.now();
        if self.recover_by == Moment::NEVER {
            let recovery = match self.repeatability {
                Repeatability::Idempotent => IDEMPOTENT_RECOVERY,
                Repeatability::NonIdempotent => NON_IDEMPOTENT_RECOVERY,
            };
            self.recover_by = now.after(recovery);
        }
        let path = resume_path(self.ticket, self.next_event);
        let request = http_client::request(Method::GET, self.target.address, &path);
        let Ok(request) = request.body(Full::default()) else {
            return NextTry::End(self.lost_end());
        };
        match http_client::open(self.target.address, request, SILENCE_TIMEOUT).await {
            Ok(open) if self.is_same_life(&open.response) => self.copy_events(open).await,
            Ok(_) => NextTry::End(self.lost_end()),
            Err(_) if self.recover_by.is_due(now) => NextTry::End(self.lost_end()),
            Err(_) => {
                tokio::time::sleep(RESUME_PAUSE).await;
                NextTry::Resume
            }
        }
    }

    /// Returns the end of a ticket that the engine does not know any more.
    const fn lost_end(&self) -> StreamEnd {
        if self.head_sent {
            StreamEnd::EngineLost
        } else {
            StreamEnd::Uncertain
        }
    }

    fn is_same_life(&self, response: &Response<Incoming>) -> bool {
        let epoch = epoch_of(response.headers());
        let same = self.epoch.is_none() || self.epoch == epoch;
        response.status().is_success() && same
    }

    async fn copy_events(&mut self, open: OpenResponse) -> NextTry {
        let OpenResponse {
            response,
            connection,
        } = open;
        let (head, mut body) = response.into_parts();
        self.recover_by = Moment::NEVER;
        self.epoch = epoch_of(&head.headers);
        self.send_head(head.status, &head.headers).await;
        let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
        loop {
            let frame = match timeout(SILENCE_TIMEOUT, body.frame()).await {
                // Either nothing is produced yet or the connection is dead; a new one tells.
                Err(_elapsed) => return NextTry::Resume,
                Ok(None | Some(Err(_))) => break,
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            decoder.push(&bytes);
            match self.take_events(&mut decoder).await {
                EventsOutcome::More => {}
                EventsOutcome::Done => {
                    drop(connection);
                    return NextTry::End(StreamEnd::Complete);
                }
                EventsOutcome::Unreadable => return NextTry::End(StreamEnd::EngineLost),
            }
        }
        // Cut before the end: the engine has crashed or only the connection is gone.
        NextTry::Resume
    }

    async fn take_events(&mut self, decoder: &mut SseDecoder) -> EventsOutcome {
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
            self.report(LedgerMail::Items(self.key, items)).await;
        }
        outcome
    }

    async fn copy_plain(&mut self, open: OpenResponse) -> NextTry {
        let OpenResponse {
            response,
            connection,
        } = open;
        let (head, mut body) = response.into_parts();
        self.send_head(head.status, &head.headers).await;
        loop {
            match timeout(PLAIN_HEAD_TIMEOUT, body.frame()).await {
                Err(_) | Ok(Some(Err(_))) => return NextTry::End(StreamEnd::EngineLost),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let items = vec![StreamItem::Data(bytes.to_vec())];
                    self.report(LedgerMail::Items(self.key, items)).await;
                }
            }
        }
        drop(connection);
        NextTry::End(StreamEnd::Complete)
    }

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

enum EventsOutcome {
    More,
    Done,
    Unreadable,
}

fn epoch_of(headers: &HeaderMap) -> Option<String> {
    Some(headers.get("x-engine-epoch")?.to_str().ok()?.to_owned())
}

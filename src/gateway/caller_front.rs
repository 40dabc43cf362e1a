//! I/O task `callers`: answers callers' requests on the caller address.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::attempts::{AttemptsEnd, RequestAttempts};
use super::counters::RequestEnd;
use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, PlaceRefusal};
use super::relay;
use super::request::{CallerRequest, EarlyAnswer};
use crate::decide::fleet::MemberOutcome;
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::SendHistory;
use crate::events::{REQUEST_ANSWERED, REQUEST_FAILED, REQUEST_REFUSED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_server::{RequestHandler, ResponseBody, ServerLimits, serve, whole_body};
use crate::platform::request_headers::{REQUEST_ID, forwarded};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the objective after which a refused caller is asked to come back, in percent.
const RETRY_AFTER_PERCENT: u64 = 50;

/// One in so many answered requests is logged; those that were not answered all are.
const ANSWER_SAMPLE: u64 = 64;

/// Why a request failed that may have run.
#[derive(Debug)]
struct FailedEnding {
    status: StatusCode,
    history: SendHistory,
    /// Upstream of the last send, empty if there was none.
    upstream: String,
    outcome: &'static str,
}

impl FailedEnding {
    fn new(
        status: StatusCode,
        history: SendHistory,
        last_send: Option<(String, MemberOutcome)>,
    ) -> Self {
        let (upstream, outcome) = match last_send {
            Some((upstream, outcome)) => (upstream, outcome.name()),
            None => (String::new(), "none"),
        };
        Self {
            status,
            history,
            upstream,
            outcome,
        }
    }
}

/// Creates the I/O task.
#[must_use]
pub fn callers_task(listener: TcpListener, limits: ServerLimits) -> IoTask<GatewayMail> {
    IoTask::new("callers", move |inbox, directory| {
        run(listener, limits, inbox, directory)
    })
}

async fn run(
    listener: TcpListener,
    limits: ServerLimits,
    mut inbox: Inbox<GatewayMail>,
    directory: Directory<GatewayMail>,
) {
    let (stop, stopped) = oneshot::channel();
    let answering = directory.clone();
    let handler = RequestHandler::new(move |request| answer(answering.clone(), request));
    let serving = serve(listener, handler, limits, stopped);
    tokio::pin!(serving);
    let mut stop = Some(stop);
    loop {
        tokio::select! {
            () = &mut serving => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Stop) => drop(stop.take().map(|stop| stop.send(()))),
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::json!({})),
                Some(_) => {}
                None => return,
            },
        }
    }
}

/// Answers one request.
async fn answer(
    directory: Directory<GatewayMail>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = match CallerRequest::read(&directory, request).await {
        Ok(request) => answer_request(&directory, request).await,
        Err(early) => early_answer(&directory, early, id.as_ref()),
    };
    if let Some(id) = id {
        response.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    response
}

async fn answer_request(
    directory: &Directory<GatewayMail>,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let mut attempts = RequestAttempts::new(directory, &request);
    let end = attempts.run().await;
    let history = attempts.history;
    let excluded = std::mem::take(&mut attempts.excluded);
    let last_send = attempts.last_send.take();
    drop(attempts);
    match end {
        AttemptsEnd::Whole(whole) => {
            log_answered(directory, &request, &whole.upstream, whole.head.status);
            let mut response = Response::new(whole_body(whole.body));
            *response.status_mut() = whole.head.status;
            *response.headers_mut() = forwarded(&whole.head.headers);
            response
        }
        AttemptsEnd::Stream(stream) => {
            log_answered(directory, &request, &stream.upstream, stream.head.status);
            let status = stream.head.status;
            let headers = forwarded(&stream.head.headers);
            let body = relay::start(directory.clone(), request, *stream, history, excluded);
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        AttemptsEnd::NotRun(refusal) => refuse(directory, &request, refusal),
        AttemptsEnd::Unknown => {
            let ending = FailedEnding::new(StatusCode::BAD_GATEWAY, history, last_send);
            fail(directory, &request, &ending)
        }
        AttemptsEnd::TimedOut => {
            let ending = FailedEnding::new(StatusCode::GATEWAY_TIMEOUT, history, last_send);
            fail(directory, &request, &ending)
        }
    }
}

fn early_answer(
    directory: &Directory<GatewayMail>,
    early: EarlyAnswer,
    id: Option<&HeaderValue>,
) -> Response<ResponseBody> {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    count(directory, None, early.name(), Duration::ZERO);
    log_event(
        &REQUEST_REFUSED,
        &[("request", &id), ("reason", &early.name())],
    );
    let mut response = Response::new(whole_body(early.name()));
    *response.status_mut() = early.status();
    match early {
        EarlyAnswer::NotReady => set_retry_after(&mut response, MIN_RETRY_AFTER),
        // What is left of the body would be taken for the next request.
        EarlyAnswer::BodyTooLong | EarlyAnswer::BodyTooSlow | EarlyAnswer::BodyInvalid => {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        EarlyAnswer::Unrouted | EarlyAnswer::Unauthorized | EarlyAnswer::HeadTooLong => {}
    }
    response
}

/// Tells the caller that its request has not run and when to come back.
fn refuse(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    refusal: PlaceRefusal,
) -> Response<ResponseBody> {
    let held = directory.now().since(request.received);
    let held_ms = held.as_millis();
    count(directory, Some(request.route.kind), refusal.name(), held);
    log_event(
        &REQUEST_REFUSED,
        &[
            ("request", &request.id),
            ("reason", &refusal.name()),
            ("held_ms", &held_ms),
            ("configuration", &request.route.version),
        ],
    );
    let wait = Duration::from_millis(request.route.target_latency_ms * RETRY_AFTER_PERCENT / 100);
    let mut response = Response::new(whole_body(refusal.name()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    set_retry_after(&mut response, wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
    response
}

/// Tells the caller that its request failed and may have run.
fn fail(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    ending: &FailedEnding,
) -> Response<ResponseBody> {
    let status = ending.status;
    let held = directory.now().since(request.received);
    let held_ms = held.as_millis();
    let outcome = if status == StatusCode::GATEWAY_TIMEOUT {
        "timed_out"
    } else {
        "failed"
    };
    count(directory, Some(request.route.kind), outcome, held);
    log_event(
        &REQUEST_FAILED,
        &[
            ("request", &request.id),
            ("status", &status.as_u16()),
            ("held_ms", &held_ms),
            ("upstream", &ending.upstream),
            ("outcome", &ending.outcome),
            ("offers", &ending.history.offers),
            ("runs", &ending.history.runs),
            ("configuration", &request.route.version),
        ],
    );
    let mut response = Response::new(whole_body("may have run"));
    *response.status_mut() = status;
    response
}

fn set_retry_after(response: &mut Response<ResponseBody>, wait: Duration) {
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn count(
    directory: &Directory<GatewayMail>,
    kind: Option<RouteKind>,
    outcome: &'static str,
    took: Duration,
) {
    let end = RequestEnd {
        kind,
        outcome,
        took,
    };
    dispatch::tell(directory, DispatchMail::Ended(end));
}

fn log_answered(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    upstream: &str,
    status: StatusCode,
) {
    let took = directory.now().since(request.received);
    let outcome = if status.is_success() {
        "answered"
    } else {
        "answered_with_failure"
    };
    count(directory, Some(request.route.kind), outcome, took);
    if !request.fingerprint.0.is_multiple_of(ANSWER_SAMPLE) && status.is_success() {
        return;
    }
    let took_ms = took.as_millis();
    log_event(
        &REQUEST_ANSWERED,
        &[
            ("request", &request.id),
            ("upstream", &upstream),
            ("status", &status.as_u16()),
            ("took_ms", &took_ms),
        ],
    );
}

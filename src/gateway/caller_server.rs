//! I/O task `callers`: the HTTP server for callers.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::attempts::RequestAttempts;
use super::attempts_outcome::AttemptsOutcome;
use super::counters::RequestEnd;
use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, PlacementRefusal};
use super::relay;
use super::request::{CallerRequest, Rejection};
use super::stream_origin::find_origin;
use crate::decide::fleet::MemberOutcome;
use crate::decide::route_table::RouteKind;
use crate::decide::send_step::SendHistory;
use crate::events::{REQUEST_ANSWERED, REQUEST_FAILED, REQUEST_REFUSED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::http_server::{RequestHandler, ResponseBody, ServerLimits, full_body, serve};
use crate::platform::request_headers::{REQUEST_ID, forwardable_headers};

/// Shortest `Retry-After` time that a rejected caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest `Retry-After` time that a rejected caller is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` time of a rejected caller, in percent of the route's target latency.
const RETRY_AFTER_PERCENT: u64 = 50;

/// `Retry-After` time of a caller whose request is like others that crashed upstreams; a segment of a
/// prompt is refused for at least as long.
const POISONOUS_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Smallest response that counts as unread until its caller has read it, in bytes; a socket takes
/// smaller ones at once.
const UNREAD_BYTES: usize = 64 * 1024;

/// One in this many successful requests is logged; all other requests are.
const SUCCESS_LOG_INTERVAL: u64 = 64;

/// A request that failed and may have run.
#[derive(Debug)]
struct FailedRequest {
    /// Status code of the response to the caller.
    status: StatusCode,
    /// Counts of the attempts.
    history: SendHistory,
    /// Upstream of the last failed attempt, empty if there was none.
    upstream: String,
    /// Outcome of the last failed attempt, `none` if there was none.
    outcome: &'static str,
}

impl FailedRequest {
    fn new(
        status: StatusCode,
        history: SendHistory,
        last_failure: Option<(String, MemberOutcome)>,
    ) -> Self {
        let (upstream, outcome) = match last_failure {
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

/// Creates the I/O task `callers`, which serves callers on `listener`.
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
    let handler_directory = directory.clone();
    let handler = RequestHandler::new(move |request| handle(handler_directory.clone(), request));
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

/// Handles one request and adds its identifier to the response.
async fn handle(
    directory: Directory<GatewayMail>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = match CallerRequest::read(&directory, request).await {
        Ok(request) => run_attempts(&directory, request).await,
        Err(rejection) => reject(&directory, rejection, id.as_ref()),
    };
    if let Some(id) = id {
        response.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    response
}

async fn run_attempts(
    directory: &Directory<GatewayMail>,
    mut request: CallerRequest,
) -> Response<ResponseBody> {
    if let Err(refusal) = find_origin(directory, &mut request).await {
        return respond_not_run(directory, &request, refusal);
    }
    let mut attempts = RequestAttempts::new(directory, &request);
    let end = attempts.run().await;
    let history = attempts.history;
    let excluded = std::mem::take(&mut attempts.excluded);
    let last_failure = attempts.last_failure.take();
    drop(attempts);
    match end {
        AttemptsOutcome::Complete(complete) => {
            log_response(
                directory,
                &request,
                &complete.upstream,
                complete.head.status,
            );
            if complete.body.len() >= UNREAD_BYTES {
                request.mark_unread();
            }
            let mut response = Response::new(full_body(request.memory.hold(complete.body)));
            *response.status_mut() = complete.head.status;
            *response.headers_mut() = forwardable_headers(&complete.head.headers);
            response
        }
        AttemptsOutcome::Stream(stream) => {
            log_response(directory, &request, &stream.upstream, stream.head.status);
            let status = stream.head.status;
            let headers = forwardable_headers(&stream.head.headers);
            let body = relay::start(directory.clone(), request, *stream, history, excluded);
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        AttemptsOutcome::NotRun(refusal) => respond_not_run(directory, &request, refusal),
        AttemptsOutcome::Unknown => {
            let failure = FailedRequest::new(StatusCode::BAD_GATEWAY, history, last_failure);
            respond_failed(directory, &request, &failure)
        }
        AttemptsOutcome::TimedOut => {
            let failure = FailedRequest::new(StatusCode::GATEWAY_TIMEOUT, history, last_failure);
            respond_failed(directory, &request, &failure)
        }
    }
}

fn reject(
    directory: &Directory<GatewayMail>,
    rejection: Rejection,
    id: Option<&HeaderValue>,
) -> Response<ResponseBody> {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    count_request(directory, None, rejection.name(), Duration::ZERO);
    log_event(
        &REQUEST_REFUSED,
        &[("request", &id), ("reason", &rejection.name())],
    );
    let mut response = Response::new(full_body(rejection.name()));
    *response.status_mut() = rejection.status();
    match rejection {
        Rejection::NotReady => set_retry_after(&mut response, MIN_RETRY_AFTER),
        Rejection::NoMemory { is_unread } => {
            set_retry_after(&mut response, MAX_RETRY_AFTER);
            if is_unread {
                set_close(&mut response);
            }
        }
        // Unread bytes of the body would be parsed as the next request.
        Rejection::BodyTooLong | Rejection::BodyTooSlow | Rejection::BodyInvalid => {
            set_close(&mut response);
        }
        Rejection::Unrouted | Rejection::Unauthorized | Rejection::HeadTooLong => {}
    }
    response
}

/// Builds the 429 or 503 response to a request that has not run, with a `Retry-After` header.
fn respond_not_run(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    refusal: PlacementRefusal,
) -> Response<ResponseBody> {
    let elapsed = directory.now().since(request.received);
    let held_ms = elapsed.as_millis();
    count_request(directory, Some(request.route.kind), refusal.name(), elapsed);
    log_event(
        &REQUEST_REFUSED,
        &[
            ("request", &request.id),
            ("reason", &refusal.name()),
            ("held_ms", &held_ms),
            ("configuration", &request.route.version),
        ],
    );
    let wait = retry_after(directory.now(), request, refusal);
    let mut response = Response::new(full_body(refusal.name()));
    *response.status_mut() = match refusal {
        PlacementRefusal::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    set_retry_after(&mut response, wait);
    response
}

/// Returns after which time the caller of a refused request may send it again.
fn retry_after(now: Moment, request: &CallerRequest, refusal: PlacementRefusal) -> Duration {
    let target_ms = request.route.target_latency_ms;
    let usual = Duration::from_millis(target_ms * RETRY_AFTER_PERCENT / 100);
    match refusal {
        PlacementRefusal::Poisonous => POISONOUS_RETRY_AFTER,
        // Spread over the target latency, so that the callers do not all return at once.
        PlacementRefusal::Paused(until) | PlacementRefusal::OverQuota(until) => {
            let spread = request.fingerprint.0 % target_ms.max(1);
            until.remaining(now) + Duration::from_millis(spread)
        }
        _ => usual.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}

/// Builds the 502 or 504 response to a request that failed and may have run.
fn respond_failed(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    failure: &FailedRequest,
) -> Response<ResponseBody> {
    let status = failure.status;
    let elapsed = directory.now().since(request.received);
    let held_ms = elapsed.as_millis();
    let outcome = if status == StatusCode::GATEWAY_TIMEOUT {
        "timed_out"
    } else {
        "failed"
    };
    count_request(directory, Some(request.route.kind), outcome, elapsed);
    log_event(
        &REQUEST_FAILED,
        &[
            ("request", &request.id),
            ("status", &status.as_u16()),
            ("held_ms", &held_ms),
            ("upstream", &failure.upstream),
            ("outcome", &failure.outcome),
            ("offers", &failure.history.offers),
            ("runs", &failure.history.runs),
            ("configuration", &request.route.version),
        ],
    );
    let mut response = Response::new(full_body("may have run"));
    *response.status_mut() = status;
    response
}

fn set_close(response: &mut Response<ResponseBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

fn set_retry_after(response: &mut Response<ResponseBody>, wait: Duration) {
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn count_request(
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
    dispatch::tell(directory, DispatchMail::RequestEnded(end));
}

fn log_response(
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
    count_request(directory, Some(request.route.kind), outcome, took);
    if !request.fingerprint.0.is_multiple_of(SUCCESS_LOG_INTERVAL) && status.is_success() {
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

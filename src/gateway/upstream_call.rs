//! One attempt at one upstream: connects, sends the request and waits for the response head.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, Placement, SendCheck};
use super::patience::Patience;
use super::request::CallerRequest;
use super::upstream_notices::{is_sender, report_notice};
use crate::events::{RESPONSE_MISMATCHED, SEND_WITHDRAWN, log_event};
use crate::kernel::{Directory, Moment, whole_ms};
use crate::platform::http_connection::{OpenConnection, SendError, dial_bounded};
use crate::platform::request_headers::{
    CACHE_DOMAIN, CUSTOMER, DEADLINE_MS, ENGINE_RANK, EXPECTED_UPSTREAM, EXPECTED_WEIGHTS,
    FETCH_FROM, LAST_EVENT, NOT_RUN, REQUEST_ID, RESPONSE_WEIGHTS, SAVE_TO, answers_request,
    forwardable_headers, header_number, idle_timeout, is_authentic_response, set_header,
};

/// Timeout for connecting to an upstream; the round trip to one takes a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest response of an upstream, in bytes, with its head and framing; the connection breaks
/// after it.
pub const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Time for which an idle connection is kept if the upstream sends no `keep-alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Share of the upstream's idle timeout for which a connection is reused, in percent. The rest is a
/// margin for a request that is in transit when the upstream closes the connection.
const IDLE_REUSE_PERCENT: u32 = 60;

/// Longest time for which an idle connection is kept; the peer of an older one may be unreachable.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Status codes that tell a caller that its request has not run. An upstream that has not run it
/// sends the header [`NOT_RUN`] too; without it they are not forwarded.
const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Response of an upstream whose body is still to be read, and its connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status, headers and unread body.
    pub response: Response<Incoming>,
    /// Connection on which the response is received.
    pub connection: OpenConnection,
}

/// Outcome of one attempt, up to the response head.
#[derive(Debug)]
pub enum CallOutcome {
    /// The upstream responded; see [`is_authentic_response`].
    Response(Box<UpstreamResponse>),
    /// The upstream rejected the request without running it.
    TurnedAway,
    /// The address belongs to another upstream, or the upstream runs other weights; the request has
    /// not run.
    Misdirected {
        /// Version of the weights that the expected upstream reports; `None` if it reports none or
        /// the response is from another upstream.
        weights: Option<u64>,
    },
    /// No connection could be made; the request has not run.
    Unreachable,
    /// The connection was closed before the request was sent, or the upstream may have left; the
    /// request has not run.
    Unsent,
    /// The connection broke, or the response is not authentic; the request may have run.
    Lost,
    /// No response head came in time; the request may have run.
    Silent,
    /// The request was cancelled before a response head came, because requests may no longer start
    /// on its weights; it may have run.
    Cancelled,
}

/// Sends a request to the upstream `at` and waits for the response head as long as `patience` says, or
/// until the request is cancelled.
pub async fn call(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    at: &mut Placement,
    last_event: Option<u64>,
    patience: &Patience,
) -> CallOutcome {
    let outgoing = match outgoing_request(request, at, last_event, directory.now()) {
        Ok(outgoing) => outgoing,
        // Cannot happen for headers that were received; only the upstream's name is new text.
        Err(_invalid) => return CallOutcome::Unsent,
    };
    let kept = at.connection.take();
    let is_first_response = kept.is_none();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match dial_bounded(at.address, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES).await {
            Ok(connection) => connection,
            Err(_unreachable) => return CallOutcome::Unreachable,
        },
    };
    if at.valid_until.is_due(directory.now()) && !may_send(directory, request, at).await {
        return CallOutcome::Unsent;
    }
    if at.cancellation.is_due() {
        return CallOutcome::Unsent;
    }
    let exchange = patience.wait(directory, connection.send(outgoing));
    let response = tokio::select! {
        biased;
        response = exchange => response,
        () = at.cancellation.received() => return CallOutcome::Cancelled,
    };
    let response = match response {
        None => return CallOutcome::Silent,
        Some(Ok(response)) => response,
        Some(Err(SendError::Unsent(_))) => return CallOutcome::Unsent,
        Some(Err(SendError::Broken(_) | SendError::Interim)) => return CallOutcome::Lost,
    };
    let id = request.head.headers.get(REQUEST_ID);
    if !answers_request(response.headers(), id, is_first_response) {
        log_event(
            &RESPONSE_MISMATCHED,
            &[
                ("request", &request.id),
                ("upstream", &at.upstream),
                ("status", &response.status().as_u16()),
                ("first", &is_first_response),
            ],
        );
        return CallOutcome::Lost;
    }
    let (status, headers) = (response.status(), response.headers());
    let is_own = is_authentic_response(headers) || headers.contains_key(NOT_RUN);
    report_notice(
        directory,
        at.member,
        &at.upstream,
        status,
        headers,
        at.has_limit && is_own,
    );
    classify_response(at, response, connection)
}

/// Asks `dispatch` whether the request may still be sent to the upstream at which it was placed.
async fn may_send(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    at: &Placement,
) -> bool {
    let ticket = at.ticket;
    let check = dispatch::ask(directory, |reply_to| {
        DispatchMail::CheckSend(ticket, reply_to)
    });
    let reason = match check.await {
        Some(SendCheck::Send) => return true,
        Some(check) => check.name(),
        None => "no_reply",
    };
    log_event(
        &SEND_WITHDRAWN,
        &[
            ("request", &request.id),
            ("upstream", &at.upstream),
            ("reason", &reason),
        ],
    );
    false
}

/// Classifies a response that belongs to the request.
fn classify_response(
    at: &Placement,
    response: Response<Incoming>,
    connection: OpenConnection,
) -> CallOutcome {
    let headers = response.headers();
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        let is_expected = is_sender(headers, &at.upstream);
        let weights = header_number(headers, &RESPONSE_WEIGHTS).filter(|_| is_expected);
        return CallOutcome::Misdirected { weights };
    }
    if headers.contains_key(NOT_RUN) {
        return CallOutcome::TurnedAway;
    }
    if !is_authentic_response(headers) || NOT_RUN_STATUSES.contains(&response.status()) {
        return CallOutcome::Lost;
    }
    CallOutcome::Response(Box::new(UpstreamResponse {
        response,
        connection,
    }))
}

fn outgoing_request(
    request: &CallerRequest,
    at: &Placement,
    last_event: Option<u64>,
    now: Moment,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let target = request.head.uri.path_and_query();
    let target = target.map_or("/", hyper::http::uri::PathAndQuery::as_str);
    let mut outgoing = Request::builder()
        .method(request.head.method.clone())
        .uri(target)
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = outgoing_headers(request, at, last_event, now);
    Ok(outgoing)
}

fn outgoing_headers(
    request: &CallerRequest,
    at: &Placement,
    last_event: Option<u64>,
    now: Moment,
) -> HeaderMap {
    let mut headers = forwardable_headers(&request.head.headers);
    if !headers.contains_key(HOST) {
        let host = request.head.uri.host().unwrap_or_default();
        set_header(&mut headers, HOST, host);
    }
    let remaining_ms = whole_ms(request.deadline.remaining(now)).max(1);
    headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
    set_header(&mut headers, EXPECTED_UPSTREAM, &at.upstream);
    if let Some(customer) = &request.route.customer {
        set_header(&mut headers, CUSTOMER, customer);
    }
    if let Some(last_event) = last_event {
        headers.insert(LAST_EVENT, HeaderValue::from(last_event));
    }
    if request.prompt.is_some() {
        headers.insert(ENGINE_RANK, HeaderValue::from(request.route.engine_rank));
        set_optional_header(&mut headers, EXPECTED_WEIGHTS, at.weights.as_ref());
        set_optional_header(&mut headers, CACHE_DOMAIN, at.cache_domain.as_ref());
        set_optional_header(&mut headers, FETCH_FROM, at.fetch_from.as_ref());
        set_optional_header(&mut headers, SAVE_TO, at.save_to.as_ref());
    }
    headers
}

fn set_optional_header<T: std::fmt::Display>(
    headers: &mut HeaderMap,
    name: HeaderName,
    value: Option<&T>,
) {
    if let Some(value) = value {
        set_header(headers, name, &value.to_string());
    }
}

/// Returns the time until which a connection may be reused after a response with these headers.
#[must_use]
pub fn reusable_until(headers: &HeaderMap, now: Moment) -> Moment {
    let idle = idle_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
    now.after((idle * IDLE_REUSE_PERCENT / 100).min(MAX_IDLE_TIME))
}

//! One request at one upstream: dial, send, and the head of the answer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::mail::Placement;
use super::request::CallerRequest;
use crate::kernel::{Moment, whole_ms};
use crate::platform::http_link::{OpenLink, dial};
use crate::platform::request_headers::{
    ANSWER_WEIGHTS, CACHE_DOMAIN, CUSTOMER, DEADLINE_MS, ENGINE_RANK, EXPECTED_UPSTREAM,
    EXPECTED_WEIGHTS, FETCH_FROM, LAST_EVENT, NOT_RUN, REQUEST_ID, SAVE_TO, forwarded,
    is_own_answer, number, set,
};

/// Longest time for a dial to an upstream; they are a few milliseconds apart.
const DIAL_LIMIT: Duration = Duration::from_millis(250);

/// Time for which a connection is kept whose upstream states none.
const DEFAULT_IDLE: Duration = Duration::from_millis(400);

/// Part of the stated idle time after which a connection is no longer used, in percent; the rest
/// covers a request that is on its way when the upstream closes.
const IDLE_USE_PERCENT: u32 = 60;

/// Longest time for which an idle connection is used; an older one may have gone silent.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Head of an upstream's answer and the connection that it comes on.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// The connection.
    pub link: OpenLink,
}

/// What became of a request that was sent.
#[derive(Debug)]
pub enum CallStep {
    /// The upstream's own answer.
    Answer(Box<UpstreamAnswer>),
    /// The upstream turned the request away without running it.
    TurnedAway,
    /// Another upstream, or other weights, are at the address; not run.
    Misdirected {
        /// Weights that the upstream says it runs.
        weights: Option<u64>,
    },
    /// No connection could be made; not run.
    Unreachable,
    /// The connection was closed before the request was sent; not run.
    Unsent,
    /// It may have run; the connection ended, or what came was no answer of the upstream.
    Lost,
    /// It may have run; no answer came in time.
    Silent,
}

/// Sends a request to a place and waits for the head of the answer until the moment.
pub async fn call(
    request: &CallerRequest,
    at: &mut Placement,
    last_event: Option<u64>,
    now: Moment,
    until: Moment,
) -> CallStep {
    let outgoing = match outgoing_request(request, at, last_event, now) {
        Ok(outgoing) => outgoing,
        // Headers were valid when they were received; the upstream's name is the only other text.
        Err(_invalid) => return CallStep::Unsent,
    };
    let mut link = match at.link.take() {
        Some(link) => link,
        None => match dial(at.address, DIAL_LIMIT).await {
            Ok(link) => link,
            Err(_unreachable) => return CallStep::Unreachable,
        },
    };
    let exchange = link.sender.try_send_request(outgoing);
    let response = match timeout(until.remaining(now), exchange).await {
        Err(_elapsed) => return CallStep::Silent,
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            // The request comes back only if none of it was written.
            return match error.take_message() {
                Some(_unsent) => CallStep::Unsent,
                None => CallStep::Lost,
            };
        }
    };
    judge(request, at, response, link)
}

fn judge(
    request: &CallerRequest,
    at: &Placement,
    response: Response<Incoming>,
    link: OpenLink,
) -> CallStep {
    let headers = response.headers();
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        let named = headers.get("x-instance-id").and_then(|id| id.to_str().ok());
        let is_same = named.is_some_and(|id| id == at.upstream);
        let weights = number(headers, &ANSWER_WEIGHTS).filter(|_| is_same);
        return CallStep::Misdirected { weights };
    }
    if headers.contains_key(NOT_RUN) {
        return CallStep::TurnedAway;
    }
    if !is_own_answer(headers, request.head.headers.get(REQUEST_ID)) {
        return CallStep::Lost;
    }
    CallStep::Answer(Box::new(UpstreamAnswer { response, link }))
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
    let mut headers = forwarded(&request.head.headers);
    if !headers.contains_key(HOST) {
        let host = request.head.uri.host().unwrap_or_default();
        set(&mut headers, HOST, host);
    }
    let left_ms = whole_ms(request.deadline.remaining(now)).max(1);
    headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
    set(&mut headers, EXPECTED_UPSTREAM, &at.upstream);
    if let Some(customer) = &request.route.customer {
        set(&mut headers, CUSTOMER, customer);
    }
    if let Some(last_event) = last_event {
        headers.insert(LAST_EVENT, HeaderValue::from(last_event));
    }
    if request.prompt.is_some() {
        headers.insert(ENGINE_RANK, HeaderValue::from(request.route.engine_rank));
        set_some(&mut headers, EXPECTED_WEIGHTS, at.weights.as_ref());
        set_some(&mut headers, CACHE_DOMAIN, at.cache_domain.as_ref());
        set_some(&mut headers, FETCH_FROM, at.fetch_from.as_ref());
        set_some(&mut headers, SAVE_TO, at.save_to.as_ref());
    }
    headers
}

fn set_some<T: std::fmt::Display>(headers: &mut HeaderMap, name: HeaderName, value: Option<&T>) {
    if let Some(value) = value {
        set(headers, name, &value.to_string());
    }
}

/// Returns the moment until which a connection may be used again after an answer with the headers.
#[must_use]
pub fn usable_until(headers: &HeaderMap, now: Moment) -> Moment {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            let mut fields = value.split(',');
            fields.find_map(|field| field.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
    let idle = stated.map_or(DEFAULT_IDLE, Duration::from_secs);
    now.after((idle * IDLE_USE_PERCENT / 100).min(MAX_IDLE))
}

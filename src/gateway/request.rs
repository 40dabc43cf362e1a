//! A caller's request: reading it, matching it to a route, and the reasons to reject it early.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, RouteLookup};
use crate::decide::ids::Rank;
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::{AdmittedRoute, RouteDecision};
use crate::decide::suspects::Fingerprint;
use crate::kernel::{Directory, Moment};
use crate::platform::request_headers::{
    CUSTOMER_KEY, DEADLINE_MS, LAST_EVENT, REQUEST_ID, header_number, header_text, prompt_shape,
    request_host,
};

/// A request that was read completely and that a route of the configuration admits.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request identifier that the caller sent, empty if it sent none.
    pub id: String,
    /// Method, target and headers as they were received.
    pub head: Parts,
    /// Complete body of the request.
    pub body: Bytes,
    /// Matched route, with the limits that apply to the request.
    pub route: AdmittedRoute,
    /// Model, token counts and prefix of the prompt, if the request is for a model engine.
    pub prompt: Option<Arc<PromptShape>>,
    /// Identifier of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// When the head of the request was received.
    pub received: Moment,
    /// When the caller's deadline or the route's timeout expires, whichever is first.
    pub deadline: Moment,
    /// Hash of customer, method, path and body; equal for repeated requests.
    pub fingerprint: Fingerprint,
}

/// Why a request is rejected before it is sent to any upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The instance has no configuration yet.
    NotReady,
    /// No route matches the request's host and path.
    Unrouted,
    /// The request's API key belongs to no customer.
    Unauthorized,
    /// The request head exceeds the configured limit.
    HeadTooLong,
    /// The request body exceeds the configured limit.
    BodyTooLong,
    /// The request body did not arrive before the deadline.
    BodyTooSlow,
    /// The request body was truncated or is framed incorrectly.
    BodyInvalid,
}

impl Rejection {
    /// Returns the status code of the response to a rejected request.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unrouted => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyInvalid => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the name of the reason in log events, metrics and response bodies.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Unrouted => "unrouted",
            Self::Unauthorized => "unauthorized",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::BodyInvalid => "body_invalid",
        }
    }
}

impl CallerRequest {
    /// Matches a request to a route and reads its body.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected.
    pub async fn read(
        directory: &Directory<GatewayMail>,
        request: Request<Incoming>,
    ) -> Result<Self, Rejection> {
        let received = directory.now();
        let route = admit(directory, &request).await?;
        let (head, body) = request.into_parts();
        if head_bytes(&head) > route.limits.head_bytes {
            return Err(Rejection::HeadTooLong);
        }
        let caller_wait_ms = header_number(&head.headers, &DEADLINE_MS).unwrap_or(u64::MAX);
        let allowed = Duration::from_millis(caller_wait_ms.min(route.timeout_ms));
        let deadline = received.after(allowed);
        let body = read_body(body, route.limits.body_bytes, allowed).await?;
        let customer = route.customer.as_deref().unwrap_or_default();
        let path = head.uri.path();
        Ok(Self {
            id: header_text(&head.headers, &REQUEST_ID)
                .unwrap_or_default()
                .to_owned(),
            prompt: if route.has_prompts {
                prompt_shape(&head.headers).map(Arc::new)
            } else {
                None
            },
            last_event: header_number(&head.headers, &LAST_EVENT),
            fingerprint: Fingerprint::of(customer, head.method.as_str(), path, &body),
            head,
            body,
            route,
            received,
            deadline,
        })
    }

    /// Returns the rank (priority class) of the request.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        if self.route.is_urgent {
            Rank::Urgent
        } else {
            Rank::Routine
        }
    }
}

async fn admit(
    directory: &Directory<GatewayMail>,
    request: &Request<Incoming>,
) -> Result<AdmittedRoute, Rejection> {
    let ask = RouteLookup {
        host: request_host(request).to_owned(),
        path: request.uri().path().to_owned(),
        key: header_text(request.headers(), &CUSTOMER_KEY).map(str::to_owned),
    };
    let step = dispatch::ask(directory, |reply_to| DispatchMail::Route(ask, reply_to)).await;
    match step.flatten() {
        None => Err(Rejection::NotReady),
        Some(RouteDecision::Unrouted) => Err(Rejection::Unrouted),
        Some(RouteDecision::Unauthorized) => Err(Rejection::Unauthorized),
        Some(RouteDecision::Admit(route)) => Ok(route),
    }
}

async fn read_body(body: Incoming, limit: usize, allowed: Duration) -> Result<Bytes, Rejection> {
    let collected = match timeout(allowed, Limited::new(body, limit).collect()).await {
        Ok(collected) => collected,
        Err(_elapsed) => return Err(Rejection::BodyTooSlow),
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLong),
        Err(_cut) => Err(Rejection::BodyInvalid),
    }
}

/// Returns the length of a request head in bytes, without optional whitespace.
fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.to_string().len() + " HTTP/1.1\r\n ".len();
    let fields = head.headers.iter();
    line + fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum::<usize>()
}

//! A caller's request while it is handled: what it asks for and until when.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, RouteAsk};
use crate::decide::ids::Rank;
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::{AdmittedRoute, RouteDecision};
use crate::decide::suspects::Fingerprint;
use crate::kernel::{Directory, Moment};
use crate::platform::request_headers::{
    CUSTOMER_KEY, DEADLINE_MS, LAST_EVENT, REQUEST_ID, host, number, prompt_shape, text,
};

/// A request that was read whole and that the configuration allows.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identity that the caller gave it.
    pub id: String,
    /// Method, target and headers as received.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
    /// What the configuration allows it.
    pub route: AdmittedRoute,
    /// Its prompt, for model engines.
    pub prompt: Option<Arc<PromptShape>>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
    /// When its head was received.
    pub received: Moment,
    /// When the caller stops waiting or the route's time is up.
    pub deadline: Moment,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
}

/// Why a request is answered without having been offered to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyAnswer {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    Unrouted,
    /// Its key belongs to no customer.
    Unauthorized,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// Its body did not come in time.
    BodyTooSlow,
    /// Its body was cut short or is not framed correctly.
    BodyInvalid,
}

impl EarlyAnswer {
    /// Returns the status of the answer.
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

    /// Returns the name in logs.
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
    /// Routes a request and reads its body.
    ///
    /// # Errors
    ///
    /// Returns the answer when the request goes no further.
    pub async fn read(
        directory: &Directory<GatewayMail>,
        request: Request<Incoming>,
    ) -> Result<Self, EarlyAnswer> {
        let received = directory.now();
        let route = admit(directory, &request).await?;
        let (head, body) = request.into_parts();
        if head_bytes(&head) > route.limits.head_bytes {
            return Err(EarlyAnswer::HeadTooLong);
        }
        let waited_ms = number(&head.headers, &DEADLINE_MS).unwrap_or(u64::MAX);
        let allowed = Duration::from_millis(waited_ms.min(route.timeout_ms));
        let deadline = received.after(allowed);
        let body = read_body(body, route.limits.body_bytes, allowed).await?;
        let customer = route.customer.as_deref().unwrap_or_default();
        let path = head.uri.path();
        Ok(Self {
            id: text(&head.headers, &REQUEST_ID)
                .unwrap_or_default()
                .to_owned(),
            prompt: if route.has_prompts {
                prompt_shape(&head.headers).map(Arc::new)
            } else {
                None
            },
            last_event: number(&head.headers, &LAST_EVENT),
            fingerprint: Fingerprint::of(customer, head.method.as_str(), path, &body),
            head,
            body,
            route,
            received,
            deadline,
        })
    }

    /// Returns the request's rank.
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
) -> Result<AdmittedRoute, EarlyAnswer> {
    let ask = RouteAsk {
        host: host(request).to_owned(),
        path: request.uri().path().to_owned(),
        key: text(request.headers(), &CUSTOMER_KEY).map(str::to_owned),
    };
    let step = dispatch::ask(directory, |reply_to| DispatchMail::Route(ask, reply_to)).await;
    match step.flatten() {
        None => Err(EarlyAnswer::NotReady),
        Some(RouteDecision::Unrouted) => Err(EarlyAnswer::Unrouted),
        Some(RouteDecision::Unauthorized) => Err(EarlyAnswer::Unauthorized),
        Some(RouteDecision::Admit(route)) => Ok(route),
    }
}

async fn read_body(body: Incoming, limit: usize, allowed: Duration) -> Result<Bytes, EarlyAnswer> {
    let collected = match timeout(allowed, Limited::new(body, limit).collect()).await {
        Ok(collected) => collected,
        Err(_elapsed) => return Err(EarlyAnswer::BodyTooSlow),
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(EarlyAnswer::BodyTooLong),
        Err(_cut) => Err(EarlyAnswer::BodyInvalid),
    }
}

/// Returns the length of a request's head, as it was sent without optional blanks.
fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.to_string().len() + " HTTP/1.1\r\n ".len();
    let fields = head.headers.iter();
    line + fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum::<usize>()
}

//! A caller's request: reading it, matching it to a route, and the reasons to reject it early.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::dispatch::UnreadResponse;
use super::mail::{GatewayMail, RouteLookup};
use super::memory_guard::{MemoryGuard, find_route};
use crate::decide::hashing::name_hash;
use crate::decide::ids::Rank;
use crate::decide::memory_budget::MemoryUse;
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::{AdmittedRoute, RouteDecision, RouteKind};
use crate::decide::software::SoftwareChoice;
use crate::decide::stream_origins::StreamKey;
use crate::decide::suspects::Fingerprint;
use crate::kernel::{Directory, Moment};
use crate::platform::connection_aborter::ConnectionAborter;
use crate::platform::request_headers::{
    CUSTOMER_KEY, DEADLINE_MS, LAST_EVENT, REQUEST_ID, RESUMES, header_number, header_text,
    prompt_shape, request_host, stated_tokens,
};

/// Bytes by which the reserved memory of a body without a stated length grows.
const GROW_BYTES: usize = 64 * 1024;

/// Longest body of a refused request that is read to its end; a longer one closes its connection.
const MAX_DISCARDED_BYTES: u64 = 4 * 1024 * 1024;

/// Longest time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

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
    /// Tokens of prompt and answer that the caller states.
    pub stated_tokens: Option<u64>,
    /// Identifier of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// Identity of its stream, by the request that brought or brings the first event; `None` if the route
    /// is not resumable or the identifier is missing.
    pub stream: Option<StreamKey>,
    /// Whether the caller takes up a stream that an earlier request has begun.
    pub is_take_up: bool,
    /// Whether an event was passed on to the caller.
    pub has_begun: bool,
    /// Software versions on which the request may run.
    pub software: SoftwareChoice,
    /// When the head of the request was received.
    pub received: Moment,
    /// When the caller's deadline or the route's timeout expires, whichever is first.
    pub deadline: Moment,
    /// Hash of customer, method, path and body; equal for repeated requests.
    pub fingerprint: Fingerprint,
    /// Memory that is reserved for the request.
    pub memory: MemoryGuard,
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
    /// The instance has no memory left for the request.
    NoMemory {
        /// Whether bytes of the body may still arrive on the connection.
        is_unread: bool,
    },
}

impl Rejection {
    /// Returns the status code of the response to a rejected request.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotReady | Self::NoMemory { .. } => StatusCode::SERVICE_UNAVAILABLE,
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
            Self::NoMemory { .. } => "no_memory",
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
        let (head, body) = request.into_parts();
        let known_bytes = known_body_bytes(&body);
        let (route, memory) = admit(directory, &head, known_bytes).await?;
        if head_bytes(&head) > route.limits.head_bytes {
            return Err(Rejection::HeadTooLong);
        }
        let Some(memory) = memory else {
            let is_unread = !discard_body(body);
            return Err(Rejection::NoMemory { is_unread });
        };
        let caller_wait_ms = header_number(&head.headers, &DEADLINE_MS).unwrap_or(u64::MAX);
        let allowed = Duration::from_millis(caller_wait_ms.min(route.timeout_ms));
        let deadline = received.after(allowed);
        let reading = read_body(body, route.limits.body_bytes, known_bytes, &memory);
        let body = match timeout(allowed, reading).await {
            Ok(body) => body?,
            Err(_elapsed) => return Err(Rejection::BodyTooSlow),
        };
        let customer = route.customer.as_deref().unwrap_or_default();
        let path = head.uri.path();
        let is_resumable = route.kind == RouteKind::ResumableStream;
        let begun_by = head.headers.get(&RESUMES);
        let names_event = begun_by.is_some() || head.headers.contains_key(&LAST_EVENT);
        let is_take_up = is_resumable && names_event;
        let first = if names_event { &RESUMES } else { &REQUEST_ID };
        let first = header_text(&head.headers, first).filter(|id| is_resumable && !id.is_empty());
        let service = route.service;
        let stream = first.map(|id| StreamKey {
            service,
            request: name_hash(id),
        });
        Ok(Self {
            id: header_text(&head.headers, &REQUEST_ID)
                .unwrap_or_default()
                .to_owned(),
            prompt: if route.has_prompts {
                prompt_shape(&head.headers).map(Arc::new)
            } else {
                None
            },
            stated_tokens: stated_tokens(&head.headers),
            last_event: header_number(&head.headers, &LAST_EVENT),
            stream,
            is_take_up,
            has_begun: false,
            software: if is_resumable {
                SoftwareChoice::Settled
            } else {
                SoftwareChoice::Any
            },
            fingerprint: Fingerprint::of(customer, head.method.as_str(), path, &body),
            head,
            body,
            route,
            received,
            deadline,
            memory,
        })
    }

    /// Tells `dispatch` that the caller has not read the response.
    pub fn mark_unread(&self) {
        if let Some(aborter) = self.head.extensions.get::<ConnectionAborter>() {
            self.memory.mark_unread(UnreadResponse {
                request: self.id.clone(),
                aborter: aborter.clone(),
            });
        }
    }

    /// Returns the rank (priority class) of the request.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        self.route.rank()
    }
}

async fn admit(
    directory: &Directory<GatewayMail>,
    head: &Parts,
    body_bytes: usize,
) -> Result<(AdmittedRoute, Option<MemoryGuard>), Rejection> {
    let lookup = RouteLookup {
        host: request_host(head).to_owned(),
        path: head.uri.path().to_owned(),
        key: header_text(&head.headers, &CUSTOMER_KEY).map(str::to_owned),
        head_bytes: head_bytes(head),
        body_bytes,
    };
    let Some((decision, memory)) = find_route(directory, lookup).await else {
        return Err(Rejection::NotReady);
    };
    match decision {
        None => Err(Rejection::NotReady),
        Some(RouteDecision::Unrouted) => Err(Rejection::Unrouted),
        Some(RouteDecision::Unauthorized) => Err(Rejection::Unauthorized),
        Some(RouteDecision::Admit(route)) => Ok((route, memory)),
    }
}

/// Returns the bytes of a body that are known before it is read: its length, or one step of a body
/// whose length is not stated.
fn known_body_bytes(body: &Incoming) -> usize {
    let stated = body.size_hint().exact();
    stated.map_or(GROW_BYTES, |stated| {
        usize::try_from(stated).unwrap_or(usize::MAX)
    })
}

/// Reads a body of up to `limit` bytes. `reserved` bytes are reserved already; further ones are
/// reserved before they are kept.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut reserved: usize,
    memory: &MemoryGuard,
) -> Result<Bytes, Rejection> {
    // The frames lie in larger read buffers, which are free again once they are copied.
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Rejection::BodyInvalid);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = read.len() + data.len();
        if size > limit {
            return Err(Rejection::BodyTooLong);
        }
        while size > reserved {
            if !memory.grow(GROW_BYTES as u64, MemoryUse::Body).await {
                let is_unread = !discard_body(body);
                return Err(Rejection::NoMemory { is_unread });
            }
            reserved += GROW_BYTES;
        }
        if read.is_empty() {
            read.reserve(reserved.min(limit));
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// Starts to read the rest of a body without keeping it, beside the response, so that the caller
/// receives the response and can use the connection again. Returns whether the body is short
/// enough for that.
fn discard_body(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_DISCARDED_BYTES {
        return false;
    }
    tokio::spawn(async move {
        let reading = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len) as u64;
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // Dropping a body before its end closes the connection.
        drop(timeout(DISCARD_TIMEOUT, reading).await);
    });
    true
}

/// Returns the length of a request head in bytes, without optional whitespace.
fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.to_string().len() + " HTTP/1.1\r\n ".len();
    let fields = head.headers.iter();
    line + fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum::<usize>()
}

//! Headers of requests and responses on the platform, and their decoding.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderName,
    HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::decide::hashing::name_hash;
use crate::decide::prompt_parts::{PromptSegment, PromptShape};

/// Identifier that a caller gives to one attempt of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time in milliseconds that the sender of a request waits for the response.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Name of the upstream that a request is meant for.
pub const EXPECTED_UPSTREAM: HeaderName = HeaderName::from_static("x-expect-instance");
/// Version of the weights that a request must run on.
pub const EXPECTED_WEIGHTS: HeaderName = HeaderName::from_static("x-expect-version");
/// API key of a customer, sent by callers.
pub const CUSTOMER_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Name of the customer, sent to upstreams.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// Signature of a response by the upstream that produced it.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-server-seal");
/// Set by an upstream that did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Identifier of the last stream event that the receiver has, for resumption after it.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Identifier of the request that brought the first event of a stream, for resumption by its caller.
pub const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Name of the model that a prompt is for.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Number of prompt tokens and largest number of output tokens, separated by a comma.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// Segments of the prompt with their token counts, outermost first.
pub const PROMPT_SEGMENTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Domain in which an engine stores and looks up KV cache entries.
pub const CACHE_DOMAIN: HeaderName = HeaderName::from_static("x-cache-salt");
/// Priority of a request at an engine; 0 is the highest.
pub const ENGINE_RANK: HeaderName = HeaderName::from_static("x-request-priority");
/// Address from which an engine fetches KV cache entries.
pub const FETCH_FROM: HeaderName = HeaderName::from_static("x-kv-fetch");
/// Address of the KV store to which an engine saves KV cache entries.
pub const SAVE_TO: HeaderName = HeaderName::from_static("x-kv-save");
/// Time in seconds after which the sender of a response closes an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Version of the weights that produced a response.
pub const RESPONSE_WEIGHTS: HeaderName = HeaderName::from_static("x-weight-versions");

/// Largest idle timeout that a connection is taken to have, in seconds; peers may state any number.
const MAX_IDLE_TIMEOUT_S: u64 = 3_600;

/// Headers that only this system may set; they are removed from callers' requests.
const RESERVED_HEADERS: [&str; 12] = [
    "x-expect-instance",
    "x-expect-version",
    "x-tenant",
    "x-api-key",
    "x-cache-salt",
    "x-request-priority",
    "x-kv-fetch",
    "x-kv-save",
    "x-kv-backup",
    "x-pin-ms",
    "x-hold",
    "kv-from",
];

/// Returns the trimmed value of a header, or `None` if it is missing or not visible ASCII.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns the value of a header as a number, or `None` if it is missing or not a number.
#[must_use]
pub fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Returns the time after which the sender of a response closes its connection if it is idle, at most
/// [`MAX_IDLE_TIMEOUT_S`]; `None` if the response does not state it.
#[must_use]
pub fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let mut fields = header_text(headers, &KEEP_ALIVE)?.split(',');
    let timeout_s: u64 =
        fields.find_map(|field| field.trim().strip_prefix("timeout=")?.parse().ok())?;
    Some(Duration::from_secs(timeout_s.min(MAX_IDLE_TIMEOUT_S)))
}

/// Returns the tokens of prompt and longest answer that a request states, or `None` if it states none.
#[must_use]
pub fn stated_tokens(headers: &HeaderMap) -> Option<u64> {
    let usage = header_text(headers, &TOKEN_USAGE)?;
    let counts = usage
        .split(',')
        .filter_map(|count| count.trim().parse().ok());
    counts.reduce(u64::saturating_add)
}

/// Decodes the headers that describe a prompt; returns `None` if no model is named.
#[must_use]
pub fn prompt_shape(headers: &HeaderMap) -> Option<PromptShape> {
    let model = header_text(headers, &MODEL)?;
    let usage = header_text(headers, &TOKEN_USAGE).unwrap_or_default();
    let mut counts = usage.split(',').map(|count| count.trim().parse().ok());
    let prompt_tokens = counts.next().flatten().unwrap_or(0);
    let answer_tokens = counts.next().flatten().unwrap_or(0);
    let listed = header_text(headers, &PROMPT_SEGMENTS).unwrap_or_default();
    let parts = listed.split(',').filter_map(|segment| {
        let (id, tokens) = segment.trim().split_once(':')?;
        Some(PromptSegment {
            id: name_hash(id),
            tokens: tokens.parse().ok()?,
        })
    });
    Some(PromptShape {
        model: name_hash(model),
        prompt_tokens,
        answer_tokens,
        segments: parts.collect(),
    })
}

/// Copies the headers that are forwarded: all but hop-by-hop headers and those that only this
/// system may set.
#[must_use]
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_reserved = RESERVED_HEADERS.contains(&name.as_str());
        let is_listed = listed.iter().any(|hop| hop == name.as_str());
        if !is_reserved && !is_listed && !is_hop_by_hop(name) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

/// Returns whether a header applies to one connection only (RFC 9110, section 7.6.1) or to the
/// framing of the body, which is not forwarded.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 7] = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    NAMES.contains(name) || *name == KEEP_ALIVE || name == "proxy-connection"
}

/// Sets a header; does nothing if the value has characters that are invalid in a header.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns whether a response belongs to a request. An upstream may send an earlier response once
/// more, so one that names no request is only accepted as the first one on its connection.
#[must_use]
pub fn answers_request(
    headers: &HeaderMap,
    request_id: Option<&HeaderValue>,
    is_first_response: bool,
) -> bool {
    match (headers.get(REQUEST_ID), request_id) {
        (None, Some(_)) => is_first_response,
        (named, expected) => named == expected,
    }
}

/// Returns whether a response was produced by an upstream: it is signed and has no content encoding.
#[must_use]
pub fn is_authentic_response(headers: &HeaderMap) -> bool {
    headers.contains_key(SIGNATURE) && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns the host of a request from the `host` header or else the target, empty if neither has
/// one.
#[must_use]
pub fn request_host(head: &hyper::http::request::Parts) -> &str {
    let header = header_text(&head.headers, &HOST);
    header.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Returns whether the body of a response consists of events; `None` if it states no media type.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> Option<bool> {
    let media_type = header_text(headers, &CONTENT_TYPE)?.split(';').next()?;
    Some(media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BodyFraming {
    /// The head states the length.
    Length,
    /// The last chunk is marked.
    Chunks,
    /// The body ends with its connection.
    ConnectionClose,
}

impl BodyFraming {
    /// Determines the framing from the headers of a response.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::ConnectionClose
        }
    }

    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::ConnectionClose => "connection_close",
        }
    }
}

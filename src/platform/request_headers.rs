//! Headers of requests and answers on the platform, decoded into what they mean.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::decide::hashing::name_hash;
use crate::decide::prompt_parts::{PromptSegment, PromptShape};

/// Identifies one attempt of a caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds that the caller, or this instance, will wait.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identity of the upstream that a request is meant for.
pub const EXPECTED_UPSTREAM: HeaderName = HeaderName::from_static("x-expect-instance");
/// Version of weights that a request is meant for.
pub const EXPECTED_WEIGHTS: HeaderName = HeaderName::from_static("x-expect-version");
/// Key of a customer.
pub const CUSTOMER_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Name of the customer, as upstreams are told it.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// Signature of the upstream that made an answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-server-seal");
/// Set by an upstream that has not run a request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Last event that the receiver of a stream has.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Name of the model.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Tokens of the prompt and most tokens of the answer.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// Parts of the prompt, outermost first.
pub const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Text under which an engine keeps and finds prompt memory.
pub const CACHE_DOMAIN: HeaderName = HeaderName::from_static("x-cache-salt");
/// Rank at an engine, 0 first.
pub const ENGINE_RANK: HeaderName = HeaderName::from_static("x-request-priority");
/// Address from which an engine fetches prompt memory.
pub const FETCH_FROM: HeaderName = HeaderName::from_static("x-kv-fetch");
/// Address of the store to which an engine saves prompt memory.
pub const SAVE_TO: HeaderName = HeaderName::from_static("x-kv-save");
/// Weights that made an answer.
pub const ANSWER_WEIGHTS: HeaderName = HeaderName::from_static("x-weight-versions");

/// Headers that only this system may set, so that a caller's own are dropped.
const SYSTEM_HEADERS: [&str; 12] = [
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

/// Reads a header as text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Reads a header as a number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Reads what the headers say of a prompt; `None` when they name no model.
#[must_use]
pub fn prompt_shape(headers: &HeaderMap) -> Option<PromptShape> {
    let model = text(headers, &MODEL)?;
    let usage = text(headers, &TOKEN_USAGE).unwrap_or_default();
    let mut amounts = usage.split(',').map(|amount| amount.trim().parse().ok());
    let prompt_tokens = amounts.next().flatten().unwrap_or(0);
    let answer_tokens = amounts.next().flatten().unwrap_or(0);
    let listed = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = listed.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
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

/// Copies headers without those of one connection and those that the system sets itself.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_system = SYSTEM_HEADERS.contains(&name.as_str());
        let is_named = named.iter().any(|listed| listed == name.as_str());
        if !is_system && !is_named && !concerns_connection(name) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn concerns_connection(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 7] = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    NAMES.contains(name) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}

/// Sets a header from text that holds only visible characters; other text is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Tells whether an answer is an upstream's own: signed, for this request, and not encoded.
#[must_use]
pub fn is_own_answer(headers: &HeaderMap, request_id: Option<&HeaderValue>) -> bool {
    let is_signed = headers.contains_key(SIGNATURE);
    let is_plain = !headers.contains_key(CONTENT_ENCODING);
    let answered = headers.get(REQUEST_ID);
    is_signed && is_plain && (answered.is_none() || answered == request_id)
}

/// Returns the host that a request names, by its header or its target.
#[must_use]
pub fn host<B>(request: &hyper::Request<B>) -> &str {
    let named = text(request.headers(), &HOST);
    named.or_else(|| request.uri().host()).unwrap_or_default()
}

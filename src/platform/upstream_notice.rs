//! Decoding of what upstreams say of themselves in the headers of their responses.

use std::time::Duration;

use hyper::header::{HeaderName, RETRY_AFTER};
use hyper::{HeaderMap, StatusCode};

use super::request_headers::header_text;
use crate::decide::member_notice::UpstreamNotice;
use crate::decide::request_limit::{LimitNotice, LimitRate};

/// Set to 1 by an upstream that leaves.
pub const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Longest `Retry-After` time that is taken for one, in seconds; a longer one is an error of the
/// upstream.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;

/// Requests a second that an upstream in need takes from all instances together, as a decimal number;
/// absent from the responses of an upstream without a limit.
pub const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// What a response says of its upstream, and whether a part of it cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeReading {
    /// What the response says.
    pub notice: UpstreamNotice,
    /// Whether a header has a value that is not valid, and is ignored.
    pub has_invalid: bool,
}

/// Reads what a response says of its upstream.
#[must_use]
pub fn read_notice(status: StatusCode, headers: &HeaderMap) -> NoticeReading {
    let mut has_invalid = false;
    let is_leaving = headers.contains_key(SERVER_LEAVING) && {
        let text = header_text(headers, &SERVER_LEAVING);
        has_invalid |= !matches!(text, Some("0" | "1"));
        text == Some("1")
    };
    let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE;
    let pause = if is_rejection && headers.contains_key(RETRY_AFTER) {
        let pause = header_text(headers, &RETRY_AFTER).and_then(retry_after);
        has_invalid |= pause.is_none();
        pause
    } else {
        None
    };
    let limit = if headers.contains_key(SERVER_LIMIT) {
        let rate = header_text(headers, &SERVER_LIMIT).and_then(limit_rate);
        has_invalid |= rate.is_none();
        rate.map_or(LimitNotice::Unstated, LimitNotice::Limited)
    } else {
        LimitNotice::Unlimited
    };
    NoticeReading {
        notice: UpstreamNotice {
            is_leaving,
            pause,
            limit,
        },
        has_invalid,
    }
}

/// Returns the rate of a limit, which is finite and not negative.
fn limit_rate(text: &str) -> Option<LimitRate> {
    let rate: f64 = text.parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then(|| LimitRate::per_second(rate))
}

/// Returns the time of a `Retry-After` header; fractions of a second are accepted, dates are not.
fn retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let is_valid = (0.0..=MAX_RETRY_AFTER_S).contains(&seconds);
    is_valid.then(|| Duration::from_secs_f64(seconds))
}

//! Selection of the headers that are forwarded between callers and upstreams.

use hyper::HeaderMap;

/// Headers that are not forwarded, since they concern one connection or the router only.
const NOT_FORWARDED: [&str; 16] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-idempotent",
    "x-rank",
    "x-request-id",
    "x-run-status",
];

/// Returns the headers to forward; a header whose value is not visible ASCII is left out.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()));
    forwarded
        .filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect()
}

//! Reading of what the responses of upstreams say of them, on every kind of call.

use hyper::{HeaderMap, StatusCode};

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use crate::decide::fleet::MemberKey;
use crate::decide::member_notice::UpstreamNotice;
use crate::events::{NOTICE_IGNORED, log_event};
use crate::kernel::Directory;
use crate::platform::upstream_notice::read_notice;

/// Tells `dispatch` what a response says of its upstream, and returns it. A response that another
/// upstream sent at the address says nothing. `ends_limit` tells whether the upstream had a limit
/// which has ended if the response names none.
#[expect(clippy::must_use_candidate, reason = "most callers only report")]
pub fn report_notice(
    directory: &Directory<GatewayMail>,
    member: MemberKey,
    upstream: &str,
    status: StatusCode,
    headers: &HeaderMap,
    ends_limit: bool,
) -> UpstreamNotice {
    if status == StatusCode::MISDIRECTED_REQUEST && !is_sender(headers, upstream) {
        return UpstreamNotice::default();
    }
    let reading = read_notice(status, headers);
    if reading.has_invalid {
        log_event(
            &NOTICE_IGNORED,
            &[("upstream", &upstream), ("status", &status.as_u16())],
        );
        dispatch::tell(directory, DispatchMail::NoticeIgnored);
    }
    let notice = if ends_limit {
        reading.notice
    } else {
        reading.notice.without_limit_end()
    };
    if !notice.is_empty() {
        dispatch::tell(directory, DispatchMail::UpstreamNotice(member, notice));
    }
    notice
}

/// Returns whether a response names the upstream as its sender.
#[must_use]
pub fn is_sender(headers: &HeaderMap, upstream: &str) -> bool {
    let sender = headers.get("x-instance-id").and_then(|id| id.to_str().ok());
    sender.is_some_and(|id| id == upstream)
}

//! Log of requests whose callers leave before the response is complete.

use super::mail::GatewayMail;
use super::request::CallerRequest;
use crate::decide::send_step::SendHistory;
use crate::events::{REQUEST_ABANDONED, log_event};
use crate::kernel::Directory;

/// Logs that the handling of a request has been dropped; `upstream` is the one that it was last sent
/// to, empty if there was none.
pub fn log_abandoned(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    upstream: &str,
    history: SendHistory,
) {
    let held_ms = directory.now().since(request.received).as_millis();
    log_event(
        &REQUEST_ABANDONED,
        &[
            ("request", &request.id),
            ("held_ms", &held_ms),
            ("upstream", &upstream),
            ("offers", &history.offers),
            ("runs", &history.runs),
            ("configuration", &request.route.version),
        ],
    );
}

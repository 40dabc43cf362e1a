//! Reading of what the responses of the upstream say of it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::engine_task::EngineTarget;
use crate::events::{NOTICE_IGNORED, log_event};
use crate::kernel::Directory;
use crate::platform::http_client::{self, HttpError, OpenResponse};
use crate::platform::upstream_notice::read_notice;
use crate::services::common::mail::{LedgerMail, Mail};

/// Sends a request to the upstream, waits for the response head, and tells the service `ledger` what it
/// says of the upstream.
///
/// # Errors
///
/// Returns [`HttpError`] when the connection fails or no response head arrives within `limit`.
pub async fn open_reported(
    directory: &Directory<Mail>,
    target: EngineTarget,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse, HttpError> {
    let open = http_client::open(target.address, request, limit).await?;
    let status = open.response.status();
    let reading = read_notice(status, open.response.headers());
    if reading.has_invalid {
        log_event(
            &NOTICE_IGNORED,
            &[("upstream", &target.address), ("status", &status.as_u16())],
        );
    }
    if !reading.notice.is_empty() {
        let mail = LedgerMail::EngineNotice(reading.notice);
        directory.send_waiting("ledger", Mail::Ledger(mail)).await;
    }
    Ok(open)
}

//! Calls to the upstream, whose responses may say that it leaves or wants no requests for some time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};

use crate::events::{NOTICE_IGNORED, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::engine_calls::MAX_REPORT_BYTES;
use crate::platform::http_client::{self, CompleteResponse, HttpError, OpenResponse};
use crate::platform::upstream_notice::{NoticeReading, read_notice};
use crate::services::common::mail::{LedgerMail, Mail};
use crate::services::common::wait::sleep_until;
use crate::services::upstream_side::ledger::LEDGER;

/// Interval at which a task that waits for the end of a pause checks whether it still lasts; a restart
/// of the upstream ends it early.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Sends a request to the upstream, waits for the response head, and tells the service `ledger` what it
/// says of the upstream.
///
/// # Errors
///
/// Returns [`HttpError`] when the connection fails or no response head arrives within `limit`.
pub async fn open_reported(
    directory: &Directory<Mail>,
    upstream: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse, HttpError> {
    let open = http_client::open(upstream, request, limit).await?;
    let response = &open.response;
    report(directory, upstream, response.status(), response.headers()).await;
    Ok(open)
}

/// Sends a request to the upstream, reads a response of at most [`MAX_REPORT_BYTES`], and tells the
/// service `ledger` what it says of the upstream.
///
/// # Errors
///
/// Returns [`HttpError`] when the connection fails, the response does not arrive within `limit`, or it is
/// too long.
pub async fn call_reported(
    directory: &Directory<Mail>,
    upstream: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<CompleteResponse, HttpError> {
    let response = http_client::call_bounded(upstream, request, limit, MAX_REPORT_BYTES).await?;
    report_poll(directory, upstream, &response).await;
    Ok(response)
}

/// Tells the service `ledger` what a response says of the upstream.
pub async fn report(
    directory: &Directory<Mail>,
    upstream: SocketAddr,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let reading = read_notice(status, headers);
    report_reading(directory, upstream, status, reading).await;
}

/// Tells the service `ledger` what the response to a poll or an order says of the upstream; it may
/// leave the limit out.
async fn report_poll(
    directory: &Directory<Mail>,
    upstream: SocketAddr,
    response: &CompleteResponse,
) {
    let reading = read_notice(response.status, &response.headers);
    let notice = reading.notice.without_limit_end();
    let reading = NoticeReading { notice, ..reading };
    report_reading(directory, upstream, response.status, reading).await;
}

async fn report_reading(
    directory: &Directory<Mail>,
    upstream: SocketAddr,
    status: StatusCode,
    reading: NoticeReading,
) {
    if reading.has_invalid {
        log_event(
            &NOTICE_IGNORED,
            &[("upstream", &upstream), ("status", &status.as_u16())],
        );
    }
    if !reading.notice.is_empty() {
        let mail = LedgerMail::EngineNotice(reading.notice);
        directory.send_waiting(LEDGER, Mail::Ledger(mail)).await;
    }
}

/// Returns the end of the upstream's pause, if it wants no requests now.
pub async fn pause_end(directory: &Directory<Mail>) -> Option<Moment> {
    let message = |reply_to| Mail::Ledger(LedgerMail::PauseEnd(reply_to));
    directory.ask(LEDGER, message).await?
}

/// Waits until the upstream wants requests.
pub async fn wait_for_pause_end(directory: &Directory<Mail>) {
    while let Some(end) = pause_end(directory).await {
        let check_at = directory.now().after(PAUSE_CHECK_INTERVAL);
        sleep_until(directory, end.min(check_at)).await;
    }
}

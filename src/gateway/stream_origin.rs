//! Software version at which a stream is taken up again.

use std::time::Duration;

use tokio::time::timeout;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, OriginQuery, PlacementRefusal};
use super::origin_log;
use super::origin_search;
use super::request::CallerRequest;
use crate::decide::software::{SoftwareChoice, SoftwareVersion};
use crate::decide::stream_origins::StreamOrigin;
use crate::kernel::Directory;

/// Longest time to wait for the responses of other instances.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time to wait for what other instances have published.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Restricts a request that takes a stream up to upstreams of the version that began the stream.
///
/// # Errors
///
/// Returns the reason for a refusal if the version is not known.
pub async fn find_origin(
    directory: &Directory<GatewayMail>,
    request: &mut CallerRequest,
) -> Result<(), PlacementRefusal> {
    if !request.is_take_up {
        return Ok(());
    }
    let mut known = ask_origin(directory, request, false).await;
    if let (None, Some(stream)) = (known, request.stream) {
        let search = directory.ask(origin_search::NAME, |reply_to| {
            GatewayMail::SearchOrigin(stream, reply_to)
        });
        let _outcome = timeout(SEARCH_TIMEOUT, search).await;
        known = ask_origin(directory, request, false).await;
    }
    if known.is_none() {
        let read = directory.ask(origin_log::NAME, GatewayMail::ReadOrigins);
        let has_read = timeout(READ_TIMEOUT, read).await.ok().flatten();
        known = ask_origin(directory, request, has_read == Some(true)).await;
    }
    let software = known.ok_or(PlacementRefusal::OriginUnknown)?;
    request.software = SoftwareChoice::Only(software);
    Ok(())
}

async fn ask_origin(
    directory: &Directory<GatewayMail>,
    request: &CallerRequest,
    has_read: bool,
) -> Option<SoftwareVersion> {
    let query = OriginQuery {
        service: request.route.service,
        stream: request.stream,
        has_read,
    };
    let origin = dispatch::ask(directory, |reply_to| {
        DispatchMail::FindOrigin(query, reply_to)
    });
    match origin.await {
        Some(StreamOrigin::Known(software)) => Some(software),
        Some(StreamOrigin::Unknown) | None => None,
    }
}

/// Binds a stream to the version of the upstream that sends its first event, and records the version before
/// the event is passed on.
pub fn record_begin(
    directory: &Directory<GatewayMail>,
    request: &mut CallerRequest,
    software: SoftwareVersion,
) {
    if request.has_begun {
        return;
    }
    request.has_begun = true;
    request.software = SoftwareChoice::Only(software);
    if let Some(stream) = request.stream {
        dispatch::tell(directory, DispatchMail::StreamBegan(stream, software));
    }
}

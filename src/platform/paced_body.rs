//! Reading of response bodies that may be large: the time limit applies to a lack of progress.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::http_connection::ConnectionError;

/// Fewest bytes that make progress within the time limit. A slow link that many share carries more;
/// a peer that sends byte by byte does not get more time.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;

/// Longest time for a body, however steadily it arrives.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);

/// Reads a body to its end; `patience` is the time for each [`MIN_PROGRESS_BYTES`] of it.
///
/// # Errors
///
/// Returns [`ConnectionError`] when the body is truncated or too long, or arrives too slowly.
pub async fn collect_paced(
    mut body: Incoming,
    patience: Duration,
) -> Result<Bytes, ConnectionError> {
    let mut collected = BytesMut::new();
    let latest = Instant::now() + MAX_BODY_TIME;
    let mut due = Instant::now() + patience;
    let mut progress = 0;
    loop {
        let frame = timeout_at(due.min(latest), body.frame()).await;
        let frame = frame.map_err(|_elapsed| ConnectionError::Timeout)?;
        let Some(frame) = frame else {
            return Ok(collected.freeze());
        };
        let frame = frame.map_err(|error| ConnectionError::Body(error.to_string()))?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        collected.extend_from_slice(&part);
        progress += part.len();
        if progress >= MIN_PROGRESS_BYTES {
            progress = 0;
            due = Instant::now() + patience;
        }
    }
}

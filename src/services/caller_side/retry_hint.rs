//! When the caller of a refused request is to return.

use std::time::Duration;

use crate::decide::outcome::StreamEnd;
use crate::decide::request_step::RequestEvent;
use crate::decide::service_pause::ServicePause;
use crate::kernel::Moment;

/// Longest time by which the callers of refused requests return later than the first, in
/// milliseconds.
const MAX_SPREAD_MS: u64 = 1_000;

/// Pauses of the upstreams that have refused one request.
#[derive(Debug, Default)]
pub struct RetryHint {
    pause: ServicePause,
}

impl RetryHint {
    /// Records the pause of an upstream if it refuses the request.
    pub fn record(&mut self, now: Moment, event: &RequestEvent, pause: Option<Duration>) {
        let is_refusal = matches!(
            event,
            RequestEvent::Refused(..)
                | RequestEvent::Items {
                    end: Some(StreamEnd::NotRun(_)),
                    ..
                }
        );
        if is_refusal {
            self.pause.record(pause.map(|pause| now.after(pause)));
        }
    }

    /// Returns the time until the first of these upstreams wants requests again, if all of them want
    /// none; spread by the request, so that callers do not return together.
    #[must_use]
    pub fn retry_after(&self, now: Moment, request: u64) -> Option<Duration> {
        let end = self.pause.end()?;
        Some(end.remaining(now) + Duration::from_millis(request % MAX_SPREAD_MS))
    }
}

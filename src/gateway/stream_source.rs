//! Response from which a stream is read, and how it ends.

use hyper::http::response::Parts;

use super::placement_guard::PlacementGuard;
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::software::SoftwareVersion;
use crate::platform::request_headers::{BodyFraming, is_event_stream};
use crate::wire::event_scanner::StreamPosition;

/// How the stream from one upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream was received to its end.
    Complete,
    /// The connection to the upstream broke or stalled.
    Broken(MemberOutcome),
    /// The caller closed its connection.
    CallerGone,
    /// The deadline of the request passed.
    TimedOut,
}

/// Upstream response that a stream is read from.
#[derive(Debug, Clone, Copy)]
pub struct StreamSource<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Key of the upstream.
    pub member: MemberKey,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the body consists of events.
    pub has_events: bool,
    /// Placement of the request at the upstream.
    pub guard: &'a PlacementGuard,
}

impl StreamSource<'_> {
    /// Returns how the stream ended, from the position at the end of its body. The framing shows
    /// only where the body ends, not whether the upstream had sent all of its events.
    #[must_use]
    pub const fn end_at(self, position: StreamPosition) -> StreamEnd {
        let is_framed = !matches!(self.framing, BodyFraming::ConnectionClose);
        match position {
            _ if !self.has_events => StreamEnd::Complete,
            StreamPosition::BetweenEvents => StreamEnd::Complete,
            StreamPosition::Empty if is_framed => StreamEnd::Complete,
            StreamPosition::Empty | StreamPosition::InsideEvent => {
                StreamEnd::Broken(MemberOutcome::Lost)
            }
        }
    }
}

/// Returns whether a response on a streaming route consists of events; one that states no media
/// type does.
#[must_use]
pub fn has_events(head: &Parts) -> bool {
    is_event_stream(&head.headers).unwrap_or(true)
}

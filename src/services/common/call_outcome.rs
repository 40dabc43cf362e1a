//! Results of calls to sidecars.

use std::time::Duration;

use crate::decide::request_step::RequestEvent;
use crate::decide::suspects::CrashId;
use crate::wire::rpc::{QuoteReply, StreamItem};

/// Result of reading items of a ticket's response.
#[derive(Debug)]
pub struct TicketRead {
    /// Event for the state machine of the request.
    pub event: RequestEvent,
    /// Items that the event counts.
    pub items: Vec<StreamItem>,
    /// Crash that the loss of the stated engine would be, or was if the event tells of a loss.
    pub crash: Option<CrashId>,
    /// Time for which the upstream wants no requests.
    pub pause: Option<Duration>,
}

/// Result of a submission.
#[derive(Debug)]
pub struct SubmitOutcome {
    /// Event for the state machine of the request.
    pub event: RequestEvent,
    /// Crash that the loss of the stated engine would be.
    pub crash: Option<CrashId>,
    /// Time for which the upstream wants no requests.
    pub pause: Option<Duration>,
}

impl SubmitOutcome {
    /// Creates the outcome of a call without a reply.
    #[must_use]
    pub const fn without_reply(event: RequestEvent) -> Self {
        Self {
            event,
            crash: None,
            pause: None,
        }
    }
}

impl TicketRead {
    /// Returns the index of the end of the response, if the read has returned it.
    #[must_use]
    pub const fn end_index(&self) -> Option<u64> {
        match self.event {
            RequestEvent::Items {
                from_index,
                count,
                end: Some(_),
            } => Some(from_index + count),
            _ => None,
        }
    }
}

/// Result of a request for a quote.
#[derive(Debug, Clone, Copy)]
pub enum QuoteOutcome {
    /// The sidecar has replied.
    Quote(QuoteReply),
    /// The sidecar accepts no connection.
    Unreachable,
    /// The sidecar has not replied in time.
    Silent,
}

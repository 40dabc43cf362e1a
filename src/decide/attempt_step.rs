//! What a request asks of its owner, and what its owner reports back.

use std::time::Duration;

use super::config::UpstreamKey;
use super::ids::{Incarnation, Repeatability, Ticket};
use super::outcome::{RefusalReason, RunStatus, StreamEnd};
use crate::kernel::Moment;

/// Pause before a failed call is sent again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time that an unreachable sidecar is given when the request can run elsewhere.
const IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(1);

/// Time that an unreachable sidecar is given when only it can tell what became of the request.
const NON_IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(20);

/// Time that the holder of an idempotency key is given to submit its ticket.
pub(super) const FOLLOW_GRACE: Duration = Duration::from_millis(500);

/// What is fixed about a request for all of its attempts.
#[derive(Debug, Clone, Copy)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Whether a lost answer can be continued on another upstream after its first part.
    pub continuable: bool,
    /// Deadline for the start.
    pub start_by: Moment,
    /// Upstreams that may be tried, at least 1.
    pub max_submissions: u32,
}

impl AttemptPolicy {
    /// Returns the time that an unreachable sidecar is given.
    #[must_use]
    pub const fn recovery_time(&self) -> Duration {
        match self.repeatability {
            Repeatability::Idempotent => IDEMPOTENT_RECOVERY,
            Repeatability::NonIdempotent => NON_IDEMPOTENT_RECOVERY,
        }
    }
}

/// Why a request is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitCause {
    /// For the first time.
    Fresh,
    /// Again, because an upstream's queue was too long or it is leaving; nothing has failed.
    Spill,
    /// Again, because an upstream failed; this many retries came before.
    Retry(u32),
}

/// A call to the sidecar of the chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SidecarCall {
    /// Submit the request under the ticket.
    Submit(Ticket),
    /// Read from the index.
    Read(Ticket, u64),
    /// Withdraw the ticket.
    Withdraw(Ticket),
    /// Look the ticket up at the engine after a restart of the sidecar.
    Attach(Ticket),
}

/// What the request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStep {
    /// Choose an upstream that is not excluded and mint a ticket.
    Choose,
    /// Call the sidecar, not before the moment.
    Call {
        /// The chosen upstream.
        upstream: UpstreamKey,
        /// Incarnation of its sidecar that the call is meant for.
        incarnation: Incarnation,
        /// The call.
        call: SidecarCall,
        /// Earliest moment of the call.
        not_before: Moment,
    },
    /// Tell the caller.
    Finish(RunStatus, Option<RefusalReason>),
}

/// What happened to the last step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// An upstream was chosen and a fresh ticket minted.
    Chosen(UpstreamKey, Incarnation, Ticket),
    /// Another ticket holds the idempotency key; its answer is to be read instead.
    Held(UpstreamKey, Incarnation, Ticket),
    /// Another ticket holds the idempotency key, and its upstream is not known any more.
    HolderGone,
    /// No upstream can be chosen.
    NoChoice(RefusalReason),
    /// The submission was accepted.
    Accepted,
    /// The submission was refused without effect.
    Refused(RefusalReason, Incarnation),
    /// The call failed before anything was sent.
    Unsent,
    /// The call may have been acted on, but no answer came.
    Lost,
    /// Consecutive items from the index were received, and maybe the end.
    Items {
        /// Index of the first item.
        from_index: u64,
        /// Number of items.
        count: u64,
        /// How the stream ended, after these items.
        end: Option<StreamEnd>,
    },
    /// The sidecar does not know the ticket; its present incarnation is given.
    UnknownTicket(Incarnation),
    /// The withdrawn ticket has not run and never will.
    WithdrawnUnrun,
    /// The withdrawn ticket ran or runs; its answer can be read.
    WithdrawnLate,
    /// The withdrawn ticket is older than the sidecar remembers.
    WithdrawnForgotten,
    /// The engine knows the ticket; it can be read from the given incarnation.
    Attached(Incarnation),
    /// The engine does not know the ticket.
    NotAttached,
    /// The caller has gone away.
    CallerGone,
}

/// What is certain about the tickets of a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEvidence {
    /// None of them ran or ever will.
    NeverRan,
    /// One of them may have run.
    MayHaveRan,
    /// One of them ran.
    Ran,
}

//! Policy, steps and events of [`RequestState`](super::request_state::RequestState).

use std::time::Duration;

use super::config::UpstreamKey;
use super::ids::{Incarnation, Repeatability, Ticket};
use super::outcome::{RefusalReason, RunStatus, StreamEnd};
use crate::kernel::Moment;

/// Delay before a failed call or an empty read is repeated.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time to wait for an unreachable sidecar if the request can run on another upstream.
const IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(1);

/// Time to wait for an unreachable sidecar if only that sidecar knows whether the request ran.
const NON_IDEMPOTENT_RECOVERY: Duration = Duration::from_secs(20);

/// Time to wait until the holder of an idempotency key has submitted its ticket.
pub(super) const HOLDER_SUBMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Properties of a request that stay the same for all of its attempts.
#[derive(Debug, Clone, Copy)]
pub struct RequestPolicy {
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Whether another upstream can continue an answer that was lost after its first items.
    pub continuable: bool,
    /// Deadline by which the request must start.
    pub start_by: Moment,
    /// Maximum number of submissions, at least 1.
    pub max_submissions: u32,
}

impl RequestPolicy {
    /// Returns the time to wait for an unreachable sidecar.
    #[must_use]
    pub const fn recovery_time(&self) -> Duration {
        match self.repeatability {
            Repeatability::Idempotent => IDEMPOTENT_RECOVERY,
            Repeatability::NonIdempotent => NON_IDEMPOTENT_RECOVERY,
        }
    }
}

/// Reason for a submission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitCause {
    /// First submission of the request.
    First,
    /// Resubmission after an upstream was overloaded or leaving; nothing has failed.
    Spill,
    /// Resubmission after an upstream failed; holds the number of earlier retries.
    Retry(u32),
}

/// Call to the sidecar of the chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SidecarCall {
    /// Submit the request under the ticket.
    Submit(Ticket),
    /// Read the items of the ticket's answer from the index.
    Read(Ticket, u64),
    /// Withdraw the ticket.
    Withdraw(Ticket),
    /// Attach a restarted sidecar to a ticket that its engine may still run.
    Attach(Ticket),
}

/// Next action of a request, executed by the owner of its
/// [`RequestState`](super::request_state::RequestState).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStep {
    /// Choose an upstream that is not excluded and issue a ticket.
    Choose,
    /// Call the sidecar of an upstream.
    Call {
        /// The chosen upstream.
        upstream: UpstreamKey,
        /// Incarnation of the sidecar that the call is addressed to.
        incarnation: Incarnation,
        /// Operation to call.
        call: SidecarCall,
        /// Earliest time of the call.
        not_before: Moment,
    },
    /// Report the status to the caller, with the reason of the last refusal if there is one.
    Finish(RunStatus, Option<RefusalReason>),
}

/// Result of a [`RequestStep`], or an event that interrupts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEvent {
    /// An upstream was chosen and a new ticket issued.
    Chosen(UpstreamKey, Incarnation, Ticket),
    /// Another ticket holds the idempotency key; its answer is read instead.
    Held(UpstreamKey, Incarnation, Ticket),
    /// Another ticket holds the idempotency key, and its upstream is no longer configured.
    HolderGone,
    /// No ticket could be issued, for the given reason.
    NoChoice(RefusalReason),
    /// The sidecar accepted the submission.
    Accepted,
    /// The sidecar of the given incarnation refused the submission without effect.
    Refused(RefusalReason, Incarnation),
    /// The call failed before anything was sent.
    Unsent,
    /// No reply arrived; the sidecar may have executed the call.
    Lost,
    /// A read returned consecutive items of the answer.
    Items {
        /// Index of the first item.
        from_index: u64,
        /// Number of items.
        count: u64,
        /// End of the stream after these items; `None` while the ticket runs.
        end: Option<StreamEnd>,
    },
    /// The sidecar, of the given incarnation, does not know the ticket.
    UnknownTicket(Incarnation),
    /// The withdrawn ticket has not run and will not run.
    WithdrawnUnrun,
    /// The withdrawn ticket has already started; its answer can be read.
    WithdrawnLate,
    /// The ledger no longer holds the withdrawn ticket; it may have run.
    WithdrawnForgotten,
    /// The engine runs the ticket; the sidecar of the given incarnation can read it.
    Attached(Incarnation),
    /// The engine does not know the ticket.
    NotAttached,
    /// The caller has closed its connection.
    CallerGone,
}

/// Knowledge about whether any ticket of a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEvidence {
    /// No ticket has run or will run.
    NeverRan,
    /// A ticket may have run.
    MayHaveRan,
    /// A ticket has run.
    Ran,
}

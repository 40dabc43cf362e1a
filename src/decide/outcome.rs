//! Final status of a request, refusal reasons, and the end of an answer stream.

/// Whether a request ran; every response to a caller carries this status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// The request did not run and its tickets will not run.
    NotRun,
    /// The request ran and the answer is complete.
    Complete,
    /// The request ran and the answer cannot be completed.
    Incomplete,
    /// The request may have run; no process can tell.
    Unknown,
}

impl RunStatus {
    /// Returns the value of the status header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Complete => "complete",
            Self::Incomplete => "incomplete",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for which a request was refused before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The expected wait at the upstream exceeds the limit of the request.
    Busy,
    /// The queue of the upstream is full.
    QueueFull,
    /// The request could not start by its deadline.
    StartDeadline,
    /// The customer has reached its limit of requests in flight.
    CustomerLimit,
    /// The upstream is leaving and accepts no new requests.
    Leaving,
    /// The upstream's engine cannot be reached.
    EngineDown,
    /// The upstream's engine does not run the version that the request was admitted for.
    WrongVersion,
    /// The sidecar has restarted since its last reply to the entry.
    WrongIncarnation,
    /// The ticket was withdrawn.
    Withdrawn,
    /// The ledger no longer holds the ticket, which may have run.
    Forgotten,
    /// Equal requests have been running in too many engine crashes.
    Poisonous,
    /// No upstream serves the request.
    NoUpstream,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The claim on the idempotency key cannot be recorded now.
    ClaimUnavailable,
    /// No configuration has been received yet.
    NoConfiguration,
    /// The idempotency key belongs to a different request.
    KeyConflict,
    /// The idempotency key is too old to tell whether its request ran.
    KeyExpired,
    /// The upstream wants no requests before the request has to start.
    Paused,
}

impl RefusalReason {
    /// All reasons with their codes in error bodies, which must not change.
    pub const TABLE: [(Self, &'static str); 18] = [
        (Self::Busy, "busy"),
        (Self::QueueFull, "queue_full"),
        (Self::StartDeadline, "start_deadline"),
        (Self::CustomerLimit, "customer_limit"),
        (Self::Leaving, "leaving"),
        (Self::EngineDown, "engine_down"),
        (Self::WrongVersion, "wrong_version"),
        (Self::WrongIncarnation, "wrong_incarnation"),
        (Self::Withdrawn, "withdrawn"),
        (Self::Forgotten, "forgotten"),
        (Self::Poisonous, "poisonous"),
        (Self::NoUpstream, "no_upstream"),
        (Self::RetryBudget, "retry_budget"),
        (Self::ClaimUnavailable, "claim_unavailable"),
        (Self::NoConfiguration, "no_configuration"),
        (Self::KeyConflict, "idempotency_conflict"),
        (Self::KeyExpired, "idempotency_expired"),
        (Self::Paused, "upstreams_paused"),
    ];

    /// Returns whether the refusal is due to load or a leaving upstream, not to a failure.
    #[must_use]
    pub const fn is_spill(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::QueueFull | Self::Leaving | Self::Paused
        )
    }

    /// Returns the code of the reason in error bodies.
    ///
    /// # Panics
    ///
    /// Panics if [`RefusalReason::TABLE`] lacks the reason.
    #[must_use]
    pub fn code(self) -> &'static str {
        let row = Self::TABLE.iter().find(|(reason, _)| *reason == self);
        row.map(|(_, code)| *code)
            .expect("`TABLE` contains every reason")
    }

    /// Parses a code returned by [`RefusalReason::code`].
    #[must_use]
    pub fn parse(code: &str) -> Option<Self> {
        Self::TABLE
            .iter()
            .find(|(_, text)| *text == code)
            .map(|(reason, _)| *reason)
    }
}

/// End of the answer stream of one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// All items have been produced.
    Complete,
    /// The ticket was removed from the queue before it started.
    NotRun(RefusalReason),
    /// The engine was lost after it had started the ticket.
    EngineLost,
    /// The ticket may have started; the engine cannot tell.
    Uncertain,
    /// The ticket was cancelled while it ran.
    Cancelled,
}

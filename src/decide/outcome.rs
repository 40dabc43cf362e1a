//! What callers are told about a request.

/// Says whether a request ran; every response carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// It did not run and never will under its ticket.
    NotRun,
    /// It ran and the answer is whole.
    Complete,
    /// It ran and cannot be finished.
    Incomplete,
    /// It may have run and nobody can tell.
    Unknown,
}

impl RunStatus {
    /// Returns the header form.
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

/// Why a request was refused before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The queue of the upstream is longer than the request may wait.
    Busy,
    /// The queue of the upstream is full.
    QueueFull,
    /// The request could not start by its deadline.
    StartDeadline,
    /// The customer is over its limit.
    CustomerLimit,
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// The upstream's engine cannot be reached.
    EngineDown,
    /// The upstream's engine does not run the version that the request was admitted for.
    WrongVersion,
    /// The sidecar has restarted since the caller last heard from it.
    WrongIncarnation,
    /// The ticket was withdrawn.
    Withdrawn,
    /// The ticket is older than the sidecar remembers; it may have run.
    Forgotten,
    /// The same request has crashed upstreams before.
    Poisonous,
    /// No upstream serves the request.
    NoUpstream,
    /// The retry budget is used up.
    RetryBudget,
    /// The claim on the idempotency key cannot be recorded at present.
    ClaimUnavailable,
    /// No configuration has been received yet.
    NoConfiguration,
    /// The idempotency key belongs to a different request.
    KeyConflict,
    /// The idempotency key is too old to tell whether its request ran.
    KeyExpired,
}

impl RefusalReason {
    /// All reasons with their stable codes in error bodies.
    pub const TABLE: [(Self, &'static str); 17] = [
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
    ];

    /// Tells whether nothing has failed: a queue is too long, or the upstream is leaving.
    #[must_use]
    pub const fn is_spill(self) -> bool {
        matches!(self, Self::Busy | Self::QueueFull | Self::Leaving)
    }

    /// Returns the stable code used in error bodies.
    ///
    /// # Panics
    ///
    /// Panics when [`RefusalReason::TABLE`] misses a reason.
    #[must_use]
    pub fn code(self) -> &'static str {
        let row = Self::TABLE.iter().find(|(reason, _)| *reason == self);
        row.map(|(_, code)| *code)
            .expect("the table holds every reason")
    }

    /// Reads the form returned by [`RefusalReason::code`].
    #[must_use]
    pub fn parse(code: &str) -> Option<Self> {
        Self::TABLE
            .iter()
            .find(|(_, text)| *text == code)
            .map(|(reason, _)| *reason)
    }
}

/// How the stream of one ticket ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every item up to the end has been produced.
    Complete,
    /// The ticket left the queue without having started.
    NotRun(RefusalReason),
    /// The engine was lost after the ticket had started.
    EngineLost,
    /// The ticket may have started; the engine does not know or cannot tell.
    Uncertain,
    /// The ticket was cancelled while it ran.
    Cancelled,
}

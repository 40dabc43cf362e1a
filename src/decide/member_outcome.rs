//! Outcome of a request at an upstream.

/// How a request ended at an upstream, classified by what it shows about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOutcome {
    /// The request was answered.
    Answered,
    /// The upstream responded with a failure of its own.
    Failed,
    /// The upstream rejected the request without running it.
    TurnedAway,
    /// Another upstream responded at the address.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection closed early, or the response was malformed.
    Lost,
    /// No response came in time.
    Silent,
    /// The request was cancelled because it had not started before the deadline of its weights.
    Cancelled,
    /// The request was cancelled for a reason unrelated to the upstream.
    Abandoned,
}

impl MemberOutcome {
    /// Reports whether the outcome shows something about the upstream, so that the same request is
    /// better sent elsewhere.
    #[must_use]
    pub const fn is_about_upstream(self) -> bool {
        !matches!(self, Self::Cancelled | Self::Abandoned)
    }

    /// Reports whether the upstream has certainly not run the request.
    #[must_use]
    pub const fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::TurnedAway | Self::Misdirected | Self::Unreachable
        )
    }

    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::TurnedAway => "turned_away",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Cancelled => "cancelled",
            Self::Abandoned => "abandoned",
        }
    }
}

//! Retry decisions: whether a request is sent again after a failed attempt, or how it ends.

use super::route_table::RouteKind;

/// Maximum number of attempts of one request, including those that did not run it.
pub const MAX_SENDS: u32 = 5;

/// Outcome of an attempt that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream was not reached and has not run the request.
    NotArrived,
    /// The upstream was reached and has not run the request.
    NotRun,
    /// The upstream may have run the request.
    MayHaveRun,
    /// The upstream ran the request and responded with a failure.
    Failed,
}

/// Attempts made so far for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendHistory {
    /// Attempts of any outcome.
    pub offers: u32,
    /// Attempts after which the request may have run.
    pub runs: u32,
    /// Attempts that reached an upstream, whether it ran the request or not.
    pub arrivals: u32,
}

/// Action after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again; charged to the retry budget if an attempt has reached an upstream.
    Retry,
    /// Respond that the request has not run and will not run.
    RefuseNotRun,
    /// Respond that the request failed and may have run.
    FailUnknown,
    /// Forward the upstream's failure response.
    Forward,
}

impl SendHistory {
    /// Records an attempt and its outcome.
    pub const fn record(&mut self, outcome: AttemptOutcome) {
        self.offers += 1;
        match outcome {
            AttemptOutcome::NotArrived => {}
            AttemptOutcome::NotRun => self.arrivals += 1,
            AttemptOutcome::MayHaveRun | AttemptOutcome::Failed => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
    }

    /// Returns the action after an attempt with this outcome; `max_attempts` bounds the attempts
    /// that may have run the request.
    #[must_use]
    pub const fn next(
        self,
        outcome: AttemptOutcome,
        kind: RouteKind,
        max_attempts: u32,
    ) -> RetryDecision {
        let may_send = self.offers < MAX_SENDS;
        match outcome {
            AttemptOutcome::NotArrived | AttemptOutcome::NotRun if may_send => RetryDecision::Retry,
            AttemptOutcome::NotArrived | AttemptOutcome::NotRun => self.give_up(),
            AttemptOutcome::MayHaveRun | AttemptOutcome::Failed => {
                if may_send && kind.is_repeatable() && self.runs < max_attempts {
                    return RetryDecision::Retry;
                }
                match outcome {
                    AttemptOutcome::Failed => RetryDecision::Forward,
                    _ => RetryDecision::FailUnknown,
                }
            }
        }
    }

    /// Returns how a request ends that is not sent again.
    #[must_use]
    pub const fn give_up(self) -> RetryDecision {
        if self.runs == 0 {
            RetryDecision::RefuseNotRun
        } else {
            RetryDecision::FailUnknown
        }
    }
}

//! What became of one request, as its caller saw it.

use super::workload::{LARGE_CUSTOMERS, LoadPhase, PlannedRequest};
use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Size of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CustomerClass {
    /// One of the few that send most requests.
    Large,
    /// One of the others.
    Small,
}

impl CustomerClass {
    /// All classes.
    pub const ALL: [Self; 2] = [Self::Large, Self::Small];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Large => "large",
            Self::Small => "small",
        }
    }

    /// Returns the class of a customer by its number.
    #[must_use]
    pub const fn of(customer: usize) -> Self {
        if customer < LARGE_CUSTOMERS {
            Self::Large
        } else {
            Self::Small
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The answer came whole.
    Complete,
    /// It was refused, with this status and code.
    Refused(String),
    /// The answer began and was not finished.
    Incomplete,
    /// No answer came.
    Failed,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct RequestSample {
    /// Position of the target.
    pub target: usize,
    /// Part of the run.
    pub phase: LoadPhase,
    /// Rank.
    pub rank: Rank,
    /// Size of the customer.
    pub class: CustomerClass,
    /// Output tokens asked for.
    pub tokens: u32,
    /// Moment at which it was to be sent.
    pub due: Moment,
    /// Moment of the first token.
    pub first_token: Option<Moment>,
    /// Moment of the end.
    pub ended: Moment,
    /// How it ended.
    pub outcome: SampleOutcome,
}

impl RequestSample {
    /// Creates the sample of a request that has not been answered yet.
    #[must_use]
    pub const fn new(target: usize, request: &PlannedRequest, due: Moment) -> Self {
        Self {
            target,
            phase: request.phase,
            rank: request.rank,
            class: CustomerClass::of(request.customer),
            tokens: request.tokens,
            due,
            first_token: None,
            ended: due,
            outcome: SampleOutcome::Failed,
        }
    }
}

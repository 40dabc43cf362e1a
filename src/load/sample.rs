//! Outcome and times of one request, as seen by its caller.

use super::workload::{LARGE_CUSTOMERS, LoadPhase, PlannedRequest};
use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Class of a customer by its share of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CustomerClass {
    /// Customer with a large share; see [`LARGE_CUSTOMERS`].
    Large,
    /// Any other customer.
    Small,
}

impl CustomerClass {
    /// All classes, in the order of reports.
    pub const ALL: [Self; 2] = [Self::Large, Self::Small];

    /// Returns the name of the class in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Large => "large",
            Self::Small => "small",
        }
    }

    /// Returns the class of the customer with the given number.
    #[must_use]
    pub const fn of(customer: usize) -> Self {
        if customer < LARGE_CUSTOMERS {
            Self::Large
        } else {
            Self::Small
        }
    }
}

/// Outcome of a request, as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The response was complete.
    Complete,
    /// The request was refused with this error code, after the HTTP status if that was not 200.
    Refused(String),
    /// The response started but was not complete.
    Incomplete,
    /// No response was received.
    Failed,
}

/// Measurement of one request to one target.
#[derive(Debug, Clone)]
pub struct RequestSample {
    /// Index of the target.
    pub target: usize,
    /// Phase of the run in which the request was due.
    pub phase: LoadPhase,
    /// Rank of the request.
    pub rank: Rank,
    /// Class of the customer.
    pub class: CustomerClass,
    /// Number of output tokens requested.
    pub tokens: u32,
    /// Moment at which the request was due, which is the start of all measured times.
    pub due: Moment,
    /// Moment of the first event of the response; `None` if there was none.
    pub first_token: Option<Moment>,
    /// Moment at which the response ended or failed.
    pub ended: Moment,
    /// Outcome of the request.
    pub outcome: SampleOutcome,
}

impl RequestSample {
    /// Creates the sample of a request that has no response yet.
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

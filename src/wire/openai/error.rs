//! Error bodies and the HTTP status of each fault and refusal.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::request::RequestError;
use crate::decide::outcome::{RefusalReason, RunStatus};

/// Seconds after which a refused caller may try again when nothing better is known.
const DEFAULT_RETRY_S: u32 = 1;

/// What a caller did wrong; none of these requests ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerFault {
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body is not JSON.
    MalformedJson,
    /// A field or header has a value that is not accepted.
    InvalidValue,
    /// No bearer key was sent.
    MissingKey,
    /// The bearer key belongs to no customer.
    UnknownKey,
    /// The customer may not use the rank.
    RankNotAllowed,
    /// No such model is declared.
    UnknownModel,
    /// No such plain service is declared.
    UnknownService,
    /// No such path.
    UnknownPath,
    /// The path does not take the method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    BodyTimeout,
    /// Another request with the same idempotency key has not ended, or had another body.
    IdempotencyConflict,
}

/// Status, type and stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStatus {
    /// HTTP status code.
    pub status: u16,
    /// Error type in the style of the API.
    pub kind: &'static str,
    /// Stable code.
    pub code: &'static str,
    /// Seconds for the `retry-after` header; `None` when a repetition is not advised.
    pub retry_after_s: Option<u32>,
}

const fn fault(status: u16, kind: &'static str, code: &'static str) -> FaultStatus {
    FaultStatus {
        status,
        kind,
        code,
        retry_after_s: None,
    }
}

impl CallerFault {
    /// All faults with their status.
    pub const TABLE: [(Self, FaultStatus); 12] = [
        (
            Self::BodyTooLarge,
            fault(413, "invalid_request_error", "body_too_large"),
        ),
        (
            Self::MalformedJson,
            fault(400, "invalid_request_error", "malformed_json"),
        ),
        (
            Self::InvalidValue,
            fault(400, "invalid_request_error", "invalid_value"),
        ),
        (
            Self::MissingKey,
            fault(401, "authentication_error", "missing_api_key"),
        ),
        (
            Self::UnknownKey,
            fault(401, "authentication_error", "invalid_api_key"),
        ),
        (
            Self::RankNotAllowed,
            fault(403, "permission_error", "rank_not_allowed"),
        ),
        (
            Self::UnknownModel,
            fault(404, "invalid_request_error", "model_not_found"),
        ),
        (
            Self::UnknownService,
            fault(404, "invalid_request_error", "service_not_found"),
        ),
        (
            Self::UnknownPath,
            fault(404, "invalid_request_error", "unknown_path"),
        ),
        (
            Self::MethodNotAllowed,
            fault(405, "invalid_request_error", "method_not_allowed"),
        ),
        (
            Self::BodyTimeout,
            fault(408, "invalid_request_error", "body_timeout"),
        ),
        (
            Self::IdempotencyConflict,
            fault(422, "idempotency_error", "idempotency_conflict"),
        ),
    ];

    /// Returns the status of the fault.
    ///
    /// # Panics
    ///
    /// Panics when [`CallerFault::TABLE`] misses a fault.
    #[must_use]
    pub fn status(self) -> FaultStatus {
        let row = Self::TABLE.iter().find(|(fault, _)| *fault == self);
        row.map(|(_, status)| *status)
            .expect("the table holds every fault")
    }
}

impl From<&RequestError> for CallerFault {
    fn from(error: &RequestError) -> Self {
        match error {
            RequestError::Malformed(_) => Self::MalformedJson,
            RequestError::Field(..) => Self::InvalidValue,
        }
    }
}

/// Returns the status of a request that was refused or could not be answered whole.
///
/// Only a request that did not run may be retried by itself; client libraries repeat on 5xx,
/// so the answer also says `x-should-retry` (see [`FaultStatus::should_retry`]).
#[must_use]
pub fn refusal_status(run: RunStatus, reason: RefusalReason) -> FaultStatus {
    let code = reason.code();
    if run != RunStatus::NotRun {
        return fault(502, "upstream_error", code);
    }
    let status = match reason {
        RefusalReason::Busy | RefusalReason::QueueFull | RefusalReason::CustomerLimit => 429,
        RefusalReason::Poisonous | RefusalReason::KeyConflict => 422,
        RefusalReason::StartDeadline
        | RefusalReason::Leaving
        | RefusalReason::EngineDown
        | RefusalReason::WrongVersion
        | RefusalReason::WrongIncarnation
        | RefusalReason::Withdrawn
        | RefusalReason::Forgotten
        | RefusalReason::NoUpstream
        | RefusalReason::RetryBudget
        | RefusalReason::ClaimUnavailable
        | RefusalReason::KeyExpired
        | RefusalReason::NoConfiguration => 503,
    };
    match status {
        422 => fault(status, "invalid_request_error", code),
        429 => FaultStatus {
            retry_after_s: Some(DEFAULT_RETRY_S),
            ..fault(status, "rate_limit_error", code)
        },
        _ => FaultStatus {
            retry_after_s: Some(DEFAULT_RETRY_S),
            ..fault(status, "overloaded_error", code)
        },
    }
}

impl FaultStatus {
    /// Returns the value of the `x-should-retry` header, which client libraries obey.
    #[must_use]
    pub const fn should_retry(self) -> bool {
        self.retry_after_s.is_some()
    }
}

/// Error as the API writes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong, in a sentence.
    pub message: String,
    /// Class of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Stable code.
    pub code: String,
    /// Field or header at fault, if there is one.
    pub param: Option<String>,
}

impl ErrorBody {
    /// Creates the error of a fault or refusal.
    #[must_use]
    pub fn new(status: FaultStatus, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            kind: status.kind.to_owned(),
            code: status.code.to_owned(),
            param: None,
        }
    }

    /// Returns the body `{"error": {...}}`.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({ "error": self })
    }
}

impl From<&RequestError> for ErrorBody {
    fn from(error: &RequestError) -> Self {
        let status = CallerFault::from(error).status();
        let mut body = Self::new(status, error.to_string());
        if let RequestError::Field(name, _) = error {
            body.param = Some((*name).to_owned());
        }
        body
    }
}

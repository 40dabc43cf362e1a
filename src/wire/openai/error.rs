//! Error bodies, and the HTTP status of each caller error and refusal.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::request::RequestError;
use crate::decide::outcome::{RefusalReason, RunStatus};

/// Default value of the `retry-after` header, in seconds.
const DEFAULT_RETRY_S: u32 = 1;

/// Error of a caller; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerError {
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body is not JSON.
    MalformedJson,
    /// A field or header has an invalid value.
    InvalidValue,
    /// The request has no bearer key.
    MissingKey,
    /// The bearer key belongs to no customer.
    UnknownKey,
    /// The customer may not request the rank.
    RankNotAllowed,
    /// The requested model is not declared.
    UnknownModel,
    /// The requested plain service is not declared.
    UnknownService,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body was not received in time.
    BodyTimeout,
    /// The idempotency key belongs to a request that has not ended or that had a different body.
    IdempotencyConflict,
}

/// HTTP status, type and code of an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorStatus {
    /// HTTP status code.
    pub status: u16,
    /// Value of `type` in the error body.
    pub kind: &'static str,
    /// Value of `code` in the error body, which does not change between versions.
    pub code: &'static str,
    /// Value of the `retry-after` header in seconds; `None` if a retry is not advised.
    pub retry_after_s: Option<u32>,
}

/// Returns the status of an error after which a retry is not advised.
const fn error_status(status: u16, kind: &'static str, code: &'static str) -> ErrorStatus {
    ErrorStatus {
        status,
        kind,
        code,
        retry_after_s: None,
    }
}

impl CallerError {
    /// All caller errors with their status.
    pub const TABLE: [(Self, ErrorStatus); 12] = [
        (
            Self::BodyTooLarge,
            error_status(413, "invalid_request_error", "body_too_large"),
        ),
        (
            Self::MalformedJson,
            error_status(400, "invalid_request_error", "malformed_json"),
        ),
        (
            Self::InvalidValue,
            error_status(400, "invalid_request_error", "invalid_value"),
        ),
        (
            Self::MissingKey,
            error_status(401, "authentication_error", "missing_api_key"),
        ),
        (
            Self::UnknownKey,
            error_status(401, "authentication_error", "invalid_api_key"),
        ),
        (
            Self::RankNotAllowed,
            error_status(403, "permission_error", "rank_not_allowed"),
        ),
        (
            Self::UnknownModel,
            error_status(404, "invalid_request_error", "model_not_found"),
        ),
        (
            Self::UnknownService,
            error_status(404, "invalid_request_error", "service_not_found"),
        ),
        (
            Self::UnknownPath,
            error_status(404, "invalid_request_error", "unknown_path"),
        ),
        (
            Self::MethodNotAllowed,
            error_status(405, "invalid_request_error", "method_not_allowed"),
        ),
        (
            Self::BodyTimeout,
            error_status(408, "invalid_request_error", "body_timeout"),
        ),
        (
            Self::IdempotencyConflict,
            error_status(422, "idempotency_error", "idempotency_conflict"),
        ),
    ];

    /// Returns the status of the error.
    ///
    /// # Panics
    ///
    /// Panics if [`CallerError::TABLE`] lacks the error.
    #[must_use]
    pub fn status(self) -> ErrorStatus {
        let row = Self::TABLE.iter().find(|(error, _)| *error == self);
        row.map(|(_, status)| *status)
            .expect("the table contains every caller error")
    }
}

impl From<&RequestError> for CallerError {
    fn from(error: &RequestError) -> Self {
        match error {
            RequestError::Malformed(_) => Self::MalformedJson,
            RequestError::Field(..) => Self::InvalidValue,
        }
    }
}

/// Returns the status of a request that was refused or whose response is incomplete.
///
/// Only a request that did not run may be retried automatically. Since client libraries retry on
/// 5xx, the response also has the header `x-should-retry` (see [`ErrorStatus::should_retry`]).
#[must_use]
pub fn refusal_status(run: RunStatus, reason: RefusalReason) -> ErrorStatus {
    let code = reason.code();
    if run != RunStatus::NotRun {
        return error_status(502, "upstream_error", code);
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
        | RefusalReason::Paused
        | RefusalReason::NoConfiguration => 503,
    };
    match status {
        422 => error_status(status, "invalid_request_error", code),
        429 => ErrorStatus {
            retry_after_s: Some(DEFAULT_RETRY_S),
            ..error_status(status, "rate_limit_error", code)
        },
        _ => ErrorStatus {
            retry_after_s: Some(DEFAULT_RETRY_S),
            ..error_status(status, "overloaded_error", code)
        },
    }
}

impl ErrorStatus {
    /// Returns the value of the `x-should-retry` header, which client libraries follow.
    #[must_use]
    pub const fn should_retry(self) -> bool {
        self.retry_after_s.is_some()
    }
}

/// Object `error` of an error body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error for people.
    pub message: String,
    /// Type of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Code of the error, which does not change between versions.
    pub code: String,
    /// Name of the invalid field or header, if the error concerns one.
    pub param: Option<String>,
}

impl ErrorBody {
    /// Creates the error object of a caller error or refusal.
    #[must_use]
    pub fn new(status: ErrorStatus, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            kind: status.kind.to_owned(),
            code: status.code.to_owned(),
            param: None,
        }
    }

    /// Returns the error body, `{"error": {...}}`.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({ "error": self })
    }
}

impl From<&RequestError> for ErrorBody {
    fn from(error: &RequestError) -> Self {
        let status = CallerError::from(error).status();
        let mut body = Self::new(status, error.to_string());
        if let RequestError::Field(name, _) = error {
            body.param = Some((*name).to_owned());
        }
        body
    }
}

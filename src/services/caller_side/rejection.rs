//! Errors of requests that an entry does not submit to an upstream.

use hyper::Response;

use super::model_response::{caller_error_response, refusal_response};
use crate::decide::admission::AdmissionError;
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::platform::http_server::ResponseBody;
use crate::wire::openai::{CallerError, RequestError};

/// Reason for which a request is not submitted to an upstream.
#[derive(Debug)]
pub enum Rejection {
    /// The request is invalid or not permitted; the error, and the message for the caller.
    CallerError(CallerError, String),
    /// The entry cannot process any request at present.
    Refused(RefusalReason),
    /// The idempotency key has expired, so it is unknown whether the request ran before.
    Expired,
}

/// Response to a request, or the reason for which it was not submitted.
pub type HandlerResult = Result<Response<ResponseBody>, Rejection>;

impl From<AdmissionError> for Rejection {
    fn from(error: AdmissionError) -> Self {
        let (error, message) = match error {
            AdmissionError::NoConfiguration => {
                return Self::Refused(RefusalReason::NoConfiguration);
            }
            AdmissionError::MissingKey => (CallerError::MissingKey, "no bearer key was sent"),
            AdmissionError::UnknownKey => (CallerError::UnknownKey, "the bearer key is unknown"),
            AdmissionError::RankNotAllowed => (
                CallerError::RankNotAllowed,
                "the customer may not use this rank",
            ),
            AdmissionError::UnknownModel => (CallerError::UnknownModel, "no such model"),
            AdmissionError::UnknownService => (CallerError::UnknownService, "no such service"),
        };
        Self::CallerError(error, message.to_owned())
    }
}

impl From<RequestError> for Rejection {
    fn from(error: RequestError) -> Self {
        Self::CallerError(CallerError::from(&error), error.to_string())
    }
}

/// Returns the response, or the error response to a rejected request.
#[must_use]
pub fn response_or_error(result: HandlerResult) -> Response<ResponseBody> {
    match result {
        Ok(response) => response,
        Err(Rejection::CallerError(error, message)) => caller_error_response(error, &message),
        Err(Rejection::Refused(reason)) => refusal_response(RunStatus::NotRun, Some(reason)),
        Err(Rejection::Expired) => {
            refusal_response(RunStatus::Unknown, Some(RefusalReason::KeyExpired))
        }
    }
}

/// Rejects a request for the invalid value of a field or header, with a message for the caller.
#[must_use]
pub fn invalid_value(message: &str) -> Rejection {
    Rejection::CallerError(CallerError::InvalidValue, message.to_owned())
}

//! Requests that an entry answers without running them.

use hyper::Response;

use super::caller_answer::{fault_response, refusal_response};
use crate::decide::admission::AdmissionError;
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::platform::http_server::ResponseBody;
use crate::wire::openai::{CallerError, RequestError};

/// Why a request is answered without being run.
#[derive(Debug)]
pub enum TurnedAway {
    /// The caller is at fault.
    Fault(CallerError, String),
    /// The entry cannot run anything at present.
    Refused(RefusalReason),
    /// The idempotency key is too old to tell whether its request ran.
    Expired,
}

/// A response, or why there is nothing to run.
pub type Answered = Result<Response<ResponseBody>, TurnedAway>;

impl From<AdmissionError> for TurnedAway {
    fn from(fault: AdmissionError) -> Self {
        let (fault, message) = match fault {
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
        Self::Fault(fault, message.to_owned())
    }
}

impl From<RequestError> for TurnedAway {
    fn from(error: RequestError) -> Self {
        Self::Fault(CallerError::from(&error), error.to_string())
    }
}

/// Returns the response, or one that says why there is none.
#[must_use]
pub fn or_error(answered: Answered) -> Response<ResponseBody> {
    match answered {
        Ok(response) => response,
        Err(TurnedAway::Fault(fault, message)) => fault_response(fault, &message),
        Err(TurnedAway::Refused(reason)) => refusal_response(RunStatus::NotRun, Some(reason)),
        Err(TurnedAway::Expired) => {
            refusal_response(RunStatus::Unknown, Some(RefusalReason::KeyExpired))
        }
    }
}

/// Blames a field or header.
#[must_use]
pub fn invalid(message: &str) -> TurnedAway {
    TurnedAway::Fault(CallerError::InvalidValue, message.to_owned())
}

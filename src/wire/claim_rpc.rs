//! The call with which an entry claims an idempotency key at a home of its partition.

use serde::{Deserialize, Serialize};

use super::claim_record::{WireClaim, WireTarget};
use crate::decide::claims::ClaimVerdict;

/// Claims or releases an idempotency key; may be sent again without harm.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimCall {
    /// What is to be recorded.
    pub claim: WireClaim,
    /// Microseconds within which the caller wants a verdict.
    pub budget_us: u64,
}

/// Answers a [`ClaimCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim holds the key.
    Won,
    /// Another ticket holds the key.
    Held(WireTarget),
    /// The ticket of the claim has been released.
    Released,
    /// The claim could not be recorded or confirmed in time.
    Unavailable,
}

impl From<ClaimVerdict> for ClaimReply {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Won => Self::Won,
            ClaimVerdict::Held(holder) => Self::Held(WireTarget::from(&holder)),
            ClaimVerdict::Released => Self::Released,
            ClaimVerdict::Unavailable => Self::Unavailable,
        }
    }
}

impl From<ClaimReply> for ClaimVerdict {
    fn from(reply: ClaimReply) -> Self {
        match reply {
            ClaimReply::Won => Self::Won,
            ClaimReply::Held(holder) => Self::Held(holder.into()),
            ClaimReply::Released => Self::Released,
            ClaimReply::Unavailable => Self::Unavailable,
        }
    }
}

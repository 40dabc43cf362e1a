//! Call with which an entry claims an idempotency key at a coordinator of the key's partition.

use serde::{Deserialize, Serialize};

use super::claim_record::{WireClaim, WireClaimTarget};
use crate::decide::claims::ClaimVerdict;

/// Claims or releases an idempotency key; the call is idempotent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Record to append to the claim partition.
    pub claim: WireClaim,
    /// Time within which the entry needs a verdict, in microseconds.
    pub budget_us: u64,
}

/// Reply to a [`ClaimCall`]: the encoded form of a [`ClaimVerdict`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim holds the key.
    Won,
    /// Another attempt, given here, holds the key.
    Held(WireClaimTarget),
    /// The ticket of the claim has been released and cannot hold a key again.
    Released,
    /// The record was not appended or not read back in time; it may still appear on the log.
    Unavailable,
}

impl From<ClaimVerdict> for ClaimReply {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Won => Self::Won,
            ClaimVerdict::Held(holder) => Self::Held(WireClaimTarget::from(&holder)),
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

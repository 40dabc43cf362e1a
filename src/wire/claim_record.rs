//! Records of the claim partitions on the log; each append holds a batch of them as JSON.
//!
//! RPC messages contain the same types in bincode, which encodes no field names, so no field may
//! be omitted when it is serialized.

use serde::{Deserialize, Serialize};

use super::rpc::{UnknownValue, WireTicket};
use crate::decide::claims::{ClaimRecord, ClaimTarget, KeyHash};
use crate::decide::ids::Incarnation;
use crate::decide::suspects::Fingerprint;

/// JSON body of one append to a claim partition.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBatch {
    /// Records, in the order in which they are applied.
    pub claims: Vec<WireClaim>,
}

/// Encoded form of a [`ClaimRecord`]: a release, a claim, or both.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireClaim {
    /// Name of the customer, for people who read the log.
    pub customer: String,
    /// Hash of the customer and the idempotency key, in hexadecimal.
    pub key: String,
    /// Released ticket, which is proven not to have run and never to run.
    pub released: Option<WireTicket>,
    /// Attempt that claims the key.
    pub target: Option<WireClaimTarget>,
    /// Time at which the key expires, in Unix seconds.
    pub expires_s: u64,
}

/// Encoded form of a [`ClaimTarget`]: the attempt for which a key is claimed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireClaimTarget {
    /// Ticket that is submitted once the claim has won.
    pub ticket: WireTicket,
    /// Name of the upstream to which the ticket is submitted.
    pub upstream: String,
    /// The only incarnation of the upstream's sidecar that accepts the ticket.
    pub sidecar: u64,
    /// Fingerprint of the request, to detect a key that is reused for a different request.
    pub fingerprint: u64,
}

impl From<&ClaimTarget> for WireClaimTarget {
    fn from(target: &ClaimTarget) -> Self {
        Self {
            ticket: target.ticket.into(),
            upstream: target.upstream.clone(),
            sidecar: target.sidecar.0,
            fingerprint: target.fingerprint.0,
        }
    }
}

impl From<WireClaimTarget> for ClaimTarget {
    fn from(target: WireClaimTarget) -> Self {
        Self {
            ticket: target.ticket.into(),
            upstream: target.upstream,
            sidecar: Incarnation(target.sidecar),
            fingerprint: Fingerprint(target.fingerprint),
        }
    }
}

impl From<&ClaimRecord> for WireClaim {
    fn from(record: &ClaimRecord) -> Self {
        Self {
            customer: record.customer.clone(),
            key: format!("{:032x}", record.key.0),
            released: record.released.map(WireTicket::from),
            target: record.target.as_ref().map(WireClaimTarget::from),
            expires_s: record.expires_s,
        }
    }
}

impl TryFrom<WireClaim> for ClaimRecord {
    type Error = UnknownValue;

    fn try_from(claim: WireClaim) -> Result<Self, Self::Error> {
        let key = u128::from_str_radix(&claim.key, 16).map_err(|_invalid| UnknownValue)?;
        Ok(Self {
            customer: claim.customer,
            key: KeyHash(key),
            released: claim.released.map(Into::into),
            target: claim.target.map(ClaimTarget::from),
            expires_s: claim.expires_s,
        })
    }
}

impl From<&[ClaimRecord]> for WireBatch {
    fn from(records: &[ClaimRecord]) -> Self {
        Self {
            claims: records.iter().map(WireClaim::from).collect(),
        }
    }
}

impl TryFrom<WireBatch> for Vec<ClaimRecord> {
    type Error = UnknownValue;

    fn try_from(batch: WireBatch) -> Result<Self, Self::Error> {
        batch
            .claims
            .into_iter()
            .map(ClaimRecord::try_from)
            .collect()
    }
}

/// Encodes records as the body of one append.
///
/// # Panics
///
/// Panics if the batch cannot be encoded as JSON, which its types rule out.
#[must_use]
pub fn encode_batch(records: &[ClaimRecord]) -> String {
    serde_json::to_string(&WireBatch::from(records))
        .expect("a batch contains no map with keys other than strings")
}

/// Decodes the body of one append.
///
/// # Errors
///
/// Returns [`UnknownValue`] if the body is not a valid batch. Every reader ignores such an append,
/// so all readers have the same state.
pub fn decode_batch(body: &str) -> Result<Vec<ClaimRecord>, UnknownValue> {
    let batch: WireBatch = serde_json::from_str(body).map_err(|_invalid| UnknownValue)?;
    batch.try_into()
}

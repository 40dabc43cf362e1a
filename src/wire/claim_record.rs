//! Records on the claim partitions of the log: one append holds a batch of them as JSON.
//!
//! The same types travel in calls, whose encoding does not name fields, so none is left out.

use serde::{Deserialize, Serialize};

use super::rpc::{UnknownValue, WireTicket};
use crate::decide::claims::{ClaimRecord, ClaimTarget, KeyHash};
use crate::decide::ids::Incarnation;
use crate::decide::suspects::Fingerprint;

/// One append to a claim partition.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBatch {
    /// Records in the order in which they take effect.
    pub claims: Vec<WireClaim>,
}

/// One claim record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireClaim {
    /// Name of the customer.
    pub customer: String,
    /// Key hash in hexadecimal.
    pub key: String,
    /// Ticket that never ran and never will.
    pub released: Option<WireTicket>,
    /// The claim.
    pub target: Option<WireTarget>,
    /// End of the key's validity, in Unix seconds.
    pub expires_s: u64,
}

/// The attempt that a key is claimed for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireTarget {
    /// Ticket to be submitted.
    pub ticket: WireTicket,
    /// Name of the upstream.
    pub upstream: String,
    /// Incarnation of the upstream's sidecar.
    pub sidecar: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

impl From<&ClaimTarget> for WireTarget {
    fn from(target: &ClaimTarget) -> Self {
        Self {
            ticket: target.ticket.into(),
            upstream: target.upstream.clone(),
            sidecar: target.sidecar.0,
            fingerprint: target.fingerprint.0,
        }
    }
}

impl From<WireTarget> for ClaimTarget {
    fn from(target: WireTarget) -> Self {
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
            target: record.target.as_ref().map(WireTarget::from),
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

/// Writes the body of one append.
///
/// # Panics
///
/// Panics when the batch cannot be written as JSON, which its types rule out.
#[must_use]
pub fn encode_batch(records: &[ClaimRecord]) -> String {
    serde_json::to_string(&WireBatch::from(records)).expect("a batch has only string keys")
}

/// Reads the body of one append.
///
/// # Errors
///
/// Returns [`UnknownValue`] for anything but a batch; every reader ignores such an append alike.
pub fn decode_batch(body: &str) -> Result<Vec<ClaimRecord>, UnknownValue> {
    let batch: WireBatch = serde_json::from_str(body).map_err(|_invalid| UnknownValue)?;
    batch.try_into()
}

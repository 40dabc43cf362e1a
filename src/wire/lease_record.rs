//! JSON form of the lease records on the log stream [`LEASE_STREAM`].

use serde::{Deserialize, Serialize};

use crate::decide::ids::{Incarnation, LogOffset, StoreEra};
use crate::decide::lease::LeaseRecord;

/// Name of the log stream that holds the leases for loading weights.
pub const LEASE_STREAM: &str = "leases";

/// JSON form of a [`LeaseRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireLease {
    /// Requests a lease.
    Acquire {
        /// Name of the upstream whose engine is to load weights.
        upstream: String,
        /// Incarnation of the process that requests the lease.
        holder: u64,
    },
    /// Releases a lease.
    Release {
        /// Offset of the lease record.
        lease: u64,
    },
    /// States that all leases which the log lost on entering an era have ended. Earlier builds skip it.
    EndOfLost {
        /// The era that the log entered.
        era: u64,
    },
}

impl From<LeaseRecord> for WireLease {
    fn from(record: LeaseRecord) -> Self {
        match record {
            LeaseRecord::Acquire { upstream, holder } => Self::Acquire {
                upstream,
                holder: holder.0,
            },
            LeaseRecord::Release { lease } => Self::Release { lease: lease.0 },
            LeaseRecord::EndOfLost { era } => Self::EndOfLost { era: era.0 },
        }
    }
}

impl From<WireLease> for LeaseRecord {
    fn from(record: WireLease) -> Self {
        match record {
            WireLease::Acquire { upstream, holder } => Self::Acquire {
                upstream,
                holder: Incarnation(holder),
            },
            WireLease::Release { lease } => Self::Release {
                lease: LogOffset(lease),
            },
            WireLease::EndOfLost { era } => Self::EndOfLost { era: StoreEra(era) },
        }
    }
}

/// Encodes a lease record as the body of a log record.
///
/// # Panics
///
/// Panics if the record cannot be encoded as JSON, which its type rules out.
#[must_use]
pub fn encode_lease(record: LeaseRecord) -> String {
    serde_json::to_string(&WireLease::from(record))
        .expect("a record of numbers and strings can be encoded")
}

/// Decodes the body of a log record; returns `None` if it is not a valid lease record.
#[must_use]
pub fn decode_lease(body: &str) -> Option<LeaseRecord> {
    let record: WireLease = serde_json::from_str(body).ok()?;
    Some(record.into())
}

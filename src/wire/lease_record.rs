//! JSON form of lease records on the log stream [`LEASE_STREAM`].

use serde::{Deserialize, Serialize};

use crate::decide::ids::{Incarnation, LogOffset};
use crate::decide::lease::LeaseRecord;

/// Name of the log stream that holds the leases of weight loads.
pub const LEASE_STREAM: &str = "leases";

/// Lease record on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireLease {
    /// Asks for a lease.
    Acquire {
        /// Upstream whose engine is to load.
        upstream: String,
        /// Incarnation of the process that asks.
        holder: u64,
    },
    /// Gives a lease back.
    Release {
        /// Offset of the lease.
        lease: u64,
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
        }
    }
}

/// Writes a record as the body of a log record.
///
/// # Panics
///
/// Panics when the type has no JSON form, which is a programming error.
#[must_use]
pub fn encode_lease(record: LeaseRecord) -> String {
    serde_json::to_string(&WireLease::from(record)).expect("the type has a JSON form")
}

/// Reads the body of a log record; `None` if it has no meaning.
#[must_use]
pub fn decode_lease(body: &str) -> Option<LeaseRecord> {
    let record: WireLease = serde_json::from_str(body).ok()?;
    Some(record.into())
}

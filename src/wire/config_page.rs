//! Call with which a process fetches records of the configuration stream from a sidecar.

use serde::{Deserialize, Serialize};

use super::position::WirePosition;
use crate::decide::ids::LogPosition;

/// Requests the records that a sidecar has from an offset on; the reply waits until there is one.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ConfigSinceCall {
    /// Position of the first record that the caller needs, as a [`WirePosition`].
    pub from_offset: u64,
    /// Longest wait for a record before the reply is an empty page, in microseconds.
    pub wait_us: u64,
}

impl ConfigSinceCall {
    /// Returns the position of the first record that the caller needs.
    #[must_use]
    pub fn from(&self) -> LogPosition {
        WirePosition(self.from_offset).into()
    }
}

/// Record of the configuration stream with its offset, as forwarded to another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNumberedRecord {
    /// Offset of the record on the stream.
    pub offset: u64,
    /// Body as appended; `None` for a snapshot part, which changes nothing for a reader that has
    /// all earlier records.
    pub body: Option<String>,
}

/// Evidence that a reader was up to date with the log at a time before the page was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEvidence {
    /// Hash of the reader's process name.
    pub reader: u64,
    /// Time since the reader was up to date, in milliseconds.
    pub age_ms: u32,
}

/// Reply to a [`ConfigSinceCall`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ConfigPage {
    /// Position below which the sender has applied all records, as a [`WirePosition`]; the records are of
    /// its era.
    pub next_offset: u64,
    /// Newest evidence that the sender has.
    pub evidence: Option<WireEvidence>,
    /// Consecutive records from the requested position on, or from the start of a higher era.
    pub records: Vec<WireNumberedRecord>,
    /// Bodies of all parts of a snapshot, if the sender no longer has the requested records.
    pub snapshot: Vec<String>,
}

impl ConfigPage {
    /// Returns the position below which the sender has applied all records.
    #[must_use]
    pub fn next(&self) -> LogPosition {
        WirePosition(self.next_offset).into()
    }
}

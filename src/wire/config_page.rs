//! Call by which a process fetches configuration from a sidecar.

use serde::{Deserialize, Serialize};

/// Asks for what a sidecar has beyond an offset; answered once there is something.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ConfigSinceCall {
    /// Offset that the caller needs next.
    pub from_offset: u64,
    /// Microseconds to wait for something newer before an empty page.
    pub wait_us: u64,
}

/// A record of the configuration stream as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHistory {
    /// Position on the stream.
    pub offset: u64,
    /// Body as it was appended; `None` for snapshot parts, which change nothing in order.
    pub body: Option<String>,
}

/// Which reader last had everything on the log, and how long before the page was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEvidence {
    /// The reader.
    pub reader: u64,
    /// Milliseconds since then.
    pub age_ms: u32,
}

/// Answers a [`ConfigSinceCall`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ConfigPage {
    /// Offset below which every record is in force at the sender.
    pub next_offset: u64,
    /// Newest evidence at the sender.
    pub evidence: Option<WireEvidence>,
    /// Records from the wanted offset on.
    pub records: Vec<WireHistory>,
    /// Bodies of all parts of a snapshot, where the sender no longer has the wanted records.
    pub snapshot: Vec<String>,
}

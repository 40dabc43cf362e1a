//! Encoding of what gateways tell each other of requests that crash upstreams. Bincode encodes no names, so
//! the order of fields is part of the format.

use serde::{Deserialize, Serialize};

/// Crash in which a request was running that is refused, or that the request is cleared of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSuspectNews {
    /// Fingerprint of the request, equal for equal requests.
    pub fingerprint: u64,
    /// Hash of the identity of the upstream that crashed.
    pub upstream: u64,
    /// Start time that identifies the run of the upstream that crashed.
    pub born: u64,
    /// Time since the crash, in milliseconds.
    pub ago_ms: u64,
    /// Time for which the sender still refuses the request, in milliseconds; `None` if an equal one was
    /// answered since the crash.
    pub refused_ms: Option<u64>,
}

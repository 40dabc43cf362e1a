//! News about suspects from one sidecar to the others of its model.

use serde::{Deserialize, Serialize};

use crate::decide::ids::{EngineEpoch, Incarnation};
use crate::decide::suspect_guard::SuspectUpdate;
use crate::decide::suspects::{CrashId, Fingerprint};

/// A crash on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireCrash {
    /// Incarnation of the sidecar that saw it.
    pub sidecar: u64,
    /// Life of the engine that ended.
    pub epoch: u64,
}

/// News about one fingerprint on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireNews {
    /// The fingerprint.
    pub fingerprint: u64,
    /// A crash during which it ran.
    pub seen_in: Option<WireCrash>,
    /// Crashes that it is cleared of.
    pub cleared_of: Vec<WireCrash>,
}

impl From<CrashId> for WireCrash {
    fn from(crash: CrashId) -> Self {
        Self {
            sidecar: crash.sidecar.0,
            epoch: crash.epoch.0,
        }
    }
}

impl From<WireCrash> for CrashId {
    fn from(crash: WireCrash) -> Self {
        Self {
            sidecar: Incarnation(crash.sidecar),
            epoch: EngineEpoch(crash.epoch),
        }
    }
}

impl From<&SuspectUpdate> for WireNews {
    fn from(news: &SuspectUpdate) -> Self {
        Self {
            fingerprint: news.fingerprint.0,
            seen_in: news.seen_in.map(WireCrash::from),
            cleared_of: news
                .cleared_of
                .iter()
                .copied()
                .map(WireCrash::from)
                .collect(),
        }
    }
}

impl From<WireNews> for SuspectUpdate {
    fn from(news: WireNews) -> Self {
        Self {
            fingerprint: Fingerprint(news.fingerprint),
            seen_in: news.seen_in.map(CrashId::from),
            cleared_of: news.cleared_of.into_iter().map(CrashId::from).collect(),
        }
    }
}

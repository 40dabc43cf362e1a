//! Suspect updates that a sidecar sends to the other sidecars of its model.

use serde::{Deserialize, Serialize};

use crate::decide::ids::{EngineEpoch, Incarnation};
use crate::decide::suspect_guard::SuspectUpdate;
use crate::decide::suspects::{CrashId, Fingerprint};

/// Encoded form of a [`CrashId`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireCrash {
    /// Incarnation of the sidecar that observed the crash.
    pub sidecar: u64,
    /// Epoch of the engine that crashed.
    pub epoch: u64,
}

/// Encoded form of a [`SuspectUpdate`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireSuspectUpdate {
    /// Fingerprint that the update is about.
    pub fingerprint: u64,
    /// Crash in which the fingerprint was running.
    pub seen_in: Option<WireCrash>,
    /// Crashes that the fingerprint is cleared of.
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

impl From<&SuspectUpdate> for WireSuspectUpdate {
    fn from(update: &SuspectUpdate) -> Self {
        Self {
            fingerprint: update.fingerprint.0,
            seen_in: update.seen_in.map(WireCrash::from),
            cleared_of: update
                .cleared_of
                .iter()
                .copied()
                .map(WireCrash::from)
                .collect(),
        }
    }
}

impl From<WireSuspectUpdate> for SuspectUpdate {
    fn from(update: WireSuspectUpdate) -> Self {
        Self {
            fingerprint: Fingerprint(update.fingerprint),
            seen_in: update.seen_in.map(CrashId::from),
            cleared_of: update.cleared_of.into_iter().map(CrashId::from).collect(),
        }
    }
}

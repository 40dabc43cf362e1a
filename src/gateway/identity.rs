//! Identity and time limits of this instance, shared by the services and tasks of the process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::hashing::name_hash;
use crate::decide::route_table::DataCentreId;
use crate::platform::settings_file::InstanceSettings;

/// Identity of the running instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceIdentity {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Hash of the instance name.
    pub id: u64,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address on which other instances reach this one.
    pub peer_address: SocketAddr,
    /// Time after operators set a target version within which all requests must start on its
    /// weights.
    pub weights_limit: Duration,
    /// Time without a fault after which the operators' time limits apply to the instance.
    pub settling_time: Duration,
    /// Time after one instance's last claim on an upstream before another instance may order it.
    pub min_holder_interval: Duration,
    /// Longest time from a stop signal to the end of the process.
    pub stop_time: Duration,
    /// Time after an upstream has announced its leaving, or lost its entry, within which the last
    /// request may reach it.
    pub drain_limit: Duration,
    /// Time after the store acknowledges a configuration from which it has to be in force.
    pub apply_limit: Duration,
    /// Longest time after which the entry of an upstream that is still listed states its weights.
    pub entry_lag: Duration,
}

/// Heartbeats without which the store removes an entry.
const HEARTBEATS_PER_ENTRY: u32 = 3;

impl From<&InstanceSettings> for InstanceIdentity {
    fn from(settings: &InstanceSettings) -> Self {
        Self {
            name: settings.name.clone(),
            id: name_hash(&settings.name),
            data_centre: DataCentreId::of(&settings.data_centre),
            peer_address: settings.peer_address,
            weights_limit: settings.weights_limit,
            settling_time: settings.settling_time,
            min_holder_interval: settings.holder_turn,
            stop_time: settings.stop_grace,
            drain_limit: settings.drain_limit,
            apply_limit: settings.apply_limit,
            entry_lag: settings.heartbeat.saturating_mul(HEARTBEATS_PER_ENTRY),
        }
    }
}

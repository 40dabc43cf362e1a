//! Who this instance is, for all parts of the process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::hashing::name_hash;
use crate::decide::route_table::DataCentreId;
use crate::platform::settings_file::InstanceSettings;

/// Identity of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceIdentity {
    /// Name, unique in the fleet.
    pub name: String,
    /// Hash of the name.
    pub id: u64,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Time after new weights are named within which all requests must begin on them.
    pub weights_limit: Duration,
    /// Time without disturbance after which an instance is held to the time limits.
    pub settling_time: Duration,
    /// Time for which two holders must not take turns at one upstream.
    pub min_holder_interval: Duration,
}

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
        }
    }
}

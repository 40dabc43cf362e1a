//! Entry of one upstream in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::decide::fleet::{MemberState, MemberWeights, UpstreamEntry};
use crate::decide::hashing::name_hash;
use crate::decide::route_table::{DataCentreId, ServiceId};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEntry {
    service: String,
    address: SocketAddr,
    /// Data centre.
    zone: String,
    slots: u32,
    state: String,
    /// Weights that it runs; a number that only grows for each model.
    #[serde(default)]
    models: Vec<WireModel>,
    /// Unix milliseconds of its start.
    born: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireModel {
    name: String,
    version: u64,
}

/// Decodes an entry.
///
/// # Errors
///
/// Returns the reason when it names no upstream that can be used.
pub fn decode_entry(id: &str, bytes: &[u8]) -> Result<UpstreamEntry, String> {
    let wire: WireEntry = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let state = match wire.state.as_str() {
        "ready" => MemberState::Ready,
        "draining" => MemberState::Draining,
        other => return Err(format!("the state {other:?} is not known")),
    };
    if wire.slots == 0 {
        return Err("it has no slots".to_owned());
    }
    Ok(UpstreamEntry {
        id: id.to_owned(),
        service: ServiceId::of(&wire.service),
        address: wire.address,
        data_centre: DataCentreId::of(&wire.zone),
        slots: wire.slots,
        state,
        started_unix_ms: wire.born.unwrap_or_default(),
        weights: wire.models.first().map(|model| MemberWeights {
            model: name_hash(&model.name),
            version: model.version,
        }),
    })
}

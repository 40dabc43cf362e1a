//! Decoder of the entries with which upstreams register in the platform's store.

use std::net::SocketAddr;

use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::Number;

use crate::decide::fleet::{MemberState, MemberWeights, UpstreamEntry};
use crate::decide::hashing::{first_word, hash_parts, name_hash};
use crate::decide::keyed_view::WriterStamp;
use crate::decide::route_table::{DataCentreId, ServiceId};
use crate::decide::software::SoftwareVersion;

/// Largest number of slots that an upstream can have; sums over a fleet of such upstreams do not
/// overflow.
const MAX_SLOTS: u32 = 65_536;

/// Entry with all fields that an upstream writes, also those that are not used: one without them comes from
/// another writer and names no upstream.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEntry {
    service: String,
    address: SocketAddr,
    /// Data centre of the upstream.
    zone: String,
    slots: u32,
    state: String,
    /// Version of the software that the upstream runs.
    version: WireVersion,
    /// How much longer the upstream is slow after its start, in milliseconds.
    #[serde(rename = "cold-left-ms")]
    _cold_left: Number,
    /// Count of heartbeats.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// Models that the upstream serves, with the versions of their weights.
    #[serde(default)]
    models: Vec<WireModel>,
    /// Start time of the upstream, in Unix milliseconds.
    born: Option<u64>,
}

/// Count of heartbeats of an entry.
#[derive(Debug, Deserialize)]
struct WireCount {
    born: u64,
    sequence: u64,
}

/// Version of software, which may be any text or number.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum WireVersion {
    Text(String),
    Number(Number),
}

impl From<WireVersion> for SoftwareVersion {
    fn from(wire: WireVersion) -> Self {
        Self(match wire {
            WireVersion::Text(text) => name_hash(&text),
            WireVersion::Number(number) => name_hash(&number.to_string()),
        })
    }
}

/// Model with the version of its weights, which only increases.
#[derive(Debug, Deserialize)]
struct WireModel {
    name: String,
    version: u64,
}

/// Decodes the entry of the upstream `id`.
///
/// # Errors
///
/// Returns the reason when the entry is malformed or lacks a field, its state is unknown, the upstream has no slots or
/// more than [`MAX_SLOTS`], or its name cannot be sent in a header.
pub fn decode_entry(id: &str, bytes: &[u8]) -> Result<UpstreamEntry, String> {
    if HeaderValue::from_str(id).is_err() {
        return Err("the name cannot be sent in a header".to_owned());
    }
    let wire: WireEntry = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let state = match wire.state.as_str() {
        "ready" => MemberState::Ready,
        "draining" => MemberState::Draining,
        other => return Err(format!("the state {other:?} is not known")),
    };
    if wire.slots == 0 {
        return Err("the upstream has no slots".to_owned());
    }
    if wire.slots > MAX_SLOTS {
        return Err(format!("{} slots are too many", wire.slots));
    }
    Ok(UpstreamEntry {
        id: id.to_owned(),
        service: ServiceId::of(&wire.service),
        address: wire.address,
        data_centre: DataCentreId::of(&wire.zone),
        slots: wire.slots,
        state,
        started_unix_ms: wire.born.unwrap_or_default(),
        software: wire.version.into(),
        weights: wire.models.first().map(|model| MemberWeights {
            model: name_hash(&model.name),
            version: model.version,
        }),
    })
}

/// Returns the start and the count of heartbeats that the entry of an upstream states; `None` if it lacks
/// one of them.
#[must_use]
pub fn entry_stamp(bytes: &[u8]) -> Option<WriterStamp> {
    let count: WireCount = serde_json::from_slice(bytes).ok()?;
    Some(WriterStamp {
        started_unix_ms: count.born,
        sequence: count.sequence,
    })
}

/// Returns a hash of what the entry of an upstream says, without its count of heartbeats.
#[must_use]
pub fn entry_meaning(bytes: &[u8]) -> u64 {
    // The name is the key of the record.
    let Ok(entry) = decode_entry("", bytes) else {
        return first_word(&hash_parts(&[bytes]));
    };
    let weights = entry
        .weights
        .map_or([0; 2], |weights| [weights.model, weights.version]);
    let numbers = [
        entry.service.0,
        entry.data_centre.0,
        entry.slots.into(),
        (entry.state == MemberState::Ready).into(),
        entry.started_unix_ms,
        entry.software.0,
        weights[0],
        weights[1],
    ];
    let numbers = numbers.map(u64::to_le_bytes);
    let address = entry.address.to_string();
    first_word(&hash_parts(&[numbers.as_flattened(), address.as_bytes()]))
}

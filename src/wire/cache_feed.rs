//! JSON bodies of the endpoints with which an engine reports the content of its KV cache.

use serde::{Deserialize, Serialize};

use super::rpc::UnknownValue;
use crate::decide::cache_index::{CacheChange, CacheEvent, CacheList, CachePage};
use crate::decide::ids::{EngineEpoch, PrefixKey};

/// JSON form of a [`CacheChange`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireChangeKind {
    /// The piece was added to the cache.
    Stored,
    /// The piece was removed from the cache.
    Evicted,
}

impl From<WireChangeKind> for CacheChange {
    fn from(kind: WireChangeKind) -> Self {
        match kind {
            WireChangeKind::Stored => Self::Stored,
            WireChangeKind::Evicted => Self::Evicted,
        }
    }
}

/// JSON form of a [`CacheEvent`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCacheEvent {
    /// Sequence number of the event within the epoch.
    pub seq: u64,
    /// Change of the cache.
    pub kind: WireChangeKind,
    /// Prefix key of the piece, in hexadecimal.
    pub key: String,
}

/// Response body of `GET /cache/events`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCachePage {
    /// Epoch of the engine.
    pub epoch: u64,
    /// Sequence number below which the engine has published all events.
    pub next: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<WireCacheEvent>,
}

/// Response body of `GET /cache/keys`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCacheKeys {
    /// Epoch of the engine.
    pub epoch: u64,
    /// Sequence number of the first event that is not reflected in the list.
    pub next: u64,
    /// Prefix keys of all cached pieces, in hexadecimal.
    pub keys: Vec<String>,
}

impl TryFrom<WireCachePage> for CachePage {
    type Error = UnknownValue;

    fn try_from(page: WireCachePage) -> Result<Self, Self::Error> {
        let decode = |event: &WireCacheEvent| {
            Ok(CacheEvent {
                sequence: event.seq,
                change: event.kind.into(),
                key: parse_key(&event.key)?,
            })
        };
        let events: Result<Vec<_>, _> = page.events.iter().map(decode).collect();
        Ok(Self {
            epoch: EngineEpoch(page.epoch),
            events: events?,
            next: page.next,
        })
    }
}

impl TryFrom<WireCacheKeys> for CacheList {
    type Error = UnknownValue;

    fn try_from(list: WireCacheKeys) -> Result<Self, Self::Error> {
        let keys: Result<Vec<_>, _> = list.keys.iter().map(|key| parse_key(key)).collect();
        Ok(Self {
            epoch: EngineEpoch(list.epoch),
            keys: keys?,
            next: list.next,
        })
    }
}

fn parse_key(text: &str) -> Result<PrefixKey, UnknownValue> {
    u64::from_str_radix(text, 16)
        .map(PrefixKey)
        .map_err(|_not_hex| UnknownValue)
}

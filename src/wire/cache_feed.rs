//! Cache events and cache content of an engine.

use serde::{Deserialize, Serialize};

use super::rpc::UnknownValue;
use crate::decide::cache_index::{CacheChange, CacheEvent, CacheList, CachePage};
use crate::decide::ids::{EngineEpoch, PrefixKey};

/// Kind of an event on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireChangeKind {
    /// The piece is cached now.
    Stored,
    /// The piece is no longer cached.
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

/// One event on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// What happened.
    pub kind: WireChangeKind,
    /// Key of the piece in hexadecimal.
    pub key: String,
}

/// Answer to `GET /cache/events`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCachePage {
    /// Life of the engine.
    pub epoch: u64,
    /// Sequence number up to which events are published.
    pub next: u64,
    /// Events in the order of their sequence.
    pub events: Vec<WireCacheEvent>,
}

/// Answer to `GET /cache/keys`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCacheKeys {
    /// Life of the engine.
    pub epoch: u64,
    /// Sequence number of the first event that the list does not contain.
    pub next: u64,
    /// Keys of the pieces in hexadecimal.
    pub keys: Vec<String>,
}

impl TryFrom<WireCachePage> for CachePage {
    type Error = UnknownValue;

    fn try_from(page: WireCachePage) -> Result<Self, Self::Error> {
        let read = |event: &WireCacheEvent| {
            Ok(CacheEvent {
                sequence: event.seq,
                change: event.kind.into(),
                key: prefix_key(&event.key)?,
            })
        };
        let events: Result<Vec<_>, _> = page.events.iter().map(read).collect();
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
        let keys: Result<Vec<_>, _> = list.keys.iter().map(|key| prefix_key(key)).collect();
        Ok(Self {
            epoch: EngineEpoch(list.epoch),
            keys: keys?,
            next: list.next,
        })
    }
}

fn prefix_key(text: &str) -> Result<PrefixKey, UnknownValue> {
    u64::from_str_radix(text, 16)
        .map(PrefixKey)
        .map_err(|_not_hex| UnknownValue)
}

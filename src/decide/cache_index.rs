//! Prefix pieces that an engine has cached, as reported by its cache events.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};

use super::ids::{EngineEpoch, PrefixKey};

/// Hasher that returns a prefix key unchanged; keys are taken from a cryptographic hash already.
#[derive(Debug, Default, Clone, Copy)]
pub struct KeyHasher {
    word: u64,
}

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.word
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.word = self.word.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, i: u64) {
        self.word = i;
    }
}

/// Change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The piece was added to the cache.
    Stored,
    /// The piece was evicted from the cache.
    Evicted,
}

/// Event about one piece of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number within the epoch; starts at 0 without gaps, though events may be lost later.
    pub sequence: u64,
    /// Kind of the change.
    pub change: CacheChange,
    /// Key of the piece.
    pub key: PrefixKey,
}

/// Batch of events of an engine's cache.
#[derive(Debug, Clone)]
pub struct CachePage {
    /// Epoch in which the events took place.
    pub epoch: EngineEpoch,
    /// Events, by sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number up to which the engine has published events.
    pub next: u64,
}

/// Full list of the pieces in an engine's cache.
#[derive(Debug, Clone)]
pub struct CacheList {
    /// Epoch to which the list belongs.
    pub epoch: EngineEpoch,
    /// Keys of the cached pieces.
    pub keys: Vec<PrefixKey>,
    /// Sequence number of the first event that the list does not include.
    pub next: u64,
}

/// Next request to the engine about its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexStep {
    /// Fetch the events from this sequence number on.
    Follow(u64),
    /// Fetch the full list of keys, because events were lost.
    Resync,
}

/// Index of the pieces that one engine has cached; empty from a lost event to the next full list.
#[derive(Debug, Clone)]
pub struct CacheIndex {
    epoch: Option<EngineEpoch>,
    next_sequence: Option<u64>,
    /// Highest sequence number below which events of the epoch were applied, kept across gaps.
    highest_applied: u64,
    pieces: HashSet<PrefixKey, BuildHasherDefault<KeyHasher>>,
    capacity: usize,
}

impl CacheIndex {
    /// Creates an empty index that holds at most `capacity` pieces.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            epoch: None,
            next_sequence: None,
            highest_applied: 0,
            pieces: HashSet::default(),
            capacity,
        }
    }

    /// Returns the number of pieces in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether the index has no piece.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Returns what to fetch next.
    #[must_use]
    pub const fn step(&self) -> IndexStep {
        match self.next_sequence {
            Some(sequence) => IndexStep::Follow(sequence),
            None => IndexStep::Resync,
        }
    }

    /// Records the engine's epoch; a new epoch empties the index.
    pub fn observe_epoch(&mut self, epoch: EngineEpoch) {
        if self.epoch == Some(epoch) {
            return;
        }
        self.epoch = Some(epoch);
        self.highest_applied = 0;
        self.invalidate();
    }

    /// Applies a batch of events and returns what to fetch next.
    ///
    /// Events applied earlier are skipped. A missing event empties the index, and so does a batch
    /// without new events if the engine has published further ones.
    pub fn apply(&mut self, page: &CachePage) -> IndexStep {
        self.observe_epoch(page.epoch);
        let Some(applied) = self.next_sequence else {
            return IndexStep::Resync;
        };
        let mut expected = applied;
        for event in page.events.iter().filter(|event| event.sequence >= applied) {
            if event.sequence > expected {
                self.invalidate();
                return IndexStep::Resync;
            }
            if event.sequence == expected {
                self.apply_event(event);
                expected += 1;
            }
        }
        if expected == applied && page.next > expected {
            self.invalidate();
            return IndexStep::Resync;
        }
        self.advance_to(expected)
    }

    /// Replaces the content by a full list and returns what to fetch next.
    ///
    /// A list older than the events applied so far is ignored, even after a gap.
    pub fn resync(&mut self, list: &CacheList) -> IndexStep {
        self.observe_epoch(list.epoch);
        if list.next < self.highest_applied {
            return self.step();
        }
        self.pieces.clear();
        self.pieces.extend(list.keys.iter().take(self.capacity));
        self.advance_to(list.next)
    }

    /// Returns how many pieces the engine has to compute: all from the first one not cached.
    #[must_use]
    pub fn missing(&self, keys: &[PrefixKey]) -> u32 {
        let cached = keys.iter().take_while(|key| self.pieces.contains(key));
        u32::try_from(keys.len() - cached.count()).unwrap_or(u32::MAX)
    }

    fn advance_to(&mut self, sequence: u64) -> IndexStep {
        self.next_sequence = Some(sequence);
        self.highest_applied = sequence;
        IndexStep::Follow(sequence)
    }

    fn apply_event(&mut self, event: &CacheEvent) {
        match event.change {
            CacheChange::Stored if self.pieces.len() < self.capacity => {
                self.pieces.insert(event.key);
            }
            CacheChange::Stored => {}
            CacheChange::Evicted => {
                self.pieces.remove(&event.key);
            }
        }
    }

    fn invalidate(&mut self) {
        self.pieces.clear();
        self.next_sequence = None;
    }
}

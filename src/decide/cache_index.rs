//! Which prefix pieces an engine holds, as far as its cache events prove.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};

use super::ids::{EngineEpoch, PrefixKey};

/// Passes prefix keys through, since they are cut from a cryptographic hash already.
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

/// A change of the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The piece is cached now.
    Stored,
    /// The piece is no longer cached.
    Evicted,
}

/// One event of the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position among the events of one epoch, from 0 without gaps at the engine.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// Key of the piece.
    pub key: PrefixKey,
}

/// Events of an engine's cache.
#[derive(Debug, Clone)]
pub struct CachePage {
    /// Life of the engine.
    pub epoch: EngineEpoch,
    /// Events in the order of their sequence.
    pub events: Vec<CacheEvent>,
    /// Sequence number up to which the engine has published events.
    pub next: u64,
}

/// Content of an engine's cache.
#[derive(Debug, Clone)]
pub struct CacheList {
    /// Life of the engine.
    pub epoch: EngineEpoch,
    /// Keys of the pieces.
    pub keys: Vec<PrefixKey>,
    /// Sequence number of the first event that the list does not contain.
    pub next: u64,
}

/// What the follower of the events does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexStep {
    /// Fetch the events from this sequence number on.
    Follow(u64),
    /// Events were lost: fetch the full list of keys.
    Resync,
}

/// The pieces that one engine holds; a lost event empties it until the next full list.
#[derive(Debug, Clone)]
pub struct CacheIndex {
    epoch: Option<EngineEpoch>,
    next_sequence: Option<u64>,
    /// Events of the epoch below this have been applied at some time.
    reached: u64,
    blocks: HashSet<PrefixKey, BuildHasherDefault<KeyHasher>>,
    capacity: usize,
}

impl CacheIndex {
    /// Creates an empty index that believes at most `capacity` pieces.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            epoch: None,
            next_sequence: None,
            reached: 0,
            blocks: HashSet::default(),
            capacity,
        }
    }

    /// Returns how many pieces are believed to be cached.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether no piece is believed to be cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns what to fetch next.
    #[must_use]
    pub const fn step(&self) -> IndexStep {
        match self.next_sequence {
            Some(sequence) => IndexStep::Follow(sequence),
            None => IndexStep::Resync,
        }
    }

    /// Takes note of the engine's epoch; another one than before empties the index.
    pub fn observe_epoch(&mut self, epoch: EngineEpoch) {
        if self.epoch == Some(epoch) {
            return;
        }
        self.epoch = Some(epoch);
        self.reached = 0;
        self.distrust();
    }

    /// Applies a batch of events.
    ///
    /// Events already applied are skipped. A missing one empties the index, and so does a batch
    /// that brings nothing new although the engine is further on.
    pub fn apply(&mut self, page: &CachePage) -> IndexStep {
        self.observe_epoch(page.epoch);
        let Some(applied) = self.next_sequence else {
            return IndexStep::Resync;
        };
        let mut expected = applied;
        for event in page.events.iter().filter(|event| event.sequence >= applied) {
            if event.sequence > expected {
                self.distrust();
                return IndexStep::Resync;
            }
            if event.sequence == expected {
                self.record(event);
                expected += 1;
            }
        }
        if expected == applied && page.next > expected {
            self.distrust();
            return IndexStep::Resync;
        }
        self.follow(expected)
    }

    /// Replaces the content by a full list.
    ///
    /// A list older than the events that have been applied is ignored, also after a gap.
    pub fn resync(&mut self, list: &CacheList) -> IndexStep {
        self.observe_epoch(list.epoch);
        if list.next < self.reached {
            return self.step();
        }
        self.blocks.clear();
        self.blocks.extend(list.keys.iter().take(self.capacity));
        self.follow(list.next)
    }

    /// Returns how many pieces the engine has to compute, which is all from the first one missing.
    #[must_use]
    pub fn missing(&self, keys: &[PrefixKey]) -> u32 {
        let cached = keys.iter().take_while(|key| self.blocks.contains(key));
        u32::try_from(keys.len() - cached.count()).unwrap_or(u32::MAX)
    }

    fn follow(&mut self, sequence: u64) -> IndexStep {
        self.next_sequence = Some(sequence);
        self.reached = sequence;
        IndexStep::Follow(sequence)
    }

    fn record(&mut self, event: &CacheEvent) {
        match event.change {
            CacheChange::Stored if self.blocks.len() < self.capacity => {
                self.blocks.insert(event.key);
            }
            CacheChange::Stored => {}
            CacheChange::Evicted => {
                self.blocks.remove(&event.key);
            }
        }
    }

    fn distrust(&mut self) {
        self.blocks.clear();
        self.next_sequence = None;
    }
}

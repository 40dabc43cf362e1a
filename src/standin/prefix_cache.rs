//! Prefix cache of the engine: piece keys in order of last use, the oldest evicted first.

use std::collections::{BTreeMap, HashMap};

/// Key of one piece of a prompt, as the caller names it.
pub type PieceKey = u64;

/// A change of the cache's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The piece is now cached.
    Stored(PieceKey),
    /// The piece is no longer cached.
    Evicted(PieceKey),
}

/// Least-recently-used set of piece keys with a fixed capacity.
///
/// ```
/// use bulrushslip::standin::prefix_cache::PrefixCache;
/// let mut cache = PrefixCache::new(2);
/// cache.store(&[1, 2]);
/// assert_eq!(cache.touch_prefix(&[1, 2, 3]), 2);
/// cache.store(&[1, 2, 3]);
/// assert_eq!(cache.touch_prefix(&[3]), 0);
/// ```
#[derive(Debug, Clone)]
pub struct PrefixCache {
    /// Most pieces that are cached at the same time.
    pub capacity: usize,
    last_use: HashMap<PieceKey, u64>,
    by_use: BTreeMap<u64, PieceKey>,
    uses: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Returns the length of the longest cached run of leading pieces and marks it as used.
    pub fn touch_prefix(&mut self, keys: &[PieceKey]) -> usize {
        let cached = keys
            .iter()
            .take_while(|key| self.last_use.contains_key(key))
            .count();
        self.mark_used(&keys[..cached]);
        cached
    }

    /// Caches the pieces, outermost first, and returns what changed.
    ///
    /// Of a prompt longer than the capacity only the leading pieces are cached.
    pub fn store(&mut self, keys: &[PieceKey]) -> Vec<CacheChange> {
        let keys = &keys[..keys.len().min(self.capacity)];
        let stored: Vec<CacheChange> = keys
            .iter()
            .filter(|key| !self.last_use.contains_key(key))
            .map(|key| CacheChange::Stored(*key))
            .collect();
        self.mark_used(keys);
        let mut changes = self.evict_surplus();
        changes.extend(stored);
        changes
    }

    /// Empties the cache and returns what was evicted.
    pub fn clear(&mut self) -> Vec<CacheChange> {
        self.last_use.clear();
        let evicted = std::mem::take(&mut self.by_use);
        evicted.into_values().map(CacheChange::Evicted).collect()
    }

    /// Returns the number of cached pieces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Tells whether nothing is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Returns the cached keys, least recently used first.
    #[must_use]
    pub fn keys(&self) -> Vec<PieceKey> {
        self.by_use.values().copied().collect()
    }

    // Inner pieces are marked first, so a prefix never outlives what leads to it.
    fn mark_used(&mut self, keys: &[PieceKey]) {
        for key in keys.iter().rev() {
            self.uses += 1;
            if let Some(previous) = self.last_use.insert(*key, self.uses) {
                self.by_use.remove(&previous);
            }
            self.by_use.insert(self.uses, *key);
        }
    }

    fn evict_surplus(&mut self) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        while self.by_use.len() > self.capacity {
            let Some((_, key)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&key);
            changes.push(CacheChange::Evicted(key));
        }
        changes
    }
}

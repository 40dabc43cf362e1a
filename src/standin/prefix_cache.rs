//! Prefix cache of the simulated engine: a least-recently-used set of prompt pieces.

use std::collections::{BTreeMap, HashMap};

/// Cache key of one prompt piece, chosen by the caller.
pub type PieceKey = u64;

/// A change to the set of cached pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece was added.
    Stored(PieceKey),
    /// A piece was removed.
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
    /// Maximum number of cached pieces.
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

    /// Returns how many leading pieces of a prompt are cached and marks them as used.
    pub fn touch_prefix(&mut self, keys: &[PieceKey]) -> usize {
        let cached = keys
            .iter()
            .take_while(|key| self.last_use.contains_key(key))
            .count();
        self.mark_used(&keys[..cached]);
        cached
    }

    /// Caches the pieces of a prompt, given in the order of the prompt, and returns the changes.
    ///
    /// Only the leading pieces of a prompt longer than the capacity are cached.
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

    /// Evicts all pieces and returns the changes.
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

    /// Returns whether no piece is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Returns the keys of the cached pieces, least recently used first.
    #[must_use]
    pub fn keys(&self) -> Vec<PieceKey> {
        self.by_use.values().copied().collect()
    }

    // Later pieces are marked first, so that they are evicted before the pieces that precede them.
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

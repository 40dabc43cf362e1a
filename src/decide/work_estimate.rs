//! What a request would cost at one upstream: pieces to compute and output to produce.

use std::collections::HashMap;

use super::cache_index::CacheIndex;
use super::ids::PrefixKey;

/// Nominal cost of computing one prompt piece, in microseconds.
pub const PIECE_COST_US: u64 = 60_000;

/// Nominal time of one output token of one request, in microseconds.
const TOKEN_COST_US: u64 = 5_000;

/// Output tokens assumed when a request states none.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// Pieces believed to be cached at most.
const INDEX_CAPACITY: usize = 1_000_000;

/// The engine's cache and the pieces that accepted requests are about to add to it.
#[derive(Debug, Clone)]
pub struct WorkEstimate {
    /// What the engine holds.
    pub index: CacheIndex,
    expected: HashMap<PrefixKey, u32>,
}

impl Default for WorkEstimate {
    fn default() -> Self {
        Self {
            index: CacheIndex::new(INDEX_CAPACITY),
            expected: HashMap::new(),
        }
    }
}

impl WorkEstimate {
    /// Returns how many pieces the engine would have to compute for a further request.
    #[must_use]
    pub fn missing(&self, keys: &[PrefixKey]) -> u32 {
        let known = |key: &&PrefixKey| {
            self.expected.contains_key(key) || self.index.missing(std::slice::from_ref(*key)) == 0
        };
        let cached = keys.iter().take_while(known).count();
        u32::try_from(keys.len() - cached).unwrap_or(u32::MAX)
    }

    /// Counts the pieces of an accepted request as cached until it has ended.
    pub fn expect(&mut self, keys: &[PrefixKey]) {
        for key in keys {
            *self.expected.entry(*key).or_default() += 1;
        }
    }

    /// Takes back what [`WorkEstimate::expect`] counted.
    pub fn settle(&mut self, keys: &[PrefixKey]) {
        for key in keys {
            if let Some(count) = self.expected.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    self.expected.remove(key);
                }
            }
        }
    }
}

/// Returns the estimated share of an engine's time, in microseconds; `output_tokens` is 0 when
/// not stated.
///
/// An engine computes the pieces of one prompt at a time and decodes in all slots at once.
#[must_use]
pub fn request_cost_us(missing_pieces: u32, output_tokens: u32, slots: u32) -> u64 {
    let tokens = if output_tokens == 0 {
        DEFAULT_OUTPUT_TOKENS
    } else {
        output_tokens
    };
    let output_us = TOKEN_COST_US * u64::from(tokens) / u64::from(slots.max(1));
    PIECE_COST_US * u64::from(missing_pieces) + output_us
}

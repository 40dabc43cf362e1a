//! Cost of a request at one upstream: prompt pieces to compute and output tokens to decode.

use std::collections::HashMap;

use super::cache_index::CacheIndex;
use super::ids::PrefixKey;

/// Nominal time to compute one prompt piece, in microseconds.
pub const PIECE_COST_US: u64 = 60_000;

/// Nominal time to decode one output token of one request, in microseconds.
const OUTPUT_TOKEN_COST_US: u64 = 5_000;

/// Output tokens assumed for a request that does not state their number.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// Maximum number of pieces in the cache index.
const INDEX_CAPACITY: usize = 1_000_000;

/// Cached pieces of an engine, including those that accepted requests will add.
#[derive(Debug, Clone)]
pub struct WorkEstimate {
    /// Pieces reported as cached by the engine's events.
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
    /// Returns how many pieces of a further request the engine would have to compute.
    #[must_use]
    pub fn missing(&self, keys: &[PrefixKey]) -> u32 {
        let is_cached = |key: &&PrefixKey| {
            self.expected.contains_key(key) || self.index.missing(std::slice::from_ref(*key)) == 0
        };
        let cached = keys.iter().take_while(is_cached).count();
        u32::try_from(keys.len() - cached).unwrap_or(u32::MAX)
    }

    /// Counts the pieces of an accepted request as cached until [`WorkEstimate::settle`].
    pub fn expect(&mut self, keys: &[PrefixKey]) {
        for key in keys {
            *self.expected.entry(*key).or_default() += 1;
        }
    }

    /// Removes the pieces of an ended request that [`WorkEstimate::expect`] counted.
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

/// Returns the estimated engine time of a request, in microseconds; `output_tokens` is 0 if the
/// request does not state it.
///
/// Prompt pieces are computed for one request at a time, tokens are decoded for all slots at once.
#[must_use]
pub fn request_cost_us(missing_pieces: u32, output_tokens: u32, slots: u32) -> u64 {
    let tokens = if output_tokens == 0 {
        DEFAULT_OUTPUT_TOKENS
    } else {
        output_tokens
    };
    let output_us = OUTPUT_TOKEN_COST_US * u64::from(tokens) / u64::from(slots.max(1));
    PIECE_COST_US * u64::from(missing_pieces) + output_us
}

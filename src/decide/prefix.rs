//! Prefix keys of prompts: a chained hash for each complete piece.

use super::hashing::{first_word, hash_parts};
use super::ids::PrefixKey;

/// Length of a piece of prompt text, in bytes; about 4,000 tokens at four bytes each.
pub const DEFAULT_PIECE_BYTES: usize = 16_384;

/// Maximum number of keys for a prompt, which bounds the size of quotes and submissions.
pub const MAX_KEYED_PIECES: usize = 64;

/// Computes the keys of a prompt's complete pieces, from the start of the prompt.
///
/// Each key includes the hash of the pieces before it, and the first one includes customer, model
/// and version. Keys of different customers or weights therefore never match.
///
/// ```
/// use bulrushslip::decide::prefix::prefix_keys;
/// let old = prefix_keys("wales", "reviewer", "v1", b"abcdefgh", 4);
/// let new = prefix_keys("wales", "reviewer", "v2", b"abcdefgh", 4);
/// assert_eq!(old.len(), 2);
/// assert_ne!(old[0], new[0]);
/// ```
#[must_use]
pub fn prefix_keys(
    customer: &str,
    model: &str,
    version: &str,
    prompt: &[u8],
    piece_bytes: usize,
) -> Vec<PrefixKey> {
    let scope = [customer.as_bytes(), model.as_bytes(), version.as_bytes()];
    let mut prefix_hash = hash_parts(&scope);
    let whole_pieces = prompt
        .chunks_exact(piece_bytes.max(1))
        .take(MAX_KEYED_PIECES);
    whole_pieces
        .map(|piece| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(prefix_hash.as_bytes());
            hasher.update(piece);
            prefix_hash = hasher.finalize();
            PrefixKey(first_word(&prefix_hash))
        })
        .collect()
}

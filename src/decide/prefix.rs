//! Chained prefix keys: one for each whole piece of a prompt.

use super::hashing::{first_word, hash_parts};
use super::ids::PrefixKey;

/// Bytes of prompt text in one piece; about 4,000 tokens at four bytes a token.
pub const DEFAULT_PIECE_BYTES: usize = 16_384;

/// Pieces beyond this depth are not keyed; it bounds the size of quotes and submissions.
pub const MAX_KEYED_PIECES: usize = 64;

/// Computes the keys of all whole pieces of a prompt, outermost first.
///
/// Each key hashes the one before it, and the first hashes the customer, the model and the
/// version, so keys of another customer or of other weights never match.
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
    let mut chain = hash_parts(&scope);
    let whole_pieces = prompt
        .chunks_exact(piece_bytes.max(1))
        .take(MAX_KEYED_PIECES);
    whole_pieces
        .map(|piece| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(chain.as_bytes());
            hasher.update(piece);
            chain = hasher.finalize();
            PrefixKey(first_word(&chain))
        })
        .collect()
}

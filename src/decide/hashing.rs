//! Hash functions with the same results in all processes.

/// Hashes a list of byte strings; lengths are included, so different lists give different input.
///
/// ```
/// use bulrushslip::decide::hashing::hash_parts;
/// assert_ne!(hash_parts(&[b"a", b"bc"]), hash_parts(&[b"ab", b"c"]));
/// ```
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

/// Returns the first eight bytes of a hash as a little-endian integer.
#[must_use]
pub fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}

/// Returns the 64-bit hash of a name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    first_word(&blake3::hash(name.as_bytes()))
}

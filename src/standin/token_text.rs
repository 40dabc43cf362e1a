//! Output text of the simulated engine: a deterministic sequence of tokens for each prompt.
//!
//! Token `k` is ` t{k}.{hash}`, where the hash depends on the prompt and on `k`. Tests can thus
//! check that a response is complete, in order and belongs to its prompt.

use crate::decide::hashing::name_hash;

/// Prefix of the first token of every sequence.
const FIRST_TOKEN: &str = " t0.";

/// Hashes a seed and a number into a pseudo-random number.
#[must_use]
pub const fn mix(seed: u64, number: u64) -> u64 {
    let mut word = seed ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the seed of the token sequence of a prompt.
#[must_use]
pub fn text_seed(prompt: &str) -> u64 {
    name_hash(prompt)
}

/// Returns the token with an index in the sequence of a seed.
#[must_use]
pub fn token(seed: u64, index: u64) -> String {
    format!(" t{index}.{:04x}", mix(seed, index) & 0xffff)
}

/// Returns the number of leading tokens of the sequence of a seed that a text ends with.
#[must_use]
pub fn count_continuation(seed: u64, text: &str) -> u64 {
    let starts = text.rmatch_indices(FIRST_TOKEN);
    let mut counts = starts.filter_map(|(start, _)| count_exact(seed, &text[start..]));
    counts.next().unwrap_or(0)
}

// Returns the number of tokens if the text is exactly the first tokens of the sequence.
fn count_exact(seed: u64, text: &str) -> Option<u64> {
    let mut rest = text;
    let mut count = 0;
    while let Some(after) = rest.strip_prefix(token(seed, count).as_str()) {
        rest = after;
        count += 1;
    }
    rest.is_empty().then_some(count)
}

/// Splits a prompt that continues an output into the original prompt and the output tokens.
///
/// Returns the seed of the original prompt and the number of output tokens after it.
///
/// ```
/// use bulrushslip::standin::token_text::{split_continuation, text_seed, token};
/// let seed = text_seed("Review unit 7.");
/// let prompt = format!("Review unit 7.{}{}", token(seed, 0), token(seed, 1));
/// assert_eq!(split_continuation(&prompt), (seed, 2));
/// assert_eq!(split_continuation("Review unit 7."), (seed, 0));
/// ```
#[must_use]
pub fn split_continuation(prompt: &str) -> (u64, u64) {
    for (start, _) in prompt.rmatch_indices(FIRST_TOKEN) {
        let seed = text_seed(&prompt[..start]);
        if let Some(count) = count_exact(seed, &prompt[start..]) {
            return (seed, count);
        }
    }
    (text_seed(prompt), 0)
}

//! Prompts of the soak's requests, as their headers describe them.

use super::ledger::Kind;

/// Documents that the prompts of resumable streams share.
const DOCUMENTS: usize = 5;

/// Value of `x-token-usage`: prompt tokens and the largest number of output tokens.
pub const TOKEN_USAGE: &str = "2400,80";

/// Returns the value of `x-prompt-prefix` for a request: a part that others share, and its own.
pub fn prompt_prefix(kind: Kind, id: &str) -> String {
    let hash = id.bytes().fold(7_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    let document = hash as usize % DOCUMENTS;
    match kind {
        Kind::Resumable => format!("d{document}:2000,{hash:08x}:400"),
        _ => format!("e0:55,{hash:08x}:37"),
    }
}

//! Prompt texts whose nested prefixes end at piece boundaries.

use serde_json::json;

use super::workload::{PlannedRequest, PrefixDepths};

/// Bytes that the canonical prompt holds before the text of the first message: its role on a line
/// and an opening quotation mark.
const CANONICAL_START_BYTES: usize = "\"user\"\n\"".len();

/// Builds request bodies.
#[derive(Debug, Clone)]
pub struct PromptBuilder {
    /// Name of the model.
    pub model: String,
    /// Bytes of prompt text in one cache piece.
    pub piece_bytes: usize,
    /// Pieces of each level.
    pub depths: PrefixDepths,
}

impl PromptBuilder {
    /// Returns the body of a streamed chat completion.
    #[must_use]
    pub fn body(&self, request: &PlannedRequest) -> String {
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.text(request)}],
            "stream": true,
            "max_tokens": request.tokens,
        })
        .to_string()
    }

    /// Returns the text of the prompt: preamble, site, unit and question.
    #[must_use]
    pub fn text(&self, request: &PlannedRequest) -> String {
        let mut text = String::new();
        let mut end = 0;
        let levels = [
            (self.depths.preamble, "preamble".to_owned()),
            (self.depths.site, format!("site {}", request.site)),
            (
                self.depths.unit,
                format!("site {} unit {}", request.site, request.unit),
            ),
        ];
        for (pieces, label) in levels {
            end += pieces * self.piece_bytes;
            let length = end.saturating_sub(CANONICAL_START_BYTES + text.len());
            let line = format!("{label}. ");
            text.extend(line.chars().cycle().take(length));
        }
        text + &format!("question {:x}", request.question)
    }
}

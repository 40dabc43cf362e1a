//! Prompts with shared prefixes that end at the boundaries of cache pieces.

use serde_json::json;

use super::workload::{PlannedRequest, PrefixLengths};

/// Bytes of the canonical prompt before the text of the first message: the role, a line feed and an
/// opening quotation mark.
const CANONICAL_START_BYTES: usize = "\"user\"\n\"".len();

/// Builds the bodies of chat requests.
#[derive(Debug, Clone)]
pub struct PromptBuilder {
    /// Name of the model.
    pub model: String,
    /// Bytes of prompt text in one cache piece.
    pub piece_bytes: usize,
    /// Number of cache pieces in each level of the prompt.
    pub prefix_lengths: PrefixLengths,
}

impl PromptBuilder {
    /// Returns the JSON body of a streamed chat request.
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
            (self.prefix_lengths.preamble, "preamble".to_owned()),
            (self.prefix_lengths.site, format!("site {}", request.site)),
            (
                self.prefix_lengths.unit,
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

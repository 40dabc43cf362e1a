//! Merges the chunks of one or several upstream streams into one response with a single `id`.

use serde_json::{Map, Value, json};

use super::DONE;
use super::request::{ApiKind, CallerRequest};

/// Delta fields whose strings are concatenated; in all other fields the last string replaces the
/// earlier ones.
const APPENDED_FIELDS: [&str; 6] = [
    "content",
    "text",
    "refusal",
    "reasoning",
    "reasoning_content",
    "arguments",
];

/// Maximum choice index; a higher one from a faulty upstream is treated as this index.
const MAX_CHOICE_INDEX: usize = 127;

/// Maximum number of tool calls in one message; further ones are ignored.
const MAX_TOOL_CALLS: usize = 1_024;

/// What to do with an event of the upstream's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAction {
    /// Send this payload to a caller that requested a stream.
    Forward(Vec<u8>),
    /// Send nothing: the event contains nothing for the caller.
    Withhold,
    /// The stream is complete; send [`DONE`] to a caller that requested a stream.
    Done,
    /// The upstream sent an error or an event that is not a chunk.
    Failed(String),
}

/// Part of a response that was delivered before its upstream was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeliveredText {
    /// Delivered text.
    pub text: String,
    /// Number of delivered tokens.
    pub tokens: u64,
}

/// Response merged so far from the chunks of all attempts of a request.
#[derive(Debug, Clone)]
pub struct ResponseAccumulator {
    /// Endpoint that received the request.
    pub kind: ApiKind,
    /// Value of `id` in the response and in every chunk.
    pub id: String,
    /// Value of `created` in the response and in every chunk, in Unix seconds.
    pub created: u64,
    /// Name of the model as stated by the caller.
    pub model: String,
    /// Whether the stream to the caller includes the usage chunk.
    pub include_usage: bool,
    /// Choices by index, in the form that they have in a response that is not streamed.
    choices: Vec<Map<String, Value>>,
    usage: Option<Value>,
    /// Number of tokens delivered by the current attempt.
    tokens: u64,
    /// Number of tokens delivered by earlier attempts.
    earlier_tokens: u64,
    /// Whether an earlier attempt has delivered the beginning of the response.
    is_continued: bool,
}

impl ResponseAccumulator {
    /// Creates an empty response; `created` is in Unix seconds.
    #[must_use]
    pub fn new(request: &CallerRequest, id: String, created: u64) -> Self {
        Self {
            kind: request.kind,
            id,
            created,
            model: request.model.clone(),
            include_usage: request.include_usage,
            choices: Vec::new(),
            usage: None,
            tokens: 0,
            earlier_tokens: 0,
            is_continued: false,
        }
    }

    /// Merges the payload of one event and returns what to send to a caller that requested a
    /// stream.
    pub fn accept(&mut self, payload: &[u8]) -> ChunkAction {
        if payload == DONE {
            return ChunkAction::Done;
        }
        let Ok(Value::Object(mut chunk)) = serde_json::from_slice(payload) else {
            return ChunkAction::Failed(
                "the upstream sent an event that is not a chunk".to_owned(),
            );
        };
        if let Some(error) = chunk.get("error") {
            return ChunkAction::Failed(error.to_string());
        }
        self.merge_usage(&mut chunk);
        let has_content = self.merge_choices(&mut chunk) || chunk.contains_key("usage");
        if !has_content {
            return ChunkAction::Withhold;
        }
        chunk.insert("id".to_owned(), json!(self.id));
        chunk.insert("created".to_owned(), json!(self.created));
        chunk.insert("model".to_owned(), json!(self.model));
        ChunkAction::Forward(Value::Object(chunk).to_string().into_bytes())
    }

    /// Starts the next attempt, whose stream continues the delivered text.
    pub const fn begin_attempt(&mut self) {
        self.is_continued |= !self.choices.is_empty();
        self.earlier_tokens += self.tokens;
        self.tokens = 0;
    }

    /// Returns the delivered text; `None` if another upstream cannot continue the response from
    /// it.
    #[must_use]
    pub fn delivered(&self) -> Option<DeliveredText> {
        let tokens = self.earlier_tokens + self.tokens;
        let text = match self.choices.as_slice() {
            [] => String::new(),
            [choice] => self.choice_text(choice)?,
            _ => return None,
        };
        Some(DeliveredText { text, tokens })
    }

    /// Returns whether there are choices and all of them have a finish reason.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let finished = |choice: &Map<String, Value>| choice["finish_reason"].is_string();
        !self.choices.is_empty() && self.choices.iter().all(finished)
    }

    /// Ends a response that has reached the caller's token limit and returns its last chunk.
    pub fn finish_at_limit(&mut self) -> Vec<u8> {
        let mut chunk = match self.kind {
            ApiKind::Chat => json!({"object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]}),
            ApiKind::Text => json!({"object": "text_completion",
                "choices": [{"index": 0, "text": "", "finish_reason": "length"}]}),
        };
        chunk["id"] = json!(self.id);
        chunk["created"] = json!(self.created);
        chunk["model"] = json!(self.model);
        if let Some(Value::Array(choices)) = chunk.get("choices") {
            for choice in choices.clone() {
                self.merge_choice(choice);
            }
        }
        chunk.to_string().into_bytes()
    }

    /// Returns the complete response for a caller that did not request a stream.
    #[must_use]
    pub fn response(&self) -> Value {
        let object = match self.kind {
            ApiKind::Chat => "chat.completion",
            ApiKind::Text => "text_completion",
        };
        let mut response = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": self.choices,
        });
        if let Some(usage) = &self.usage {
            response["usage"] = usage.clone();
        }
        response
    }

    /// Merges the usage of a chunk and removes it from the chunk unless the caller requested it.
    fn merge_usage(&mut self, chunk: &mut Map<String, Value>) {
        let Some(mut usage) = chunk.remove("usage") else {
            return;
        };
        let has_counts = usage.is_object();
        if has_counts {
            self.include_earlier_attempts(&mut usage);
            self.usage = Some(usage.clone());
        }
        if self.include_usage {
            chunk.insert("usage".to_owned(), usage);
        }
    }

    /// Counts the tokens of earlier attempts as completion tokens; the upstream counts them as
    /// prompt tokens, since the prompt of a continuation contains them.
    fn include_earlier_attempts(&self, usage: &mut Value) {
        let earlier = self.earlier_tokens;
        if earlier == 0 {
            return;
        }
        if let Some(count) = usage["prompt_tokens"].as_u64() {
            usage["prompt_tokens"] = json!(count.saturating_sub(earlier));
        }
        if let Some(count) = usage["completion_tokens"].as_u64() {
            usage["completion_tokens"] = json!(count + earlier);
        }
    }

    /// Merges the choices of a chunk and returns whether one of them has content for the caller.
    fn merge_choices(&mut self, chunk: &mut Map<String, Value>) -> bool {
        let Some(Value::Array(choices)) = chunk.get_mut("choices") else {
            return false;
        };
        let mut has_content = false;
        for choice in choices {
            if self.is_continued {
                remove_role(choice);
            }
            has_content |= choice_has_content(choice);
            self.merge_choice(choice.clone());
        }
        has_content
    }

    fn merge_choice(&mut self, choice: Value) {
        let Value::Object(mut choice) = choice else {
            return;
        };
        if has_output(&choice) {
            self.tokens += 1;
        }
        let index = choice.remove("index").and_then(|index| index.as_u64());
        let index = usize::try_from(index.unwrap_or(0)).unwrap_or(0);
        let index = index.min(MAX_CHOICE_INDEX);
        while self.choices.len() <= index {
            let next = self.choices.len();
            self.choices.push(empty_choice(self.kind, next));
        }
        let merged = &mut self.choices[index];
        if let Some(Value::Object(delta)) = choice.remove("delta")
            && let Some(Value::Object(message)) = merged.get_mut("message")
        {
            merge_fields(message, delta);
        }
        merge_fields(merged, choice);
    }

    /// Returns the text of an unfinished choice; `None` if it has finished or has other content,
    /// such as tool calls.
    fn choice_text(&self, choice: &Map<String, Value>) -> Option<String> {
        if choice["finish_reason"].is_string() {
            return None;
        }
        let text = match self.kind {
            ApiKind::Text => &choice["text"],
            ApiKind::Chat => {
                let message = choice["message"].as_object()?;
                let text_fields = ["role", "content", "refusal"];
                if message
                    .keys()
                    .any(|name| !text_fields.contains(&name.as_str()))
                {
                    return None;
                }
                &message["content"]
            }
        };
        Some(text.as_str().unwrap_or_default().to_owned())
    }
}

fn empty_choice(kind: ApiKind, index: usize) -> Map<String, Value> {
    let choice = match kind {
        ApiKind::Chat => json!({"index": index, "logprobs": null, "finish_reason": null,
            "message": {"role": "assistant", "content": null}}),
        ApiKind::Text => json!({"index": index, "logprobs": null, "finish_reason": null,
            "text": ""}),
    };
    match choice {
        Value::Object(fields) => fields,
        _ => Map::new(),
    }
}

/// Removes the role, which an earlier attempt has already delivered.
fn remove_role(choice: &mut Value) {
    if let Some(Value::Object(delta)) = choice.get_mut("delta") {
        delta.remove("role");
    }
}

/// Returns whether a choice of a chunk has a role, output or a finish reason.
fn choice_has_content(choice: &Value) -> bool {
    let delta_has_content = match choice.get("delta") {
        Some(Value::Object(delta)) => delta
            .iter()
            .any(|(name, value)| name == "role" || !is_blank(value)),
        _ => false,
    };
    let has_text = choice.get("text").is_some_and(|text| !is_blank(text));
    delta_has_content || has_text || choice.get("finish_reason").is_some_and(Value::is_string)
}

fn is_blank(value: &Value) -> bool {
    value.is_null() || value.as_str().is_some_and(str::is_empty)
}

/// Returns whether a choice of a chunk contains text or a tool call.
///
/// Each such chunk counts as one token.
fn has_output(choice: &Map<String, Value>) -> bool {
    let fields = match choice.get("delta") {
        Some(Value::Object(delta)) => delta,
        _ => choice,
    };
    let is_present = |name: &&str| fields.get(*name).is_some_and(|value| !is_blank(value));
    APPENDED_FIELDS.iter().any(is_present) || fields.contains_key("tool_calls")
}

/// Merges the fields of a delta into an object: objects are merged, arrays and the strings of
/// [`APPENDED_FIELDS`] are appended, other values are replaced.
fn merge_fields(merged: &mut Map<String, Value>, delta: Map<String, Value>) {
    for (name, value) in delta {
        if value.is_null() {
            continue;
        }
        let Some(existing) = merged.get_mut(&name) else {
            let first = match value {
                Value::Array(items) if name == "tool_calls" => merge_tool_calls(Vec::new(), items),
                other => other,
            };
            merged.insert(name, first);
            continue;
        };
        match (existing, value) {
            (Value::String(text), Value::String(more))
                if APPENDED_FIELDS.contains(&name.as_str()) =>
            {
                text.push_str(&more);
            }
            (Value::Object(fields), Value::Object(more)) => merge_fields(fields, more),
            (Value::Array(items), Value::Array(more)) if name == "tool_calls" => {
                *items = match merge_tool_calls(std::mem::take(items), more) {
                    Value::Array(merged) => merged,
                    _ => Vec::new(),
                };
            }
            (Value::Array(items), Value::Array(more)) => items.extend(more),
            (existing, value) => *existing = value,
        }
    }
}

/// Merges deltas of tool calls into the list of tool calls.
///
/// A delta is merged into the tool call at its index, or added as a new one if it has no index. The
/// index is left out of the result.
fn merge_tool_calls(mut calls: Vec<Value>, deltas: Vec<Value>) -> Value {
    for delta in deltas {
        let Value::Object(mut delta) = delta else {
            continue;
        };
        let index = delta.remove("index").and_then(|index| index.as_u64());
        let index = index.map_or(calls.len(), |index| usize::try_from(index).unwrap_or(0));
        if index >= MAX_TOOL_CALLS {
            continue;
        }
        while calls.len() <= index {
            calls.push(Value::Object(Map::new()));
        }
        if let Value::Object(fields) = &mut calls[index] {
            merge_fields(fields, delta);
        }
    }
    Value::Array(calls)
}

//! Folds the chunks of a stream into one answer and gives all chunks one identity.

use serde_json::{Map, Value, json};

use super::DONE;
use super::request::{ApiKind, CallerRequest};

/// Delta fields whose strings are parts of a longer one; other strings replace each other.
const APPENDED_FIELDS: [&str; 6] = [
    "content",
    "text",
    "refusal",
    "reasoning",
    "reasoning_content",
    "arguments",
];

/// Highest choice index taken; a higher one comes from a faulty upstream.
const MAX_CHOICE_INDEX: usize = 127;

/// Most tool calls taken in one message.
const MAX_TOOL_CALLS: usize = 1_024;

/// What to do with one event of the upstream's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldStep {
    /// Send this payload to a caller who streams.
    Forward(Vec<u8>),
    /// Send nothing: the event carries nothing that the caller asked for.
    Withhold,
    /// The stream is whole; send [`DONE`] to a caller who streams.
    Done,
    /// The upstream reports an error or sent something that is no chunk.
    Failed(String),
}

/// The part of an answer that was delivered before its upstream was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeliveredText {
    /// Text delivered so far.
    pub text: String,
    /// Tokens delivered so far.
    pub tokens: u64,
}

/// The answer gathered so far, across all attempts of a request.
#[derive(Debug, Clone)]
pub struct ChunkFold {
    /// Endpoint of the request.
    pub kind: ApiKind,
    /// Identity of the answer in every chunk.
    pub id: String,
    /// Creation time in every chunk, in seconds since 1970.
    pub created: u64,
    /// Model as the caller stated it.
    pub model: String,
    /// Whether the caller gets the usage event.
    pub include_usage: bool,
    /// Answer by choice index, in the form of a whole response.
    choices: Vec<Map<String, Value>>,
    usage: Option<Value>,
    /// Tokens delivered by this attempt.
    tokens: u64,
    /// Tokens delivered by earlier attempts.
    earlier_tokens: u64,
    /// Whether an earlier attempt has begun the answer.
    is_continued: bool,
}

impl ChunkFold {
    /// Starts an empty answer; `created` is in seconds since 1970.
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

    /// Takes the payload of one event and says what a caller who streams gets.
    pub fn accept(&mut self, payload: &[u8]) -> FoldStep {
        if payload == DONE {
            return FoldStep::Done;
        }
        let Ok(Value::Object(mut chunk)) = serde_json::from_slice(payload) else {
            return FoldStep::Failed("the upstream sent an event that is no chunk".to_owned());
        };
        if let Some(error) = chunk.get("error") {
            return FoldStep::Failed(error.to_string());
        }
        self.take_usage(&mut chunk);
        let worth_sending = self.take_choices(&mut chunk) || chunk.contains_key("usage");
        if !worth_sending {
            return FoldStep::Withhold;
        }
        chunk.insert("id".to_owned(), json!(self.id));
        chunk.insert("created".to_owned(), json!(self.created));
        chunk.insert("model".to_owned(), json!(self.model));
        FoldStep::Forward(Value::Object(chunk).to_string().into_bytes())
    }

    /// Begins the next attempt, whose stream continues the delivered text.
    pub const fn begin_attempt(&mut self) {
        self.is_continued |= !self.choices.is_empty();
        self.earlier_tokens += self.tokens;
        self.tokens = 0;
    }

    /// Returns what was delivered; `None` if the answer cannot be continued by its text.
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

    /// Tells whether every choice that was begun has its finish reason.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let finished = |choice: &Map<String, Value>| choice["finish_reason"].is_string();
        !self.choices.is_empty() && self.choices.iter().all(finished)
    }

    /// Ends an answer that reached the caller's token limit and returns its last chunk.
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

    /// Returns the whole answer for a caller who does not stream.
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

    fn take_usage(&mut self, chunk: &mut Map<String, Value>) {
        let Some(mut usage) = chunk.remove("usage") else {
            return;
        };
        let counts = usage.is_object();
        if counts {
            self.count_earlier(&mut usage);
            self.usage = Some(usage.clone());
        }
        if self.include_usage {
            chunk.insert("usage".to_owned(), usage);
        }
    }

    // The prompt of a continuation holds the tokens of the attempts before it.
    fn count_earlier(&self, usage: &mut Value) {
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

    fn take_choices(&mut self, chunk: &mut Map<String, Value>) -> bool {
        let Some(Value::Array(choices)) = chunk.get_mut("choices") else {
            return false;
        };
        let mut worth_sending = false;
        for choice in choices {
            if self.is_continued {
                drop_repeated_role(choice);
            }
            worth_sending |= has_news(choice);
            self.merge_choice(choice.clone());
        }
        worth_sending
    }

    fn merge_choice(&mut self, choice: Value) {
        let Value::Object(mut choice) = choice else {
            return;
        };
        if carries_text(&choice) {
            self.tokens += 1;
        }
        let index = choice.remove("index").and_then(|index| index.as_u64());
        let index = usize::try_from(index.unwrap_or(0)).unwrap_or(0);
        let index = index.min(MAX_CHOICE_INDEX);
        while self.choices.len() <= index {
            let next = self.choices.len();
            self.choices.push(empty_choice(self.kind, next));
        }
        let whole = &mut self.choices[index];
        if let Some(Value::Object(delta)) = choice.remove("delta")
            && let Some(Value::Object(message)) = whole.get_mut("message")
        {
            merge_fields(message, delta);
        }
        merge_fields(whole, choice);
    }

    fn choice_text(&self, choice: &Map<String, Value>) -> Option<String> {
        if choice["finish_reason"].is_string() {
            return None;
        }
        let text = match self.kind {
            ApiKind::Text => &choice["text"],
            ApiKind::Chat => {
                let message = choice["message"].as_object()?;
                let plain = ["role", "content", "refusal"];
                if message.keys().any(|name| !plain.contains(&name.as_str())) {
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

fn drop_repeated_role(choice: &mut Value) {
    if let Some(Value::Object(delta)) = choice.get_mut("delta") {
        delta.remove("role");
    }
}

fn has_news(choice: &Value) -> bool {
    let delta_has_news = match choice.get("delta") {
        Some(Value::Object(delta)) => delta
            .iter()
            .any(|(name, value)| name == "role" || !is_blank(value)),
        _ => false,
    };
    let text_has_news = choice.get("text").is_some_and(|text| !is_blank(text));
    delta_has_news || text_has_news || choice.get("finish_reason").is_some_and(Value::is_string)
}

fn is_blank(value: &Value) -> bool {
    value.is_null() || value.as_str().is_some_and(str::is_empty)
}

fn carries_text(choice: &Map<String, Value>) -> bool {
    let fields = match choice.get("delta") {
        Some(Value::Object(delta)) => delta,
        _ => choice,
    };
    let carries = |name: &&str| fields.get(*name).is_some_and(|value| !is_blank(value));
    APPENDED_FIELDS.iter().any(carries) || fields.contains_key("tool_calls")
}

fn merge_fields(whole: &mut Map<String, Value>, part: Map<String, Value>) {
    for (name, value) in part {
        if value.is_null() {
            continue;
        }
        let Some(slot) = whole.get_mut(&name) else {
            let first = match value {
                Value::Array(items) if name == "tool_calls" => merge_indexed(Vec::new(), items),
                other => other,
            };
            whole.insert(name, first);
            continue;
        };
        match (slot, value) {
            (Value::String(text), Value::String(more))
                if APPENDED_FIELDS.contains(&name.as_str()) =>
            {
                text.push_str(&more);
            }
            (Value::Object(fields), Value::Object(more)) => merge_fields(fields, more),
            (Value::Array(items), Value::Array(more)) if name == "tool_calls" => {
                *items = match merge_indexed(std::mem::take(items), more) {
                    Value::Array(merged) => merged,
                    _ => Vec::new(),
                };
            }
            (Value::Array(items), Value::Array(more)) => items.extend(more),
            (slot, value) => *slot = value,
        }
    }
}

// Whole tool calls stand in the order of their index and carry none.
fn merge_indexed(mut items: Vec<Value>, parts: Vec<Value>) -> Value {
    for part in parts {
        let Value::Object(mut part) = part else {
            continue;
        };
        let index = part.remove("index").and_then(|index| index.as_u64());
        let index = index.map_or(items.len(), |index| usize::try_from(index).unwrap_or(0));
        if index >= MAX_TOOL_CALLS {
            continue;
        }
        while items.len() <= index {
            items.push(Value::Object(Map::new()));
        }
        if let Value::Object(fields) = &mut items[index] {
            merge_fields(fields, part);
        }
    }
    Value::Array(items)
}

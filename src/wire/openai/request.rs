//! A caller's request: parsing, checks and the bodies sent to the upstream.

use quick_error::quick_error;
use serde_json::{Map, Value, json};

/// Most choices that one request may ask for.
const MAX_CHOICES: u64 = 128;

/// Fields beside the messages that engines render into the prompt, in canonical order.
const TEMPLATE_FIELDS: [&str; 5] = [
    "tools",
    "functions",
    "documents",
    "chat_template",
    "chat_template_kwargs",
];

/// Fields that limit the tokens of an answer.
const LIMIT_FIELDS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Which endpoint a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ApiKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl ApiKind {
    /// Returns the path of the endpoint, the same towards callers and engines.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Reads the form returned by [`ApiKind::path`].
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        [Self::Chat, Self::Text]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

quick_error! {
    /// Why a body is no valid request.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The body is not JSON.
        Malformed(message: String) {
            display("the body is not valid JSON: {}", message)
        }
        /// A field is missing or holds something else than what is accepted.
        Field(name: &'static str, accepted: &'static str) {
            display("the field {} must be {}", name, accepted)
        }
    }
}

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Endpoint that it came to.
    pub kind: ApiKind,
    /// Model as the caller states it.
    pub model: String,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Whether the caller wants the usage event at the end of the stream.
    pub include_usage: bool,
    /// Number of choices asked for.
    pub choices: u64,
    /// Canonical prompt: equal bytes only for equal prompts, shared prefixes kept.
    pub prompt: Vec<u8>,
    /// The body as received.
    pub body: Map<String, Value>,
}

/// What a continuation sends to the next upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContinuationBody {
    /// This body asks for the rest of the answer.
    Body(Vec<u8>),
    /// The delivered text already has all tokens that the caller allows.
    AtLimit,
    /// The answer has several choices or a form that cannot be continued by its text.
    Unsupported,
}

impl CallerRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] with the first field that is not acceptable.
    pub fn parse(kind: ApiKind, body: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| RequestError::Malformed(error.to_string()))?;
        let Value::Object(body) = value else {
            return Err(RequestError::Malformed("not an object".to_owned()));
        };
        let model = model_name(&body)?;
        let stream = flag(&body, "stream", "true or false")?;
        let include_usage = include_usage(&body)?;
        let choices = choice_count(&body)?;
        check_limits(&body)?;
        let prompt = match kind {
            ApiKind::Chat => chat_prompt(&body)?,
            ApiKind::Text => text_prompt(&body)?,
        };
        Ok(Self {
            kind,
            model,
            stream,
            include_usage,
            choices,
            prompt,
            body,
        })
    }

    /// Returns the most output tokens that the caller allows, if it states a number.
    #[must_use]
    pub fn output_limit(&self) -> Option<u32> {
        let limits = LIMIT_FIELDS
            .iter()
            .filter_map(|name| self.body.get(*name)?.as_u64());
        limits
            .min()
            .map(|limit| u32::try_from(limit).unwrap_or(u32::MAX))
    }

    /// Returns the body for the upstream: always streamed, always with usage.
    #[must_use]
    pub fn upstream_body(&self) -> Vec<u8> {
        encode(streamed(self.body.clone()))
    }

    /// Returns the body that asks for the rest of an answer of which a part was delivered.
    ///
    /// A chat continues its last assistant message (`continue_final_message`), a text prompt
    /// is extended; token limits shrink by `tokens`, the number delivered.
    #[must_use]
    pub fn continuation(&self, text: &str, tokens: u64) -> ContinuationBody {
        if self.choices != 1 {
            return ContinuationBody::Unsupported;
        }
        let mut body = self.body.clone();
        for name in LIMIT_FIELDS {
            let Some(limit) = body.get(name).and_then(Value::as_u64) else {
                continue;
            };
            if limit <= tokens {
                return ContinuationBody::AtLimit;
            }
            body.insert(name.to_owned(), json!(limit - tokens));
        }
        let extended = match self.kind {
            ApiKind::Chat => extend_chat(&mut body, text),
            ApiKind::Text => extend_text(&mut body, text),
        };
        if !extended {
            return ContinuationBody::Unsupported;
        }
        ContinuationBody::Body(encode(streamed(body)))
    }
}

fn model_name(body: &Map<String, Value>) -> Result<String, RequestError> {
    match body.get("model").and_then(Value::as_str) {
        Some(name) if !name.is_empty() => Ok(name.to_owned()),
        _ => Err(RequestError::Field("model", "the name of a model")),
    }
}

fn flag(
    body: &Map<String, Value>,
    name: &'static str,
    accepted: &'static str,
) -> Result<bool, RequestError> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(RequestError::Field(name, accepted)),
    }
}

fn include_usage(body: &Map<String, Value>) -> Result<bool, RequestError> {
    match body.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => flag(options, "include_usage", "true or false"),
        Some(_) => Err(RequestError::Field("stream_options", "an object")),
    }
}

fn choice_count(body: &Map<String, Value>) -> Result<u64, RequestError> {
    let count = match body.get("n") {
        None | Some(Value::Null) => Some(1),
        Some(value) => value.as_u64(),
    };
    count
        .filter(|count| (1..=MAX_CHOICES).contains(count))
        .ok_or(RequestError::Field("n", "an integer from 1 to 128"))
}

fn check_limits(body: &Map<String, Value>) -> Result<(), RequestError> {
    for name in LIMIT_FIELDS {
        let accepted = match body.get(name) {
            None | Some(Value::Null) => true,
            Some(value) => value.as_u64().is_some_and(|limit| limit > 0),
        };
        if !accepted {
            return Err(RequestError::Field(name, "an integer of at least 1"));
        }
    }
    Ok(())
}

// Every part is compact JSON on a line of its own: JSON escapes line feeds, so different
// prompts never give the same bytes, and a shared start stays a shared prefix.
fn chat_prompt(body: &Map<String, Value>) -> Result<Vec<u8>, RequestError> {
    const ACCEPTED: &str = "a list of messages, each an object with a role";
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages
        .filter(|messages| !messages.is_empty())
        .ok_or(RequestError::Field("messages", ACCEPTED))?;
    let mut prompt = template_lines(body);
    for message in messages {
        let message = message
            .as_object()
            .filter(|message| message.get("role").is_some_and(Value::is_string))
            .ok_or(RequestError::Field("messages", ACCEPTED))?;
        push_line(&mut prompt, &message["role"]);
        push_line(&mut prompt, message.get("content").unwrap_or(&Value::Null));
        let rest: Map<String, Value> = message
            .iter()
            .filter(|(name, _)| !["role", "content"].contains(&name.as_str()))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        push_line(&mut prompt, &Value::Object(rest));
    }
    Ok(prompt)
}

fn text_prompt(body: &Map<String, Value>) -> Result<Vec<u8>, RequestError> {
    let prompt = body.get("prompt");
    let prompt = prompt
        .filter(|prompt| prompt.is_string() || prompt.is_array())
        .ok_or(RequestError::Field("prompt", "a string or a list"))?;
    let mut lines = Vec::new();
    push_line(&mut lines, prompt);
    push_line(&mut lines, body.get("suffix").unwrap_or(&Value::Null));
    Ok(lines)
}

fn template_lines(body: &Map<String, Value>) -> Vec<u8> {
    let mut lines = Vec::new();
    for name in TEMPLATE_FIELDS {
        match body.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                lines.extend_from_slice(name.as_bytes());
                push_line(&mut lines, value);
            }
        }
    }
    lines
}

fn push_line(lines: &mut Vec<u8>, value: &Value) {
    serde_json::to_writer(&mut *lines, value).expect("a JSON value can always be written");
    lines.push(b'\n');
}

fn streamed(mut body: Map<String, Value>) -> Map<String, Value> {
    body.insert("stream".to_owned(), Value::Bool(true));
    let options = body
        .entry("stream_options")
        .or_insert_with(|| Value::Object(Map::new()));
    if !options.is_object() {
        *options = Value::Object(Map::new());
    }
    options["include_usage"] = Value::Bool(true);
    body
}

fn extend_chat(body: &mut Map<String, Value>, text: &str) -> bool {
    let Some(messages) = body.get_mut("messages").and_then(Value::as_array_mut) else {
        return false;
    };
    messages.push(json!({"role": "assistant", "content": text}));
    body.insert("add_generation_prompt".to_owned(), Value::Bool(false));
    body.insert("continue_final_message".to_owned(), Value::Bool(true));
    true
}

fn extend_text(body: &mut Map<String, Value>, text: &str) -> bool {
    match body.get_mut("prompt") {
        Some(Value::String(prompt)) => {
            prompt.push_str(text);
            true
        }
        _ => false,
    }
}

fn encode(body: Map<String, Value>) -> Vec<u8> {
    Value::Object(body).to_string().into_bytes()
}

//! Parsing and validation of callers' requests, and the request bodies for upstreams.

use quick_error::quick_error;
use serde_json::{Map, Value, json};

/// Maximum number of choices in one request.
const MAX_CHOICES: u64 = 128;

/// Fields other than the messages that engines render into the prompt, in canonical order.
const TEMPLATE_FIELDS: [&str; 5] = [
    "tools",
    "functions",
    "documents",
    "chat_template",
    "chat_template_kwargs",
];

/// Fields that limit the number of output tokens.
const TOKEN_LIMIT_FIELDS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Endpoint of the API that runs a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ApiKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl ApiKind {
    /// Returns the path of the endpoint, which is the same at entries and at engines.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Returns the endpoint with this path.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        [Self::Chat, Self::Text]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

quick_error! {
    /// Error in the body of a request.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The body is not a JSON object.
        Malformed(message: String) {
            display("the body is not valid JSON: {}", message)
        }
        /// A required field is missing, or a field has a value that is not accepted.
        Field(name: &'static str, accepted: &'static str) {
            display("the field {} must be {}", name, accepted)
        }
    }
}

/// Validated request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Endpoint that received the request.
    pub kind: ApiKind,
    /// Name of the model as stated by the caller.
    pub model: String,
    /// Whether the caller requests a stream of events.
    pub stream: bool,
    /// Whether the caller requests a usage chunk at the end of the stream.
    pub include_usage: bool,
    /// Number of requested choices.
    pub choices: u64,
    /// Prompt in a canonical form: only equal prompts have equal bytes, and prompts with a common
    /// prefix have a common prefix of bytes.
    pub prompt: Vec<u8>,
    /// Fields of the body as received.
    pub body: Map<String, Value>,
}

/// Request body that continues an incomplete response at another upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContinuationBody {
    /// Body that requests the rest of the response.
    Body(Vec<u8>),
    /// The delivered text has already reached the caller's token limit.
    AtLimit,
    /// The response cannot be continued: it has several choices, or the form of the prompt does
    /// not allow it.
    Unsupported,
}

impl CallerRequest {
    /// Parses and validates the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if the body is not a JSON object, or for the first invalid field.
    pub fn parse(kind: ApiKind, body: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| RequestError::Malformed(error.to_string()))?;
        let Value::Object(body) = value else {
            return Err(RequestError::Malformed("expected an object".to_owned()));
        };
        let model = model_name(&body)?;
        let stream = flag(&body, "stream", "true or false")?;
        let include_usage = include_usage(&body)?;
        let choices = choice_count(&body)?;
        check_token_limits(&body)?;
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

    /// Returns the smallest limit of output tokens that the caller stated, if there is one.
    #[must_use]
    pub fn output_limit(&self) -> Option<u32> {
        let limits = TOKEN_LIMIT_FIELDS
            .iter()
            .filter_map(|name| self.body.get(*name)?.as_u64());
        limits
            .min()
            .map(|limit| u32::try_from(limit).unwrap_or(u32::MAX))
    }

    /// Returns the body for the upstream, which always requests a stream with a usage chunk.
    #[must_use]
    pub fn upstream_body(&self) -> Vec<u8> {
        encode(with_stream(self.body.clone()))
    }

    /// Returns the body that requests the rest of a response of which `text`, with `tokens` tokens,
    /// was delivered.
    ///
    /// For a chat, `text` is added as the last assistant message, which the engine continues
    /// (`continue_final_message`); for a text completion it is appended to the prompt. Token limits
    /// are reduced by `tokens`.
    #[must_use]
    pub fn continuation(&self, text: &str, tokens: u64) -> ContinuationBody {
        if self.choices != 1 {
            return ContinuationBody::Unsupported;
        }
        let mut body = self.body.clone();
        for name in TOKEN_LIMIT_FIELDS {
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
        ContinuationBody::Body(encode(with_stream(body)))
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

fn check_token_limits(body: &Map<String, Value>) -> Result<(), RequestError> {
    for name in TOKEN_LIMIT_FIELDS {
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

/// Returns the canonical form of a chat prompt.
///
/// Each element is compact JSON on a line of its own. JSON escapes line feeds, so different prompts
/// never have the same bytes, and prompts with a common prefix have a common prefix of bytes.
fn chat_prompt(body: &Map<String, Value>) -> Result<Vec<u8>, RequestError> {
    const ACCEPTED: &str = "a list of messages, each an object with a role";
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages
        .filter(|messages| !messages.is_empty())
        .ok_or(RequestError::Field("messages", ACCEPTED))?;
    let mut prompt = encode_template_fields(body);
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

/// Returns the canonical form of the prompt and suffix of a text completion.
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

fn encode_template_fields(body: &Map<String, Value>) -> Vec<u8> {
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
    serde_json::to_writer(&mut *lines, value).expect("a JSON value can always be encoded");
    lines.push(b'\n');
}

/// Makes a body request a stream with a usage chunk.
fn with_stream(mut body: Map<String, Value>) -> Map<String, Value> {
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

/// Adds the delivered text as an assistant message; returns whether the body has messages.
fn extend_chat(body: &mut Map<String, Value>, text: &str) -> bool {
    let Some(messages) = body.get_mut("messages").and_then(Value::as_array_mut) else {
        return false;
    };
    messages.push(json!({"role": "assistant", "content": text}));
    body.insert("add_generation_prompt".to_owned(), Value::Bool(false));
    body.insert("continue_final_message".to_owned(), Value::Bool(true));
    true
}

/// Appends the delivered text to the prompt; returns whether the prompt is a single string.
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

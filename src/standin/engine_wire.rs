//! Wire format of the simulated engine: completion bodies, stream chunks and load orders.

use serde::{Deserialize, Serialize};

use super::engine_mail::LoadOrder;
use super::engine_request::{ChunkKind, CompletionRequest, StreamEvent};
use super::prefix_cache::PieceKey;
use super::token_text::{count_continuation, split_continuation, text_seed};

/// Text in a request body that makes the engine crash.
const CRASH_TEXT: &[u8] = b"crash-engine";

/// Body bytes per prompt token in the reported usage.
const BYTES_PER_TOKEN: u64 = 4;

/// Upper limit of the requested output length in tokens.
const MAX_TOKENS: u64 = 100_000;

/// JSON body of a chat or text completion call.
#[derive(Debug, Deserialize)]
pub struct CompletionBody {
    /// Name of the requested model.
    #[serde(default)]
    pub model: String,
    /// Messages of a chat completion.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: serde_json::Value,
    /// Maximum number of new tokens.
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`; used only if `max_tokens` is missing.
    pub max_completion_tokens: Option<u64>,
    /// Options of the response stream.
    pub stream_options: Option<StreamOptions>,
}

/// One message of a chat completion.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// Text, or a list of content parts.
    #[serde(default)]
    pub content: serde_json::Value,
}

/// Options of a response stream.
#[derive(Debug, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk contains the token usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// Raw inputs of a completion call, from its path, headers and body.
#[derive(Debug)]
pub struct CompletionCall<'a> {
    /// Id of the request.
    pub id: String,
    /// Format of the response chunks, given by the path.
    pub kind: ChunkKind,
    /// Value of the header `x-priority`.
    pub priority: Option<&'a str>,
    /// Value of the header `x-weights-version`.
    pub version: Option<&'a str>,
    /// Value of the header `x-prefix-keys`.
    pub pieces: Option<&'a str>,
    /// Unix time of the call in seconds.
    pub created: u64,
    /// Raw JSON body.
    pub body: &'a [u8],
}

impl TryFrom<CompletionCall<'_>> for CompletionRequest {
    type Error = serde_json::Error;

    fn try_from(call: CompletionCall<'_>) -> Result<Self, Self::Error> {
        let body: CompletionBody = serde_json::from_slice(call.body)?;
        let (seed, skip) = match call.kind {
            ChunkKind::Chat => chat_seed(&body.messages),
            ChunkKind::Text => split_continuation(&plain_text(&body.prompt)),
        };
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        let crashes = call
            .body
            .windows(CRASH_TEXT.len())
            .any(|text| text == CRASH_TEXT);
        Ok(Self {
            id: call.id,
            model: body.model,
            kind: call.kind,
            priority: u8::from(call.priority != Some("0")),
            version: call.version.map(str::to_owned),
            pieces: call.pieces.map(piece_keys).unwrap_or_default(),
            created: call.created,
            seed,
            skip,
            max_tokens: max_tokens.map(|tokens| tokens.min(MAX_TOKENS)),
            prompt_tokens: call.body.len() as u64 / BYTES_PER_TOKEN,
            include_usage: body
                .stream_options
                .is_some_and(|options| options.include_usage),
            crashes,
        })
    }
}

// Returns the seed and the number of output tokens that a trailing assistant message already
// contains; the engine continues after these.
fn chat_seed(messages: &[ChatMessage]) -> (u64, u64) {
    let Some((last, before)) = messages.split_last() else {
        return (text_seed(""), 0);
    };
    if last.role != "assistant" {
        return (text_seed(&chat_text(messages)), 0);
    }
    let seed = text_seed(&chat_text(before));
    (seed, count_continuation(seed, &plain_text(&last.content)))
}

fn chat_text(messages: &[ChatMessage]) -> String {
    let lines = messages.iter().map(|message| {
        let content = plain_text(&message.content);
        format!("{}: {content}\n", message.role)
    });
    lines.collect()
}

fn plain_text(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn piece_keys(header: &str) -> Vec<PieceKey> {
    let keys = header.split(',');
    keys.filter_map(|key| PieceKey::from_str_radix(key.trim(), 16).ok())
        .collect()
}

/// JSON of one chunk of a response stream.
#[derive(Debug, Serialize)]
pub struct StreamChunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<ChunkUsage>,
}

#[derive(Debug, Serialize)]
struct ChunkChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChunkDelta>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct ChunkDelta {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

#[derive(Debug, Serialize)]
struct ChunkUsage {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    completion: u64,
    #[serde(rename = "total_tokens")]
    total: u64,
}

/// Encodes one event of a response stream as a server-sent event.
#[must_use]
pub fn encode_event(request: &CompletionRequest, number: u64, event: &StreamEvent) -> String {
    let data = match event {
        StreamEvent::Done => "[DONE]".to_owned(),
        StreamEvent::Token(text) => {
            let role = (number == 0).then_some("assistant");
            encode_chunk(
                request,
                ChunkChoice::new(request.kind, role, Some(text), None),
                None,
            )
        }
        StreamEvent::Finish(completion_tokens) => {
            let usage = request.include_usage.then_some(ChunkUsage {
                prompt: request.prompt_tokens,
                completion: *completion_tokens,
                total: request.prompt_tokens + completion_tokens,
            });
            encode_chunk(
                request,
                ChunkChoice::new(request.kind, None, None, Some("stop")),
                usage,
            )
        }
    };
    format!("id: {number}\ndata: {data}\n\n")
}

fn encode_chunk(
    request: &CompletionRequest,
    choice: ChunkChoice,
    usage: Option<ChunkUsage>,
) -> String {
    let chunk = StreamChunk {
        id: &request.id,
        object: match request.kind {
            ChunkKind::Chat => "chat.completion.chunk",
            ChunkKind::Text => "text_completion",
        },
        created: request.created,
        model: &request.model,
        choices: [choice],
        usage,
    };
    serde_json::to_string(&chunk).expect("a chunk has only text keys")
}

impl ChunkChoice {
    fn new(
        kind: ChunkKind,
        role: Option<&'static str>,
        text: Option<&String>,
        finish_reason: Option<&'static str>,
    ) -> Self {
        let content = text.cloned();
        let (delta, text) = match kind {
            ChunkKind::Chat => (Some(ChunkDelta { role, content }), None),
            ChunkKind::Text => (None, Some(content.unwrap_or_default())),
        };
        Self {
            index: 0,
            delta,
            text,
            finish_reason,
        }
    }
}

/// JSON body of an order to load weights, and of the response to it.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// Name of the model to serve.
    pub model: String,
    /// Version of the weights to serve.
    pub version: String,
    /// Fencing number of the order; 0 if missing.
    #[serde(default)]
    pub fence: u64,
}

impl From<OrderBody> for LoadOrder {
    fn from(body: OrderBody) -> Self {
        Self {
            model: body.model,
            version: body.version,
            fence: body.fence,
        }
    }
}

impl From<LoadOrder> for OrderBody {
    fn from(order: LoadOrder) -> Self {
        Self {
            model: order.model,
            version: order.version,
            fence: order.fence,
        }
    }
}

//! Completion requests of the simulated engine: parameters, progress and open streams.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::engine_mail::EngineReply;
use super::prefix_cache::PieceKey;
use super::token_text::token;
use crate::kernel::{Key, Moment, ReplyTo};

/// Arena key of a request of the engine.
pub type RequestKey = Key<RequestRecord>;

/// Format of the chunks of a response stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// Chunks of a chat completion.
    Chat,
    /// Chunks of a text completion.
    Text,
}

/// Parameters of a completion request, from its path, headers and body.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Id of the request, chosen by the caller.
    pub id: String,
    /// Name of the requested model, echoed in the chunks.
    pub model: String,
    /// Format of the response chunks.
    pub kind: ChunkKind,
    /// Priority in the queue: 0 for urgent, 1 for routine.
    pub priority: u8,
    /// Required version of the weights; any if `None`.
    pub version: Option<String>,
    /// Cache keys of the prompt pieces, in the order of the prompt.
    pub pieces: Vec<PieceKey>,
    /// Unix time of the call in seconds.
    pub created: u64,
    /// Seed of the generated tokens, derived from the prompt.
    pub seed: u64,
    /// Number of output tokens that the prompt already ends with, when it continues an output.
    pub skip: u64,
    /// Maximum number of new tokens; `None` for the default of the engine.
    pub max_tokens: Option<u64>,
    /// Prompt length in tokens, as reported in the usage.
    pub prompt_tokens: u64,
    /// Whether the last chunk contains the token usage.
    pub include_usage: bool,
    /// Whether the engine crashes shortly after this request starts.
    pub crashes: bool,
}

/// One server-sent event of a response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// Chunk with the text of one token.
    Token(String),
    /// Chunk with the finish reason, after the given number of tokens.
    Finish(u64),
    /// The final `[DONE]`.
    Done,
}

/// What the engine sends to a reader of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Number of an event, and the event.
    Event(u64, StreamEvent),
    /// The connection is to be aborted without an end of the stream.
    Aborted,
}

/// A stream opened for one reader.
#[derive(Debug)]
pub struct OpenStream {
    /// Number of the first event to send; earlier ones are skipped.
    pub from: u64,
    /// Parameters of the request, needed to encode its events.
    pub request: CompletionRequest,
    /// Number of prompt pieces found in the cache; `None` before the lookup.
    pub cached_pieces: Option<usize>,
    /// Channel of the events; unbounded, as the output length limits their number.
    pub items: UnboundedReceiver<StreamItem>,
}

/// Phase of a request at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// In the queue, without a batch slot.
    Waiting,
    /// In a batch slot.
    Running,
    /// All events have been produced.
    Finished,
    /// Cancelled by a caller.
    Cancelled,
}

/// State of one request and its readers.
#[derive(Debug)]
pub struct RequestRecord {
    /// Parameters of the request.
    pub request: CompletionRequest,
    /// Phase that the request is in.
    pub phase: RequestPhase,
    /// Number of tokens that the request generates.
    pub output_tokens: u64,
    /// Number of events produced so far.
    pub produced_events: u64,
    /// Number of prompt pieces found in the cache; `None` before prefill begins.
    pub cached_pieces: Option<usize>,
    /// Number of weight loads before the request started; its pieces are cached only if that
    /// number is still the same after prefill.
    pub load_count: u64,
    /// When the ended request is removed; never while it is waiting or running.
    pub expires_at: Moment,
    /// Callers that wait for the stream to be opened.
    pub pending_replies: Vec<ReplyTo<EngineReply>>,
    /// Channels to the readers of the stream.
    pub readers: Vec<UnboundedSender<StreamItem>>,
}

impl RequestRecord {
    /// Returns the event with a number, whether or not it has been produced.
    #[must_use]
    pub fn event(&self, number: u64) -> StreamEvent {
        if number < self.output_tokens {
            return StreamEvent::Token(token(self.request.seed, self.request.skip + number));
        }
        if number == self.output_tokens {
            return StreamEvent::Finish(self.output_tokens);
        }
        StreamEvent::Done
    }

    /// Returns the number of events of the complete stream: tokens, finish chunk and `[DONE]`.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.output_tokens + 2
    }

    /// Produces the next event and sends it to the readers.
    pub fn produce_event(&mut self) {
        let item = StreamItem::Event(self.produced_events, self.event(self.produced_events));
        self.produced_events += 1;
        self.readers
            .retain(|reader| reader.send(item.clone()).is_ok());
    }

    /// Opens the stream for a new reader and sends it the events produced so far from a number on.
    pub fn open_stream(&mut self, from: u64) -> OpenStream {
        let (reader, items) = tokio::sync::mpsc::unbounded_channel();
        for number in from..self.produced_events {
            // The receiver still exists here, so sending cannot fail.
            drop(reader.send(StreamItem::Event(number, self.event(number))));
        }
        if self.phase != RequestPhase::Finished {
            self.readers.push(reader);
        }
        OpenStream {
            from,
            request: self.request.clone(),
            cached_pieces: self.cached_pieces,
            items,
        }
    }

    /// Aborts all connections that wait for or read the stream.
    pub fn abort(&mut self) {
        for reader in self.readers.drain(..) {
            // Fails only if the reader is already closed.
            drop(reader.send(StreamItem::Aborted));
        }
        self.pending_replies.clear();
    }
}

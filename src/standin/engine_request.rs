//! Requests of the engine: what was ordered, how far it is, and who reads it.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::engine_mail::EngineReply;
use super::prefix_cache::PieceKey;
use super::token_text::token;
use crate::kernel::{Key, Moment, ReplyTo};

/// Addresses one request of the engine.
pub type RequestKey = Key<RequestRecord>;

/// Shape of the stream that a caller expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// Chunks of a chat completion.
    Chat,
    /// Chunks of a text completion.
    Text,
}

/// A request as ordered by the caller.
#[derive(Debug, Clone)]
pub struct RunOrder {
    /// Name of the request.
    pub id: String,
    /// Model that the caller asked for.
    pub model: String,
    /// Shape of the stream.
    pub kind: ChunkKind,
    /// 0 for urgent, 1 for routine.
    pub priority: u8,
    /// Version of the weights that must serve it.
    pub version: Option<String>,
    /// Keys of the prompt's pieces, outermost first.
    pub pieces: Vec<PieceKey>,
    /// Time of the call in seconds since 1970.
    pub created: u64,
    /// Seed of the output.
    pub seed: u64,
    /// Tokens of the output that the prompt already holds.
    pub skip: u64,
    /// Most new tokens, or none for the engine's own length.
    pub max_tokens: Option<u64>,
    /// Length of the prompt in tokens, as reported in the usage.
    pub prompt_tokens: u64,
    /// Whether the last chunk reports the usage.
    pub include_usage: bool,
    /// Whether running it crashes the engine.
    pub crashes: bool,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token.
    Token(String),
    /// The end of the output after a number of tokens.
    Finish(u64),
    /// The end of the stream.
    Done,
}

/// What a reader of a stream receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// An event and its number.
    Event(u64, StreamEvent),
    /// The connection is cut.
    Cut,
}

/// A stream that has been opened.
#[derive(Debug)]
pub struct OpenStream {
    /// Number of the first event that the caller wants.
    pub from: u64,
    /// The request, which decides the encoding.
    pub order: RunOrder,
    /// Pieces of the prompt that were found in the cache, once known.
    pub cached_pieces: Option<usize>,
    /// The events; bounded by the length of the output.
    pub parts: UnboundedReceiver<StreamPart>,
}

/// How far a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waits for a slot.
    Waiting,
    /// Holds a slot.
    Running,
    /// Has produced all its events.
    Finished,
    /// Was cancelled by its caller.
    Cancelled,
}

/// State of one request.
#[derive(Debug)]
pub struct RequestRecord {
    /// What was ordered.
    pub order: RunOrder,
    /// How far it is.
    pub phase: RequestPhase,
    /// Number of tokens that this run produces.
    pub length: u64,
    /// Events produced so far.
    pub produced: u64,
    /// Pieces found in the cache, once prefill has begun.
    pub cached_pieces: Option<usize>,
    /// Count of weight loads before it started; its pieces are not cached after a later one.
    pub weights_count: u64,
    /// When a request that has ended is forgotten.
    pub forget_at: Moment,
    /// Callers that wait for the response head.
    pub heads: Vec<ReplyTo<EngineReply>>,
    /// Readers of the stream.
    pub readers: Vec<UnboundedSender<StreamPart>>,
}

impl RequestRecord {
    /// Returns one event of the stream.
    #[must_use]
    pub fn event(&self, number: u64) -> StreamEvent {
        if number < self.length {
            return StreamEvent::Token(token(self.order.seed, self.order.skip + number));
        }
        if number == self.length {
            return StreamEvent::Finish(self.length);
        }
        StreamEvent::Done
    }

    /// Returns the number of events of the whole stream.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.length + 2
    }

    /// Produces the next event and hands it to the readers.
    pub fn produce(&mut self) {
        let part = StreamPart::Event(self.produced, self.event(self.produced));
        self.produced += 1;
        self.readers
            .retain(|reader| reader.send(part.clone()).is_ok());
    }

    /// Opens the stream at an event.
    pub fn open(&mut self, from: u64) -> OpenStream {
        let (reader, parts) = tokio::sync::mpsc::unbounded_channel();
        for number in from..self.produced {
            // The receiver lives in this function, so sending cannot fail.
            drop(reader.send(StreamPart::Event(number, self.event(number))));
        }
        if self.phase != RequestPhase::Finished {
            self.readers.push(reader);
        }
        OpenStream {
            from,
            order: self.order.clone(),
            cached_pieces: self.cached_pieces,
            parts,
        }
    }

    /// Cuts all connections that read this request.
    pub fn cut(&mut self) {
        for reader in self.readers.drain(..) {
            // A reader that has gone away needs no cut.
            drop(reader.send(StreamPart::Cut));
        }
        self.heads.clear();
    }
}

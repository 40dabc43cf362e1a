//! OpenAI-compatible API for callers: chat completions, text completions and their errors.

mod accumulator;
mod error;
mod request;

pub use accumulator::{ChunkAction, DeliveredText, ResponseAccumulator};
pub use error::{CallerError, ErrorBody, ErrorStatus, refusal_status};
pub use request::{ApiKind, CallerRequest, ContinuationBody, RequestError};

/// Payload of the event that ends a stream of chunks.
pub const DONE: &[u8] = b"[DONE]";

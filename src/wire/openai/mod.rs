//! OpenAI-compatible API for callers: chat completions, text completions and their errors.

mod error;
mod fold;
mod request;

pub use error::{CallerFault, ErrorBody, FaultStatus, refusal_status};
pub use fold::{ChunkFold, DeliveredText, FoldStep};
pub use request::{ApiKind, CallerRequest, ContinuationBody, RequestError};

/// Payload of the event that ends a stream of chunks.
pub const DONE: &[u8] = b"[DONE]";

//! Calls from an entry to a sidecar: quote, submit, read, withdraw, attach and configuration.

use serde::{Deserialize, Serialize};

use super::claim_rpc::{ClaimCall, ClaimReply};
use super::config_page::{ConfigPage, ConfigSinceCall};
pub use super::ids::{UnknownValue, WireRank, WireReason, WireTicket};
use super::suspect_rpc::WireNews;
use crate::decide::ids::{EngineEpoch, Incarnation, LogOffset, PrefixKey, Repeatability};
use crate::decide::outcome::StreamEnd;

/// Largest message on a connection between entry and sidecar, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// State of the sidecar and its engine, on every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Epoch of its engine; 0 while the engine has not been reached.
    pub epoch: u64,
    /// Offset below which every configuration record is in force at the sidecar.
    pub next_offset: u64,
    /// Expected wait of a new routine request, in microseconds.
    pub wait_us: u32,
}

impl ReplyHead {
    /// Returns the incarnation as the decisions' type.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }

    /// Returns the engine epoch as the decisions' type.
    #[must_use]
    pub const fn epoch(&self) -> EngineEpoch {
        EngineEpoch(self.epoch)
    }

    /// Returns the configuration offset as the decisions' type.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        LogOffset(self.next_offset)
    }
}

/// Asks what a request would cost at this upstream; starts nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuoteCall {
    /// Keys of the prompt's pieces, outermost first.
    pub prefix_keys: Vec<u64>,
    /// Rank of the request.
    pub rank: WireRank,
    /// Name of the customer.
    pub customer: String,
    /// Weights version that the request was admitted for; empty for plain services.
    pub version: String,
}

/// Answers a [`QuoteCall`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct QuoteReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Whether a submission would be accepted now.
    pub open: bool,
    /// Expected wait before the start, in microseconds.
    pub wait_us: u32,
    /// Pieces of the prompt that the engine would have to compute.
    pub missing_pieces: u32,
    /// Time to compute one piece, in microseconds.
    pub piece_us: u32,
}

impl QuoteCall {
    /// Returns the prefix keys as the decisions' type.
    #[must_use]
    pub fn keys(&self) -> Vec<PrefixKey> {
        self.prefix_keys.iter().copied().map(PrefixKey).collect()
    }
}

/// Submits a request under a ticket; the same ticket may be submitted again without harm.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitCall {
    /// Identifies the attempt.
    pub ticket: WireTicket,
    /// Incarnation of the sidecar as the entry knows it; 0 before first contact.
    pub incarnation: u64,
    /// Name of the customer.
    pub customer: String,
    /// Rank of the request.
    pub rank: WireRank,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Weights version that the request was admitted for; empty for plain services.
    pub version: String,
    /// Identifies equal requests across tickets, to find those that crash engines.
    pub fingerprint: u64,
    /// Keys of the prompt's pieces, outermost first.
    pub prefix_keys: Vec<u64>,
    /// Microseconds from now within which the request must start.
    pub start_budget_us: u64,
    /// Longest expected wait in microseconds; a longer queue refuses as busy.
    pub wait_limit_us: u64,
    /// Output tokens that the request may take; 0 when not stated.
    pub output_tokens: u32,
    /// HTTP method towards the upstream.
    pub method: String,
    /// Path and query towards the upstream.
    pub path: String,
    /// Headers towards the upstream.
    pub headers: Vec<(String, String)>,
    /// Body towards the upstream.
    pub body: Vec<u8>,
}

impl SubmitCall {
    /// Returns whether the request may be repeated, as the decisions' type.
    #[must_use]
    pub const fn repeatability(&self) -> Repeatability {
        if self.idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::NonIdempotent
        }
    }

    /// Returns the prefix keys as the decisions' type.
    #[must_use]
    pub fn keys(&self) -> Vec<PrefixKey> {
        self.prefix_keys.iter().copied().map(PrefixKey).collect()
    }
}

/// Verdict on a submission.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum SubmitVerdict {
    /// The ticket is queued, running or already done.
    Accepted,
    /// The ticket has not run and never will.
    NotRun {
        /// Why.
        reason: WireReason,
        /// Milliseconds after which another try makes sense; 0 when unknown.
        retry_after_ms: u32,
    },
}

/// Answers a [`SubmitCall`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SubmitReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// What became of the submission.
    pub verdict: SubmitVerdict,
}

/// Reads the stream of a ticket from an index; waits a bounded time for the first item.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadCall {
    /// Identifies the attempt.
    pub ticket: WireTicket,
    /// Incarnation of the sidecar that accepted the ticket.
    pub incarnation: u64,
    /// Index of the first item wanted; everything below has been received.
    pub from_index: u64,
    /// Microseconds to wait for the first item before an empty reply.
    pub wait_us: u64,
}

/// One item of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamItem {
    /// Status and headers of the upstream's response; always index 0.
    Head {
        /// HTTP status code.
        status: u16,
        /// Response headers that the caller gets.
        headers: Vec<(String, String)>,
    },
    /// Part of the body: one event of an engine's stream, or bytes of a plain response.
    Data(Vec<u8>),
}

/// How a stream ended, on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireEnd {
    /// Whole.
    Complete,
    /// Left the queue without having started.
    NotRun(WireReason),
    /// The engine was lost after the start.
    EngineLost,
    /// May have started.
    Uncertain,
    /// Cancelled while it ran.
    Cancelled,
}

impl From<StreamEnd> for WireEnd {
    fn from(end: StreamEnd) -> Self {
        match end {
            StreamEnd::Complete => Self::Complete,
            StreamEnd::NotRun(reason) => Self::NotRun(reason.into()),
            StreamEnd::EngineLost => Self::EngineLost,
            StreamEnd::Uncertain => Self::Uncertain,
            StreamEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl TryFrom<WireEnd> for StreamEnd {
    type Error = UnknownValue;

    fn try_from(end: WireEnd) -> Result<Self, Self::Error> {
        Ok(match end {
            WireEnd::Complete => Self::Complete,
            WireEnd::NotRun(reason) => Self::NotRun(reason.try_into()?),
            WireEnd::EngineLost => Self::EngineLost,
            WireEnd::Uncertain => Self::Uncertain,
            WireEnd::Cancelled => Self::Cancelled,
        })
    }
}

/// What a read found.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReadVerdict {
    /// Items from the wanted index on; `end` once no further item follows them.
    Items {
        /// Consecutive items.
        items: Vec<StreamItem>,
        /// How the stream ended, after these items.
        end: Option<WireEnd>,
    },
    /// This incarnation of the sidecar does not know the ticket.
    UnknownTicket,
}

/// Answers a [`ReadCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Index of the first item in the reply.
    pub from_index: u64,
    /// What was found.
    pub verdict: ReadVerdict,
}

/// What a withdrawal achieved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawVerdict {
    /// The ticket has not run and never will.
    NotRun,
    /// The ticket runs on; it may not be repeated and is finished.
    Running,
    /// The ticket ran and was cancelled.
    Cancelled,
    /// The ticket ran to its end.
    Done,
    /// The ticket is older than the sidecar remembers; it may have run.
    Forgotten,
    /// The sidecar has restarted since; what its earlier life did with the ticket is open.
    WrongIncarnation,
}

/// Answers a withdrawal.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WithdrawReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// What was achieved.
    pub verdict: WithdrawVerdict,
}

/// What a restarted sidecar found at its engine under a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachVerdict {
    /// The engine runs or keeps the request; it can be read from index 0.
    Attached,
    /// The engine does not know the request.
    NotFound,
    /// The engine cannot be asked at present.
    EngineDown,
}

/// Answers an attachment.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AttachReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// What was found.
    pub verdict: AttachVerdict,
}

/// Interface of a sidecar; every call may be sent again without harm.
#[tarpc::service]
pub trait SidecarRpc {
    /// Estimates the cost of a request here.
    async fn quote(call: QuoteCall) -> QuoteReply;
    /// Submits a request.
    async fn submit(call: SubmitCall) -> SubmitReply;
    /// Reads a stream by index.
    async fn read(call: ReadCall) -> ReadReply;
    /// Withdraws a ticket, also one never seen, from this incarnation of the sidecar.
    async fn withdraw(ticket: WireTicket, incarnation: u64) -> WithdrawReply;
    /// Takes in news about suspects from another sidecar of the model.
    async fn suspect(news: Vec<WireNews>);
    /// Claims or releases an idempotency key.
    async fn claim(call: ClaimCall) -> ClaimReply;
    /// Looks a ticket up at the engine after a restart of the sidecar.
    async fn attach(ticket: WireTicket, idempotent: bool) -> AttachReply;
    /// Fetches configuration from an offset on, once there is some.
    async fn config_since(call: ConfigSinceCall) -> ConfigPage;
}

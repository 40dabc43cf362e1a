//! RPC interface of a sidecar, called by entries and other sidecars. All messages are encoded in
//! bincode, so the order of methods, fields and variants is part of the format.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::claim_rpc::{ClaimCall, ClaimReply};
use super::config_page::{ConfigPage, ConfigSinceCall};
pub use super::ids::{UnknownValue, WireRank, WireRefusalReason, WireTicket};
pub use super::position::WirePosition;
use super::suspect_rpc::WireSuspectUpdate;
use crate::decide::ids::{EngineEpoch, Incarnation, LogPosition, PrefixKey, Repeatability};
use crate::decide::outcome::StreamEnd;
use crate::decide::suspects::CrashId;

/// Maximum size of one message on an RPC connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// State of the sidecar and its engine, included in most replies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Epoch of the sidecar's engine; 0 until the engine has been reached.
    pub epoch: u64,
    /// Position below which the sidecar has applied all configuration records, as a [`WirePosition`].
    pub next_offset: u64,
    /// Rest of the time for which the upstream wants no requests, in microseconds.
    pub pause_us: u32,
}

impl ReplyHead {
    /// Returns the rest of the time for which the upstream wants no requests, if it wants none.
    #[must_use]
    pub fn pause(&self) -> Option<Duration> {
        let pause = Duration::from_micros(u64::from(self.pause_us));
        (!pause.is_zero()).then_some(pause)
    }

    /// Returns the incarnation of the sidecar.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }

    /// Returns the epoch of the sidecar's engine.
    #[must_use]
    pub const fn epoch(&self) -> EngineEpoch {
        EngineEpoch(self.epoch)
    }

    /// Returns the crash that the loss of the engine would be; `None` if its epoch is unknown.
    #[must_use]
    pub fn crash(&self) -> Option<CrashId> {
        let crash = CrashId {
            sidecar: self.incarnation(),
            epoch: self.epoch(),
        };
        (crash.epoch != EngineEpoch::default()).then_some(crash)
    }

    /// Returns the position below which the sidecar has applied all configuration records.
    #[must_use]
    pub fn next(&self) -> LogPosition {
        WirePosition(self.next_offset).into()
    }
}

/// Requests an estimate of the cost of a request at an upstream; submits nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuoteCall {
    /// Prefix keys of the prompt's pieces, from the first piece on.
    pub prefix_keys: Vec<u64>,
    /// Rank of the request.
    pub rank: WireRank,
    /// Name of the customer.
    pub customer: String,
    /// Weights version for which the request was admitted; empty for plain services.
    pub version: String,
}

/// Reply to a [`QuoteCall`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct QuoteReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Whether the sidecar would accept a submission of the request now.
    pub open: bool,
    /// Expected wait of the request before its start, in microseconds.
    pub wait_us: u32,
    /// Number of pieces of the prompt that are not in the engine's KV cache.
    pub missing_pieces: u32,
    /// Expected time to compute one piece, in microseconds.
    pub piece_us: u32,
}

impl QuoteCall {
    /// Returns the prefix keys of the prompt's pieces, from the first piece on.
    #[must_use]
    pub fn keys(&self) -> Vec<PrefixKey> {
        self.prefix_keys.iter().copied().map(PrefixKey).collect()
    }
}

/// Submits a request under a ticket; the call is idempotent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitCall {
    /// Ticket of the attempt.
    pub ticket: WireTicket,
    /// Incarnation of the sidecar in its last reply to the entry; 0 before the first reply.
    pub incarnation: u64,
    /// Name of the customer.
    pub customer: String,
    /// Rank of the request.
    pub rank: WireRank,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Weights version for which the request was admitted; empty for plain services.
    pub version: String,
    /// Fingerprint that is equal for equal requests, to detect requests that crash engines.
    pub fingerprint: u64,
    /// Prefix keys of the prompt's pieces, from the first piece on.
    pub prefix_keys: Vec<u64>,
    /// Time from the receipt of the call within which the request must start, in microseconds.
    pub start_budget_us: u64,
    /// Maximum expected wait in microseconds; a longer wait is refused as busy.
    pub wait_limit_us: u64,
    /// Maximum number of output tokens; 0 if the caller stated none.
    pub output_tokens: u32,
    /// HTTP method of the request to the upstream.
    pub method: String,
    /// Path and query of the request to the upstream.
    pub path: String,
    /// Headers of the request to the upstream.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the upstream.
    pub body: Vec<u8>,
}

impl SubmitCall {
    /// Returns whether the request may be run more than once.
    #[must_use]
    pub const fn repeatability(&self) -> Repeatability {
        if self.idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::NonIdempotent
        }
    }

    /// Returns the prefix keys of the prompt's pieces, from the first piece on.
    #[must_use]
    pub fn keys(&self) -> Vec<PrefixKey> {
        self.prefix_keys.iter().copied().map(PrefixKey).collect()
    }
}

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum SubmitVerdict {
    /// The ticket is queued, running or has ended.
    Accepted,
    /// The ticket has not run and will not run.
    NotRun {
        /// Reason of the refusal.
        reason: WireRefusalReason,
        /// Time after which a retry is advised, in milliseconds; 0 if unknown.
        retry_after_ms: u32,
    },
}

/// Reply to a [`SubmitCall`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SubmitReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Outcome of the submission.
    pub verdict: SubmitVerdict,
}

/// Reads the response of a ticket from an item on; waits for the item for a limited time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadCall {
    /// Ticket of the attempt.
    pub ticket: WireTicket,
    /// Incarnation of the sidecar that accepted the ticket.
    pub incarnation: u64,
    /// Index of the first requested item; the sidecar may discard all items below it. The end of
    /// the stream has the index after the last item, so a read beyond it acknowledges the end.
    pub from_index: u64,
    /// Longest wait for the item before the reply is empty, in microseconds.
    pub wait_us: u64,
}

/// Item of the response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamItem {
    /// Status and headers of the upstream's response; always index 0.
    Head {
        /// HTTP status code.
        status: u16,
        /// Response headers to forward to the caller.
        headers: Vec<(String, String)>,
    },
    /// Part of the body: one event of an engine's stream, or bytes of a plain service's response.
    Data(Vec<u8>),
}

/// Encoded form of a [`StreamEnd`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireStreamEnd {
    /// All items have been produced.
    Complete,
    /// The ticket was removed from the queue before it started.
    NotRun(WireRefusalReason),
    /// The engine was lost after it had started the ticket.
    EngineLost,
    /// The ticket may have started; the engine cannot tell.
    Uncertain,
    /// The ticket was cancelled while it ran.
    Cancelled,
}

impl From<StreamEnd> for WireStreamEnd {
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

impl TryFrom<WireStreamEnd> for StreamEnd {
    type Error = UnknownValue;

    fn try_from(end: WireStreamEnd) -> Result<Self, Self::Error> {
        Ok(match end {
            WireStreamEnd::Complete => Self::Complete,
            WireStreamEnd::NotRun(reason) => Self::NotRun(reason.try_into()?),
            WireStreamEnd::EngineLost => Self::EngineLost,
            WireStreamEnd::Uncertain => Self::Uncertain,
            WireStreamEnd::Cancelled => Self::Cancelled,
        })
    }
}

/// Outcome of a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReadVerdict {
    /// Items from the requested index on.
    Items {
        /// Consecutive items.
        items: Vec<StreamItem>,
        /// End of the stream, if no further item follows these.
        end: Option<WireStreamEnd>,
    },
    /// This incarnation of the sidecar has no record of the ticket.
    UnknownTicket,
}

/// Reply to a [`ReadCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// State of the sidecar. With an end by the loss of the engine, the epoch is the one that was
    /// lost, or 0 if the sidecar has not reported a crash.
    pub head: ReplyHead,
    /// Index of the first item in the reply.
    pub from_index: u64,
    /// Outcome of the read.
    pub verdict: ReadVerdict,
}

/// Outcome of the withdrawal of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawVerdict {
    /// The ticket has not run and will not run.
    NotRun,
    /// The ticket is running and is not cancelled, since its request may not be repeated.
    Running,
    /// The ticket ran and was cancelled.
    Cancelled,
    /// The ticket has run to completion.
    Done,
    /// The sidecar no longer holds the ticket, which may have run.
    Forgotten,
    /// The sidecar has restarted; whether its earlier incarnation ran the ticket is unknown.
    WrongIncarnation,
}

/// Reply to a withdrawal.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WithdrawReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Outcome of the withdrawal.
    pub verdict: WithdrawVerdict,
}

/// Outcome of the lookup of a ticket at the engine after a restart of the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachVerdict {
    /// The engine is running the request or still holds its response, which can be read from
    /// index 0.
    Attached,
    /// The engine has no record of the request.
    NotFound,
    /// The engine cannot be reached now.
    EngineDown,
}

/// Reply to the lookup of a ticket at the engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AttachReply {
    /// State of the sidecar.
    pub head: ReplyHead,
    /// Outcome of the lookup.
    pub verdict: AttachVerdict,
}

/// RPC interface of a sidecar; every call is idempotent.
#[tarpc::service]
pub trait SidecarRpc {
    /// Estimates the cost of a request at this upstream.
    async fn quote(call: QuoteCall) -> QuoteReply;
    /// Submits a request.
    async fn submit(call: SubmitCall) -> SubmitReply;
    /// Reads items of the response of a ticket.
    async fn read(call: ReadCall) -> ReadReply;
    /// Withdraws a ticket, which this sidecar need not have received, if `incarnation` matches.
    async fn withdraw(ticket: WireTicket, incarnation: u64) -> WithdrawReply;
    /// Applies suspect updates from another sidecar of the same model.
    async fn suspect(updates: Vec<WireSuspectUpdate>);
    /// Claims or releases an idempotency key.
    async fn claim(call: ClaimCall) -> ClaimReply;
    /// Looks up a ticket at the engine after a restart of the sidecar.
    async fn attach(ticket: WireTicket, idempotent: bool) -> AttachReply;
    /// Returns records of the configuration stream from an offset on, once there are any.
    async fn config_since(call: ConfigSinceCall) -> ConfigPage;
}

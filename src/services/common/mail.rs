//! Messages between services and I/O tasks of one process, with one type for each receiver.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::decide::claim_coordinator::ClaimPage;
use crate::decide::claims::{ClaimRecord, ClaimVerdict, PartitionId};
use crate::decide::config::Configuration;
use crate::decide::ids::{EngineEpoch, Incarnation, LogOffset, LogPosition, Repeatability, Ticket};
use crate::decide::ledger::TicketKey;
use crate::decide::member_notice::UpstreamNotice;
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::propagation::{CallKind, LogStep, PeerPosition, PeerStep};
use crate::decide::request_step::SubmitCause;
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::{Moment, ReplyTo};
use crate::platform::log_client::LogPage;
use crate::services::caller_side::journal::RequestReport;
use crate::services::common::metrics::MetricSample;
use crate::services::common::operator::OperatorMail;
use crate::wire::config_page::ConfigPage;
use crate::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, SidecarRpcClient,
    StreamItem, SubmitCall, SubmitReply, WithdrawReply,
};

/// Any message of an entry or a sidecar; the variant names the receiver.
#[derive(Debug)]
pub enum Mail {
    /// To the service `config`.
    Config(ConfigMail),
    /// To the sidecar's service `ledger`.
    Ledger(LedgerMail),
    /// To the sidecar's I/O task `engine`.
    Engine(EngineMail),
    /// To the I/O task `dialer`.
    Dialer(DialerMail),
    /// To the entry's service `journal`.
    Journal(JournalMail),
    /// To the entry's service `tickets`.
    Tickets(TicketsMail),
    /// To the sidecar's I/O task `suspect-feed`: updates for the other sidecars of the model.
    SuspectFeed(Vec<SuspectUpdate>),
    /// To the sidecar's service `claims`.
    Claims(ClaimsMail),
    /// To the sidecar's I/O task `claim-log`.
    ClaimLog(ClaimLogMail),
    /// To the I/O task `operator`.
    Operator(OperatorMail),
    /// To the service `metrics`.
    Metrics(MetricSample),
}

/// Messages to the service `config`, which owns the process's replica of the configuration.
#[derive(Debug)]
pub enum ConfigMail {
    /// Requests the configuration that is in force.
    Current(ReplyTo<Arc<Configuration>>),
    /// Requests a configuration newer than a position; the reply is sent once there is one.
    Newer {
        /// Next position of the configuration that the sender has.
        than: LogPosition,
        /// Receives the configuration.
        reply_to: ReplyTo<Arc<Configuration>>,
    },
    /// A reply of a sidecar carried the next position of its configuration.
    SidecarPosition(PeerPosition),
    /// Another process requests the configuration records from a position on.
    Since {
        /// Next position that the other process needs.
        from: LogPosition,
        /// Deadline at which the reply is sent even if there is nothing newer.
        until: Moment,
        /// Receives the page of records or a snapshot.
        reply_to: ReplyTo<ConfigPage>,
    },
    /// The I/O task `log-reader` requests its next step.
    NextLogRead(ReplyTo<NextLogRead>),
    /// A read of the log returned a page.
    LogRead(LogPage),
    /// A read of the log failed.
    LogFailed,
    /// The I/O task `peer-reader` requests the next sidecar to call.
    NextPeerCall(CallKind, ReplyTo<NextPeerCall>),
    /// A sidecar returned a page of records or a snapshot.
    PeerRead(ConfigPage),
    /// A call to a sidecar failed or timed out.
    PeerFailed(SocketAddr),
    /// The I/O task `snapshot-writer` requests its next step.
    NextSnapshotWrite(ReplyTo<NextSnapshotWrite>),
}

/// Reply to [`ConfigMail::NextLogRead`].
#[derive(Debug, Clone, Copy)]
pub struct NextLogRead {
    /// Whether to read the log now, and whether to wait there for new records.
    pub step: LogStep,
    /// Log offset to read from.
    pub from: LogOffset,
}

/// Reply to [`ConfigMail::NextPeerCall`].
#[derive(Debug, Clone, Copy)]
pub struct NextPeerCall {
    /// Whether to call a sidecar, and which one.
    pub step: PeerStep,
    /// Position on the log from which to request records.
    pub from: LogPosition,
}

/// Reply to [`ConfigMail::NextSnapshotWrite`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextSnapshotWrite {
    /// Write no snapshot before the deadline.
    WaitUntil(Moment),
    /// Append these records, the parts of a snapshot, in order.
    Write(Vec<String>),
}

/// Messages to the service `ledger`, which owns the upstream's tickets, queue and responses.
#[derive(Debug)]
pub enum LedgerMail {
    /// Requests a quote: what a request would cost at this upstream.
    Quote(QuoteCall, ReplyTo<QuoteReply>),
    /// Submits a request under its ticket.
    Submit(SubmitCall, ReplyTo<SubmitReply>),
    /// Reads items of a ticket's response from an index on.
    Read(ReadCall, ReplyTo<ReadReply>),
    /// Withdraws a ticket that was submitted to the given incarnation of the sidecar.
    Withdraw(Ticket, Incarnation, ReplyTo<WithdrawReply>),
    /// Attaches to a ticket of an earlier run of the sidecar, if the engine still runs it.
    Attach(Ticket, Repeatability, ReplyTo<AttachReply>),
    /// The engine produced items of a running ticket's response.
    Items(TicketKey, Vec<StreamItem>),
    /// The response of a ticket ended.
    ResponseEnded(TicketKey, StreamEnd),
    /// Result of the lookup of a ticket at the engine for an attachment.
    LookupResult(TicketKey, AttachVerdict, ReplyTo<AttachReply>),
    /// The status of the engine was polled.
    EngineStatus(EngineStatus),
    /// The engine has not replied to a poll that began at the given time; requests the status that
    /// is in force now.
    EngineSilent(Moment, ReplyTo<EngineStatus>),
    /// Refuses new requests until the moment, and requests a report of what is unfinished.
    HoldForOrder(Moment, ReplyTo<OrderReport>),
    /// Requests the reason why requests for the declared version are refused at present, if they are.
    Readiness(ReplyTo<Option<RefusalReason>>),
    /// The platform asks this instance to leave.
    Leaving,
    /// A page of the engine's cache events; the reply says what to fetch next.
    CacheEvents(CachePage, ReplyTo<IndexStep>),
    /// The complete list of the engine's cache keys; the reply says what to fetch next.
    CacheKeys(CacheList, ReplyTo<IndexStep>),
    /// A response of the upstream says something of the upstream.
    EngineNotice(UpstreamNotice),
    /// Requests the end of the time for which the upstream wants no requests, if it wants none.
    PauseEnd(ReplyTo<Option<Moment>>),
    /// Updates about suspects from another sidecar of the model.
    Suspects(Vec<SuspectUpdate>, ReplyTo<()>),
    /// A newer configuration is in force.
    Configured(Arc<Configuration>),
}

/// State of the upstream on which an order to load weights depends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// Status of the engine at the last poll.
    pub engine: EngineStatus,
    /// Number of requests that wait or run.
    pub unfinished: usize,
    /// Whether the upstream stays and wants requests.
    pub wants_orders: bool,
}

/// Status of an engine at the last poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineStatus {
    /// The engine responds.
    Up {
        /// Epoch of the engine's current run.
        epoch: EngineEpoch,
        /// Version of the weights that the engine serves; empty for plain services.
        version: String,
    },
    /// The engine does not respond.
    Down,
}

impl EngineStatus {
    /// Returns the epoch of the engine's current run, or `None` if the engine is down.
    #[must_use]
    pub const fn epoch(&self) -> Option<EngineEpoch> {
        match self {
            Self::Up { epoch, .. } => Some(*epoch),
            Self::Down => None,
        }
    }
}

/// Messages to the I/O task `engine`, which owns the connections to the upstream.
#[derive(Debug)]
pub enum EngineMail {
    /// Sends the request of a ticket to the upstream.
    Start(TicketKey, Arc<SubmitCall>),
    /// Cancels a ticket at the engine and closes its connection.
    Cancel(TicketKey, Ticket),
    /// Looks up a ticket at the engine and streams its response from the start if it is found.
    Attach(TicketKey, Ticket, Repeatability, ReplyTo<AttachReply>),
}

/// Messages to the I/O task `dialer`, which owns the connections to the sidecars.
#[derive(Debug)]
pub enum DialerMail {
    /// Requests a connection to a sidecar, which is opened if there is none.
    Connect(SocketAddr, ReplyTo<DialOutcome>),
    /// A call on the connection with this number failed; the connection must not be reused.
    Broken(SocketAddr, u64),
    /// Withdraws a ticket, submitted to the given incarnation, whose caller has disconnected.
    Abandon(SocketAddr, Ticket, Incarnation),
    /// Tells the given incarnation of a sidecar that the end of a ticket's response, which has this
    /// index, has been received.
    Acknowledge(SocketAddr, Ticket, Incarnation, u64),
}

/// Reply to [`DialerMail::Connect`].
#[derive(Debug, Clone)]
pub enum DialOutcome {
    /// An open connection and its number.
    Connected(SidecarRpcClient, u64),
    /// The sidecar could not be reached.
    Unreachable,
}

/// Messages to the service `tickets`, which issues tickets and enforces the retry budget.
#[derive(Debug)]
pub enum TicketsMail {
    /// Requests a new ticket for a submission.
    Mint(SubmitCause, ReplyTo<MintOutcome>),
}

/// Reply to [`TicketsMail::Mint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MintOutcome {
    /// The new ticket.
    Minted(Ticket),
    /// The retry budget is exhausted.
    OverBudget,
}

/// Messages to the service `claims`, which coordinates the claim partitions of this sidecar.
#[derive(Debug)]
pub enum ClaimsMail {
    /// Requests a verdict on a claim or a release of an idempotency key.
    Claim {
        /// Claim or release to append to the log.
        record: ClaimRecord,
        /// Deadline of the caller for the verdict.
        deadline: Moment,
        /// Receives the verdict.
        reply_to: ReplyTo<ClaimVerdict>,
    },
    /// Outcome of an append to a partition: the position, or `None` if the append failed or its
    /// outcome is unknown.
    Appended(PartitionId, Option<LogPosition>),
    /// Outcome of a read of a partition: a page, or `None` if the read failed.
    Page(PartitionId, Option<ClaimPage>),
}

/// Messages to the I/O task `claim-log`, which appends to and reads the claim partitions.
#[derive(Debug)]
pub enum ClaimLogMail {
    /// Appends records to a partition in one batch.
    Append(PartitionId, Vec<ClaimRecord>),
    /// Reads a partition from an offset on.
    Read(PartitionId, LogOffset),
}

/// Messages to the service `journal`, which keeps reports of recent requests.
#[derive(Debug)]
pub enum JournalMail {
    /// Report of a request that ended.
    Report(RequestReport),
    /// Requests the report of a request by its request id, as returned to the caller.
    Find(String, ReplyTo<Option<serde_json::Value>>),
}

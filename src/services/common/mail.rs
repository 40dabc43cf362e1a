//! Messages between the services of a process, one type for each receiving service.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::decide::claim_coordinator::ClaimPage;
use crate::decide::claims::{ClaimRecord, ClaimVerdict, PartitionId};
use crate::decide::config::Configuration;
use crate::decide::ids::{EngineEpoch, Incarnation, LogOffset, Repeatability, Ticket};
use crate::decide::ledger::TicketKey;
use crate::decide::outcome::StreamEnd;
use crate::decide::propagation::{CallKind, LogStep, PeerOffset, PeerStep};
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

/// Any message; the variant names the receiving service.
#[derive(Debug)]
pub enum Mail {
    /// To the service `config`.
    Config(ConfigMail),
    /// To the sidecar's service `ledger`.
    Ledger(LedgerMail),
    /// To the sidecar's I/O task `engine`.
    Engine(EngineMail),
    /// To the entry's I/O task `dialer`.
    Dialer(DialerMail),
    /// To the entry's service `journal`.
    Journal(JournalMail),
    /// To the entry's service `tickets`.
    Tickets(TicketsMail),
    /// To the sidecar's I/O task `suspect-feed`: news for the other sidecars of the model.
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

/// Messages to the service `config`, which owns the configuration in force.
#[derive(Debug)]
pub enum ConfigMail {
    /// Asks for the configuration in force.
    Current(ReplyTo<Arc<Configuration>>),
    /// Asks for a configuration beyond an offset; answered once there is one.
    Newer {
        /// The offset that the asker has.
        than: LogOffset,
        /// Takes the configuration.
        reply_to: ReplyTo<Arc<Configuration>>,
    },
    /// A sidecar has been heard to have an offset in force.
    Heard(PeerOffset),
    /// Another process asks for what lies beyond an offset.
    Since {
        /// Offset that it needs next.
        from: LogOffset,
        /// When it is answered at the latest.
        until: Moment,
        /// Takes the answer.
        reply_to: ReplyTo<ConfigPage>,
    },
    /// The log reader asks what to do.
    LogTurn(ReplyTo<LogTurn>),
    /// The log has been read.
    LogRead(LogPage),
    /// The log cannot be read.
    LogFailed,
    /// The peer reader asks which sidecar to call.
    PeerTurn(CallKind, ReplyTo<PeerTurn>),
    /// A sidecar has answered.
    PeerRead(ConfigPage),
    /// A sidecar has not answered.
    PeerFailed(SocketAddr),
    /// The snapshot writer asks what to do.
    SnapshotTurn(ReplyTo<SnapshotTurn>),
}

/// Answer to [`ConfigMail::LogTurn`].
#[derive(Debug, Clone, Copy)]
pub struct LogTurn {
    /// What to do.
    pub step: LogStep,
    /// Offset to read from.
    pub from: LogOffset,
}

/// Answer to [`ConfigMail::PeerTurn`].
#[derive(Debug, Clone, Copy)]
pub struct PeerTurn {
    /// What to do.
    pub step: PeerStep,
    /// Offset to ask from.
    pub from: LogOffset,
}

/// Answer to [`ConfigMail::SnapshotTurn`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotTurn {
    /// Nothing until the deadline.
    WaitUntil(Moment),
    /// Append these bodies, one after another.
    Write(Vec<String>),
}

/// Messages to the service `ledger`, which owns the upstream's tickets, queue and answers.
#[derive(Debug)]
pub enum LedgerMail {
    /// Asks what a request would cost.
    Quote(QuoteCall, ReplyTo<QuoteReply>),
    /// Submits a request.
    Submit(SubmitCall, ReplyTo<SubmitReply>),
    /// Reads an answer by index.
    Read(ReadCall, ReplyTo<ReadReply>),
    /// Withdraws a ticket that was meant for an incarnation.
    Withdraw(Ticket, Incarnation, ReplyTo<WithdrawReply>),
    /// Looks a ticket up at the engine.
    Attach(Ticket, Repeatability, ReplyTo<AttachReply>),
    /// The engine has produced items of a running ticket.
    Items(TicketKey, Vec<StreamItem>),
    /// The engine has ended a ticket.
    Ended(TicketKey, StreamEnd),
    /// The engine was asked for a ticket after a restart.
    Attached(TicketKey, AttachVerdict, ReplyTo<AttachReply>),
    /// The engine's state was read.
    EngineState(EngineState),
    /// Refuses new work until the moment, and asks what is left.
    OrderReport(Moment, ReplyTo<OrderReport>),
    /// The platform wants the instance to go.
    Leaving,
    /// Events of the engine's cache; answered with what to fetch next.
    CacheEvents(CachePage, ReplyTo<IndexStep>),
    /// All that the engine's cache holds; answered with what to fetch next.
    CacheKeys(CacheList, ReplyTo<IndexStep>),
    /// Another sidecar of the model has news about suspects.
    Suspects(Vec<SuspectUpdate>, ReplyTo<()>),
    /// A new configuration is in force.
    Configured(Arc<Configuration>),
}

/// What an order to the engine depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// State of the engine as it was last read.
    pub engine: EngineState,
    /// Requests that wait or run.
    pub unfinished: usize,
}

/// State of an engine as it was last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineState {
    /// It answers.
    Up {
        /// Its present life.
        epoch: EngineEpoch,
        /// Weights version that it serves; empty for plain services.
        version: String,
    },
    /// It does not answer.
    Down,
}

impl EngineState {
    /// Returns the present life of an engine that answers.
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
    /// Starts a ticket.
    Start(TicketKey, Arc<SubmitCall>),
    /// Cancels a ticket and drops its connection.
    Cancel(TicketKey, Ticket),
    /// Looks a ticket up and streams it from the start if it is found.
    Attach(TicketKey, Ticket, Repeatability, ReplyTo<AttachReply>),
}

/// Messages to the I/O task `dialer`, which owns the connections to the sidecars.
#[derive(Debug)]
pub enum DialerMail {
    /// Asks for a connection to a sidecar, dialling it if there is none.
    Connect(SocketAddr, ReplyTo<DialOutcome>),
    /// A call on the numbered connection got no answer; it is not to be used again.
    Broken(SocketAddr, u64),
    /// Withdraws a ticket, meant for an incarnation, whose caller has gone away.
    Abandon(SocketAddr, Ticket, Incarnation),
}

/// What the dialer has for a sidecar.
#[derive(Debug, Clone)]
pub enum DialOutcome {
    /// A connection and its number.
    Connected(SidecarRpcClient, u64),
    /// The sidecar cannot be reached at present.
    Unreachable,
}

/// Messages to the service `tickets`, which mints tickets and grants retries.
#[derive(Debug)]
pub enum TicketsMail {
    /// Asks for a fresh ticket for a submission.
    Mint(SubmitCause, ReplyTo<MintOutcome>),
}

/// Answer to [`TicketsMail::Mint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MintOutcome {
    /// A fresh ticket.
    Minted(Ticket),
    /// Retries are used up for now.
    OverBudget,
}

/// Messages to the service `claims`, which owns the claim partitions that this sidecar is home of.
#[derive(Debug)]
pub enum ClaimsMail {
    /// Asks for a verdict on a claim or a release.
    Claim {
        /// What is to be recorded.
        record: ClaimRecord,
        /// When the asker wants a verdict at the latest.
        deadline: Moment,
        /// Takes the verdict.
        reply_to: ReplyTo<ClaimVerdict>,
    },
    /// An append was answered with its offset, or failed or was lost.
    Appended(PartitionId, Option<LogOffset>),
    /// A read was answered, or failed.
    Page(PartitionId, Option<ClaimPage>),
}

/// Messages to the I/O task `claim-log`, which calls the log.
#[derive(Debug)]
pub enum ClaimLogMail {
    /// Appends records in one go.
    Append(PartitionId, Vec<ClaimRecord>),
    /// Reads from an offset.
    Read(PartitionId, LogOffset),
}

/// Messages to the service `journal`, which remembers what was decided for requests.
#[derive(Debug)]
pub enum JournalMail {
    /// A request has ended.
    Report(RequestReport),
    /// Asks for the report of a request by the id that its caller saw.
    Find(String, ReplyTo<Option<serde_json::Value>>),
}

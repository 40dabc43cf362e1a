//! Calls and replies between entries and sidecars, which may be lost, delayed or reordered; calls
//! may be duplicated.

use bulrushslip::decide::ids::{Incarnation, Repeatability};
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::decide::request_step::{RequestEvent, SidecarCall};
use bulrushslip::kernel::{Moment, Reply, ReplyTo};
use bulrushslip::services::common::mail::LedgerMail;
use bulrushslip::services::common::sidecar_calls::{
    attach_event, submit_event, ticket_read, withdraw_event,
};
use bulrushslip::wire::rpc::{
    AttachReply, AttachVerdict, ReadCall, ReadReply, ReadVerdict, ReplyHead, StreamItem,
    SubmitCall, SubmitReply, SubmitVerdict, WireRank, WithdrawReply, WithdrawVerdict,
};
use tokio::sync::oneshot::error::TryRecvError;

/// Time that a sidecar waits for items before it replies to a read, in microseconds.
const READ_WAIT_US: u64 = 1_000_000;

/// A call on its way to a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Packet {
    /// Index of the calling request.
    pub request: usize,
    /// Number of the call; the request ignores replies to earlier calls.
    pub nonce: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Incarnation of the sidecar that the call is addressed to.
    pub incarnation: Incarnation,
    /// Operation to call.
    pub call: SidecarCall,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Time until the start deadline, in microseconds.
    pub start_budget_us: u64,
    /// Arrival time at the sidecar.
    pub arrives: Moment,
}

/// Event of a reply, and the items that it carries.
pub type ReplyResult = (RequestEvent, Vec<StreamItem>);

/// Channel on which the ledger replies to a call.
pub enum PendingReply {
    /// Reply to a submission.
    Submit(Reply<SubmitReply>),
    /// Reply to a read from the index.
    Read(u64, Reply<ReadReply>),
    /// Reply to a withdrawal.
    Withdraw(Reply<WithdrawReply>),
    /// Reply to an attach call.
    Attach(Reply<AttachReply>),
}

/// Converts a packet to a message for the ledger and the channel of its reply.
pub fn ledger_mail(packet: &Packet) -> (LedgerMail, PendingReply) {
    match packet.call {
        SidecarCall::Submit(ticket) => {
            let (reply_to, reply) = ReplyTo::channel();
            let call = SubmitCall {
                ticket: ticket.into(),
                incarnation: packet.incarnation.0,
                customer: "wales".to_owned(),
                rank: WireRank(1),
                idempotent: packet.repeatability == Repeatability::Idempotent,
                version: String::new(),
                fingerprint: 0,
                prefix_keys: Vec::new(),
                start_budget_us: packet.start_budget_us,
                wait_limit_us: u64::MAX,
                output_tokens: 16,
                method: "POST".to_owned(),
                path: "/".to_owned(),
                headers: Vec::new(),
                body: Vec::new(),
            };
            (
                LedgerMail::Submit(call, reply_to),
                PendingReply::Submit(reply),
            )
        }
        SidecarCall::Read(ticket, from_index) => {
            let (reply_to, reply) = ReplyTo::channel();
            let call = ReadCall {
                ticket: ticket.into(),
                incarnation: packet.incarnation.0,
                from_index,
                wait_us: READ_WAIT_US,
            };
            (
                LedgerMail::Read(call, reply_to),
                PendingReply::Read(from_index, reply),
            )
        }
        SidecarCall::Withdraw(ticket) => {
            let (reply_to, reply) = ReplyTo::channel();
            (
                LedgerMail::Withdraw(ticket, packet.incarnation, reply_to),
                PendingReply::Withdraw(reply),
            )
        }
        SidecarCall::Attach(ticket) => {
            let (reply_to, reply) = ReplyTo::channel();
            let mail = LedgerMail::Attach(ticket, packet.repeatability, reply_to);
            (mail, PendingReply::Attach(reply))
        }
    }
}

impl PendingReply {
    /// Returns the reply if it has arrived, and whether the ledger has stopped.
    ///
    /// If the ledger has dropped the channel, the reply is the one that the task `rpc` of a sidecar
    /// sends in this case.
    pub fn poll(&mut self) -> Option<(ReplyResult, bool)> {
        let head = ReplyHead::default();
        match self {
            Self::Submit(reply) => {
                let verdict = SubmitVerdict::NotRun {
                    reason: RefusalReason::Leaving.into(),
                    retry_after_ms: 0,
                };
                let reply = received(reply, || SubmitReply { head, verdict })?;
                Some(((submit_event(&reply), Vec::new()), reply.head == head))
            }
            Self::Read(from_index, reply) => {
                let verdict = ReadVerdict::Items {
                    items: Vec::new(),
                    end: None,
                };
                let from_index = *from_index;
                let reply = received(reply, || ReadReply {
                    head,
                    from_index,
                    verdict,
                })?;
                let has_stopped = reply.head == head;
                let outcome = ticket_read(reply);
                Some(((outcome.event, outcome.items), has_stopped))
            }
            Self::Withdraw(reply) => {
                let verdict = WithdrawVerdict::Forgotten;
                let reply = received(reply, || WithdrawReply { head, verdict })?;
                Some(((withdraw_event(&reply), Vec::new()), reply.head == head))
            }
            Self::Attach(reply) => {
                let verdict = AttachVerdict::EngineDown;
                let reply = received(reply, || AttachReply { head, verdict })?;
                Some(((attach_event(&reply), Vec::new()), reply.head == head))
            }
        }
    }
}

fn received<T>(reply: &mut Reply<T>, fallback: impl FnOnce() -> T) -> Option<T> {
    match reply.try_recv() {
        Ok(reply) => Some(reply),
        Err(TryRecvError::Empty) => None,
        Err(TryRecvError::Closed) => Some(fallback()),
    }
}

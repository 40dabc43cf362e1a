//! Calls and replies between entries and sidecars: lost, late, doubled and out of order.

use bulrushslip::decide::attempt_step::{AttemptEvent, SidecarCall};
use bulrushslip::decide::ids::{Incarnation, Repeatability};
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::kernel::{Moment, Reply, ReplyTo};
use bulrushslip::services::common::mail::LedgerMail;
use bulrushslip::services::common::sidecar_calls::{
    attach_event, read_outcome, submit_event, withdraw_event,
};
use bulrushslip::wire::rpc::{
    AttachReply, AttachVerdict, ReadCall, ReadReply, ReadVerdict, ReplyHead, StreamItem,
    SubmitCall, SubmitReply, SubmitVerdict, WireRank, WithdrawReply, WithdrawVerdict,
};
use tokio::sync::oneshot::error::TryRecvError;

/// Longest wait of a read at the sidecar, in microseconds.
const READ_WAIT_US: u64 = 1_000_000;

/// A call on its way to a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Packet {
    /// Index of the calling request.
    pub request: usize,
    /// Number of the call; a reply to any other is ignored.
    pub nonce: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Incarnation that the call is meant for.
    pub incarnation: Incarnation,
    /// The call.
    pub call: SidecarCall,
    /// Whether the request may be repeated.
    pub repeatability: Repeatability,
    /// Remaining time for the start, in microseconds.
    pub start_budget_us: u64,
    /// When it arrives.
    pub arrives: Moment,
}

/// What a reply means, and its items.
pub type Heard = (AttemptEvent, Vec<StreamItem>);

/// The reply that a sidecar owes to a call.
pub enum OwedReply {
    /// To a submission.
    Submit(Reply<SubmitReply>),
    /// To a read.
    Read(u64, Reply<ReadReply>),
    /// To a withdrawal.
    Withdraw(Reply<WithdrawReply>),
    /// To an attachment.
    Attach(Reply<AttachReply>),
}

/// Turns a packet into mail for the ledger.
pub fn open_packet(packet: &Packet) -> (LedgerMail, OwedReply) {
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
            (LedgerMail::Submit(call, reply_to), OwedReply::Submit(reply))
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
                OwedReply::Read(from_index, reply),
            )
        }
        SidecarCall::Withdraw(ticket) => {
            let (reply_to, reply) = ReplyTo::channel();
            (
                LedgerMail::Withdraw(ticket, packet.incarnation, reply_to),
                OwedReply::Withdraw(reply),
            )
        }
        SidecarCall::Attach(ticket) => {
            let (reply_to, reply) = ReplyTo::channel();
            let mail = LedgerMail::Attach(ticket, packet.repeatability, reply_to);
            (mail, OwedReply::Attach(reply))
        }
    }
}

impl OwedReply {
    /// Returns the reply once it is there; a reply dropped by the ledger is made up as the
    /// sidecar's task `rpc` does, and tells that the ledger has stopped.
    pub fn poll(&mut self) -> Option<(Heard, bool)> {
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
                let outcome = read_outcome(reply);
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

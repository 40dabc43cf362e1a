//! An accepted request of the service `ledger`, from its submission to its eviction.

use std::sync::Arc;

use super::reads::PendingRead;
use crate::decide::ids::Ticket;
use crate::decide::suspects::CrashId;
use crate::kernel::Moment;
use crate::services::upstream_side::stream_buffer::StreamBuffer;
use crate::wire::rpc::SubmitCall;

/// How far the end of a response has come on its way to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndDelivery {
    /// No reply has held it.
    Unsent,
    /// A reply to a read, which may have been lost, has held it.
    Sent,
    /// The caller has acknowledged it or does not wait for it.
    Acknowledged,
}

/// An accepted request and its buffered response.
#[derive(Debug)]
pub(super) struct TicketJob {
    pub(super) ticket: Ticket,
    pub(super) call: Option<Arc<SubmitCall>>,
    pub(super) buffer: StreamBuffer,
    pub(super) pending_read: Option<PendingRead>,
    pub(super) started: bool,
    /// Whether the upstream has begun to answer.
    pub(super) has_begun: bool,
    pub(super) cached_pieces: Option<u32>,
    /// Number of data items that the engine has produced.
    pub(super) output_items: u32,
    pub(super) end_delivery: EndDelivery,
    /// Time by which an entry that has not received the last reply has read again.
    pub(super) reread_by: Moment,
    /// Engine crash that ended the ticket.
    pub(super) crash: Option<CrashId>,
    /// Whether acknowledged items stay buffered, for a read from the start.
    pub(super) keep_all: bool,
}

impl TicketJob {
    /// Returns whether the caller has received the end, as far as its entry tells.
    ///
    /// An entry that acknowledges no end has received it if it does not read it again.
    pub(super) fn has_delivered_end(&self, now: Moment) -> bool {
        match self.end_delivery {
            EndDelivery::Unsent => false,
            EndDelivery::Sent => !self.ticket.acknowledges_end() && self.reread_by.is_due(now),
            EndDelivery::Acknowledged => true,
        }
    }
}

/// Creates the job of a ticket that has not started.
pub(super) fn new_job(ticket: Ticket, call: Option<Arc<SubmitCall>>, keep_all: bool) -> TicketJob {
    TicketJob {
        ticket,
        call,
        buffer: StreamBuffer::default(),
        pending_read: None,
        started: false,
        has_begun: false,
        cached_pieces: None,
        output_items: 0,
        end_delivery: EndDelivery::Unsent,
        reread_by: Moment::START,
        crash: None,
        keep_all,
    }
}

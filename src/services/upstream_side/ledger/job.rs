//! An accepted request of the service `ledger`, from its submission to its eviction.

use std::sync::Arc;

use super::reads::PendingRead;
use crate::decide::ids::Ticket;
use crate::decide::suspects::CrashId;
use crate::services::upstream_side::stream_buffer::StreamBuffer;
use crate::wire::rpc::SubmitCall;

/// An accepted request and its buffered response.
#[derive(Debug)]
pub(super) struct TicketJob {
    pub(super) ticket: Ticket,
    pub(super) call: Option<Arc<SubmitCall>>,
    pub(super) buffer: StreamBuffer,
    pub(super) pending_read: Option<PendingRead>,
    pub(super) started: bool,
    pub(super) cached_pieces: Option<u32>,
    /// Number of data items that the engine has produced.
    pub(super) output_items: u32,
    /// Whether the caller has acknowledged the end or does not wait for it.
    pub(super) end_acknowledged: bool,
    /// Engine crash that ended the ticket.
    pub(super) crash: Option<CrashId>,
    /// Whether acknowledged items stay buffered, for a read from the start.
    pub(super) keep_all: bool,
}

/// Creates the job of a ticket that has not started.
pub(super) fn new_job(ticket: Ticket, call: Option<Arc<SubmitCall>>, keep_all: bool) -> TicketJob {
    TicketJob {
        ticket,
        call,
        buffer: StreamBuffer::default(),
        pending_read: None,
        started: false,
        cached_pieces: None,
        output_items: 0,
        end_acknowledged: false,
        crash: None,
        keep_all,
    }
}

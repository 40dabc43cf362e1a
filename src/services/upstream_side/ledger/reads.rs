//! Reads of buffered responses: a read waits for an item, the end or its deadline.

use std::time::Duration;

use crate::decide::ids::Ticket;
use crate::decide::ledger::{TicketKey, TicketState};
use crate::kernel::{Moment, ReplyTo};
use crate::wire::rpc::{ReadCall, ReadReply, ReadVerdict, WireStreamEnd};

use super::job::EndDelivery;
use super::state::LedgerState;

/// Maximum long-poll wait of a read.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// Time from a read within which an entry reads again if it gets no reply: it gives the call up after
/// 1 s and dials a new connection.
const REREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// A read that waits for an item.
#[derive(Debug)]
pub(super) struct PendingRead {
    from_index: u64,
    deadline: Moment,
    reply_to: ReplyTo<ReadReply>,
}

impl LedgerState {
    /// Replies to a read, at once or when there is an item, the end or the deadline.
    ///
    /// A new read of a ticket replaces the pending one, which is replied to at once.
    pub fn read(&mut self, now: Moment, call: ReadCall, reply_to: ReplyTo<ReadReply>) {
        let ticket = Ticket::from(call.ticket);
        let Some(key) = self.ledger.renew(now, ticket) else {
            let verdict = ReadVerdict::UnknownTicket;
            reply_to.send(ReadReply {
                head: self.reply_head(now),
                from_index: call.from_index,
                verdict,
            });
            return;
        };
        let wait = Duration::from_micros(call.wait_us).min(MAX_READ_WAIT);
        let read = PendingRead {
            from_index: call.from_index,
            deadline: now.after(wait),
            reply_to,
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            self.reply_to_read(now, key, read, true);
            return;
        };
        let end_index = job.buffer.next_index();
        let has_ended = matches!(
            self.ledger.get(key).map(|entry| entry.state),
            Some(TicketState::Ended(_))
        );
        job.reread_by = now.after(REREAD_TIMEOUT);
        if has_ended && call.from_index > end_index {
            job.end_delivery = EndDelivery::Acknowledged;
        } else if job.end_delivery == EndDelivery::Acknowledged {
            // A read from a lower index shows that a reader still waits for the end.
            job.end_delivery = EndDelivery::Sent;
        }
        if !job.keep_all {
            self.response_bytes -= job.buffer.acknowledge(call.from_index);
        }
        let previous = self.take_pending_read(key);
        if let Some(previous) = previous {
            self.reply_to_read(now, key, previous, true);
        }
        self.reply_to_read(now, key, read, false);
    }

    /// Replies to the pending reads whose deadline has passed.
    pub(super) fn expire_reads(&mut self, now: Moment) {
        while let Some((deadline, key)) = self.read_deadlines.first().copied() {
            if !deadline.is_due(now) {
                return;
            }
            match self.take_pending_read(key) {
                Some(read) => self.reply_to_read(now, key, read, true),
                None => {
                    self.read_deadlines.remove(&(deadline, key));
                }
            }
        }
    }

    /// Removes and returns the pending read of a ticket.
    pub(super) fn take_pending_read(&mut self, key: TicketKey) -> Option<PendingRead> {
        let read = self.jobs.get_mut(&key)?.pending_read.take()?;
        self.read_deadlines.remove(&(read.deadline, key));
        Some(read)
    }

    /// Replies to the pending read of a ticket, if there is an item or the end.
    pub(super) fn reply_to_pending_read(&mut self, now: Moment, key: TicketKey) {
        if let Some(read) = self.take_pending_read(key) {
            self.reply_to_read(now, key, read, false);
        }
    }

    /// Replies to a read with the items and the end that are available.
    ///
    /// Without any, the read becomes pending, unless `must_reply` is set.
    fn reply_to_read(&mut self, now: Moment, key: TicketKey, read: PendingRead, must_reply: bool) {
        let state = self.ledger.get(key).map(|entry| entry.state);
        let mut head = self.reply_head(now);
        let mut items = Vec::new();
        let mut crash = None;
        let mut end = match state {
            Some(TicketState::Ended(end)) => Some(WireStreamEnd::from(end)),
            _ => None,
        };
        if let Some(job) = self.jobs.get_mut(&key) {
            items = job.buffer.read(read.from_index);
            crash = job.crash;
            if read.from_index + (items.len() as u64) < job.buffer.next_index() {
                end = None;
            }
            if items.is_empty() && end.is_none() && !must_reply {
                self.read_deadlines.insert((read.deadline, key));
                job.pending_read = Some(read);
                return;
            }
            if end.is_some() && job.end_delivery == EndDelivery::Unsent {
                job.end_delivery = EndDelivery::Sent;
            }
        }
        if let Some(WireStreamEnd::EngineLost | WireStreamEnd::Uncertain) = end {
            // The engine may have restarted since; the entry reports this crash with a retry.
            head.epoch = crash.map_or(0, |crash| crash.epoch.0);
        }
        let verdict = ReadVerdict::Items { items, end };
        read.reply_to.send(ReadReply {
            head,
            from_index: read.from_index,
            verdict,
        });
    }
}

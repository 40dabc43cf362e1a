//! Reads of answers: at once, or once there is an item or the wait is over.

use std::time::Duration;

use crate::decide::ids::Ticket;
use crate::decide::ledger::{TicketKey, TicketState};
use crate::kernel::{Moment, ReplyTo};
use crate::wire::rpc::{ReadCall, ReadReply, ReadVerdict, WireStreamEnd};

use super::state::LedgerState;

/// Longest wait of a read for its first item.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// A read that waits for its first item.
#[derive(Debug)]
pub(super) struct PendingRead {
    from_index: u64,
    deadline: Moment,
    reply_to: ReplyTo<ReadReply>,
}

impl LedgerState {
    /// Answers a read, now or once there is an item or its wait is over.
    pub fn read(&mut self, now: Moment, call: ReadCall, reply_to: ReplyTo<ReadReply>) {
        let ticket = Ticket::from(call.ticket);
        let Some(key) = self.ledger.read(now, ticket) else {
            let verdict = ReadVerdict::UnknownTicket;
            reply_to.send(ReadReply {
                head: self.head(),
                from_index: call.from_index,
                verdict,
            });
            return;
        };
        let wait = Duration::from_micros(call.wait_us).min(MAX_READ_WAIT);
        let reader = PendingRead {
            from_index: call.from_index,
            deadline: now.after(wait),
            reply_to,
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            self.answer_read(key, reader, true);
            return;
        };
        if !job.keep_all {
            self.answer_bytes -= job.buffer.acknowledge(call.from_index);
        }
        let replaced = self.take_reader(key);
        if let Some(replaced) = replaced {
            self.answer_read(key, replaced, true);
        }
        self.answer_read(key, reader, false);
    }

    pub(super) fn expire_reads(&mut self, now: Moment) {
        while let Some((deadline, key)) = self.read_deadlines.first().copied() {
            if !deadline.is_due(now) {
                return;
            }
            match self.take_reader(key) {
                Some(reader) => self.answer_read(key, reader, true),
                None => {
                    self.read_deadlines.remove(&(deadline, key));
                }
            }
        }
    }

    pub(super) fn take_reader(&mut self, key: TicketKey) -> Option<PendingRead> {
        let reader = self.jobs.get_mut(&key)?.reader.take()?;
        self.read_deadlines.remove(&(reader.deadline, key));
        Some(reader)
    }

    pub(super) fn answer_pending(&mut self, key: TicketKey) {
        if let Some(reader) = self.take_reader(key) {
            self.answer_read(key, reader, false);
        }
    }

    /// Answers a read with what there is; without anything it waits, unless `now_or_never`.
    fn answer_read(&mut self, key: TicketKey, reader: PendingRead, now_or_never: bool) {
        let state = self.ledger.get(key).map(|entry| entry.state);
        let head = self.head();
        let mut items = Vec::new();
        let mut end = match state {
            Some(TicketState::Ended(end)) => Some(WireStreamEnd::from(end)),
            _ => None,
        };
        if let Some(job) = self.jobs.get_mut(&key) {
            items = job.buffer.read(reader.from_index);
            if reader.from_index + (items.len() as u64) < job.buffer.next_index() {
                end = None;
            }
            if items.is_empty() && end.is_none() && !now_or_never {
                self.read_deadlines.insert((reader.deadline, key));
                job.reader = Some(reader);
                return;
            }
            job.end_read |= end.is_some();
        }
        let verdict = ReadVerdict::Items { items, end };
        reader.reply_to.send(ReadReply {
            head,
            from_index: reader.from_index,
            verdict,
        });
    }
}

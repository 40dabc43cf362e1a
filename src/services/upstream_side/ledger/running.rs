//! Tickets from their start to their end: slots, the engine's reports, deadlines.

use std::time::Duration;

use crate::decide::ids::{EngineEpoch, Rank, Repeatability, Ticket};
use crate::decide::ledger::{ExpiryStep, StartStep, TicketKey};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::queue::QueueStep;
use crate::decide::suspects::{Fingerprint, SoloStep};
use crate::kernel::{Moment, NextStep, ReplyTo, Turn};
use crate::services::common::mail::{EngineMail, EngineStatus, Mail};
use crate::services::upstream_side::stream_buffer::PushOutcome;
use crate::services::upstream_side::suspect_feed::SUSPECT_FEED;
use crate::wire::rpc::{AttachReply, AttachVerdict, StreamItem};

use super::state::{LedgerState, new_job};

/// Interval in which a stopping ledger looks for answers that lost their readers.
const STOP_CHECK: Duration = Duration::from_millis(500);

impl LedgerState {
    /// Starts what may start, handles due deadlines, and says what to wait for.
    pub fn advance(&mut self, turn: &mut Turn<'_, Mail>) -> NextStep {
        let now = turn.now;
        self.expire_tickets(turn);
        self.expire_reads(now);
        let queue_deadline = self.start_queued(turn);
        self.tell_suspects(turn);
        if self.stopping && self.is_drained(now) {
            return NextStep::Stopped;
        }
        let reads = self
            .read_deadlines
            .first()
            .map_or(Moment::NEVER, |(deadline, _)| *deadline);
        let stop_check = if self.stopping {
            now.after(STOP_CHECK)
        } else {
            Moment::NEVER
        };
        wait_until(
            self.ledger
                .next_deadline()
                .min(reads)
                .min(queue_deadline)
                .min(stop_check),
        )
    }

    /// Looks a ticket up, here and then at the engine.
    pub fn attach(
        &mut self,
        turn: &mut Turn<'_, Mail>,
        ticket: Ticket,
        repeatability: Repeatability,
        reply_to: ReplyTo<AttachReply>,
    ) {
        if self.ledger.find(ticket).is_some() {
            let verdict = AttachVerdict::Attached;
            reply_to.send(AttachReply {
                head: self.head(),
                verdict,
            });
            return;
        }
        let key = self.ledger.adopt(turn.now, ticket, repeatability);
        let keep_all = repeatability == Repeatability::NonIdempotent;
        let mut job = new_job(ticket, None, keep_all);
        job.started = true;
        self.queue.adopt(ticket, Rank::Routine);
        self.jobs.insert(key, job);
        turn.send(
            "engine",
            Mail::Engine(EngineMail::Attach(key, ticket, repeatability, reply_to)),
        );
    }

    /// Takes in what the engine said about a ticket that was looked up.
    pub fn attached(
        &mut self,
        key: TicketKey,
        verdict: AttachVerdict,
        reply_to: ReplyTo<AttachReply>,
    ) {
        if verdict != AttachVerdict::Attached {
            self.ledger.discard(key);
            self.drop_job(key);
        }
        reply_to.send(AttachReply {
            head: self.head(),
            verdict,
        });
    }

    /// Takes in items that the engine has produced.
    pub fn items(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey, items: Vec<StreamItem>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.buffer.overflowed {
            return;
        }
        let before = job.buffer.bytes();
        for item in items {
            match &item {
                StreamItem::Head { headers, .. } => job.cached_pieces = cached_pieces(headers),
                StreamItem::Data(_) => {
                    job.parts += 1;
                    if job.parts == 1 {
                        self.queue
                            .record_first_output(job.ticket, job.cached_pieces);
                    }
                }
            }
            if job.buffer.push(item) == PushOutcome::Overflow {
                break;
            }
        }
        let overflowed = job.buffer.overflowed;
        self.answer_bytes += job.buffer.bytes() - before;
        if overflowed || !self.make_room() {
            self.overflow(turn, key);
        }
        self.answer_pending(key);
    }

    /// Forgets ended tickets until all answers fit; tells whether they do.
    fn make_room(&mut self) -> bool {
        while self.answer_bytes > self.settings.max_answer_bytes {
            let Some(key) = self.ledger.evict_oldest_ended() else {
                return false;
            };
            self.drop_job(key);
        }
        true
    }

    /// Cuts an answer that is too large to keep; what may not be repeated runs to its end unread.
    fn overflow(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.buffer.overflowed = true;
            if !job.keep_all {
                let mail = EngineMail::Cancel(key, job.ticket);
                turn.send("engine", Mail::Engine(mail));
            }
        }
        self.leave_slot(key);
        self.ledger.end(turn.now, key, StreamEnd::EngineLost);
    }

    /// Takes in the end of a ticket at the engine.
    pub fn ended(&mut self, now: Moment, key: TicketKey, end: StreamEnd) {
        if let Some(job) = self.jobs.get(&key) {
            self.guard.end(now, job.ticket, end);
        }
        self.awaits_engine |= matches!(end, StreamEnd::EngineLost | StreamEnd::Uncertain);
        self.ledger.end(now, key, end);
        self.leave_slot(key);
        self.answer_pending(key);
    }

    fn expire_tickets(&mut self, turn: &mut Turn<'_, Mail>) {
        while let Some(step) = self.ledger.expire(turn.now) {
            match step {
                ExpiryStep::NotStarted(key) => {
                    self.leave_queue(key);
                    self.answer_pending(key);
                }
                ExpiryStep::Cancel(key) => self.cancel(turn, key),
                ExpiryStep::Evicted(key) => self.drop_job(key),
            }
        }
    }

    fn tell_suspects(&mut self, turn: &mut Turn<'_, Mail>) {
        let news = std::mem::take(&mut self.guard.updates);
        if news.is_empty() {
            return;
        }
        if let Some(key) = turn.names.find(SUSPECT_FEED) {
            turn.outbox.push((key, Mail::SuspectFeed(news)));
        }
    }

    /// Says whether a ticket with a slot may be handed to the engine; one that has left the queue
    /// may, since its start then fails.
    fn solo_step(&self, now: Moment, ticket: Ticket) -> SoloStep {
        let key = self.queued.get(&ticket);
        let call = key.and_then(|key| self.jobs.get(key)?.call.as_ref());
        call.map_or(SoloStep::Start, |call| {
            self.guard.admit(now, Fingerprint(call.fingerprint))
        })
    }

    fn start_queued(&mut self, turn: &mut Turn<'_, Mail>) -> Moment {
        if self.awaits_engine {
            return Moment::NEVER;
        }
        loop {
            if let Some(ticket) = self.held {
                match self.solo_step(turn.now, ticket) {
                    SoloStep::Start => self.held = None,
                    SoloStep::WaitForIdle => return Moment::NEVER,
                    SoloStep::WaitUntil(deadline) => return deadline,
                }
                self.start(turn, ticket);
            }
            match self.queue.next(turn.now) {
                QueueStep::Wait => return Moment::NEVER,
                QueueStep::WaitUntil(deadline) => return deadline,
                QueueStep::Expired(item) => {
                    if let Some(key) = self.queued.remove(&item.ticket) {
                        let end = StreamEnd::NotRun(RefusalReason::StartDeadline);
                        self.ledger.end(turn.now, key, end);
                        self.answer_pending(key);
                    }
                }
                // It starts in the next round, if it may.
                QueueStep::Start(item) => self.held = Some(item.ticket),
            }
        }
    }

    fn start(&mut self, turn: &mut Turn<'_, Mail>, ticket: Ticket) {
        let Some(key) = self.queued.remove(&ticket) else {
            self.queue.record_end(ticket, 0);
            return;
        };
        if self.ledger.start(turn.now, key) != StartStep::Start {
            self.queue.record_end(ticket, 0);
            self.answer_pending(key);
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(call) = job.call.take() else { return };
        job.started = true;
        let epoch = match &self.engine {
            EngineStatus::Up { epoch, .. } => *epoch,
            EngineStatus::Down => EngineEpoch::default(),
        };
        let fingerprint = Fingerprint(call.fingerprint);
        self.guard.start(turn.now, ticket, fingerprint, epoch);
        turn.send("engine", Mail::Engine(EngineMail::Start(key, call)));
    }

    pub(super) fn cancel(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey) {
        self.leave_slot(key);
        if let Some(job) = self.jobs.get(&key) {
            let mail = EngineMail::Cancel(key, job.ticket);
            turn.send("engine", Mail::Engine(mail));
        }
        self.answer_pending(key);
    }

    pub(super) fn leave_queue(&mut self, key: TicketKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        self.queue.remove(job.ticket);
        self.queued.remove(&job.ticket);
    }

    fn leave_slot(&mut self, key: TicketKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if std::mem::take(&mut job.started) {
            self.guard.abandon(job.ticket);
            self.queue.record_end(job.ticket, job.parts);
        }
    }

    fn drop_job(&mut self, key: TicketKey) {
        drop(self.take_reader(key));
        self.leave_slot(key);
        if let Some(job) = self.jobs.remove(&key) {
            self.answer_bytes -= job.buffer.bytes();
        }
    }
}

fn cached_pieces(headers: &[(String, String)]) -> Option<u32> {
    let header = headers.iter().find(|(name, _)| name == "x-cached-pieces");
    header.and_then(|(_, value)| value.parse().ok())
}

/// Returns the step that waits for the earliest of the state's deadlines.
fn wait_until(deadline: Moment) -> NextStep {
    if deadline == Moment::NEVER {
        return NextStep::Wait;
    }
    NextStep::WaitUntil(deadline)
}

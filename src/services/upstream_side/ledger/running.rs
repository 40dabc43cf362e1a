//! Tickets from start to end: slots, messages from the engine, deadlines.

use std::time::Duration;

use crate::decide::ids::{EngineEpoch, Rank, Repeatability, Ticket};
use crate::decide::ledger::{ExpiryStep, StartStep, TicketKey};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::queue::QueueStep;
use crate::decide::segment_entry::SegmentKey;
use crate::decide::suspects::{Fingerprint, SoloStep};
use crate::events::{EventKind, SEGMENT_CLEARED, SEGMENT_REFUSED, log_event};
use crate::kernel::{Moment, NextStep, ReplyTo, Turn};
use crate::services::common::mail::{EngineMail, EngineStatus, Mail};
use crate::services::upstream_side::stream_buffer::PushOutcome;
use crate::services::upstream_side::suspect_feed::SUSPECT_FEED;
use crate::wire::rpc::{AttachReply, AttachVerdict, StreamItem};

use super::job::new_job;
use super::state::LedgerState;

/// Interval between checks of a stopping ledger for responses that are no longer read.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl LedgerState {
    /// Handles due deadlines, starts queued tickets, and returns what to wait for.
    pub fn advance(&mut self, turn: &mut Turn<'_, Mail>) -> NextStep {
        let now = turn.now;
        self.expire_tickets(turn);
        self.expire_reads(now);
        self.review_segments(now);
        let queue_deadline = self.start_queued(turn);
        self.broadcast_suspect_updates(turn);
        if self.stopping && self.is_drained(now) {
            return NextStep::Stopped;
        }
        let reads = self
            .read_deadlines
            .first()
            .map_or(Moment::NEVER, |(deadline, _)| *deadline);
        let stop_check = if self.stopping {
            now.after(STOP_CHECK_INTERVAL)
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

    /// Looks up a ticket in the ledger, then at the engine, and resumes its stream if found there.
    pub fn attach(
        &mut self,
        turn: &mut Turn<'_, Mail>,
        ticket: Ticket,
        repeatability: Repeatability,
        reply_to: ReplyTo<AttachReply>,
    ) {
        if self.ledger.renew(turn.now, ticket).is_some() {
            let verdict = AttachVerdict::Attached;
            reply_to.send(AttachReply {
                head: self.reply_head(turn.now),
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

    /// Handles the result of a lookup at the engine.
    pub fn on_lookup(
        &mut self,
        now: Moment,
        key: TicketKey,
        verdict: AttachVerdict,
        reply_to: ReplyTo<AttachReply>,
    ) {
        if verdict != AttachVerdict::Attached {
            self.ledger.discard(key);
            self.remove_job(now, key);
        }
        reply_to.send(AttachReply {
            head: self.reply_head(now),
            verdict,
        });
    }

    /// Buffers items that the engine has produced.
    pub fn on_items(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey, items: Vec<StreamItem>) {
        self.last_data_at = turn.now;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.buffer.overflowed {
            return;
        }
        let before = job.buffer.bytes();
        for item in items {
            match &item {
                StreamItem::Head { headers, .. } => {
                    job.cached_pieces = cached_pieces(headers);
                    if !std::mem::replace(&mut job.has_begun, true) {
                        self.notice.said.record_answer(turn.now, self.queue.slots);
                    }
                }
                StreamItem::Data(_) => {
                    job.output_items += 1;
                    if job.output_items == 1 {
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
        self.response_bytes += job.buffer.bytes() - before;
        if overflowed || !self.evict_to_fit(turn.now) {
            self.end_oversized(turn, key);
        }
        self.reply_to_pending_read(turn.now, key);
    }

    /// Evicts ended tickets until all buffered responses fit; returns `false` if they still do not.
    fn evict_to_fit(&mut self, now: Moment) -> bool {
        while self.response_bytes > self.settings.max_response_bytes {
            let Some(key) = self.ledger.evict_oldest_ended() else {
                return false;
            };
            self.remove_job(now, key);
        }
        true
    }

    /// Ends a ticket whose response is too large to buffer.
    ///
    /// At the engine, an idempotent ticket is cancelled; a non-idempotent one runs to its end.
    fn end_oversized(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.buffer.overflowed = true;
            if !job.keep_all {
                let mail = EngineMail::Cancel(key, job.ticket);
                turn.send("engine", Mail::Engine(mail));
            }
        }
        self.release_slot(turn.now, key);
        self.ledger.end(turn.now, key, StreamEnd::EngineLost);
    }

    /// Handles the end of a ticket at the engine.
    pub fn on_end(&mut self, now: Moment, key: TicketKey, end: StreamEnd) {
        let is_paused = !self.pause_left(now).is_zero();
        let end = match end {
            StreamEnd::NotRun(RefusalReason::Busy) if is_paused => {
                StreamEnd::NotRun(RefusalReason::Paused)
            }
            end => end,
        };
        if let Some(job) = self.jobs.get_mut(&key) {
            job.crash = self.guard.end(now, job.ticket, end);
        }
        self.awaits_engine_state |= matches!(end, StreamEnd::EngineLost | StreamEnd::Uncertain);
        self.ledger.end(now, key, end);
        self.release_slot(now, key);
        self.reply_to_pending_read(now, key);
    }

    /// Handles ticket deadlines that have passed.
    fn expire_tickets(&mut self, turn: &mut Turn<'_, Mail>) {
        while let Some(step) = self.ledger.expire(turn.now) {
            match step {
                ExpiryStep::NotStarted(key) => {
                    self.remove_from_queue(key);
                    self.reply_to_pending_read(turn.now, key);
                }
                ExpiryStep::Cancel(key) => self.cancel(turn, key),
                ExpiryStep::Evicted(key) => self.remove_job(turn.now, key),
            }
        }
    }

    /// Decides anew which prompt segments are refused, if there was news of them.
    fn review_segments(&mut self, now: Moment) {
        let review = self.guard.review(now);
        for segment in review.refused {
            self.log_segment(&SEGMENT_REFUSED, segment);
        }
        for segment in review.released {
            self.log_segment(&SEGMENT_CLEARED, segment);
        }
    }

    fn log_segment(&self, kind: &EventKind, segment: SegmentKey) {
        let crashes = self.guard.segments.crash_count(segment);
        log_event(
            kind,
            &[
                ("segment", &format_args!("{:016x}", segment.0)),
                ("crashes", &crashes),
            ],
        );
    }

    /// Sends new suspect updates to the I/O task `suspect-feed`.
    fn broadcast_suspect_updates(&mut self, turn: &mut Turn<'_, Mail>) {
        let updates = std::mem::take(&mut self.guard.updates);
        if updates.is_empty() {
            return;
        }
        if let Some(key) = turn.names.find(SUSPECT_FEED) {
            turn.outbox.push((key, Mail::SuspectFeed(updates)));
        }
    }

    /// Returns whether a ticket with a slot may start at the engine now.
    ///
    /// A ticket that is no longer queued may: `start` then releases its slot.
    fn solo_step(&self, now: Moment, ticket: Ticket) -> SoloStep {
        let key = self.queued.get(&ticket);
        let call = key.and_then(|key| self.jobs.get(key)?.call.as_ref());
        call.map_or(SoloStep::Start, |call| {
            self.guard.admit(now, Fingerprint(call.fingerprint))
        })
    }

    /// Starts queued tickets while there are slots; returns the next deadline of the queue.
    fn start_queued(&mut self, turn: &mut Turn<'_, Mail>) -> Moment {
        if self.awaits_engine_state {
            return Moment::NEVER;
        }
        loop {
            if let Some(moment) = self.start_after(turn.now) {
                return moment;
            }
            if let Some(ticket) = self.delayed_start {
                match self.solo_step(turn.now, ticket) {
                    SoloStep::Start => self.delayed_start = None,
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
                        self.reply_to_pending_read(turn.now, key);
                    }
                }
                // The next iteration starts it, unless the start is delayed.
                QueueStep::Start(item) => self.delayed_start = Some(item.ticket),
            }
        }
    }

    /// Returns whether a queued ticket may not start, because requests like it crash engines.
    fn is_poisonous(&self, now: Moment, key: TicketKey) -> bool {
        let call = self.jobs.get(&key).and_then(|job| job.call.as_ref());
        call.is_some_and(|call| {
            let fingerprint = Fingerprint(call.fingerprint);
            self.guard.is_poisonous(now, fingerprint, &call.keys())
        })
    }

    /// Starts a ticket at the engine, or releases its slot if it has ended meanwhile.
    fn start(&mut self, turn: &mut Turn<'_, Mail>, ticket: Ticket) {
        let Some(key) = self.queued.remove(&ticket) else {
            self.queue.record_end(ticket, 0);
            return;
        };
        if self.is_poisonous(turn.now, key) {
            let end = StreamEnd::NotRun(RefusalReason::Poisonous);
            self.ledger.end(turn.now, key, end);
            self.queue.record_end(ticket, 0);
            self.reply_to_pending_read(turn.now, key);
            return;
        }
        if self.ledger.start(turn.now, key) != StartStep::Start {
            self.queue.record_end(ticket, 0);
            self.reply_to_pending_read(turn.now, key);
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
        self.guard
            .start(turn.now, ticket, fingerprint, &call.keys(), epoch);
        self.notice.said.record_sent(turn.now);
        turn.send("engine", Mail::Engine(EngineMail::Start(key, call)));
    }

    /// Cancels a running ticket at the engine.
    pub(super) fn cancel(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey) {
        self.release_slot(turn.now, key);
        if let Some(job) = self.jobs.get(&key) {
            let mail = EngineMail::Cancel(key, job.ticket);
            turn.send("engine", Mail::Engine(mail));
        }
        self.reply_to_pending_read(turn.now, key);
    }

    /// Removes a ticket that has not started from the queue.
    pub(super) fn remove_from_queue(&mut self, key: TicketKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        self.queue.remove(job.ticket);
        self.queued.remove(&job.ticket);
    }

    /// Releases the slot of a ticket, if it holds one.
    fn release_slot(&mut self, now: Moment, key: TicketKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if std::mem::take(&mut job.started) {
            self.guard.abandon(job.ticket);
            self.queue.record_end(job.ticket, job.output_items);
            if !job.has_begun {
                self.notice.said.record_failure(now, self.queue.slots);
            }
        }
    }

    /// Removes a ticket with its slot, its pending read and its buffered response.
    fn remove_job(&mut self, now: Moment, key: TicketKey) {
        drop(self.take_pending_read(key));
        self.release_slot(now, key);
        if let Some(job) = self.jobs.remove(&key) {
            self.response_bytes -= job.buffer.bytes();
        }
    }
}

/// Returns how many prompt pieces the engine had in its KV cache, from the response headers.
fn cached_pieces(headers: &[(String, String)]) -> Option<u32> {
    let header = headers.iter().find(|(name, _)| name == "x-cached-pieces");
    header.and_then(|(_, value)| value.parse().ok())
}

/// Returns the step that waits until the deadline, or for a message only if there is none.
fn wait_until(deadline: Moment) -> NextStep {
    if deadline == Moment::NEVER {
        return NextStep::Wait;
    }
    NextStep::WaitUntil(deadline)
}

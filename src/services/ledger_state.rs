//! State of the service `ledger` and what each message does to it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::ledger::wait_until;
use super::mail::{EngineMail, EngineState, Mail, OrderReport};
use super::stream_buffer::{PushOutcome, StreamBuffer};
use super::suspect_feed::SUSPECT_FEED;
use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::decide::config::{Configuration, Upstream};
use crate::decide::ids::{EngineEpoch, Incarnation, Rank, Repeatability, Ticket};
use crate::decide::ledger::{
    ExpiryStep, LedgerBounds, StartStep, SubmitStep, TicketKey, TicketLedger, TicketState,
    WithdrawStep,
};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::queue::{CustomerShare, OfferOutcome, QueueDiscipline, QueuePolicy, QueueStep};
use crate::decide::suspect_guard::{SuspectGuard, SuspectNews};
use crate::decide::suspects::{Fingerprint, SoloStep, SuspectPolicy, SuspectVerdict};
use crate::decide::upstream_queue::{UpstreamQueue, WorkRequest};
use crate::kernel::{Moment, NextStep, ReplyTo, Turn};
use crate::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    StreamItem, SubmitCall, SubmitReply, SubmitVerdict, WireEnd, WithdrawReply, WithdrawVerdict,
};

/// Longest wait of a read for its first item.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// Interval in which a stopping ledger looks for answers that lost their readers.
const STOP_CHECK: Duration = Duration::from_millis(500);

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    /// This life of the sidecar.
    pub incarnation: Incarnation,
    /// Name of the upstream that the sidecar stands before.
    pub upstream: String,
    /// Bounds of the ledger.
    pub bounds: LedgerBounds,
    /// Bounds and shares of the queue.
    pub queue: QueuePolicy,
    /// Started requests with pieces to compute that the upstream gets ahead.
    pub starting_limit: u32,
}

/// A read that waits for its first item.
#[derive(Debug)]
struct PendingRead {
    from_index: u64,
    deadline: Moment,
    reply_to: ReplyTo<ReadReply>,
}

/// One accepted request.
#[derive(Debug)]
struct TicketJob {
    ticket: Ticket,
    call: Option<Arc<SubmitCall>>,
    buffer: StreamBuffer,
    reader: Option<PendingRead>,
    started: bool,
    cached_pieces: Option<u32>,
    parts: u32,
    end_read: bool,
    keep_all: bool,
}

/// State of the service.
#[derive(Debug)]
pub struct LedgerState {
    /// The engine as it was last read.
    pub engine: EngineState,
    settings: LedgerSettings,
    configuration: Option<Arc<Configuration>>,
    upstream: Option<Upstream>,
    ledger: TicketLedger,
    queue: UpstreamQueue,
    queued: HashMap<Ticket, TicketKey>,
    jobs: HashMap<TicketKey, TicketJob>,
    read_deadlines: BTreeSet<(Moment, TicketKey)>,
    leaving: bool,
    stopping: bool,
    closed_until: Moment,
    guard: SuspectGuard,
    /// A ticket that has a slot but waits until it may run alone.
    held: Option<Ticket>,
    /// An answer was lost; nothing starts before the engine has been read again.
    awaits_engine: bool,
}

impl LedgerState {
    /// Creates the state of a sidecar that has just started.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            engine: EngineState::Down,
            configuration: None,
            upstream: None,
            ledger: TicketLedger::new(settings.bounds),
            queue: UpstreamQueue::new(settings.queue, settings.starting_limit),
            queued: HashMap::new(),
            jobs: HashMap::new(),
            read_deadlines: BTreeSet::new(),
            leaving: false,
            stopping: false,
            closed_until: Moment::START,
            guard: SuspectGuard::new(settings.incarnation, SuspectPolicy::default()),
            held: None,
            awaits_engine: false,
            settings,
        }
    }

    /// Puts a configuration in force; an older one is ignored.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        let known = self.configuration.as_ref().map(|known| known.next_offset);
        if known.is_some_and(|offset| configuration.next_offset < offset) {
            return;
        }
        let name = &self.settings.upstream;
        let upstream = configuration
            .upstreams
            .iter()
            .find(|(_, upstream)| upstream.name == *name);
        self.upstream = upstream.map(|(_, upstream)| upstream.clone());
        self.queue.slots = self.upstream.as_ref().map_or(0, |upstream| upstream.slots);
        let floor = |rank| configuration.rank_policy(rank).floor_percent;
        self.queue.set_floors(Rank::ALL.map(floor));
        self.configuration = Some(configuration);
    }

    /// Answers what a request would cost.
    pub fn quote(&mut self, now: Moment, call: &QuoteCall) -> QuoteReply {
        let keys = call.keys();
        let request = WorkRequest {
            customer: &call.customer,
            share: self.share(&call.customer),
            rank: Rank::try_from(call.rank).unwrap_or(Rank::Routine),
            keys: &keys,
            output_tokens: 0,
        };
        let quote = self.queue.quote(now, &request);
        QuoteReply {
            head: self.head(),
            open: self.refusal(now, &call.version).is_none(),
            wait_us: u32::try_from(quote.wait_us).unwrap_or(u32::MAX),
            missing_pieces: quote.missing_pieces,
            piece_us: u32::try_from(quote.piece_us).unwrap_or(u32::MAX),
        }
    }

    /// Applies a batch of the engine's cache events and says what to fetch next.
    pub fn cache_events(&mut self, page: &CachePage) -> IndexStep {
        let index = &mut self.queue.estimate.index;
        index.apply(page)
    }

    /// Replaces what is known of the engine's cache and says what to fetch next.
    pub fn cache_keys(&mut self, list: &CacheList) -> IndexStep {
        let index = &mut self.queue.estimate.index;
        index.resync(list)
    }

    /// Takes in the state of the engine; another epoch empties what is known of its cache.
    pub fn observe(&mut self, engine: EngineState) {
        if let EngineState::Up { epoch, .. } = &engine {
            self.queue.estimate.index.observe_epoch(*epoch);
            self.awaits_engine = false;
        }
        self.engine = engine;
    }

    /// Takes in a submission.
    pub fn submit(&mut self, now: Moment, call: SubmitCall) -> SubmitReply {
        let verdict = match self.admit(now, call) {
            Ok(()) => SubmitVerdict::Accepted,
            Err(reason) => SubmitVerdict::NotRun {
                reason: reason.into(),
                retry_after_ms: 0,
            },
        };
        SubmitReply {
            head: self.head(),
            verdict,
        }
    }

    fn admit(&mut self, now: Moment, mut call: SubmitCall) -> Result<(), RefusalReason> {
        if call.incarnation != self.settings.incarnation.0 {
            return Err(RefusalReason::WrongIncarnation);
        }
        let ticket = Ticket::from(call.ticket);
        let rank = Rank::try_from(call.rank).unwrap_or(Rank::Routine);
        let start_by = now.after(Duration::from_micros(call.start_budget_us));
        let repeatability = call.repeatability();
        let key = match self.ledger.submit(now, ticket, repeatability, start_by) {
            SubmitStep::Known(_) => return Ok(()),
            SubmitStep::Refused(reason) => return Err(reason),
            SubmitStep::Queued(key) => key,
        };
        if let Some(reason) = self.refusal(now, &call.version) {
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        let fingerprint = Fingerprint(call.fingerprint);
        if self.guard.table.verdict(now, fingerprint) == SuspectVerdict::Poisonous {
            let reason = RefusalReason::Poisonous;
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        let keys = call.keys();
        let request = WorkRequest {
            customer: &call.customer,
            share: self.share(&call.customer),
            rank,
            keys: &keys,
            output_tokens: call.output_tokens,
        };
        let limit_us = call.wait_limit_us;
        let outcome = self.queue.offer(now, ticket, &request, start_by, limit_us);
        if let OfferOutcome::Refused(reason) = outcome {
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        if self.settings.queue.discipline == QueueDiscipline::Fifo {
            // The baseline knows no ranks, so the engine is not told of them either.
            call.rank = Rank::Routine.into();
        }
        self.queued.insert(ticket, key);
        let keep_all = repeatability == Repeatability::NonIdempotent;
        self.jobs
            .insert(key, new_job(ticket, Some(Arc::new(call)), keep_all));
        Ok(())
    }

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
            job.buffer.acknowledge(call.from_index);
        }
        let replaced = self.take_reader(key);
        if let Some(replaced) = replaced {
            self.answer_read(key, replaced, true);
        }
        self.answer_read(key, reader, false);
    }

    /// Withdraws a ticket.
    pub fn withdraw(
        &mut self,
        turn: &mut Turn<'_, Mail>,
        ticket: Ticket,
        incarnation: Incarnation,
    ) -> WithdrawReply {
        if incarnation != self.settings.incarnation {
            // An earlier life may have started the ticket, so a tombstone here proves nothing.
            let verdict = WithdrawVerdict::WrongIncarnation;
            return WithdrawReply {
                head: self.head(),
                verdict,
            };
        }
        let verdict = match self.ledger.withdraw(turn.now, ticket) {
            WithdrawStep::NotRun(queued) => {
                if let Some(key) = queued {
                    self.leave_queue(key);
                }
                WithdrawVerdict::NotRun
            }
            WithdrawStep::Cancel(key) => {
                self.cancel(turn, key);
                // Whoever withdraws reads no end.
                self.jobs.entry(key).and_modify(|job| job.end_read = true);
                WithdrawVerdict::Cancelled
            }
            WithdrawStep::Running(_) => WithdrawVerdict::Running,
            WithdrawStep::Done(_) => WithdrawVerdict::Done,
            WithdrawStep::Forgotten => WithdrawVerdict::Forgotten,
        };
        WithdrawReply {
            head: self.head(),
            verdict,
        }
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
            self.ledger.release(key);
            self.drop_job(key);
        }
        reply_to.send(AttachReply {
            head: self.head(),
            verdict,
        });
    }

    /// Takes in items that the engine has produced.
    pub fn items(&mut self, now: Moment, key: TicketKey, items: Vec<StreamItem>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        for item in items {
            match &item {
                StreamItem::Head { headers, .. } => job.cached_pieces = cached_pieces(headers),
                StreamItem::Data(_) => {
                    job.parts += 1;
                    if job.parts == 1 {
                        self.queue.producing(job.ticket, job.cached_pieces);
                    }
                }
            }
            if job.buffer.push(item) == PushOutcome::Overflow {
                self.guard.abandon(job.ticket);
                self.ended(now, key, StreamEnd::EngineLost);
                return;
            }
        }
        self.answer_pending(key);
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

    /// Refuses new work from now on, hands back what is queued, and ends once all is read.
    pub fn begin_stop(&mut self, now: Moment) {
        self.stopping = true;
        self.begin_leaving(now);
    }

    /// Refuses new work from now on and hands back what is queued.
    pub fn begin_leaving(&mut self, now: Moment) {
        self.leaving = true;
        for ticket in self.queue.drain() {
            if let Some(key) = self.queued.remove(&ticket) {
                self.ledger
                    .end(now, key, StreamEnd::NotRun(RefusalReason::Leaving));
                self.answer_pending(key);
            }
        }
    }

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

    fn expire_tickets(&mut self, turn: &mut Turn<'_, Mail>) {
        while let Some(step) = self.ledger.expire(turn.now) {
            match step {
                ExpiryStep::NotStarted(key) => {
                    self.leave_queue(key);
                    self.answer_pending(key);
                }
                ExpiryStep::Cancel(key) => self.cancel(turn, key),
                ExpiryStep::Forgotten(key) => self.drop_job(key),
            }
        }
    }

    fn expire_reads(&mut self, now: Moment) {
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

    /// Takes in news about suspects from another sidecar.
    pub fn hear_suspects(&mut self, now: Moment, news: &[SuspectNews]) {
        for news in news {
            self.guard.hear(now, news);
        }
    }

    fn tell_suspects(&mut self, turn: &mut Turn<'_, Mail>) {
        let news = std::mem::take(&mut self.guard.news);
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
            self.queue.finished(ticket, 0);
            return;
        };
        if self.ledger.start(turn.now, key) != StartStep::Start {
            self.queue.finished(ticket, 0);
            self.answer_pending(key);
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(call) = job.call.take() else { return };
        job.started = true;
        let epoch = match &self.engine {
            EngineState::Up { epoch, .. } => *epoch,
            EngineState::Down => EngineEpoch::default(),
        };
        let fingerprint = Fingerprint(call.fingerprint);
        self.guard.start(turn.now, ticket, fingerprint, epoch);
        turn.send("engine", Mail::Engine(EngineMail::Start(key, call)));
    }

    fn cancel(&mut self, turn: &mut Turn<'_, Mail>, key: TicketKey) {
        self.leave_slot(key);
        if let Some(job) = self.jobs.get(&key) {
            let mail = EngineMail::Cancel(key, job.ticket);
            turn.send("engine", Mail::Engine(mail));
        }
        self.answer_pending(key);
    }

    fn leave_queue(&mut self, key: TicketKey) {
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
            self.queue.finished(job.ticket, job.parts);
        }
    }

    fn drop_job(&mut self, key: TicketKey) {
        drop(self.take_reader(key));
        self.leave_slot(key);
        self.jobs.remove(&key);
    }

    fn take_reader(&mut self, key: TicketKey) -> Option<PendingRead> {
        let reader = self.jobs.get_mut(&key)?.reader.take()?;
        self.read_deadlines.remove(&(reader.deadline, key));
        Some(reader)
    }

    fn answer_pending(&mut self, key: TicketKey) {
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
            Some(TicketState::Ended(end)) => Some(WireEnd::from(end)),
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

    /// Refuses new work until the moment, and tells what is left.
    pub fn order_report(&mut self, closed_until: Moment) -> OrderReport {
        self.closed_until = closed_until;
        let running = self.jobs.values().filter(|job| job.started).count();
        OrderReport {
            engine: self.engine.clone(),
            unfinished: self.queue.waiting() + running,
        }
    }

    fn refusal(&self, now: Moment, version: &str) -> Option<RefusalReason> {
        let Some(upstream) = &self.upstream else {
            return Some(RefusalReason::NoConfiguration);
        };
        if self.leaving || upstream.retired {
            return Some(RefusalReason::Leaving);
        }
        if !self.closed_until.is_due(now) {
            // Other weights are about to be loaded.
            return Some(RefusalReason::WrongVersion);
        }
        match &self.engine {
            EngineState::Down => Some(RefusalReason::EngineDown),
            EngineState::Up {
                version: served, ..
            } => (served != version).then_some(RefusalReason::WrongVersion),
        }
    }

    fn share(&self, customer: &str) -> CustomerShare {
        let declared = self
            .configuration
            .as_ref()
            .and_then(|c| c.customer(customer));
        declared.map_or(
            CustomerShare {
                weight: 1,
                max_in_flight: 1,
            },
            |(_, declared)| CustomerShare {
                weight: declared.weight,
                max_in_flight: declared.max_in_flight,
            },
        )
    }

    /// Tells whether nothing runs and every end has been read or has no reader any more.
    fn is_drained(&self, now: Moment) -> bool {
        self.jobs.iter().all(|(key, job)| {
            let entry = self.ledger.get(*key);
            let is_orphaned = entry.is_none_or(|entry| entry.orphan_at.is_due(now));
            !job.started && (job.end_read || is_orphaned)
        })
    }

    fn head(&self) -> ReplyHead {
        let epoch = match &self.engine {
            EngineState::Up { epoch, .. } => epoch.0,
            EngineState::Down => 0,
        };
        let offset = self.configuration.as_ref().map_or(0, |c| c.next_offset.0);
        ReplyHead {
            incarnation: self.settings.incarnation.0,
            epoch,
            next_offset: offset,
            wait_us: 0,
        }
    }

    /// Returns the state as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let running = self.queue.running();
        let served_us = self.queue.served_us();
        serde_json::json!({
            "incarnation": format!("{:016x}", self.settings.incarnation.0),
            "upstream": self.settings.upstream,
            "engine": format!("{:?}", self.engine),
            "next_offset": self.head().next_offset,
            "tickets": self.ledger.len(),
            "queued": self.queue.waiting(),
            "served_us": {"urgent": served_us[0], "routine": served_us[1]},
            "cached_pieces": self.queue.estimate.index.len(),
            "running": {"urgent": running[0], "routine": running[1]},
            "answer_bytes": self.jobs.values().map(|job| job.buffer.bytes()).sum::<usize>(),
            "leaving": self.leaving,
            "suspects": self.guard.table.len(),
        })
    }
}

fn new_job(ticket: Ticket, call: Option<Arc<SubmitCall>>, keep_all: bool) -> TicketJob {
    TicketJob {
        ticket,
        call,
        buffer: StreamBuffer::default(),
        reader: None,
        started: false,
        cached_pieces: None,
        parts: 0,
        end_read: false,
        keep_all,
    }
}

fn cached_pieces(headers: &[(String, String)]) -> Option<u32> {
    let header = headers.iter().find(|(name, _)| name == "x-cached-pieces");
    header.and_then(|(_, value)| value.parse().ok())
}

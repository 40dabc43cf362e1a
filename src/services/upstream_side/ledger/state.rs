//! State of the service and the calls that it answers at once.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::reads::PendingRead;
use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::decide::config::{Configuration, Upstream};
use crate::decide::ids::{Incarnation, Rank, Repeatability, Ticket};
use crate::decide::ledger::{LedgerBounds, SubmitStep, TicketKey, TicketLedger, WithdrawStep};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::queue::{CustomerShare, OfferOutcome, QueueDiscipline, QueuePolicy};
use crate::decide::suspect_guard::{SuspectGuard, SuspectUpdate};
use crate::decide::suspects::{Fingerprint, SuspectPolicy, SuspectVerdict};
use crate::decide::upstream_queue::{UpstreamQueue, WorkRequest};
use crate::kernel::{Moment, Turn};
use crate::services::common::mail::{EngineStatus, Mail, OrderReport};
use crate::services::upstream_side::stream_buffer::StreamBuffer;
use crate::wire::rpc::{
    QuoteCall, QuoteReply, ReplyHead, SubmitCall, SubmitReply, SubmitVerdict, WithdrawReply,
    WithdrawVerdict,
};

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
    /// Bytes of all answers that are kept; beyond them ended tickets are forgotten first.
    pub max_answer_bytes: usize,
    /// Started requests with pieces to compute that the upstream gets ahead.
    pub max_prefills: u32,
}

/// One accepted request.
#[derive(Debug)]
pub(super) struct TicketJob {
    pub(super) ticket: Ticket,
    pub(super) call: Option<Arc<SubmitCall>>,
    pub(super) buffer: StreamBuffer,
    pub(super) reader: Option<PendingRead>,
    pub(super) started: bool,
    pub(super) cached_pieces: Option<u32>,
    pub(super) parts: u32,
    pub(super) end_read: bool,
    pub(super) keep_all: bool,
}

/// State of the service.
#[derive(Debug)]
pub struct LedgerState {
    /// The engine as it was last read.
    pub engine: EngineStatus,
    pub(super) settings: LedgerSettings,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) upstream: Option<Upstream>,
    pub(super) ledger: TicketLedger,
    pub(super) queue: UpstreamQueue,
    pub(super) queued: HashMap<Ticket, TicketKey>,
    pub(super) jobs: HashMap<TicketKey, TicketJob>,
    pub(super) read_deadlines: BTreeSet<(Moment, TicketKey)>,
    /// Bytes of all answers.
    pub(super) answer_bytes: usize,
    pub(super) leaving: bool,
    pub(super) stopping: bool,
    pub(super) closed_until: Moment,
    pub(super) guard: SuspectGuard,
    /// A ticket that has a slot but waits until it may run alone.
    pub(super) held: Option<Ticket>,
    /// An answer was lost; nothing starts before the engine has been read again.
    pub(super) awaits_engine: bool,
}

impl LedgerState {
    /// Creates the state of a sidecar that has just started.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            engine: EngineStatus::Down,
            configuration: None,
            upstream: None,
            ledger: TicketLedger::new(settings.bounds),
            queue: UpstreamQueue::new(settings.queue, settings.max_prefills),
            queued: HashMap::new(),
            jobs: HashMap::new(),
            read_deadlines: BTreeSet::new(),
            answer_bytes: 0,
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
    pub fn observe(&mut self, engine: EngineStatus) {
        if let EngineStatus::Up { epoch, .. } = &engine {
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

    /// Refuses new work until the moment, and tells what is left.
    pub fn order_report(&mut self, closed_until: Moment) -> OrderReport {
        self.closed_until = closed_until;
        let running = self.jobs.values().filter(|job| job.started).count();
        OrderReport {
            engine: self.engine.clone(),
            unfinished: self.queue.waiting() + running,
        }
    }

    /// Takes in news about suspects from another sidecar.
    pub fn hear_suspects(&mut self, now: Moment, news: &[SuspectUpdate]) {
        for news in news {
            self.guard.apply(now, news);
        }
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
            EngineStatus::Down => Some(RefusalReason::EngineDown),
            EngineStatus::Up {
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
    pub(super) fn is_drained(&self, now: Moment) -> bool {
        self.jobs.iter().all(|(key, job)| {
            let entry = self.ledger.get(*key);
            let is_orphaned = entry.is_none_or(|entry| entry.orphan_at.is_due(now));
            !job.started && (job.end_read || is_orphaned)
        })
    }

    pub(super) fn head(&self) -> ReplyHead {
        let epoch = match &self.engine {
            EngineStatus::Up { epoch, .. } => epoch.0,
            EngineStatus::Down => 0,
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
            "answer_bytes": self.answer_bytes,
            "leaving": self.leaving,
            "suspects": self.guard.table.len(),
        })
    }
}

pub(super) fn new_job(ticket: Ticket, call: Option<Arc<SubmitCall>>, keep_all: bool) -> TicketJob {
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

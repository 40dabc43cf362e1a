//! State of the service `ledger` and the calls that it replies to at once.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::engine_notice::EngineNotice;
use super::job::{EndDelivery, TicketJob};
use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::decide::config::{Configuration, Upstream, UpstreamKind};
use crate::decide::ids::{Incarnation, Rank, Ticket};
use crate::decide::ledger::{LedgerBounds, TicketKey, TicketLedger, WithdrawStep};
use crate::decide::outcome::RefusalReason;
use crate::decide::queue::{CustomerShare, QueuePolicy};
use crate::decide::suspect_guard::{SuspectGuard, SuspectUpdate};
use crate::decide::suspects::SuspectPolicy;
use crate::decide::upstream_queue::{UpstreamQueue, WorkRequest};
use crate::kernel::{Moment, Turn, whole_ms, whole_us};
use crate::services::common::mail::{EngineStatus, Mail, OrderReport};
use crate::wire::rpc::{
    QuoteCall, QuoteReply, ReplyHead, WirePosition, WithdrawReply, WithdrawVerdict,
};

/// Settings of the service `ledger`.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Declared name of the upstream of the sidecar.
    pub upstream: String,
    /// Limits of the ticket ledger.
    pub bounds: LedgerBounds,
    /// Limits and shares of the queue.
    pub queue: QueuePolicy,
    /// Maximum size in bytes of all buffered responses; at the limit, ended tickets are evicted.
    pub max_response_bytes: usize,
    /// Maximum number of started requests that the upstream still has in prefill.
    pub max_prefills: u32,
}

/// State of the service `ledger`.
#[derive(Debug)]
pub struct LedgerState {
    /// Latest state of the engine.
    pub engine: EngineStatus,
    /// Time of the latest response data from the engine.
    pub(super) last_data_at: Moment,
    pub(super) settings: LedgerSettings,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) upstream: Option<Upstream>,
    pub(super) ledger: TicketLedger,
    pub(super) queue: UpstreamQueue,
    pub(super) queued: HashMap<Ticket, TicketKey>,
    pub(super) jobs: HashMap<TicketKey, TicketJob>,
    pub(super) read_deadlines: BTreeSet<(Moment, TicketKey)>,
    /// Size in bytes of all buffered responses.
    pub(super) response_bytes: usize,
    pub(super) leaving: bool,
    pub(super) stopping: bool,
    /// Moment until which new requests are refused, because a load of weights is due.
    pub(super) closed_until: Moment,
    pub(super) guard: SuspectGuard,
    /// What the upstream has said of itself in its responses.
    pub(super) notice: EngineNotice,
    /// A ticket that has a slot, but whose start is delayed so that a suspect runs alone.
    pub(super) delayed_start: Option<Ticket>,
    /// A response was lost; nothing starts before the next state of the engine.
    pub(super) awaits_engine_state: bool,
}

impl LedgerState {
    /// Creates the state of a sidecar that has just started.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            engine: EngineStatus::Down,
            last_data_at: Moment::START,
            configuration: None,
            upstream: None,
            ledger: TicketLedger::new(settings.bounds),
            queue: UpstreamQueue::new(settings.queue, settings.max_prefills),
            queued: HashMap::new(),
            jobs: HashMap::new(),
            read_deadlines: BTreeSet::new(),
            response_bytes: 0,
            leaving: false,
            stopping: false,
            closed_until: Moment::START,
            guard: SuspectGuard::new(settings.incarnation, SuspectPolicy::default()),
            notice: EngineNotice::default(),
            delayed_start: None,
            awaits_engine_state: false,
            settings,
        }
    }

    /// Applies a configuration; one that is older than the current one is ignored.
    pub fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
        let latest = self.configuration.as_ref().map(|latest| latest.next());
        if latest.is_some_and(|next| configuration.next() < next) {
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
        let own = self.upstream.as_ref();
        self.guard.trial_rank = own.map_or(0, |own| configuration.position_in_model(own));
        self.configuration = Some(configuration);
    }

    /// Returns the expected wait and cost of a request, and whether it would be accepted.
    pub fn quote(&mut self, now: Moment, call: &QuoteCall) -> QuoteReply {
        let keys = call.keys();
        let request = WorkRequest {
            customer: &call.customer,
            share: self.customer_share(&call.customer),
            rank: Rank::try_from(call.rank).unwrap_or(Rank::Routine),
            keys: &keys,
            output_tokens: 0,
        };
        let quote = self.queue.quote(now, &request);
        let pause_us = whole_us(self.pause_left(now));
        QuoteReply {
            head: self.reply_head(now),
            open: self.refusal_reason(now, &call.version).is_none(),
            wait_us: u32::try_from(quote.wait_us.saturating_add(pause_us)).unwrap_or(u32::MAX),
            missing_pieces: quote.missing_pieces,
            piece_us: u32::try_from(quote.piece_us).unwrap_or(u32::MAX),
        }
    }

    /// Applies a page of KV cache events and returns what to fetch next.
    pub fn on_cache_events(&mut self, page: &CachePage) -> IndexStep {
        let index = &mut self.queue.estimate.index;
        index.apply(page)
    }

    /// Replaces the index of the KV cache and returns what to fetch next.
    pub fn on_cache_keys(&mut self, list: &CacheList) -> IndexStep {
        let index = &mut self.queue.estimate.index;
        index.resync(list)
    }

    /// Records the state of the engine; a new epoch clears the index of its KV cache.
    pub fn on_engine_state(&mut self, engine: EngineStatus) {
        if let EngineStatus::Up { epoch, .. } = &engine {
            self.queue.estimate.index.observe_epoch(*epoch);
            self.awaits_engine_state = false;
        }
        self.forget_notice(&engine);
        self.engine = engine;
    }

    /// Records that the engine has not replied to a poll and returns its status.
    ///
    /// A busy engine may reply late; while its responses go on, it counts as up.
    pub fn on_engine_silent(&mut self, polled_at: Moment) -> EngineStatus {
        if self.last_data_at < polled_at {
            self.engine = EngineStatus::Down;
        }
        self.engine.clone()
    }

    /// Withdraws a ticket: takes it from the queue, or cancels it if it runs and is idempotent.
    pub fn withdraw(
        &mut self,
        turn: &mut Turn<'_, Mail>,
        ticket: Ticket,
        incarnation: Incarnation,
    ) -> WithdrawReply {
        if incarnation != self.settings.incarnation {
            // An earlier run may have started the ticket, so a tombstone here would prove nothing.
            let verdict = WithdrawVerdict::WrongIncarnation;
            return WithdrawReply {
                head: self.reply_head(turn.now),
                verdict,
            };
        }
        let verdict = match self.ledger.withdraw(turn.now, ticket) {
            WithdrawStep::NotRun(queued) => {
                if let Some(key) = queued {
                    self.remove_from_queue(key);
                }
                WithdrawVerdict::NotRun
            }
            WithdrawStep::Cancel(key) => {
                self.cancel(turn, key);
                // A caller that withdraws a ticket does not read its end.
                self.jobs
                    .entry(key)
                    .and_modify(|job| job.end_delivery = EndDelivery::Acknowledged);
                WithdrawVerdict::Cancelled
            }
            WithdrawStep::Running(_) => WithdrawVerdict::Running,
            WithdrawStep::Done(_) => WithdrawVerdict::Done,
            WithdrawStep::Forgotten => WithdrawVerdict::Forgotten,
        };
        WithdrawReply {
            head: self.reply_head(turn.now),
            verdict,
        }
    }

    /// Refuses new requests until `closed_until` and returns the number of unfinished ones.
    pub fn order_report(&mut self, now: Moment, closed_until: Moment) -> OrderReport {
        self.closed_until = closed_until;
        let running = self.jobs.values().filter(|job| job.started).count();
        OrderReport {
            engine: self.engine.clone(),
            unfinished: self.queue.waiting() + running,
            wants_orders: !self.has_said_leaving() && self.pause_end(now).is_none(),
        }
    }

    /// Applies suspect updates from another sidecar.
    pub fn apply_suspect_updates(&mut self, now: Moment, updates: &[SuspectUpdate]) {
        self.guard.apply(now, updates);
    }

    /// Begins a planned stop: like `begin_leaving`, and stops once all responses have been received.
    pub fn begin_stop(&mut self, now: Moment) {
        self.stopping = true;
        self.begin_leaving(now);
    }

    /// Refuses new requests and ends the queued ones as not run, for resubmission elsewhere.
    pub fn begin_leaving(&mut self, now: Moment) {
        self.leaving = true;
        self.end_queued(now, RefusalReason::Leaving);
    }

    /// Returns why requests for the declared version are refused at present, if they are.
    #[must_use]
    pub fn unready_reason(&self, now: Moment) -> Option<RefusalReason> {
        let kind = self.upstream.as_ref().map(|upstream| &upstream.kind);
        let version = match kind {
            Some(UpstreamKind::Engine { version, .. }) => version,
            Some(UpstreamKind::Plain { .. }) | None => "",
        };
        let is_paused = !self.pause_left(now).is_zero();
        let reason = self.refusal_reason(now, version);
        reason.or(is_paused.then_some(RefusalReason::Paused))
    }

    /// Returns why a request for a version is refused at present, if it is.
    pub(super) fn refusal_reason(&self, now: Moment, version: &str) -> Option<RefusalReason> {
        let Some(upstream) = &self.upstream else {
            return Some(RefusalReason::NoConfiguration);
        };
        if self.leaving || upstream.retired || self.has_said_leaving() {
            return Some(RefusalReason::Leaving);
        }
        if !self.closed_until.is_due(now) {
            // The ledger is closed because another version is about to be loaded.
            return Some(RefusalReason::WrongVersion);
        }
        match &self.engine {
            EngineStatus::Down => Some(RefusalReason::EngineDown),
            EngineStatus::Up {
                version: served, ..
            } => (served != version).then_some(RefusalReason::WrongVersion),
        }
    }

    pub(super) fn customer_share(&self, customer: &str) -> CustomerShare {
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

    /// Returns whether nothing runs and each end has been acknowledged or is no longer waited for.
    ///
    /// A reply that was sent may be lost, and only this process can repeat it.
    pub(super) fn is_drained(&self, now: Moment) -> bool {
        self.jobs.iter().all(|(key, job)| {
            let entry = self.ledger.get(*key);
            let is_orphaned = entry.is_none_or(|entry| entry.orphan_at.is_due(now));
            !job.started && (job.has_delivered_end(now) || is_orphaned)
        })
    }

    pub(super) fn reply_head(&self, now: Moment) -> ReplyHead {
        let epoch = match &self.engine {
            EngineStatus::Up { epoch, .. } => epoch.0,
            EngineStatus::Down => 0,
        };
        let next = self.configuration.as_ref().map(|latest| latest.next());
        ReplyHead {
            incarnation: self.settings.incarnation.0,
            epoch,
            next_offset: WirePosition::from(next.unwrap_or_default()).0,
            pause_us: u32::try_from(whole_us(self.pause_left(now))).unwrap_or(u32::MAX),
        }
    }

    /// Returns the state as JSON.
    #[must_use]
    pub fn dump(&self, now: Moment) -> serde_json::Value {
        let running = self.queue.running();
        let served_us = self.queue.served_us();
        serde_json::json!({
            "incarnation": format!("{:016x}", self.settings.incarnation.0),
            "upstream": self.settings.upstream,
            "engine": format!("{:?}", self.engine),
            "next_offset": self.configuration.as_ref().map_or(0, |latest| latest.next_offset.0),
            "tickets": self.ledger.len(),
            "queued": self.queue.waiting(),
            "served_us": {"urgent": served_us[0], "routine": served_us[1]},
            "cached_pieces": self.queue.estimate.index.len(),
            "running": {"urgent": running[0], "routine": running[1]},
            "answer_bytes": self.response_bytes,
            "leaving": self.leaving,
            "said_leaving": self.has_said_leaving(),
            "paused_ms": whole_ms(self.pause_left(now)),
            "suspects": self.guard.table.len(),
            "segments": self.guard.segments.len(),
            "refused_segments": self.guard.segments.refused_count(),
        })
    }
}

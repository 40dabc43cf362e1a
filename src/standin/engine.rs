//! Simulated inference engine: continuous batching, a prefix cache, and faults on demand.
//!
//! [`EngineState`] keeps what survives a crash; [`VolatileState`] is what a crash loses.

use std::time::Duration;

use super::batch::{BatchLimits, BatchStep};
use super::cache_feed::FeedFaults;
use super::engine_mail::{
    EngineAdmin, EngineCall, EngineMail, EngineRefusal, EngineReply, EngineResponse, EngineStats,
    LoadOrder, LoadReport, StartedRequests,
};
use super::engine_request::{CompletionRequest, RequestKey, RequestPhase};
use super::load_history::LoadHistory;
use super::volatile_state::{OpenConnections, VolatileState};
use crate::kernel::{Moment, ReplyTo};

/// Time from the start of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// Settings of a simulated inference engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the model served at start.
    pub model: String,
    /// Version of the weights served at start.
    pub version: String,
    /// Number of batch slots, and prefill and decode speed.
    pub batch: BatchLimits,
    /// Capacity of the prefix cache in pieces.
    pub cache_pieces: usize,
    /// Publication lag and loss rate of the cache events.
    pub feed: FeedFaults,
    /// Age in milliseconds of the load report that callers get.
    pub load_lag_ms: u64,
    /// Output length in tokens of a request without a token limit.
    pub tokens: u64,
    /// Time in milliseconds from a crash to the restart.
    pub restart_ms: u64,
    /// Whether load orders with a fencing number below the highest seen are refused.
    pub checks_fence: bool,
    /// Epoch before the first crash; each crash adds one.
    pub first_epoch: u64,
}

/// State of an engine across its crashes, and the [`VolatileState`] since the last one.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    volatile: VolatileState,
    weights: LoadOrder,
    highest_fence: u64,
    load_count: u64,
    load_history: LoadHistory,
    crash_due: Moment,
    down_until: Moment,
    frozen: Option<(Moment, Moment)>,
    deferred: Vec<EngineMail>,
    silenced: Vec<OpenConnections>,
    started_requests: StartedRequests,
    stats: EngineStats,
}

impl EngineState {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let weights = LoadOrder {
            model: settings.model.clone(),
            version: settings.version.clone(),
            fence: 0,
        };
        let idle = LoadReport {
            version: settings.version.clone(),
            ..LoadReport::default()
        };
        Self {
            volatile: VolatileState::new(&settings, settings.first_epoch),
            load_history: LoadHistory::new(settings.load_lag_ms, idle),
            settings,
            weights,
            highest_fence: 0,
            load_count: 0,
            crash_due: Moment::NEVER,
            down_until: Moment::START,
            frozen: None,
            deferred: Vec::new(),
            silenced: Vec::new(),
            started_requests: StartedRequests::default(),
            stats: EngineStats::default(),
        }
    }

    /// Handles a message, defers it while the engine is frozen, or drops it while it is down.
    ///
    /// Admin calls are always handled at once.
    pub fn receive(&mut self, now: Moment, mail: EngineMail) {
        if let EngineCall::Admin(admin) = mail.call {
            let response = self.handle_admin(now, admin);
            self.reply(mail.reply, response);
            return;
        }
        if self.frozen.is_some() {
            self.deferred.push(mail);
            return;
        }
        if self.down_until.is_due(now) {
            self.handle(now, mail);
        }
    }

    /// Processes all events that are due and returns the next deadline.
    pub fn advance(&mut self, now: Moment) -> Moment {
        if let Some((since, until)) = self.frozen {
            if !until.is_due(now) {
                return until;
            }
            self.unfreeze(now, since);
        }
        if self.crash_due.is_due(now) {
            self.crash(now);
        }
        if !self.down_until.is_due(now) {
            return self.down_until;
        }
        let batch_due = self.run_batch(now);
        let feed_due = self.volatile.reply_to_feed_readers(now);
        self.volatile.remove_expired(now);
        let report = self.load_report();
        self.load_history.record(now, report);
        batch_due.min(feed_due).min(self.crash_due)
    }

    fn reply(&self, reply: ReplyTo<EngineReply>, response: EngineResponse) {
        reply.send(EngineReply {
            epoch: self.volatile.epoch,
            response,
        });
    }

    fn handle(&mut self, now: Moment, mail: EngineMail) {
        let EngineMail { call, reply } = mail;
        let response = match call {
            EngineCall::Run(request) => return self.run(request, reply),
            EngineCall::ReadFeed(from, until) => {
                return self.volatile.read_feed(now, from, until, reply);
            }
            EngineCall::Resume(id, from) => self.volatile.resume(&id, from),
            EngineCall::Cancel(id) => self.cancel(now, &id),
            EngineCall::CachedKeys => {
                EngineResponse::Keys(self.volatile.feed.next_seq(), self.volatile.cache.keys())
            }
            EngineCall::LoadReport => EngineResponse::LoadReport(self.load_history.published(now)),
            EngineCall::BeginWeightLoad(order) => self.begin_weight_load(order),
            EngineCall::FinishWeightLoad(order, epoch) => {
                if epoch != self.volatile.epoch {
                    return;
                }
                self.finish_weight_load(now, order)
            }
            EngineCall::Admin(admin) => self.handle_admin(now, admin),
        };
        self.reply(reply, response);
    }

    fn run(&mut self, request: CompletionRequest, reply: ReplyTo<EngineReply>) {
        if let Some(key) = self.volatile.find(&request.id) {
            return self.volatile.attach(key, reply);
        }
        if !self.serves(&request) {
            return self.reply(reply, EngineResponse::Refused(EngineRefusal::WrongVersion));
        }
        let rest = self.settings.tokens.saturating_sub(request.skip);
        let output_tokens = request.max_tokens.unwrap_or(rest);
        self.volatile.enqueue(request, output_tokens, reply);
    }

    fn serves(&self, request: &CompletionRequest) -> bool {
        let version = request.version.as_ref();
        version.is_none_or(|version| *version == self.weights.version)
    }

    fn cancel(&mut self, now: Moment, id: &str) -> EngineResponse {
        let Some(key) = self.volatile.find(id) else {
            return EngineResponse::Refused(EngineRefusal::UnknownRequest);
        };
        let previous = self.volatile.cancel(now, key);
        if matches!(previous, RequestPhase::Waiting | RequestPhase::Running) {
            self.stats.cancelled += 1;
        }
        EngineResponse::Cancelled(previous != RequestPhase::Waiting)
    }

    fn run_batch(&mut self, now: Moment) -> Moment {
        loop {
            match self.volatile.batch.next_step(now) {
                BatchStep::Admit(key) => self.admit(now, key),
                BatchStep::Prefill(key, start) => {
                    let (hits, missing) = self.volatile.prefill(key, start);
                    self.stats.hit_pieces += hits as u64;
                    self.stats.missing_pieces += missing as u64;
                }
                BatchStep::Prefilled(key) => self.volatile.cache_pieces(now, key, self.load_count),
                BatchStep::Token(key, due) => {
                    self.stats.finished += u64::from(self.volatile.decode(now, key, due));
                }
                BatchStep::WaitUntil(due) => return due,
            }
        }
    }

    fn admit(&mut self, now: Moment, key: RequestKey) {
        let version = self.weights.version.clone();
        let Some(request) = self.volatile.start(key, &version, self.load_count) else {
            return;
        };
        self.started_requests.ids.push(request.id);
        self.stats.started += 1;
        if request.crashes {
            self.crash_due = self.crash_due.min(now.after(CRASH_DELAY));
        }
    }

    fn begin_weight_load(&mut self, order: LoadOrder) -> EngineResponse {
        if self.settings.checks_fence && order.fence < self.highest_fence {
            return EngineResponse::Refused(EngineRefusal::OldFence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        EngineResponse::Accepted(order)
    }

    fn finish_weight_load(&mut self, now: Moment, order: LoadOrder) -> EngineResponse {
        if self.settings.checks_fence && order.fence < self.highest_fence {
            return EngineResponse::Refused(EngineRefusal::OldFence);
        }
        self.stats.loads.push(order.clone());
        self.weights = order.clone();
        self.load_count += 1;
        self.volatile.clear_cache(now);
        EngineResponse::Accepted(order)
    }

    fn handle_admin(&mut self, now: Moment, admin: EngineAdmin) -> EngineResponse {
        match admin {
            EngineAdmin::Crash => self.crash(now),
            EngineAdmin::Freeze(until) => {
                let since = self.frozen.map_or(now, |(since, _)| since);
                self.frozen = Some((since, until));
            }
            EngineAdmin::Silence => self.silenced.push(self.volatile.take_connections()),
            EngineAdmin::Runs => return EngineResponse::Runs(self.started_requests.clone()),
            EngineAdmin::Stats => {
                return EngineResponse::Stats(EngineStats {
                    running: self.volatile.batch.running(),
                    waiting: self.volatile.batch.waiting(),
                    ..self.stats.clone()
                });
            }
        }
        EngineResponse::Done
    }

    fn crash(&mut self, now: Moment) {
        self.volatile.abort_all();
        self.deferred.clear();
        self.frozen = None;
        self.crash_due = Moment::NEVER;
        self.down_until = now.after(Duration::from_millis(self.settings.restart_ms));
        self.volatile = VolatileState::new(&self.settings, self.volatile.epoch + 1);
        self.stats.crashes += 1;
    }

    fn unfreeze(&mut self, now: Moment, since: Moment) {
        self.frozen = None;
        self.volatile.batch.postpone(now.since(since));
        for mail in std::mem::take(&mut self.deferred) {
            self.handle(now, mail);
        }
    }

    /// Returns the present load, without the lag of the published report.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            version: self.weights.version.clone(),
            running: self.volatile.batch.running(),
            waiting: self.volatile.batch.waiting(),
            cached_pieces: self.volatile.cache.len(),
        }
    }
}

//! Model engine: admits requests in batches, caches prefixes, crashes and freezes on demand.

use std::time::Duration;

use super::batch::{BatchLimits, BatchStep};
use super::cache_feed::FeedFaults;
use super::engine_life::{EngineLife, OpenEnds};
use super::engine_mail::{
    EngineAdmin, EngineAnswer, EngineMail, EngineQuestion, EngineRefusal, EngineReply, EngineStats,
    LoadOrder, LoadReport, RunCounts,
};
use super::engine_request::{RequestKey, RequestPhase, RunOrder};
use super::load_history::LoadHistory;
use crate::kernel::{Moment, ReplyTo};

/// Time from the start of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model served at start.
    pub model: String,
    /// Version served at start.
    pub version: String,
    /// Speed and size of the batch.
    pub batch: BatchLimits,
    /// Capacity of the prefix cache in pieces.
    pub cache_pieces: usize,
    /// Faults of the cache feed.
    pub feed: FeedFaults,
    /// Lag of the load report in milliseconds.
    pub load_lag_ms: u64,
    /// Tokens of an output whose caller set no limit.
    pub tokens: u64,
    /// Time in milliseconds from a crash to the next life.
    pub restart_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Number of the first life.
    pub first_epoch: u64,
}

/// State of an engine over all its lives.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    life: EngineLife,
    weights: LoadOrder,
    highest_fence: u64,
    weights_count: u64,
    load: LoadHistory,
    crash_due: Moment,
    down_until: Moment,
    frozen: Option<(Moment, Moment)>,
    held: Vec<EngineMail>,
    silent: Vec<OpenEnds>,
    runs: RunCounts,
    stats: EngineStats,
}

impl EngineState {
    /// Creates an idle engine.
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
            life: EngineLife::new(&settings, settings.first_epoch),
            load: LoadHistory::new(settings.load_lag_ms, idle),
            settings,
            weights,
            highest_fence: 0,
            weights_count: 0,
            crash_due: Moment::NEVER,
            down_until: Moment::START,
            frozen: None,
            held: Vec::new(),
            silent: Vec::new(),
            runs: RunCounts::default(),
            stats: EngineStats::default(),
        }
    }

    /// Handles a message, or holds it while the engine is frozen, or drops it while it is down.
    pub fn receive(&mut self, now: Moment, mail: EngineMail) {
        if let EngineQuestion::Admin(admin) = mail.question {
            let answer = self.administer(now, admin);
            self.reply(mail.reply, answer);
            return;
        }
        if self.frozen.is_some() {
            self.held.push(mail);
            return;
        }
        if self.down_until.is_due(now) {
            self.answer(now, mail);
        }
    }

    /// Does all that is due and returns when something is due next.
    pub fn advance(&mut self, now: Moment) -> Moment {
        if let Some((since, until)) = self.frozen {
            if !until.is_due(now) {
                return until;
            }
            self.thaw(now, since);
        }
        if self.crash_due.is_due(now) {
            self.crash(now);
        }
        if !self.down_until.is_due(now) {
            return self.down_until;
        }
        let batch_due = self.run_batch(now);
        let feed_due = self.life.answer_feed_readers(now);
        self.life.forget_ended(now);
        let report = self.load_report();
        self.load.record(now, report);
        batch_due.min(feed_due).min(self.crash_due)
    }

    fn reply(&self, reply: ReplyTo<EngineReply>, answer: EngineAnswer) {
        reply.send(EngineReply {
            epoch: self.life.epoch,
            answer,
        });
    }

    fn answer(&mut self, now: Moment, mail: EngineMail) {
        let EngineMail { question, reply } = mail;
        let answer = match question {
            EngineQuestion::Run(order) => return self.run(order, reply),
            EngineQuestion::ReadFeed(from, until) => {
                return self.life.read_feed(now, from, until, reply);
            }
            EngineQuestion::Resume(id, from) => self.life.resume(&id, from),
            EngineQuestion::Cancel(id) => self.cancel(now, &id),
            EngineQuestion::CachedKeys => {
                EngineAnswer::Keys(self.life.feed.next_seq(), self.life.cache.keys())
            }
            EngineQuestion::Load => EngineAnswer::Load(self.load.published(now)),
            EngineQuestion::BeginLoad(order) => self.begin_load(order),
            EngineQuestion::FinishLoad(order, epoch) => {
                if epoch != self.life.epoch {
                    return;
                }
                self.finish_load(now, order)
            }
            EngineQuestion::Admin(admin) => self.administer(now, admin),
        };
        self.reply(reply, answer);
    }

    fn run(&mut self, order: RunOrder, reply: ReplyTo<EngineReply>) {
        if let Some(key) = self.life.find(&order.id) {
            return self.life.attach(key, reply);
        }
        if !self.serves(&order) {
            return self.reply(reply, EngineAnswer::Refused(EngineRefusal::WrongVersion));
        }
        let rest = self.settings.tokens.saturating_sub(order.skip);
        let length = order.max_tokens.unwrap_or(rest);
        self.life.enqueue(order, length, reply);
    }

    fn serves(&self, order: &RunOrder) -> bool {
        let version = order.version.as_ref();
        version.is_none_or(|version| *version == self.weights.version)
    }

    fn cancel(&mut self, now: Moment, id: &str) -> EngineAnswer {
        let Some(key) = self.life.find(id) else {
            return EngineAnswer::Refused(EngineRefusal::UnknownRequest);
        };
        let previous = self.life.cancel(now, key);
        if matches!(previous, RequestPhase::Waiting | RequestPhase::Running) {
            self.stats.cancelled += 1;
        }
        EngineAnswer::Cancelled(previous != RequestPhase::Waiting)
    }

    fn run_batch(&mut self, now: Moment) -> Moment {
        loop {
            match self.life.batch.next_step(now) {
                BatchStep::Admit(key) => self.admit(now, key),
                BatchStep::Prefill(key, start) => {
                    let (hits, missing) = self.life.prefill(key, start);
                    self.stats.hit_pieces += hits as u64;
                    self.stats.missing_pieces += missing as u64;
                }
                BatchStep::Prefilled(key) => self.life.cache_pieces(now, key, self.weights_count),
                BatchStep::Token(key, due) => {
                    self.stats.finished += u64::from(self.life.decode(now, key, due));
                }
                BatchStep::WaitUntil(due) => return due,
            }
        }
    }

    fn admit(&mut self, now: Moment, key: RequestKey) {
        let version = self.weights.version.clone();
        let Some(order) = self.life.start(key, &version, self.weights_count) else {
            return;
        };
        self.runs.order.push(order.id);
        self.stats.started += 1;
        if order.crashes {
            self.crash_due = self.crash_due.min(now.after(CRASH_DELAY));
        }
    }

    fn begin_load(&mut self, order: LoadOrder) -> EngineAnswer {
        if self.settings.checks_fence && order.fence < self.highest_fence {
            return EngineAnswer::Refused(EngineRefusal::OldFence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        EngineAnswer::Accepted(order)
    }

    fn finish_load(&mut self, now: Moment, order: LoadOrder) -> EngineAnswer {
        if self.settings.checks_fence && order.fence < self.highest_fence {
            return EngineAnswer::Refused(EngineRefusal::OldFence);
        }
        self.stats.loads.push(order.clone());
        self.weights = order.clone();
        self.weights_count += 1;
        self.life.clear_cache(now);
        EngineAnswer::Accepted(order)
    }

    fn administer(&mut self, now: Moment, admin: EngineAdmin) -> EngineAnswer {
        match admin {
            EngineAdmin::Crash => self.crash(now),
            EngineAdmin::Freeze(until) => {
                let since = self.frozen.map_or(now, |(since, _)| since);
                self.frozen = Some((since, until));
            }
            EngineAdmin::Silence => self.silent.push(self.life.take_open_ends()),
            EngineAdmin::Runs => return EngineAnswer::Runs(self.runs.clone()),
            EngineAdmin::Stats => {
                return EngineAnswer::Stats(EngineStats {
                    running: self.life.batch.running(),
                    waiting: self.life.batch.waiting(),
                    ..self.stats.clone()
                });
            }
        }
        EngineAnswer::Done
    }

    fn crash(&mut self, now: Moment) {
        self.life.cut_all();
        self.held.clear();
        self.frozen = None;
        self.crash_due = Moment::NEVER;
        self.down_until = now.after(Duration::from_millis(self.settings.restart_ms));
        self.life = EngineLife::new(&self.settings, self.life.epoch + 1);
        self.stats.crashes += 1;
    }

    fn thaw(&mut self, now: Moment, since: Moment) {
        self.frozen = None;
        self.life.batch.postpone(now.since(since));
        for mail in std::mem::take(&mut self.held) {
            self.answer(now, mail);
        }
    }

    /// Returns the load at this moment.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            version: self.weights.version.clone(),
            running: self.life.batch.running(),
            waiting: self.life.batch.waiting(),
            cached_pieces: self.life.cache.len(),
        }
    }
}

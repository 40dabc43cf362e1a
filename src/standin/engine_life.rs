//! One life of the engine: all that a crash loses.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::batch::BatchSchedule;
use super::cache_feed::CacheFeed;
use super::engine::EngineSettings;
use super::engine_mail::{EngineAnswer, EngineRefusal, EngineReply};
use super::engine_request::{RequestKey, RequestPhase, RequestRecord, RunOrder, StreamPart};
use super::prefix_cache::PrefixCache;
use crate::kernel::{Arena, Moment, ReplyTo};

/// Time for which a request that has ended can still be read.
const KEEP_ENDED: Duration = Duration::from_mins(1);

/// A caller that waits for a cache event.
#[derive(Debug)]
pub struct FeedReader {
    /// Number of the event.
    pub from: u64,
    /// When it is answered in any case.
    pub until: Moment,
    /// Takes the reply.
    pub reply: ReplyTo<EngineReply>,
}

/// Connections that will never be written to again but stay open.
#[derive(Debug, Default)]
pub struct OpenEnds {
    /// Streams.
    pub readers: Vec<UnboundedSender<StreamPart>>,
    /// Callers that wait for a response head.
    pub heads: Vec<ReplyTo<EngineReply>>,
    /// Callers that wait for a cache event.
    pub feed_readers: Vec<FeedReader>,
}

/// State of one life.
#[derive(Debug)]
pub struct EngineLife {
    /// Number of this life.
    pub epoch: u64,
    /// Cached pieces.
    pub cache: PrefixCache,
    /// Events of the cache.
    pub feed: CacheFeed,
    /// Where each request stands.
    pub batch: BatchSchedule,
    requests: Arena<RequestRecord>,
    by_id: HashMap<String, RequestKey>,
    ended: VecDeque<RequestKey>,
    feed_readers: Vec<FeedReader>,
}

impl EngineLife {
    /// Creates a life without requests and with an empty cache.
    #[must_use]
    pub fn new(settings: &EngineSettings, epoch: u64) -> Self {
        Self {
            epoch,
            cache: PrefixCache::new(settings.cache_pieces),
            feed: CacheFeed::new(settings.feed),
            batch: BatchSchedule::new(settings.batch),
            requests: Arena::new(),
            by_id: HashMap::new(),
            ended: VecDeque::new(),
            feed_readers: Vec::new(),
        }
    }

    /// Returns the request with a name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// Adds a request to the queue; the reply follows when its prefill begins.
    pub fn enqueue(&mut self, order: RunOrder, length: u64, reply: ReplyTo<EngineReply>) {
        let (id, priority) = (order.id.clone(), order.priority);
        let key = self.requests.insert(RequestRecord {
            order,
            phase: RequestPhase::Waiting,
            length,
            produced: 0,
            cached_pieces: None,
            weights_count: 0,
            forget_at: Moment::NEVER,
            heads: vec![reply],
            readers: Vec::new(),
        });
        self.by_id.insert(id, key);
        self.batch.enqueue(key, priority);
    }

    /// Gives a further caller the stream of a known request.
    pub fn attach(&mut self, key: RequestKey, reply: ReplyTo<EngineReply>) {
        let epoch = self.epoch;
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let answer = match (record.phase, record.cached_pieces) {
            (RequestPhase::Cancelled, _) => EngineAnswer::Refused(EngineRefusal::Cancelled),
            (_, Some(_)) => EngineAnswer::Stream(record.open(0)),
            (_, None) => return record.heads.push(reply),
        };
        reply.send(EngineReply { epoch, answer });
    }

    /// Opens the stream of a known request at an event.
    pub fn resume(&mut self, id: &str, from: u64) -> EngineAnswer {
        let key = self.find(id);
        let Some(record) = key.and_then(|key| self.requests.get_mut(key)) else {
            return EngineAnswer::Refused(EngineRefusal::UnknownRequest);
        };
        if record.phase == RequestPhase::Cancelled {
            return EngineAnswer::Refused(EngineRefusal::Cancelled);
        }
        EngineAnswer::Stream(record.open(from))
    }

    /// Marks an admitted request as started; one that needs other weights is refused instead.
    pub fn start(
        &mut self,
        key: RequestKey,
        version: &str,
        weights_count: u64,
    ) -> Option<RunOrder> {
        let record = self.requests.get_mut(key)?;
        let needed = record.order.version.as_deref();
        if needed.is_none_or(|needed| needed == version) {
            record.phase = RequestPhase::Running;
            record.weights_count = weights_count;
            return Some(record.order.clone());
        }
        self.refuse(key);
        None
    }

    /// Looks the prompt up, answers the waiting callers and begins the prefill.
    ///
    /// Returns the number of cached pieces and of missing ones.
    pub fn prefill(&mut self, key: RequestKey, start: Moment) -> (usize, usize) {
        let epoch = self.epoch;
        let Some(record) = self.requests.get_mut(key) else {
            return (0, 0);
        };
        let hits = self.cache.touch_prefix(&record.order.pieces);
        let missing = record.order.pieces.len() - hits;
        record.cached_pieces = Some(hits);
        for reply in std::mem::take(&mut record.heads) {
            let answer = EngineAnswer::Stream(record.open(0));
            reply.send(EngineReply { epoch, answer });
        }
        self.batch.begin_prefill(key, start, missing);
        (hits, missing)
    }

    /// Caches the pieces of a request whose prefill is over.
    pub fn cache_pieces(&mut self, now: Moment, key: RequestKey, weights_count: u64) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if record.weights_count == weights_count {
            let changes = self.cache.store(&record.order.pieces);
            self.feed.record(now, changes);
        }
    }

    /// Produces the token that was due at a moment; tells whether it was the last one.
    pub fn decode(&mut self, now: Moment, key: RequestKey, due: Moment) -> bool {
        let Some(record) = self.requests.get_mut(key) else {
            return false;
        };
        if record.produced < record.length {
            record.produce();
        }
        if record.produced < record.length {
            self.batch.decode_on(key, due);
            return false;
        }
        while record.produced < record.event_count() {
            record.produce();
        }
        record.phase = RequestPhase::Finished;
        record.readers.clear();
        self.end(now, key);
        true
    }

    /// Cancels a request and returns how far it was.
    pub fn cancel(&mut self, now: Moment, key: RequestKey) -> RequestPhase {
        let epoch = self.epoch;
        let Some(record) = self.requests.get_mut(key) else {
            return RequestPhase::Cancelled;
        };
        let previous = record.phase;
        if matches!(previous, RequestPhase::Finished | RequestPhase::Cancelled) {
            return previous;
        }
        record.phase = RequestPhase::Cancelled;
        for reply in std::mem::take(&mut record.heads) {
            let answer = EngineAnswer::Refused(EngineRefusal::Cancelled);
            reply.send(EngineReply { epoch, answer });
        }
        record.cut();
        self.batch.remove(key, now);
        self.end(now, key);
        previous
    }

    /// Answers a read of the cache feed, now or once an event is published.
    pub fn read_feed(
        &mut self,
        now: Moment,
        from: u64,
        until: Moment,
        reply: ReplyTo<EngineReply>,
    ) {
        self.feed_readers.push(FeedReader { from, until, reply });
        self.answer_feed_readers(now);
    }

    /// Answers the readers that can be answered and returns when the next one can.
    pub fn answer_feed_readers(&mut self, now: Moment) -> Moment {
        let epoch = self.epoch;
        let mut due = Moment::NEVER;
        for reader in std::mem::take(&mut self.feed_readers) {
            let page = self.feed.read(now, reader.from);
            let timed_out = || {
                reader
                    .until
                    .is_due(now)
                    .then(|| self.feed.page(now, reader.from))
            };
            if let Some(page) = page.or_else(timed_out) {
                let answer = EngineAnswer::Feed(page);
                reader.reply.send(EngineReply { epoch, answer });
                continue;
            }
            due = due.min(reader.until).min(self.feed.visible_at(reader.from));
            self.feed_readers.push(reader);
        }
        due
    }

    /// Empties the cache.
    pub fn clear_cache(&mut self, now: Moment) {
        let changes = self.cache.clear();
        self.feed.record(now, changes);
    }

    /// Forgets requests that ended long ago.
    pub fn forget_ended(&mut self, now: Moment) {
        while let Some(key) = self.ended.front().copied() {
            let record = self.requests.get(key);
            if record.is_some_and(|record| !record.forget_at.is_due(now)) {
                return;
            }
            self.ended.pop_front();
            if let Some(record) = self.requests.remove(key) {
                self.by_id.remove(&record.order.id);
            }
        }
    }

    /// Takes all open connections, so that nothing is written to them any more.
    pub fn take_open_ends(&mut self) -> OpenEnds {
        let mut ends = OpenEnds {
            feed_readers: std::mem::take(&mut self.feed_readers),
            ..OpenEnds::default()
        };
        for (_, record) in self.requests.iter_mut() {
            ends.readers.append(&mut record.readers);
            ends.heads.append(&mut record.heads);
        }
        ends
    }

    /// Cuts all connections.
    pub fn cut_all(&mut self) {
        for (_, record) in self.requests.iter_mut() {
            record.cut();
        }
        self.feed_readers.clear();
    }

    fn end(&mut self, now: Moment, key: RequestKey) {
        if let Some(record) = self.requests.get_mut(key) {
            record.forget_at = now.after(KEEP_ENDED);
            self.ended.push_back(key);
        }
    }

    fn refuse(&mut self, key: RequestKey) {
        self.batch.remove(key, Moment::START);
        let Some(mut record) = self.requests.remove(key) else {
            return;
        };
        self.by_id.remove(&record.order.id);
        for reply in std::mem::take(&mut record.heads) {
            let answer = EngineAnswer::Refused(EngineRefusal::WrongVersion);
            reply.send(EngineReply {
                epoch: self.epoch,
                answer,
            });
        }
        record.cut();
    }
}

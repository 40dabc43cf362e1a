//! Volatile state of the simulated engine: all that a crash loses.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::batch::BatchSchedule;
use super::cache_feed::CacheFeed;
use super::engine::EngineSettings;
use super::engine_mail::{EngineRefusal, EngineReply, EngineResponse};
use super::engine_request::{
    CompletionRequest, RequestKey, RequestPhase, RequestRecord, StreamItem,
};
use super::prefix_cache::PrefixCache;
use crate::kernel::{Arena, Moment, ReplyTo};

/// Time for which the stream of an ended request can still be read.
const ENDED_RETENTION: Duration = Duration::from_mins(1);

/// A long-polling read of the cache events that has not been answered yet.
#[derive(Debug)]
pub struct FeedReader {
    /// Sequence number of the first event to return.
    pub from: u64,
    /// When the read is answered even if no event is published.
    pub until: Moment,
    /// Where the page of events is sent.
    pub reply: ReplyTo<EngineReply>,
}

/// Open connections that the fault `silence` has detached: nothing is written to them again.
#[derive(Debug, Default)]
pub struct OpenConnections {
    /// Response streams.
    pub readers: Vec<UnboundedSender<StreamItem>>,
    /// Callers that wait for the head of a stream response.
    pub pending_replies: Vec<ReplyTo<EngineReply>>,
    /// Reads of the cache events that have not been answered yet.
    pub feed_readers: Vec<FeedReader>,
}

/// Requests, batch and cache of an engine since its last crash.
#[derive(Debug)]
pub struct VolatileState {
    /// Number of this run of the engine; a crash increments it.
    pub epoch: u64,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Feed of the events of the prefix cache.
    pub feed: CacheFeed,
    /// Batch schedule: queue, slots, prefill and decode deadlines.
    pub batch: BatchSchedule,
    requests: Arena<RequestRecord>,
    by_id: HashMap<String, RequestKey>,
    ended: VecDeque<RequestKey>,
    feed_readers: Vec<FeedReader>,
}

impl VolatileState {
    /// Creates the state after a start: no requests and an empty cache.
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

    /// Returns the key of the request with an id, if it is known.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// Adds a request to the queue; the reply is sent when its prefill begins.
    pub fn enqueue(
        &mut self,
        request: CompletionRequest,
        output_tokens: u64,
        reply: ReplyTo<EngineReply>,
    ) {
        let (id, priority) = (request.id.clone(), request.priority);
        let key = self.requests.insert(RequestRecord {
            request,
            phase: RequestPhase::Waiting,
            output_tokens,
            produced_events: 0,
            cached_pieces: None,
            load_count: 0,
            expires_at: Moment::NEVER,
            pending_replies: vec![reply],
            readers: Vec::new(),
        });
        self.by_id.insert(id, key);
        self.batch.enqueue(key, priority);
    }

    /// Sends the stream of a known request to a further caller, from its first event on.
    ///
    /// The caller of a request whose prefill has not begun waits for that; the stream of a
    /// cancelled request is refused.
    pub fn attach(&mut self, key: RequestKey, reply: ReplyTo<EngineReply>) {
        let epoch = self.epoch;
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let response = match (record.phase, record.cached_pieces) {
            (RequestPhase::Cancelled, _) => EngineResponse::Refused(EngineRefusal::Cancelled),
            (_, Some(_)) => EngineResponse::Stream(record.open_stream(0)),
            (_, None) => return record.pending_replies.push(reply),
        };
        reply.send(EngineReply { epoch, response });
    }

    /// Opens the stream of a known request at an event number.
    pub fn resume(&mut self, id: &str, from: u64) -> EngineResponse {
        let key = self.find(id);
        let Some(record) = key.and_then(|key| self.requests.get_mut(key)) else {
            return EngineResponse::Refused(EngineRefusal::UnknownRequest);
        };
        if record.phase == RequestPhase::Cancelled {
            return EngineResponse::Refused(EngineRefusal::Cancelled);
        }
        EngineResponse::Stream(record.open_stream(from))
    }

    /// Marks an admitted request as started and returns it.
    ///
    /// A request that requires another version of the weights is refused and `None` is returned.
    pub fn start(
        &mut self,
        key: RequestKey,
        version: &str,
        load_count: u64,
    ) -> Option<CompletionRequest> {
        let record = self.requests.get_mut(key)?;
        let needed = record.request.version.as_deref();
        if needed.is_none_or(|needed| needed == version) {
            record.phase = RequestPhase::Running;
            record.load_count = load_count;
            return Some(record.request.clone());
        }
        self.refuse_wrong_version(key);
        None
    }

    /// Looks up the prompt in the cache, opens the streams of waiting callers and begins prefill.
    ///
    /// Returns the numbers of cached and of missing pieces of the prompt.
    pub fn prefill(&mut self, key: RequestKey, start: Moment) -> (usize, usize) {
        let epoch = self.epoch;
        let Some(record) = self.requests.get_mut(key) else {
            return (0, 0);
        };
        let hits = self.cache.touch_prefix(&record.request.pieces);
        let missing = record.request.pieces.len() - hits;
        record.cached_pieces = Some(hits);
        for reply in std::mem::take(&mut record.pending_replies) {
            let response = EngineResponse::Stream(record.open_stream(0));
            reply.send(EngineReply { epoch, response });
        }
        self.batch.begin_prefill(key, start, missing);
        (hits, missing)
    }

    /// Adds the prompt pieces of a request to the cache after its prefill.
    ///
    /// Nothing is cached if weights were loaded since the request started.
    pub fn cache_pieces(&mut self, now: Moment, key: RequestKey, load_count: u64) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if record.load_count == load_count {
            let changes = self.cache.store(&record.request.pieces);
            self.feed.record(now, changes);
        }
    }

    /// Produces the token that was due at a moment; returns whether the output is complete.
    pub fn decode(&mut self, now: Moment, key: RequestKey, due: Moment) -> bool {
        let Some(record) = self.requests.get_mut(key) else {
            return false;
        };
        if record.produced_events < record.output_tokens {
            record.produce_event();
        }
        if record.produced_events < record.output_tokens {
            self.batch.schedule_token(key, due);
            return false;
        }
        while record.produced_events < record.event_count() {
            record.produce_event();
        }
        record.phase = RequestPhase::Finished;
        record.readers.clear();
        self.schedule_removal(now, key);
        true
    }

    /// Cancels a request and returns the phase that it was in before.
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
        for reply in std::mem::take(&mut record.pending_replies) {
            let response = EngineResponse::Refused(EngineRefusal::Cancelled);
            reply.send(EngineReply { epoch, response });
        }
        record.abort();
        self.batch.remove(key, now);
        self.schedule_removal(now, key);
        previous
    }

    /// Answers a read of the cache feed, at once or when an event is published.
    pub fn read_feed(
        &mut self,
        now: Moment,
        from: u64,
        until: Moment,
        reply: ReplyTo<EngineReply>,
    ) {
        self.feed_readers.push(FeedReader { from, until, reply });
        self.reply_to_feed_readers(now);
    }

    /// Answers feed reads that have events or have timed out and returns the next deadline.
    pub fn reply_to_feed_readers(&mut self, now: Moment) -> Moment {
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
                let response = EngineResponse::Feed(page);
                reader.reply.send(EngineReply { epoch, response });
                continue;
            }
            due = due.min(reader.until).min(self.feed.visible_at(reader.from));
            self.feed_readers.push(reader);
        }
        due
    }

    /// Evicts all pieces from the cache.
    pub fn clear_cache(&mut self, now: Moment) {
        let changes = self.cache.clear();
        self.feed.record(now, changes);
    }

    /// Removes ended requests whose retention time is over.
    pub fn remove_expired(&mut self, now: Moment) {
        while let Some(key) = self.ended.front().copied() {
            let record = self.requests.get(key);
            if record.is_some_and(|record| !record.expires_at.is_due(now)) {
                return;
            }
            self.ended.pop_front();
            if let Some(record) = self.requests.remove(key) {
                self.by_id.remove(&record.request.id);
            }
        }
    }

    /// Detaches all open connections, so that they stay open but nothing is written to them.
    pub fn take_connections(&mut self) -> OpenConnections {
        let mut connections = OpenConnections {
            feed_readers: std::mem::take(&mut self.feed_readers),
            ..OpenConnections::default()
        };
        for (_, record) in self.requests.iter_mut() {
            connections.readers.append(&mut record.readers);
            connections
                .pending_replies
                .append(&mut record.pending_replies);
        }
        connections
    }

    /// Aborts all open connections.
    pub fn abort_all(&mut self) {
        for (_, record) in self.requests.iter_mut() {
            record.abort();
        }
        self.feed_readers.clear();
    }

    fn schedule_removal(&mut self, now: Moment, key: RequestKey) {
        if let Some(record) = self.requests.get_mut(key) {
            record.expires_at = now.after(ENDED_RETENTION);
            self.ended.push_back(key);
        }
    }

    fn refuse_wrong_version(&mut self, key: RequestKey) {
        self.batch.remove(key, Moment::START);
        let Some(mut record) = self.requests.remove(key) else {
            return;
        };
        self.by_id.remove(&record.request.id);
        for reply in std::mem::take(&mut record.pending_replies) {
            let response = EngineResponse::Refused(EngineRefusal::WrongVersion);
            reply.send(EngineReply {
                epoch: self.epoch,
                response,
            });
        }
        record.abort();
    }
}

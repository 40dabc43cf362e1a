//! Feed of the cache events of the simulated engine: numbered, published with a lag and with loss.

use std::collections::VecDeque;
use std::time::Duration;

use super::prefix_cache::CacheChange;
use super::token_text::mix;
use crate::kernel::Moment;

/// Number of retained events; readers that are further behind see a gap.
const RETAINED_EVENTS: usize = 65_536;

/// Maximum number of events in one page.
const PAGE_EVENTS: usize = 4_096;

/// Publication lag and loss of a feed.
#[derive(Debug, Clone, Copy)]
pub struct FeedFaults {
    /// Time in milliseconds from an event to its publication.
    pub lag_ms: u64,
    /// Percentage of the events that are lost.
    pub loss_percent: u64,
    /// Seed of the pseudo-random choice of lost events.
    pub seed: u64,
}

/// One cache event.
#[derive(Debug, Clone, Copy)]
pub struct FeedEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// Change to the cache.
    pub change: CacheChange,
    /// When the event is published.
    pub visible_at: Moment,
    /// Whether the event is lost, so that its number is skipped in pages.
    pub lost: bool,
}

/// Result of a read of the feed.
#[derive(Debug, Clone)]
pub struct FeedPage {
    /// Sequence number of the oldest retained event.
    pub first: u64,
    /// Sequence number to continue from.
    pub next: u64,
    /// The published events that are not lost.
    pub events: Vec<FeedEvent>,
}

/// Cache events of an engine since its last crash.
#[derive(Debug, Clone)]
pub struct CacheFeed {
    faults: FeedFaults,
    events: VecDeque<FeedEvent>,
    next: u64,
}

impl CacheFeed {
    /// Creates an empty feed; the first event gets sequence number 1.
    #[must_use]
    pub const fn new(faults: FeedFaults) -> Self {
        Self {
            faults,
            events: VecDeque::new(),
            next: 1,
        }
    }

    /// Returns the sequence number of the next event.
    #[must_use]
    pub const fn next_seq(&self) -> u64 {
        self.next
    }

    /// Adds the events of changes that happened now.
    pub fn record(&mut self, now: Moment, changes: Vec<CacheChange>) {
        let visible_at = now.after(Duration::from_millis(self.faults.lag_ms));
        for change in changes {
            self.events.push_back(FeedEvent {
                seq: self.next,
                change,
                visible_at,
                lost: mix(self.faults.seed, self.next) % 100 < self.faults.loss_percent,
            });
            self.next += 1;
        }
        let surplus = self.events.len().saturating_sub(RETAINED_EVENTS);
        self.events.drain(..surplus);
    }

    /// Returns the published events from a sequence number on, or `None` if a reader has to wait.
    ///
    /// A reader ahead of the feed gets an empty page at once.
    #[must_use]
    pub fn read(&self, now: Moment, from: u64) -> Option<FeedPage> {
        let page = self.page(now, from);
        let ahead = from > self.next;
        (ahead || page.next > from).then_some(page)
    }

    /// Returns the published events from a sequence number on, possibly none.
    #[must_use]
    pub fn page(&self, now: Moment, from: u64) -> FeedPage {
        let first = self.events.front().map_or(self.next, |event| event.seq);
        let visible: Vec<FeedEvent> = self
            .from(from)
            .take_while(|event| event.visible_at.is_due(now))
            .take(PAGE_EVENTS)
            .copied()
            .collect();
        let start = from.clamp(first, self.next);
        FeedPage {
            first,
            next: visible.last().map_or(start, |event| event.seq + 1),
            events: visible.into_iter().filter(|event| !event.lost).collect(),
        }
    }

    /// Returns when the first event from a sequence number on is published.
    #[must_use]
    pub fn visible_at(&self, from: u64) -> Moment {
        self.from(from)
            .next()
            .map_or(Moment::NEVER, |event| event.visible_at)
    }

    fn from(&self, from: u64) -> impl Iterator<Item = &FeedEvent> {
        let start = self.events.partition_point(|event| event.seq < from);
        self.events.range(start..)
    }
}

//! Feed of the engine's cache events: numbered, published late, with lost entries.

use std::collections::VecDeque;
use std::time::Duration;

use super::prefix_cache::CacheChange;
use super::token_text::mix;
use crate::kernel::Moment;

/// Events kept for readers; older ones show as a gap.
const RETAINED_EVENTS: usize = 65_536;

/// Most events in one page.
const PAGE_EVENTS: usize = 4_096;

/// Faults of a feed.
#[derive(Debug, Clone, Copy)]
pub struct FeedFaults {
    /// Time in milliseconds after which an event is published.
    pub lag_ms: u64,
    /// Share of events in percent that are never published.
    pub loss_percent: u64,
    /// Seed of the choice of lost events.
    pub seed: u64,
}

/// One numbered event.
#[derive(Debug, Clone, Copy)]
pub struct FeedEvent {
    /// Number of the event.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
    /// When readers may see it.
    pub visible_at: Moment,
    /// Whether it is left out of what readers see.
    pub lost: bool,
}

/// Answer to a read.
#[derive(Debug, Clone)]
pub struct FeedPage {
    /// Number of the oldest kept event.
    pub first: u64,
    /// Number to read from next.
    pub next: u64,
    /// The published events.
    pub events: Vec<FeedEvent>,
}

/// Events of one life of the engine.
#[derive(Debug, Clone)]
pub struct CacheFeed {
    faults: FeedFaults,
    events: VecDeque<FeedEvent>,
    next: u64,
}

impl CacheFeed {
    /// Creates a feed whose first event has number 1.
    #[must_use]
    pub const fn new(faults: FeedFaults) -> Self {
        Self {
            faults,
            events: VecDeque::new(),
            next: 1,
        }
    }

    /// Returns the number that the next event gets.
    #[must_use]
    pub const fn next_seq(&self) -> u64 {
        self.next
    }

    /// Adds events that happened now.
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

    /// Returns the published events from a number on; `None` while a reader has to wait for one.
    #[must_use]
    pub fn read(&self, now: Moment, from: u64) -> Option<FeedPage> {
        let page = self.page(now, from);
        let ahead = from > self.next;
        (ahead || page.next > from).then_some(page)
    }

    /// Returns the published events from a number on, possibly none.
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

    /// Returns when the event with a number is published.
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

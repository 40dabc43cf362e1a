//! Pace of an upstream that has started or recovered: how much all instances together may ask of it at
//! once, found from the time to the first token and the refusals with which it answers.

use std::time::Duration;

use super::fleet::FleetMember;
use super::member_load::MemberLoad;
use super::request_limit::rendezvous_weight;
use crate::kernel::Moment;

/// Time to the first token that an upstream may take; half of the 1 s that callers are promised, whose
/// other half is for queues of instances.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(500);

/// Time without an answer after which the turn passes on to the next instance.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Number of turns after which instances that have none try the upstream with one request each.
const SEATED_TURNS: u32 = 2;

/// Unread tokens above which an upstream gets no long prompt in any case; who reads as many in time needs
/// no other bound.
const FULL_TOKENS: u64 = 12_000;

/// Time in which instances learn of the loads of the others near an upstream.
const LOAD_LAG: Duration = Duration::from_millis(500);

/// Shortest time to the first token that is told from none, in microseconds.
const MIN_ANSWER_US: u64 = 1_000;

/// Time for which a finished search is told to other instances.
const FOUND_REPEAT_TIME: Duration = Duration::from_secs(4);

/// Requests and unread prompt tokens at an upstream, of all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceLoad {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens still to be prefilled.
    pub tokens: u64,
}

/// Rank of this instance among those that use an upstream while its pace is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceSeat {
    /// Number of instances before this one; `None` if it is not one of them.
    pub rank: Option<u32>,
    /// Number of the instances.
    pub count: u32,
}

/// Search for the pace of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceSearch {
    /// Time from which answers count.
    pub began_at: Moment,
    /// Time of the newest answer that the room rests on; `began_at` before the first one.
    pub answered_at: Moment,
    /// How much all instances together may have at the upstream.
    pub room: PaceLoad,
}

/// What one instance knows of the pace of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceNews {
    /// The pace is being searched.
    Searching(PaceSearch),
    /// The upstream does full work; it has answered at this moment.
    Found(Moment),
}

/// What has become of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceChange {
    /// The search for the pace has begun.
    Begun,
    /// The upstream does full work after this time.
    Found(Duration),
    /// The room has at least doubled, of which the others near the upstream have to know at once.
    Grown,
    /// Nothing has begun or ended.
    Same,
}

/// Pace of one run of an upstream, on one version of its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamPace {
    /// Search for the pace; `None` while the upstream does full work.
    search: Option<PaceSearch>,
    /// Time of the newest answer to this instance.
    answered_at: Moment,
    /// Time until which others are told that the pace is found.
    told_until: Moment,
    /// Time until which this instance takes only its part, because it may not know the loads of others.
    parted_until: Moment,
    /// Share of this instance.
    pub seat: PaceSeat,
}

impl Default for UpstreamPace {
    fn default() -> Self {
        Self {
            search: None,
            answered_at: Moment::START,
            told_until: Moment::START,
            parted_until: Moment::START,
            seat: PaceSeat::default(),
        }
    }
}

impl PaceSeat {
    /// Returns the seat of an instance among those that use an upstream.
    #[must_use]
    pub fn among(own: u64, instances: &[u64], upstream: u64) -> Self {
        let weight = rendezvous_weight(own, upstream);
        let before = instances
            .iter()
            .filter(|id| rendezvous_weight(**id, upstream) < weight);
        Self {
            rank: instances
                .contains(&own)
                .then_some(u32::try_from(before.count()).unwrap_or(u32::MAX)),
            count: u32::try_from(instances.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns a seat by chance for an instance that knows only how many there are.
    #[must_use]
    pub fn guessed(own: u64, instances: usize, upstream: u64) -> Self {
        let count = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        let chance = rendezvous_weight(own, upstream) % u64::from(count);
        Self {
            rank: u32::try_from(chance).ok(),
            count,
        }
    }

    /// Returns how many of so many requests belong to this instance in a turn.
    fn part(self, requests: u32, turn: u32) -> u32 {
        let (Some(rank), true) = (self.rank, self.count > 0) else {
            return u32::from(turn >= SEATED_TURNS);
        };
        let rank = rank.wrapping_add(turn) % self.count;
        requests / self.count + u32::from(rank < requests % self.count)
    }
}

impl PaceSearch {
    /// Returns the search that begins at an upstream which has so many requests.
    fn begin(now: Moment, in_flight: u32) -> Self {
        Self {
            began_at: now,
            answered_at: now,
            room: PaceLoad {
                requests: (in_flight / 2).max(1),
                tokens: 1,
            },
        }
    }

    /// Applies an answer that took `took` while the upstream had `asked`.
    ///
    /// If the upstream works off one request after the other, the wait grows with what it is asked, so
    /// an answer tells how much would just be answered in [`FIRST_TOKEN_TIME`].
    fn apply_answer(&mut self, now: Moment, asked: PaceLoad, took: Duration) {
        self.answered_at = now;
        let requests = in_first_token_time(u64::from(asked.requests), took);
        let requests = u32::try_from(requests).unwrap_or(u32::MAX).max(1);
        let tokens = in_first_token_time(asked.tokens, took).max(1);
        let room = &mut self.room;
        if took <= FIRST_TOKEN_TIME {
            // Twice as much takes at most twice as long, which is still what callers are promised.
            room.requests = room.requests.max(requests).max(asked.requests * 2);
            room.tokens = room.tokens.max(tokens).max(asked.tokens * 2);
            return;
        }
        // Tokens that were read at the known speed explain the wait; the requests then do not.
        if asked.tokens > 0 && tokens >= room.tokens / 2 {
            room.tokens = tokens;
            return;
        }
        room.requests = room.requests.min(requests);
        room.tokens = room.tokens.min(tokens);
    }

    /// Applies a refusal, or a wait without an answer, while the upstream had `asked`.
    fn apply_refusal(&mut self, now: Moment, asked: PaceLoad) {
        self.answered_at = now;
        let room = &mut self.room;
        room.requests = room.requests.min(asked.requests / 2).max(1);
        room.tokens = room.tokens.min(asked.tokens / 2).max(1);
    }

    /// Returns the number of the present turn.
    fn turn(&self, now: Moment) -> u32 {
        let turns = now.since(self.answered_at).as_millis() / TURN_TIME.as_millis();
        u32::try_from(turns).unwrap_or(u32::MAX)
    }
}

impl UpstreamPace {
    /// Returns the search for the pace; `None` while the upstream does full work.
    #[must_use]
    pub const fn search(&self) -> Option<PaceSearch> {
        self.search
    }

    /// Begins the search anew at an upstream that has so many requests.
    pub fn begin(&mut self, now: Moment, in_flight: u32) {
        self.search = Some(PaceSearch::begin(now, in_flight));
    }

    /// Applies the beginning of an answer to a request that was sent at `sent_at`, with which the
    /// upstream had `asked`.
    pub fn record_answer(
        &mut self,
        now: Moment,
        sent_at: Moment,
        asked: PaceLoad,
        capacity: u32,
    ) -> PaceChange {
        let Some(search) = &mut self.search else {
            self.answered_at = now;
            return PaceChange::Same;
        };
        if sent_at < search.began_at {
            return PaceChange::Same;
        }
        self.answered_at = now;
        let before = search.room.requests;
        search.apply_answer(now, asked, now.since(sent_at));
        let room = search.room;
        let is_full = if asked.tokens > 0 {
            room.tokens >= FULL_TOKENS
        } else {
            room.requests >= capacity
        };
        if is_full {
            return self.end(now);
        }
        if room.requests.min(capacity) >= before.saturating_mul(2) {
            return PaceChange::Grown;
        }
        PaceChange::Same
    }

    /// Applies a refusal of a request that was sent at `sent_at`, with which the upstream had `asked`.
    pub fn record_refusal(&mut self, now: Moment, sent_at: Moment, asked: PaceLoad) {
        let search = self.search.as_mut();
        if let Some(search) = search.filter(|search| sent_at >= search.began_at) {
            search.apply_refusal(now, asked);
        }
    }

    /// Applies what another instance knows. `is_new` tells that this instance has just started, so that
    /// its own answers say little.
    pub fn apply_news(&mut self, now: Moment, news: PaceNews, is_new: bool) -> PaceChange {
        match (&mut self.search, news) {
            (Some(own), PaceNews::Found(answered_at)) if answered_at > own.began_at => {
                self.end(now)
            }
            (Some(own), PaceNews::Searching(theirs)) => {
                if theirs.answered_at > own.answered_at {
                    (own.answered_at, own.room) = (theirs.answered_at, theirs.room);
                }
                PaceChange::Same
            }
            (None, PaceNews::Searching(theirs)) => {
                if is_new || self.answered_at < theirs.began_at {
                    self.search = Some(theirs);
                    return PaceChange::Begun;
                }
                self.told_until = now.after(FOUND_REPEAT_TIME);
                PaceChange::Same
            }
            (_, PaceNews::Found(_)) => PaceChange::Same,
        }
    }

    /// Returns what other instances have to know.
    #[must_use]
    pub fn news(&self, now: Moment) -> Option<PaceNews> {
        match self.search {
            Some(search) => Some(PaceNews::Searching(search)),
            None if self.told_until.is_due(now) => None,
            None => Some(PaceNews::Found(self.answered_at)),
        }
    }

    /// Returns whether this instance may send a further request, where `all` have their requests at the
    /// upstream and `own` are those of this instance.
    fn has_room(&self, now: Moment, all: MemberLoad, own: MemberLoad, capacity: u32) -> bool {
        if all.in_flight >= capacity {
            return false;
        }
        let Some(search) = self.search else {
            let is_parted = self.seat.rank.is_some() && !self.parted_until.is_due(now);
            return !is_parted || own.in_flight < self.seat.part(capacity, 0);
        };
        let requests = search.room.requests.min(capacity);
        let part = self.seat.part(requests, search.turn(now));
        let tokens = search.room.tokens;
        let own_tokens = tokens.saturating_mul(u64::from(part)) / u64::from(requests.max(1));
        all.in_flight < requests
            && all.unread_tokens < tokens
            && own.in_flight < part
            && own.unread_tokens < own_tokens.max(1)
    }

    fn end(&mut self, now: Moment) -> PaceChange {
        let Some(search) = self.search.take() else {
            return PaceChange::Same;
        };
        self.told_until = now.after(FOUND_REPEAT_TIME);
        self.parted_until = now.after(LOAD_LAG);
        self.answered_at = self.answered_at.max(search.answered_at);
        PaceChange::Found(now.since(search.began_at))
    }
}

impl FleetMember {
    /// Returns whether the upstream takes a further request of this instance.
    #[must_use]
    pub fn has_room(&self, now: Moment, is_engine: bool) -> bool {
        let capacity = self.capacity(is_engine);
        self.pace.has_room(now, self.load(now), self.own, capacity)
    }

    /// Returns what the upstream has been asked by all instances, as far as reported.
    #[must_use]
    pub fn asked(&self, now: Moment) -> PaceLoad {
        let load = self.load(now);
        PaceLoad {
            requests: load.in_flight,
            tokens: load.unread_tokens,
        }
    }
}

/// Returns how much is done in [`FIRST_TOKEN_TIME`] if `done` takes `took`.
fn in_first_token_time(done: u64, took: Duration) -> u64 {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let wanted_us = u64::try_from(FIRST_TOKEN_TIME.as_micros()).unwrap_or(u64::MAX);
    done.saturating_mul(wanted_us) / took_us.max(MIN_ANSWER_US)
}

//! Paces of upstreams that have started or recovered: when the search for a pace begins, what answers and
//! other instances tell of it, and the share of this instance.

use std::time::Duration;

use super::state::{DispatchState, RunningRequest};
use crate::decide::fleet::MemberKey;
use crate::decide::member_outcome::MemberOutcome;
use crate::decide::upstream_pace::{PaceChange, PaceSeat};
use crate::events::{UPSTREAM_PACE_FOUND, UPSTREAM_PACED, log_event};
use crate::kernel::{Moment, whole_ms};
use crate::wire::pace_news::WirePace;

/// Time after the first entry of an upstream in which further ones have not started lately, but are new to
/// this instance only.
const FIRST_LISTING_TIME: Duration = Duration::from_secs(4);

/// Number of paces of which one call tells; those of the own data centre come first.
const MAX_NEWS: usize = 64;

/// Why the search for a pace begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PaceCause {
    /// The upstream has started.
    Started,
    /// The upstream has loaded other weights, and its KV cache is empty.
    Reloaded,
    /// The upstream has asked for a pause.
    Paused,
    /// No connection to the upstream can be established.
    Unreachable,
    /// Another instance tells of it.
    Told,
    /// A request was answered.
    Answered,
}

impl PaceCause {
    const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Reloaded => "reloaded",
            Self::Paused => "paused",
            Self::Unreachable => "unreachable",
            Self::Told => "told",
            Self::Answered => "answered",
        }
    }
}

impl DispatchState {
    /// Begins the search for the pace of an upstream whose entry is new.
    pub(super) fn pace_new_entry(&mut self, now: Moment, key: MemberKey) {
        if self.paces_from == Moment::NEVER {
            self.paces_from = now.after(FIRST_LISTING_TIME);
        }
        if self.paces_from.is_due(now) {
            self.begin_pace(now, key, PaceCause::Started);
        }
    }

    /// Begins the search for the pace of an upstream.
    pub(super) fn begin_pace(&mut self, now: Moment, key: MemberKey, cause: PaceCause) {
        let Some(member) = self.fleet.get_mut(key) else {
            return;
        };
        if !self.features.paces_upstreams {
            return;
        }
        let in_flight = member.load(now).in_flight;
        // An upstream that works for others is cut off from this instance only.
        if cause == PaceCause::Unreachable && in_flight > member.own.in_flight {
            return;
        }
        // During a pause nothing is sent; the search begins at its end.
        let begins_at = member.notice.pause_end(now).unwrap_or(now);
        member.pace.begin(begins_at, in_flight);
        self.record_pace_change(now, key, PaceChange::Begun, cause);
    }

    /// Divides the paces that are searched anew, for instances that came or went.
    pub(super) fn divide_paces(&mut self, now: Moment) {
        let members = self.fleet.iter();
        let searched = members.filter(|(_, member)| member.pace.search().is_some());
        let searched: Vec<MemberKey> = searched.map(|(key, _)| key).collect();
        for key in searched {
            self.divide_pace(now, key);
        }
    }

    fn divide_pace(&mut self, now: Moment, key: MemberKey) {
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let candidates = self.users_near(member.entry.data_centre);
        let fleet_size = self.known_fleet_size();
        let seat = if self.may_lack_peers(now) {
            PaceSeat::guessed(self.identity.id, fleet_size, member.id_hash)
        } else {
            PaceSeat::among(self.identity.id, &candidates, member.id_hash)
        };
        if let Some(member) = self.fleet.get_mut(key) {
            member.pace.seat = seat;
        }
    }

    /// Applies the beginning of an answer.
    pub(super) fn record_pace_answer(&mut self, now: Moment, running: &RunningRequest) {
        let is_engine = running.prompt.is_some();
        let Some(member) = self.fleet.get_mut(running.member) else {
            return;
        };
        let capacity = member.capacity(is_engine);
        let pace = &mut member.pace;
        let change = pace.record_answer(now, running.placed_at, running.asked, capacity);
        self.record_pace_change(now, running.member, change, PaceCause::Answered);
    }

    /// Applies the end of a request whose answer had not begun before.
    pub(super) fn record_pace_end(
        &mut self,
        now: Moment,
        running: &RunningRequest,
        outcome: MemberOutcome,
    ) {
        match outcome {
            MemberOutcome::Answered => self.record_pace_answer(now, running),
            MemberOutcome::TurnedAway | MemberOutcome::Lost | MemberOutcome::Silent => {
                if let Some(member) = self.fleet.get_mut(running.member) {
                    let pace = &mut member.pace;
                    pace.record_refusal(now, running.placed_at, running.asked);
                }
            }
            MemberOutcome::Unreachable => {
                self.begin_pace(now, running.member, PaceCause::Unreachable);
            }
            MemberOutcome::Failed
            | MemberOutcome::Misdirected
            | MemberOutcome::Cancelled
            | MemberOutcome::Abandoned => {}
        }
    }

    /// Returns the paces that other instances have to know.
    pub(super) fn pace_news(&self, now: Moment) -> Vec<WirePace> {
        // An instance that has just started knows too little to say that a pace is found.
        let is_new = self.may_lack_peers(now);
        let news = self.fleet.iter().filter_map(|(_, member)| {
            let news = member.pace.news(now)?;
            let run = (
                member.id_hash,
                member.entry.started_unix_ms,
                member.version().unwrap_or(0),
            );
            let is_far = member.entry.data_centre != self.identity.data_centre;
            Some((is_far, WirePace::new(now, run, news)))
        });
        let mut news: Vec<(bool, WirePace)> = news.collect();
        news.retain(|(_, pace)| !is_new || pace.search.is_some());
        news.sort_by_key(|(is_far, _)| *is_far);
        news.truncate(MAX_NEWS);
        news.into_iter().map(|(_, pace)| pace).collect()
    }

    /// Applies what another instance knows of paces.
    pub(super) fn apply_pace_news(&mut self, now: Moment, news: &[WirePace]) {
        if !self.features.paces_upstreams {
            return;
        }
        let is_new = self.may_lack_peers(now);
        for pace in news {
            let Some(key) = self.fleet.find_hash(pace.upstream) else {
                continue;
            };
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            let is_same_run = member.entry.started_unix_ms == pace.born;
            if !is_same_run || member.version().unwrap_or(0) != pace.weights {
                continue;
            }
            let change = member.pace.apply_news(now, pace.news(now), is_new);
            self.record_pace_change(now, key, change, PaceCause::Told);
        }
    }

    /// Logs and counts the beginning or the end of a search.
    fn record_pace_change(
        &mut self,
        now: Moment,
        key: MemberKey,
        change: PaceChange,
        cause: PaceCause,
    ) {
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let id = &member.entry.id;
        match change {
            PaceChange::Same => {}
            PaceChange::Grown => self.has_urgent_news = true,
            PaceChange::Begun => {
                log_event(
                    &UPSTREAM_PACED,
                    &[("upstream", id), ("cause", &cause.name())],
                );
                self.counters.count_pace(cause.name());
                self.divide_pace(now, key);
            }
            PaceChange::Found(after) => {
                let after_ms = whole_ms(after);
                log_event(
                    &UPSTREAM_PACE_FOUND,
                    &[("upstream", id), ("after_ms", &after_ms)],
                );
                self.counters.count_pace("found");
                self.has_urgent_news |= cause == PaceCause::Answered;
            }
        }
    }
}

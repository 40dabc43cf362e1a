//! Limits on the requests that upstreams take from all instances together: this instance's share of
//! each, and what instances tell each other of them.

use std::time::Duration;

use super::state::DispatchState;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::Rank;
use crate::decide::request_limit::{LimitNotice, LimitRate, LimitUsers};
use crate::decide::route_table::{DataCentreId, ServiceId};
use crate::events::log_limit;
use crate::kernel::{Moment, whole_ms};
use crate::wire::peer_rpc::WireUpstreamLimit;

/// Time for which the end of a limit is told to other instances.
const END_REPEAT_TIME: Duration = Duration::from_secs(4);

/// Time after the start of the process in which it may not know all other instances.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Time after which the largest number of instances that was known begins anew.
const FLEET_SIZE_TIME: Duration = Duration::from_secs(30);

/// Numbers of instances that were known at the same time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FleetSize {
    /// Largest number in the present interval and in the one before.
    largest: [usize; 2],
    next_interval: Moment,
}

impl FleetSize {
    fn record(&mut self, now: Moment, size: usize) {
        if self.next_interval.is_due(now) {
            self.next_interval = now.after(FLEET_SIZE_TIME);
            self.largest = [size, self.largest[0]];
        }
        self.largest[0] = self.largest[0].max(size);
    }

    fn lately(self) -> usize {
        self.largest[0].max(self.largest[1])
    }
}

impl DispatchState {
    /// Divides the limits of all upstreams anew, for instances that came or went.
    pub(super) fn divide_limits(&mut self, now: Moment) {
        self.fleet_size.record(now, self.peers.len() + 1);
        let limited = self.fleet.iter();
        let limited = limited.filter(|(_, member)| member.notice.limit.rate.is_some());
        let limited: Vec<MemberKey> = limited.map(|(key, _)| key).collect();
        for key in limited {
            self.divide_limit(now, key);
        }
    }

    /// Divides the limit of one upstream among instances, if possible in its data centre.
    pub(super) fn divide_limit(&mut self, now: Moment, key: MemberKey) {
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let candidates = self.users_near(member.entry.data_centre);
        let users = LimitUsers {
            own: self.identity.id,
            candidates: &candidates,
            fleet_size: self.known_fleet_size(),
            is_uncertain: self.may_lack_peers(now),
        };
        if let Some(member) = self.fleet.get_mut(key) {
            let upstream = member.id_hash;
            member.notice.limit.divide(now, upstream, users);
        }
    }

    /// Returns the instances that share an upstream of a data centre: those there, or all if there are none.
    pub(super) fn users_near(&self, data_centre: DataCentreId) -> Vec<u64> {
        let near = self.instances_in(Some(data_centre));
        if near.is_empty() {
            return self.instances_in(None);
        }
        near
    }

    /// Returns the number of all instances that were known lately.
    pub(super) fn known_fleet_size(&self) -> usize {
        self.fleet_size.lately().max(self.peers.len() + 1)
    }

    /// Returns whether this instance may know only some of the others.
    pub(super) fn may_lack_peers(&self, now: Moment) -> bool {
        let size = self.peers.len() + 1;
        size * 2 < self.known_fleet_size() || now.since(Moment::START) < SETTLING_TIME
    }

    /// Returns the instances of a data centre, or all, that take requests.
    fn instances_in(&self, data_centre: Option<DataCentreId>) -> Vec<u64> {
        let is_in = |place: Option<DataCentreId>| data_centre.is_none() || place == data_centre;
        let peers = self.peers.iter();
        let peers = peers.filter(|(_, peer)| is_in(peer.data_centre));
        let mut instances: Vec<u64> = peers.map(|(id, _)| *id).collect();
        if !self.is_leaving && is_in(Some(self.identity.data_centre)) {
            instances.push(self.identity.id);
        }
        instances
    }

    /// Logs the limit of an upstream if it has changed, and takes the share of this instance.
    pub(super) fn apply_limit_change(
        &mut self,
        now: Moment,
        key: MemberKey,
        before: Option<LimitRate>,
    ) {
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        let rate = member.notice.limit.rate;
        if rate == before {
            return;
        }
        log_limit(&member.entry.id, rate);
        self.counters.count_notice("limited");
        self.divide_limit(now, key);
    }

    /// Returns the limits that other instances have to know.
    pub(super) fn limit_news(&self, now: Moment) -> Vec<WireUpstreamLimit> {
        let known = self.fleet.iter().filter(|(_, member)| {
            let limit = member.notice.limit;
            let is_recent = now.since(limit.said_at) < END_REPEAT_TIME;
            limit.rate.is_some() || (limit.said_at > Moment::START && is_recent)
        });
        let news = known.map(|(_, member)| WireUpstreamLimit {
            upstream: member.id_hash,
            born: member.entry.started_unix_ms,
            per_1000_s: member.notice.limit.rate.map(|rate| rate.0),
            // Rounded up, so that no instance makes news younger by passing it on.
            ago_ms: whole_ms(now.since(member.notice.limit.said_at)).saturating_add(1),
        });
        news.collect()
    }

    /// Applies what other instances know of the limits of upstreams.
    pub(super) fn apply_limit_news(&mut self, now: Moment, news: &[WireUpstreamLimit]) {
        for limit in news {
            let Some(key) = self.fleet.find_hash(limit.upstream) else {
                continue;
            };
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            if member.entry.started_unix_ms != limit.born {
                continue;
            }
            let before = member.notice.limit.rate;
            let said_at = now.before(Duration::from_millis(limit.ago_ms));
            let notice = limit.per_1000_s.map_or(LimitNotice::Unlimited, |rate| {
                LimitNotice::Limited(LimitRate(rate))
            });
            member.notice.limit.apply(said_at, notice);
            self.apply_limit_change(now, key, before);
        }
    }

    /// Returns when it would be a new request's turn, if all upstreams of its service that stay have
    /// limits.
    pub(super) fn limited_turn(
        &self,
        now: Moment,
        service: ServiceId,
        rank: Rank,
    ) -> Option<Moment> {
        let mut per_s = 0.0;
        let mut first = Moment::NEVER;
        for (_, member) in self.fleet.of_service(service) {
            if member.is_leaving() {
                continue;
            }
            per_s += member.notice.limit.own_per_s()?;
            first = first.min(member.notice.closed_until(now).unwrap_or(now));
        }
        if first == Moment::NEVER {
            return None;
        }
        let ahead = self.queues.get(&service).map_or(0, |queue| match rank {
            Rank::Urgent => queue.waiting(Rank::Urgent),
            Rank::Routine => queue.waiting(Rank::Urgent) + queue.waiting(Rank::Routine),
        });
        if ahead == 0 || per_s <= 0.0 {
            return Some(first);
        }
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let wait = Duration::try_from_secs_f64(ahead / per_s).unwrap_or(Duration::MAX);
        Some(first.after(wait))
    }
}

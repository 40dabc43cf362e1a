//! Origins of streams: what is recorded of them here, and which software versions may run a request.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::state::DispatchState;
use crate::decide::fleet::MemberKey;
use crate::decide::software::{SoftwareChoice, SoftwareVersion};
use crate::decide::stream_origins::{
    OriginRecord, SETTLE_TIME, StreamKey, StreamOrigin, StreamOrigins,
};
use crate::gateway::mail::{OriginNews, OriginQuery, PlacementRequest};
use crate::kernel::Moment;
use crate::wire::origin_news::{WireStreamKey, WireStreamOrigin};

/// Number of instances that publish versions again.
const REPEATING_INSTANCES: usize = 2;

/// Maximum number of instances that are asked for the origin of a stream.
const MAX_ORIGIN_SOURCES: usize = 32;

/// Origins of streams, and when the list of upstreams was last found to be up to date.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    pub(super) origins: StreamOrigins,
    /// Time of the last check; `START` before the first one.
    checked_at: Moment,
    /// Number of times that the list was out of date.
    gaps: u64,
}

impl DispatchState {
    /// Records the software version of an upstream that is listed.
    pub(super) fn record_software(&mut self, now: Moment, key: MemberKey) {
        if let Some(member) = self.fleet.get(key) {
            let (service, software) = (member.entry.service, member.entry.software);
            self.stream_origins
                .origins
                .record_listed(now, service, software);
        }
    }

    /// Records the versions that are listed now, and whether the list was out of date.
    pub(super) fn check_software(&mut self, now: Moment) {
        for (_, member) in self.fleet.iter() {
            let (service, software) = (member.entry.service, member.entry.software);
            self.stream_origins
                .origins
                .record_listed(now, service, software);
        }
        let stood_still = now.since(self.stream_origins.checked_at) >= self.identity.drain_limit;
        if stood_still || !self.has_list_since(now, self.identity.drain_limit) {
            self.stream_origins.origins.lose_track();
            self.stream_origins.gaps += 1;
        }
        self.stream_origins.checked_at = now;
    }

    /// Returns whether the list of upstreams lacks at most what was written in the last `limit`. Only the
    /// store can confirm that: an instance without it cannot tell whether it serves others.
    fn has_list_since(&self, now: Moment, limit: Duration) -> bool {
        let health = self.upstream_health;
        if health.confirmed_at == Moment::START {
            return false;
        }
        now.since(health.confirmed_at) < limit
    }

    /// Records that a stream of this instance has begun.
    pub(super) fn record_stream(
        &mut self,
        now: Moment,
        stream: StreamKey,
        software: SoftwareVersion,
    ) {
        let origins = &mut self.stream_origins.origins;
        origins.record_stream(now, stream, software);
    }

    /// Returns the version at which a stream began.
    pub(super) fn find_origin(&self, now: Moment, query: OriginQuery) -> StreamOrigin {
        let is_checked = now.since(self.stream_origins.checked_at) < SETTLE_TIME;
        // A version is published before streams begin at it.
        let limit = if query.has_read {
            self.identity.drain_limit
        } else {
            SETTLE_TIME
        };
        let is_current = is_checked && self.has_list_since(now, limit);
        let origins = &self.stream_origins.origins;
        origins.origin(now, query.service, query.stream, is_current)
    }

    /// Returns the versions at which the request may not begin yet.
    pub(super) fn unsettled_software(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Vec<SoftwareVersion> {
        if request.software != SoftwareChoice::Settled {
            return Vec::new();
        }
        let origins = &self.stream_origins.origins;
        origins.unsettled(now, request.service, self.identity.drain_limit)
    }

    /// Returns what is to be published, and whether what others have published is to be read. Versions that
    /// are published are published again after `repeat_interval`, by a few instances for all.
    pub(super) fn origin_news(&mut self, now: Moment, repeat_interval: Duration) -> OriginNews {
        let peers = self.peers.keys();
        let rank = peers.filter(|peer| **peer < self.identity.id).count();
        let repeat_interval = if rank < REPEATING_INSTANCES {
            repeat_interval
        } else {
            Duration::MAX
        };
        let is_current = self.has_list_since(now, self.identity.drain_limit);
        let origins = &mut self.stream_origins.origins;
        OriginNews {
            record: origins.due_record(now, repeat_interval),
            is_published: origins.is_published(now),
            needs_read: is_current && !origins.is_informed(),
            gaps: self.stream_origins.gaps,
            fleet_size: self.known_fleet_size(),
        }
    }

    /// Applies what others have published. `complete_since` is the number of gaps before a read of all of it.
    pub(super) fn apply_origins(
        &mut self,
        now: Moment,
        records: &[OriginRecord],
        complete_since: Option<u64>,
    ) {
        let origins = &mut self.stream_origins.origins;
        for record in records {
            origins.apply(now, record);
        }
        if complete_since == Some(self.stream_origins.gaps) {
            origins.record_informed();
        }
    }

    /// Returns the origins of streams that instances in touch have to know.
    pub(super) fn stream_news(&self, now: Moment) -> Vec<WireStreamOrigin> {
        let fleet_size = self.known_fleet_size();
        let news = self.stream_origins.origins.news(now, fleet_size);
        let news = news.into_iter();
        news.map(WireStreamOrigin::from).collect()
    }

    /// Returns those of the given streams whose origins are recorded.
    pub(super) fn recorded_origins(
        &self,
        now: Moment,
        streams: &[WireStreamKey],
    ) -> Vec<WireStreamOrigin> {
        let origins = &self.stream_origins.origins;
        let streams = streams.iter().map(|stream| StreamKey::from(*stream));
        let recorded = streams.filter_map(|stream| Some((stream, origins.recorded(now, stream)?)));
        recorded.map(WireStreamOrigin::from).collect()
    }

    /// Returns the addresses of the instances that were last in touch.
    pub(super) fn origin_sources(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.peers.values().collect();
        peers.sort_unstable_by_key(|peer| Reverse(peer.heard_at));
        let addresses = peers.into_iter().filter_map(|peer| peer.address);
        addresses.take(MAX_ORIGIN_SOURCES).collect()
    }

    /// Applies the origins of streams that another instance has sent.
    pub(super) fn apply_origin_news(&mut self, now: Moment, news: Vec<WireStreamOrigin>) {
        let record = OriginRecord {
            listed: Vec::new(),
            streams: news.into_iter().map(Into::into).collect(),
        };
        self.stream_origins.origins.apply(now, &record);
    }
}

//! Software versions at which streams began, so that a stream that is taken up again goes on at its own.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::route_table::ServiceId;
use super::software::SoftwareVersion;
use crate::kernel::Moment;

/// Time after its first event in which a stream may be taken up.
pub const ORIGIN_LIFETIME: Duration = Duration::from_mins(2);

/// Time for which a software version counts after it was last listed. It exceeds [`ORIGIN_LIFETIME`] by the
/// age that a published listing may have when it is read.
pub const LISTING_LIFETIME: Duration = Duration::from_mins(3);

/// Time after a version has joined in which no stream begins at it, so that an instance whose list of
/// upstreams is not older than that knows all versions at which streams have begun.
pub const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time since its last listing for which a version counts as present.
const PRESENT_TIME: Duration = Duration::from_secs(1);

/// Time for which a stream is sent to reachable instances.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Maximum number of streams in one message to another instance, times the number of instances; larger
/// fleets rely on what is published.
const MAX_NEWS: usize = 256;

/// Maximum number of streams that are kept.
const MAX_STREAMS: usize = 131_072;

/// Maximum number of streams in one record.
const MAX_PUBLISHED: usize = 2_048;

/// Stream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamKey {
    /// Service that the stream comes from.
    pub service: ServiceId,
    /// Hash of the identifier of the request that brought its first event.
    pub request: u64,
}

/// Software version of a service, as an instance publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedVersion {
    /// Service of the upstreams.
    pub service: ServiceId,
    /// Version of their software.
    pub software: SoftwareVersion,
    /// Time since an upstream of the version was first listed.
    pub first_ago: Duration,
    /// Time since an upstream of the version was last listed.
    pub last_ago: Duration,
}

/// What instances publish for each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginRecord {
    /// Software versions that are or were listed.
    pub listed: Vec<PublishedVersion>,
    /// Streams, and the versions at which they began.
    pub streams: Vec<(StreamKey, SoftwareVersion)>,
}

impl OriginRecord {
    /// Returns whether there is nothing to publish.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.streams.is_empty()
    }
}

/// What is known of the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The stream began at this version.
    Known(SoftwareVersion),
    /// The stream may have begun at any of several versions.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct StreamBegin {
    software: SoftwareVersion,
    recorded_at: Moment,
    /// Whether this instance has passed on its first event.
    is_own: bool,
}

#[derive(Debug, Clone, Copy)]
struct ListedVersion {
    software: SoftwareVersion,
    first_listed: Moment,
    last_listed: Moment,
    published_at: Option<Moment>,
}

/// Versions at which streams began, and those that were listed lately.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, StreamBegin>,
    /// Streams by the time at which they were recorded.
    order: VecDeque<(Moment, StreamKey)>,
    /// Streams of this instance that are not published.
    unpublished: VecDeque<StreamKey>,
    listed: HashMap<ServiceId, Vec<ListedVersion>>,
    is_informed: bool,
}

impl StreamOrigins {
    /// Records that an upstream of a version is listed.
    pub fn record_listed(&mut self, now: Moment, service: ServiceId, software: SoftwareVersion) {
        let version = self.listed_version(now, service, software);
        version.last_listed = now;
    }

    fn listed_version(
        &mut self,
        now: Moment,
        service: ServiceId,
        software: SoftwareVersion,
    ) -> &mut ListedVersion {
        let versions = self.listed.entry(service).or_default();
        let known = versions.iter().position(|known| known.software == software);
        let index = known.unwrap_or_else(|| {
            versions.push(ListedVersion {
                software,
                first_listed: now,
                last_listed: now,
                published_at: None,
            });
            versions.len() - 1
        });
        &mut versions[index]
    }

    /// Records that a stream of this instance has begun.
    pub fn record_stream(&mut self, now: Moment, stream: StreamKey, software: SoftwareVersion) {
        if self.insert(now, stream, software, true) {
            self.unpublished.push_back(stream);
        }
    }

    /// Adds a stream; returns `false` if it is known.
    fn insert(
        &mut self,
        now: Moment,
        stream: StreamKey,
        software: SoftwareVersion,
        is_own: bool,
    ) -> bool {
        self.forget(now);
        if self.streams.contains_key(&stream) {
            return false;
        }
        let begin = StreamBegin {
            software,
            recorded_at: now,
            is_own,
        };
        self.streams.insert(stream, begin);
        self.order.push_back((now, stream));
        true
    }

    /// Applies what another instance has published.
    pub fn apply(&mut self, now: Moment, record: &OriginRecord) {
        for published in &record.listed {
            let last_listed = now.before(published.last_ago);
            let version = self.listed_version(last_listed, published.service, published.software);
            // A record may be as old as the store keeps it, so only present versions count.
            if published.last_ago < PRESENT_TIME {
                version.last_listed = now;
            }
            version.first_listed = version.first_listed.min(now.before(published.first_ago));
            version.published_at = Some(now);
        }
        for (stream, software) in &record.streams {
            self.insert(now, *stream, *software, false);
        }
    }

    /// Records that all that others had published was read, and since then the list of upstreams was
    /// never out of date.
    pub const fn record_informed(&mut self) {
        self.is_informed = true;
    }

    /// Records that the list of upstreams was out of date or may have been.
    pub const fn lose_track(&mut self) {
        self.is_informed = false;
    }

    /// Has all that is still known published anew, because the store has lost it.
    pub fn publish_again(&mut self) {
        for version in self.listed.values_mut().flatten() {
            version.published_at = None;
        }
        let streams = self.order.iter().map(|(_, stream)| *stream);
        let is_own =
            |stream: &StreamKey| self.streams.get(stream).is_some_and(|begin| begin.is_own);
        self.unpublished = streams.filter(is_own).collect();
        self.is_informed = false;
    }

    /// Returns whether what others have published was read and the list was up to date since.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Returns the version at which a stream began, if that is recorded.
    #[must_use]
    pub fn recorded(&self, now: Moment, stream: StreamKey) -> Option<SoftwareVersion> {
        let begin = self.streams.get(&stream)?;
        is_alive(now, begin.recorded_at).then_some(begin.software)
    }

    /// Returns the version at which a stream began. `is_current` tells whether the list of upstreams has
    /// every version that any instance has used.
    #[must_use]
    pub fn origin(
        &self,
        now: Moment,
        service: ServiceId,
        stream: Option<StreamKey>,
        is_current: bool,
    ) -> StreamOrigin {
        if let Some(software) = stream.and_then(|stream| self.recorded(now, stream)) {
            return StreamOrigin::Known(software);
        }
        let mut versions = self.versions(now, service);
        match (versions.next(), versions.next()) {
            (Some(only), None) if self.is_informed && is_current => {
                StreamOrigin::Known(only.software)
            }
            _ => StreamOrigin::Unknown,
        }
    }

    /// Returns the versions at which no stream may begin yet: those that are not published, for up to
    /// `publish_limit` after they were first listed, and those that have joined lately.
    #[must_use]
    pub fn unsettled(
        &self,
        now: Moment,
        service: ServiceId,
        publish_limit: Duration,
    ) -> Vec<SoftwareVersion> {
        let has_several = self.versions(now, service).count() > 1;
        let versions = self.versions(now, service);
        let unsettled = versions.filter(|version| {
            let age = now.since(version.first_listed);
            (version.published_at.is_none() && age < publish_limit)
                || (has_several && age < SETTLE_TIME)
        });
        unsettled.map(|version| version.software).collect()
    }

    /// Returns whether a service has several versions and all of them have joined lately, as far as known.
    #[must_use]
    pub fn has_only_joined(&self, now: Moment) -> bool {
        self.listed.keys().any(|service| {
            let mut versions = self.versions(now, *service);
            let is_new = |version: &ListedVersion| now.since(version.first_listed) < SETTLE_TIME;
            self.versions(now, *service).count() > 1 && versions.all(is_new)
        })
    }

    /// Returns what other instances have to know. Versions are published again after `repeat_interval`.
    #[must_use]
    pub fn due_record(&mut self, now: Moment, repeat_interval: Duration) -> OriginRecord {
        self.forget(now);
        let streams = &self.streams;
        self.unpublished
            .retain(|stream| streams.contains_key(stream));
        let unpublished = self.unpublished.iter();
        let several = unpublished.filter(|stream| self.versions(now, stream.service).count() > 1);
        let streams = several
            .filter_map(|stream| Some((*stream, self.streams.get(stream)?.software)))
            .take(MAX_PUBLISHED);
        let services = self.listed.iter();
        let listed = services.flat_map(|(service, versions)| {
            let due = versions.iter();
            let due = due.filter(|version| version.is_due(now, repeat_interval));
            due.map(|version| PublishedVersion {
                service: *service,
                software: version.software,
                first_ago: now.since(version.first_listed),
                last_ago: now.since(version.last_listed),
            })
        });
        OriginRecord {
            listed: listed.collect(),
            streams: streams.collect(),
        }
    }

    /// Returns the streams of which instances that are in touch are told, before or while they cannot be
    /// published.
    #[must_use]
    pub fn news(&self, now: Moment, fleet_size: usize) -> Vec<(StreamKey, SoftwareVersion)> {
        let newest = self.order.iter().rev();
        let newest = newest.take_while(|(recorded_at, _)| now.since(*recorded_at) < NEWS_TIME);
        let news = newest.filter_map(|(_, stream)| {
            let begin = self.streams.get(stream).filter(|begin| begin.is_own)?;
            let has_several = self.versions(now, stream.service).count() > 1;
            has_several.then_some((*stream, begin.software))
        });
        news.take(MAX_NEWS / fleet_size.max(1)).collect()
    }

    /// Records that a record of this instance is published.
    pub fn record_published(&mut self, now: Moment, record: &OriginRecord) {
        for version in &record.listed {
            let published = self.listed_version(now, version.service, version.software);
            published.published_at = Some(now);
        }
        let published: std::collections::HashSet<StreamKey> =
            record.streams.iter().map(|(stream, _)| *stream).collect();
        self.unpublished
            .retain(|stream| !published.contains(stream));
    }

    /// Returns whether versions are listed and none is to be published.
    #[must_use]
    pub fn is_published(&self, now: Moment) -> bool {
        let mut versions = self.listed.values().flatten();
        !self.listed.is_empty() && versions.all(|version| !version.is_due(now, Duration::MAX))
    }

    /// Returns the number of streams that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no streams are kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn versions(&self, now: Moment, service: ServiceId) -> impl Iterator<Item = &ListedVersion> {
        let versions = self.listed.get(&service).into_iter().flatten();
        versions.filter(move |version| now.since(version.last_listed) < LISTING_LIFETIME)
    }

    /// Removes streams that are too old to be taken up, and the oldest of too many.
    fn forget(&mut self, now: Moment) {
        while let Some((recorded_at, stream)) = self.order.front().copied() {
            if is_alive(now, recorded_at) && self.order.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            self.streams.remove(&stream);
        }
    }
}

impl ListedVersion {
    fn is_due(&self, now: Moment, repeat_interval: Duration) -> bool {
        let is_listed = now.since(self.last_listed) < LISTING_LIFETIME;
        let is_published = |at: Moment| now.since(at) < repeat_interval;
        is_listed && !self.published_at.is_some_and(is_published)
    }
}

fn is_alive(now: Moment, recorded_at: Moment) -> bool {
    now.since(recorded_at) < ORIGIN_LIFETIME
}

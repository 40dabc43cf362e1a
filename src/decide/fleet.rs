//! Upstreams of all services: their registrations, and their load and failures as observed here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::hashing::name_hash;
use super::member_load::LoadSource;
pub use super::member_load::MemberLoad;
use super::member_notice::MemberNotice;
pub use super::member_outcome::MemberOutcome;
use super::route_table::{DataCentreId, ServiceId};
use super::software::SoftwareVersion;
use super::stated_weights::StatedWeights;
use super::unlisted_notices::UnlistedNotices;
use super::upstream_pace::UpstreamPace;
use crate::kernel::{Arena, Key, Moment};

/// Pause of an upstream after a failed connection attempt; doubled by each further one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause after failed connection attempts.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(3_200);

/// Pause of an upstream after it rejected a request without running it; doubled by each further
/// one until it answers.
const REJECTED_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after rejected requests.
const MAX_REJECTED_PAUSE: Duration = Duration::from_millis(480);

/// Divisor of the slots of a plain upstream that gives how many requests may wait in its own queue.
const PLAIN_QUEUE_DIVISOR: u32 = 3;

/// Weight of one outcome in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.15;

/// Key of an upstream in the fleet.
pub type MemberKey = Key<FleetMember>;

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Model and version of the weights that an upstream has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberWeights {
    /// Hash of the model's name.
    pub model: u64,
    /// Version of the weights; only increases.
    pub version: u64,
}

/// Registration of an upstream, as published in the store or reported by the upstream itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of the upstream; a restarted upstream may keep it.
    pub id: String,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Address for requests; another upstream may use it later.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: MemberState,
    /// Start time in Unix milliseconds; differs between runs under the same `id`.
    pub started_unix_ms: u64,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// Loaded weights; `None` for upstreams that are not model engines.
    pub weights: Option<MemberWeights>,
}

/// One upstream of the fleet.
#[derive(Debug, Clone)]
pub struct FleetMember {
    /// Registration of the upstream.
    pub entry: UpstreamEntry,
    /// Hash of the entry's `id`; identifies the upstream in messages between instances.
    pub id_hash: u64,
    /// Load from this instance.
    pub own: MemberLoad,
    /// Time until which the upstream is not used after failed connection attempts.
    pub down_until: Moment,
    /// Time until which the upstream is not used because it loads weights or is about to.
    pub held_until: Moment,
    /// Whether the order behind `held_until` comes from this instance.
    pub is_own_hold: bool,
    /// Time until which the upstream is not used because it rejected a request.
    pub busy_until: Moment,
    /// Weights that the upstream is stated to run, until its entry decides.
    pub stated: StatedWeights,
    /// What the upstream has said of itself in its responses.
    pub notice: MemberNotice,
    /// How much the upstream may be asked at once after a start or a recovery.
    pub pace: UpstreamPace,
    /// Moving average of the share of requests that failed, from 0 to 1.
    pub failure_share: f64,
    /// Tokens that all instances have added to the KV cache, as far as reported.
    pub total_added_tokens: u64,
    reconnect_pause: Duration,
    rejected_pause: Duration,
    pub(super) peer_loads: HashMap<LoadSource, (MemberLoad, Moment)>,
}

/// Effect of an applied entry on the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// The upstream was not listed before.
    Added(MemberKey),
    /// The upstream has restarted; the old key is no longer valid.
    Restarted {
        /// Key before the restart.
        old: MemberKey,
        /// Key after the restart.
        new: MemberKey,
    },
    /// The upstream has loaded other weights.
    Reloaded(MemberKey),
    /// The state or another property of the upstream has changed.
    Updated(MemberKey),
    /// Nothing has changed.
    Same(MemberKey),
}

/// All upstreams, indexed by `id` and by service.
#[derive(Debug, Default)]
pub struct Fleet {
    members: Arena<FleetMember>,
    by_id: HashMap<String, MemberKey>,
    by_service: HashMap<ServiceId, Vec<MemberKey>>,
    unlisted: UnlistedNotices,
}

impl Fleet {
    /// Adds or updates the upstream that an entry describes.
    ///
    /// # Panics
    ///
    /// Panics if the index by `id` refers to an upstream that is not stored.
    pub fn apply(&mut self, entry: UpstreamEntry) -> EntryChange {
        let Some(old) = self.by_id.get(&entry.id).copied() else {
            return EntryChange::Added(self.insert(entry));
        };
        let member = self
            .members
            .get_mut(old)
            .expect("indexed upstreams are stored");
        let known = &member.entry;
        let is_same_run = known.started_unix_ms == entry.started_unix_ms
            && known.address == entry.address
            && known.service == entry.service
            && known.software == entry.software;
        if !is_same_run {
            self.remove(old);
            return EntryChange::Restarted {
                old,
                new: self.insert(entry),
            };
        }
        let previous = known.clone();
        if previous.state == MemberState::Draining && entry.state == MemberState::Ready {
            member.notice.left_at = None;
        }
        let known_weights = member.weights();
        member.entry = entry;
        if let Some(listed) = member.entry.weights {
            member.stated.record_listed(listed.version);
        }
        if known_weights != member.weights() {
            EntryChange::Reloaded(old)
        } else if previous != member.entry {
            EntryChange::Updated(old)
        } else {
            EntryChange::Same(old)
        }
    }

    fn insert(&mut self, entry: UpstreamEntry) -> MemberKey {
        let id = entry.id.clone();
        let service = entry.service;
        let notice = self.unlisted.take(&entry);
        let key = self.members.insert(FleetMember {
            id_hash: name_hash(&entry.id),
            entry,
            own: MemberLoad::default(),
            down_until: Moment::START,
            held_until: Moment::START,
            is_own_hold: false,
            busy_until: Moment::START,
            stated: StatedWeights::default(),
            notice,
            pace: UpstreamPace::default(),
            failure_share: 0.0,
            total_added_tokens: 0,
            reconnect_pause: RECONNECT_PAUSE,
            rejected_pause: REJECTED_PAUSE,
            peer_loads: HashMap::new(),
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes an upstream and returns it; requests running there are not affected.
    pub fn remove(&mut self, key: MemberKey) -> Option<FleetMember> {
        let member = self.members.remove(key)?;
        self.by_id.remove(&member.entry.id);
        self.unlisted.keep(&member.entry, member.notice);
        if let Some(keys) = self.by_service.get_mut(&member.entry.service) {
            keys.retain(|listed| *listed != key);
        }
        Some(member)
    }

    /// Returns the key of the upstream with an `id`.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<MemberKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the upstream whose `id` has this hash.
    #[must_use]
    pub fn find_hash(&self, id_hash: u64) -> Option<MemberKey> {
        let mut members = self.members.iter();
        members
            .find(|(_, member)| member.id_hash == id_hash)
            .map(|(key, _)| key)
    }

    /// Returns the upstream with a key, or `None` after its removal.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&FleetMember> {
        self.members.get(key)
    }

    /// Returns the upstream with a key for modification, or `None` after its removal.
    pub fn get_mut(&mut self, key: MemberKey) -> Option<&mut FleetMember> {
        self.members.get_mut(key)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &FleetMember)> {
        self.members.iter()
    }

    /// Iterates over the upstreams of a service.
    pub fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (MemberKey, &FleetMember)> {
        let keys = self.by_service.get(&service).map(Vec::as_slice);
        let keys = keys.unwrap_or_default().iter();
        keys.filter_map(|key| Some((*key, self.members.get(*key)?)))
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the fleet is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl FleetMember {
    /// Returns whether the upstream can be sent new requests now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        let pauses = [self.down_until, self.held_until, self.busy_until];
        self.entry.state == MemberState::Ready
            && self.notice.is_open(now)
            && pauses.iter().all(|pause| pause.is_due(now))
    }

    /// Returns whether the upstream has left or will, by its entry or by its responses.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.entry.state == MemberState::Draining || self.notice.left_at.is_some()
    }

    /// Returns whether the upstream stays and has not asked for a pause, so that requests and orders may
    /// be sent.
    #[must_use]
    pub fn wants_requests(&self, now: Moment) -> bool {
        !self.is_leaving() && self.notice.pause_end(now).is_none()
    }

    /// Returns how many requests may be in flight at the upstream.
    #[must_use]
    pub const fn capacity(&self, is_engine: bool) -> u32 {
        let slots = self.entry.slots;
        if is_engine {
            slots
        } else {
            slots + slots / PLAIN_QUEUE_DIVISOR
        }
    }

    /// Returns the loaded weights, by the entry or by newer statements.
    #[must_use]
    pub fn weights(&self) -> Option<MemberWeights> {
        self.entry.weights.map(|listed| MemberWeights {
            version: self.stated.version(listed.version),
            ..listed
        })
    }

    /// Returns the version of the loaded weights, by the entry or by newer statements.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.weights().map(|weights| weights.version)
    }

    /// Records that a request from this instance adds tokens to the KV cache.
    pub const fn record_added_tokens(&mut self, tokens: u64) {
        self.own.added_tokens += tokens;
        self.total_added_tokens += tokens;
    }

    /// Records that the upstream has begun to answer a request.
    pub fn record_answer(&mut self, now: Moment) {
        self.notice.record_answer(now, self.entry.slots);
    }

    /// Records the end of a request that was sent to the upstream. `has_begun` tells whether its answer
    /// had begun before.
    pub fn record_end(&mut self, now: Moment, outcome: MemberOutcome, has_begun: bool) {
        match outcome {
            _ if has_begun => {}
            MemberOutcome::Answered => self.record_answer(now),
            _ => self.notice.record_failure(now, self.entry.slots),
        }
        self.record_outcome(now, outcome);
    }

    /// Updates failure share and pauses from an outcome.
    pub fn record_outcome(&mut self, now: Moment, outcome: MemberOutcome) {
        match outcome {
            MemberOutcome::Answered => {
                self.failure_share -= self.failure_share * FAILURE_SMOOTHING;
                self.reconnect_pause = RECONNECT_PAUSE;
                self.rejected_pause = REJECTED_PAUSE;
            }
            MemberOutcome::Failed | MemberOutcome::Lost | MemberOutcome::Silent => {
                self.failure_share += (1.0 - self.failure_share) * FAILURE_SMOOTHING;
            }
            MemberOutcome::TurnedAway if self.busy_until.is_due(now) => {
                self.busy_until = now.after(self.rejected_pause);
                self.rejected_pause = (self.rejected_pause * 2).min(MAX_REJECTED_PAUSE);
            }
            MemberOutcome::Unreachable | MemberOutcome::Misdirected => {
                self.down_until = now.after(self.reconnect_pause);
                self.reconnect_pause = (self.reconnect_pause * 2).min(MAX_RECONNECT_PAUSE);
            }
            // A request that was rejected during the pause was sent before it began.
            MemberOutcome::TurnedAway | MemberOutcome::Cancelled | MemberOutcome::Abandoned => {}
        }
    }
}

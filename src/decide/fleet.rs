//! Upstreams of all services: what they say of themselves, and what this instance knows of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::hashing::name_hash;
use super::route_table::{PlaceId, ServiceId};
use crate::kernel::{Arena, Key, Moment};

/// Pause after a failed dial before an upstream is used again; it doubles with each further one.
const DOWN_PAUSE: Duration = Duration::from_millis(400);

/// Longest such pause.
const MAX_DOWN_PAUSE: Duration = Duration::from_millis(3_200);

/// Pause after an upstream turned a request away without running it.
const BUSY_PAUSE: Duration = Duration::from_millis(60);

/// Age up to which another instance's count of its requests is used; instances of other data
/// centres are met every three seconds at least.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(3_500);

/// Share by which one outcome moves the observed share of failures.
const FAILURE_STEP: f64 = 0.15;

/// Addresses one upstream.
pub type MemberKey = Key<FleetMember>;

/// Whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It may.
    Ready,
    /// It is leaving.
    Draining,
}

/// Weights that an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberWeights {
    /// Hash of the model's name.
    pub model: u64,
    /// Version; only grows.
    pub version: u64,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identity; a restart may keep it.
    pub id: String,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address; may be used again by another upstream later.
    pub address: SocketAddr,
    /// Data centre.
    pub place: PlaceId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: MemberState,
    /// Unix milliseconds of its start; tells lives under one identity apart.
    pub born: u64,
    /// Weights that it runs, for model engines.
    pub weights: Option<MemberWeights>,
}

/// Work that one instance has at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberLoad {
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens still to be read, of requests that have produced nothing yet.
    pub unread_tokens: u64,
    /// Tokens of prompts and answers of all these requests.
    pub memory_tokens: u64,
    /// Tokens that this instance has added to the upstream's memory since it knows the upstream.
    pub added_tokens: u64,
}

/// How a request ended at an upstream, as far as it tells of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOutcome {
    /// It was answered.
    Answered,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The upstream turned the request away without running it.
    TurnedAway,
    /// Another upstream is at the address.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The connection ended, or what came was no answer.
    Lost,
    /// Nothing came in time.
    Silent,
    /// The request was given up for reasons that tell nothing of the upstream.
    Abandoned,
}

impl MemberOutcome {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::TurnedAway => "turned_away",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
        }
    }
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct FleetMember {
    /// What it says of itself.
    pub entry: UpstreamEntry,
    /// Hash of its identity, for messages between instances.
    pub id_hash: u64,
    /// Work from this instance.
    pub own: MemberLoad,
    /// Moment until which it is left out after failed dials.
    pub down_until: Moment,
    /// Moment until which it is left out because weights are loaded, or are about to be.
    pub held_until: Moment,
    /// Whether this instance gives the order that it is held for.
    pub is_own_hold: bool,
    /// Moment until which it is left out because it turned a request away.
    pub busy_until: Moment,
    /// Share of recent requests that failed, 0 to 1.
    pub failure_share: f64,
    /// Tokens that all instances have added to its memory, as far as known.
    pub read_mark: u64,
    down_pause: Duration,
    peer_loads: HashMap<u64, (MemberLoad, Moment)>,
}

/// What an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// A new upstream.
    Added(MemberKey),
    /// A known upstream that has started anew; the old key is gone.
    Restarted {
        /// Key of its earlier life.
        old: MemberKey,
        /// Key of its present life.
        new: MemberKey,
    },
    /// A known upstream with other weights.
    Reloaded(MemberKey),
    /// A known upstream whose state changed.
    Updated(MemberKey),
    /// Nothing that matters.
    Same(MemberKey),
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    members: Arena<FleetMember>,
    by_id: HashMap<String, MemberKey>,
    by_service: HashMap<ServiceId, Vec<MemberKey>>,
}

impl Fleet {
    /// Takes in an entry.
    ///
    /// # Panics
    ///
    /// Panics when the index names an upstream that is not stored.
    pub fn apply(&mut self, entry: UpstreamEntry) -> EntryChange {
        let Some(old) = self.by_id.get(&entry.id).copied() else {
            return EntryChange::Added(self.insert(entry));
        };
        let member = self.members.get_mut(old).expect("listed members exist");
        let known = &member.entry;
        let is_same_life = known.born == entry.born
            && known.address == entry.address
            && known.service == entry.service;
        if !is_same_life {
            self.remove(old);
            return EntryChange::Restarted {
                old,
                new: self.insert(entry),
            };
        }
        let was = known.clone();
        let known_version = known.weights.map_or(0, |weights| weights.version);
        let mut entry = entry;
        // What the upstream said itself may be newer than its entry.
        if entry
            .weights
            .is_some_and(|weights| weights.version < known_version)
        {
            entry.weights = known.weights;
        }
        member.entry = entry;
        if was.weights != member.entry.weights {
            EntryChange::Reloaded(old)
        } else if was != member.entry {
            EntryChange::Updated(old)
        } else {
            EntryChange::Same(old)
        }
    }

    fn insert(&mut self, entry: UpstreamEntry) -> MemberKey {
        let id = entry.id.clone();
        let service = entry.service;
        let key = self.members.insert(FleetMember {
            id_hash: name_hash(&entry.id),
            entry,
            own: MemberLoad::default(),
            down_until: Moment::START,
            held_until: Moment::START,
            is_own_hold: false,
            busy_until: Moment::START,
            failure_share: 0.0,
            read_mark: 0,
            down_pause: DOWN_PAUSE,
            peer_loads: HashMap::new(),
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes an upstream; requests that run there go on without it.
    pub fn remove(&mut self, key: MemberKey) -> Option<FleetMember> {
        let member = self.members.remove(key)?;
        self.by_id.remove(&member.entry.id);
        if let Some(keys) = self.by_service.get_mut(&member.entry.service) {
            keys.retain(|listed| *listed != key);
        }
        Some(member)
    }

    /// Returns the upstream with an identity.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<MemberKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the upstream with the hash of an identity.
    #[must_use]
    pub fn find_hash(&self, id_hash: u64) -> Option<MemberKey> {
        let mut members = self.members.iter();
        members
            .find(|(_, member)| member.id_hash == id_hash)
            .map(|(key, _)| key)
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&FleetMember> {
        self.members.get(key)
    }

    /// Returns an upstream for change.
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

    /// Returns how many upstreams there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl FleetMember {
    /// Tells whether the upstream may be sent new work now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        let pauses = [self.down_until, self.held_until, self.busy_until];
        self.entry.state == MemberState::Ready && pauses.iter().all(|pause| pause.is_due(now))
    }

    /// Returns the version of the weights that it runs.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.entry.weights.map(|weights| weights.version)
    }

    /// Returns the work of all instances there, as far as known.
    #[must_use]
    pub fn load(&self, now: Moment) -> MemberLoad {
        let live = self
            .peer_loads
            .values()
            .filter(|(_, heard)| now.since(*heard) < PEER_LOAD_LIFETIME);
        live.fold(self.own, |sum, (load, _)| MemberLoad {
            in_flight: sum.in_flight + load.in_flight,
            unread_tokens: sum.unread_tokens + load.unread_tokens,
            memory_tokens: sum.memory_tokens + load.memory_tokens,
            added_tokens: sum.added_tokens,
        })
    }

    /// Notes that this instance has the upstream add tokens to its memory.
    pub const fn note_added(&mut self, tokens: u64) {
        self.own.added_tokens += tokens;
        self.read_mark += tokens;
    }

    /// Takes in the work that another instance has there, and what it has added since it was heard.
    pub fn note_peer_load(&mut self, now: Moment, peer: u64, load: MemberLoad) {
        if load == MemberLoad::default() {
            self.peer_loads.remove(&peer);
            return;
        }
        let known = self.peer_loads.insert(peer, (load, now));
        let before = known.map_or(0, |(known, _)| known.added_tokens);
        // A smaller total comes from an instance that has started anew.
        let grown = load.added_tokens.checked_sub(before);
        self.read_mark += grown.unwrap_or(load.added_tokens);
    }

    /// Learns from how a request ended.
    pub fn note_outcome(&mut self, now: Moment, outcome: MemberOutcome) {
        match outcome {
            MemberOutcome::Answered => {
                self.failure_share -= self.failure_share * FAILURE_STEP;
                self.down_pause = DOWN_PAUSE;
            }
            MemberOutcome::Failed | MemberOutcome::Lost | MemberOutcome::Silent => {
                self.failure_share += (1.0 - self.failure_share) * FAILURE_STEP;
            }
            MemberOutcome::TurnedAway => self.busy_until = now.after(BUSY_PAUSE),
            MemberOutcome::Unreachable | MemberOutcome::Misdirected => {
                self.down_until = now.after(self.down_pause);
                self.down_pause = (self.down_pause * 2).min(MAX_DOWN_PAUSE);
            }
            MemberOutcome::Abandoned => {}
        }
    }
}

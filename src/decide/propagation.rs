//! Propagation of the configuration from the log to all processes.
//!
//! Every process keeps two long polls open, one at its parent in a tree of sidecars and one at a
//! random sidecar; each is answered as soon as there are newer records. A few sidecars, the
//! designated readers, read the log. A response names the reader that was last up to date with
//! the log, and how long ago. When this evidence becomes stale, other processes probe the log, and
//! those that reach it continue to read until they know of enough other readers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::hashing::name_hash;
use super::ids::{LogOffset, LogPosition};
use super::snapshot_timer::random_moment;
use crate::kernel::Moment;

/// Parameters of the propagation.
#[derive(Debug, Clone, Copy)]
pub struct PropagationPolicy {
    /// Number of designated readers: sidecars that read the log whenever they can reach it.
    pub designated_readers: usize,
    /// Number of child sidecars of each sidecar in the tree.
    pub fan_out: usize,
    /// Time after which evidence is stale, in milliseconds.
    pub stale_ms: u64,
    /// Time for which a starting process waits for its peers before it probes the log, and
    /// interval over which processes that start together distribute their probes, in
    /// milliseconds.
    pub start_ms: u64,
    /// Interval over which all processes distribute their probes once evidence is stale, in
    /// milliseconds.
    pub probe_jitter_ms: u64,
    /// Maximum delay between two probes of a process that fails to reach the log, in
    /// milliseconds.
    pub max_probe_ms: u64,
    /// Number of other readers that must be up to date before a reader that is not designated
    /// stops reading.
    pub min_other_readers: usize,
    /// Minimum time for which a process that reached the log continues to read, in milliseconds.
    pub min_reader_ms: u64,
    /// Base of the exponential backoff after failed reads of the log, longest delay between two reads
    /// of a designated reader, and delay before the next attempt when all peers have failed, in
    /// milliseconds. Operators wait a second for all processes after an outage.
    pub retry_ms: u64,
    /// Time for which a sidecar that did not respond is avoided, in milliseconds.
    pub avoid_ms: u64,
}

/// Parameters for normal operation.
pub const DEFAULT_POLICY: PropagationPolicy = PropagationPolicy {
    designated_readers: 8,
    fan_out: 4,
    stale_ms: 8_000,
    start_ms: 500,
    probe_jitter_ms: 4_000,
    max_probe_ms: 15_000,
    min_other_readers: 4,
    min_reader_ms: 60_000,
    retry_ms: 500,
    avoid_ms: 30_000,
};

/// Maximum number of readers whose evidence is kept.
const MAX_READERS: usize = 16;

/// Maximum number of sidecars that are avoided at the same time.
const MAX_AVOIDED: usize = 64;

/// Next action of the task that reads the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogStep {
    /// Read the log and wait there for new records.
    Follow,
    /// Read the log once, without waiting for new records.
    Probe,
    /// Do not read the log until the deadline.
    WaitUntil(Moment),
}

/// Next action of a task that fetches the configuration from sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStep {
    /// Fetch from a sidecar, which may wait for newer records before it responds.
    FetchFromPeer(SocketAddr),
    /// No sidecar can be asked now; check again at the deadline.
    WaitUntil(Moment),
}

/// Propagation state of one process.
#[derive(Debug, Clone)]
pub struct PropagationState {
    /// Parameters of the propagation.
    pub policy: PropagationPolicy,
    /// Name of the process; its hash identifies the process as a reader and selects the parent
    /// of an entry.
    pub own_name: String,
    /// Addresses of the sidecars named in the settings.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of all known sidecars except this process, in the same order at every process.
    pub peers: Vec<SocketAddr>,
    /// Position of this sidecar in the order of all sidecars; `None` for an entry.
    pub position: Option<usize>,
    /// Latest evidence of each known reader, including this process.
    pub readers: Vec<LogEvidence>,
    /// Time until which this process reads the log although it is not a designated reader.
    pub reader_until: Moment,
    /// Earliest time of this process's next access to the log.
    pub probe_at: Moment,
    /// Number of failed reads of the log since the last successful one.
    pub failures: u32,
    /// Sidecar that is known to have newer records, and its position.
    pub newer_peer: Option<PeerPosition>,
    avoided: Vec<AvoidedPeer>,
}

/// Evidence that a reader was up to date with the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvidence {
    /// Reader that was up to date.
    pub reader: ReaderId,
    /// Last time at which the reader is known to have been up to date.
    pub at: Moment,
}

/// Identifier of a process that reads the log: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReaderId(pub u64);

/// Kind of a long poll that a process keeps open at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Call to the parent of the process in the tree of sidecars.
    Parent,
    /// Call to a random sidecar.
    Random,
}

/// Position up to which a sidecar has replayed the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerPosition {
    /// Address of the sidecar.
    pub peer: SocketAddr,
    /// Position of the next record that the sidecar replays.
    pub next: LogPosition,
}

#[derive(Debug, Clone, Copy)]
struct AvoidedPeer {
    peer: SocketAddr,
    until: Moment,
}

impl PropagationState {
    /// Creates the state of a process that knows only the sidecars named in its settings.
    #[must_use]
    pub fn new(policy: PropagationPolicy, own_name: &str, seeds: Vec<SocketAddr>) -> Self {
        let mut state = Self {
            policy,
            own_name: own_name.to_owned(),
            seeds,
            peers: Vec::new(),
            position: None,
            readers: Vec::new(),
            reader_until: Moment::START,
            probe_at: Moment::START,
            failures: 0,
            newer_peer: None,
            avoided: Vec::new(),
        };
        state.set_sidecars(&[], None);
        state
    }

    /// Sets the addresses of the declared sidecars and of this process, `None` for an entry.
    pub fn set_sidecars(&mut self, declared: &[SocketAddr], own: Option<SocketAddr>) {
        let mut peers: Vec<SocketAddr> = declared.iter().chain(&self.seeds).copied().collect();
        peers.sort_by_cached_key(|peer| (name_hash(&peer.to_string()), *peer));
        peers.dedup();
        self.position = own.and_then(|own| peers.iter().position(|peer| *peer == own));
        peers.retain(|peer| Some(*peer) != own);
        self.peers = peers;
    }

    /// Returns whether this process was up to date with the log within the last `stale_ms`.
    #[must_use]
    pub fn reads_log(&self, now: Moment) -> bool {
        let own = ReaderId(name_hash(&self.own_name));
        let stale_time = ms(self.policy.stale_ms);
        let mut known = self.readers.iter();
        known.any(|known| known.reader == own && !known.at.after(stale_time).is_due(now))
    }

    /// Returns the next action of the task that reads the log.
    pub fn log_step(&mut self, now: Moment, own_offset: LogOffset, random: u64) -> LogStep {
        if !self.probe_at.is_due(now) {
            return LogStep::WaitUntil(self.probe_at);
        }
        let follows = self.is_designated() || !self.reader_until.is_due(now);
        if follows && self.failures == 0 {
            return LogStep::Follow;
        }
        if follows || self.peers.is_empty() {
            return LogStep::Probe;
        }
        let (evidence_at, stale_ms, jitter_ms) = match self.newest_evidence() {
            Some(evidence) => (
                evidence.at,
                self.policy.stale_ms,
                self.policy.probe_jitter_ms,
            ),
            None if own_offset == LogOffset(0) => {
                (Moment::START, self.policy.start_ms, self.policy.start_ms)
            }
            None => (
                Moment::START,
                self.policy.stale_ms,
                self.policy.probe_jitter_ms,
            ),
        };
        let stale_at = evidence_at.after(ms(stale_ms));
        if !stale_at.is_due(now) {
            return LogStep::WaitUntil(stale_at);
        }
        // All processes find the evidence stale at about the same time, so they distribute their
        // probes over an interval.
        if self.probe_at < stale_at {
            self.probe_at = random_moment(now, 0, jitter_ms, random);
            return LogStep::WaitUntil(self.probe_at);
        }
        LogStep::Probe
    }

    /// Records that this process has read the log to its end.
    pub fn on_log_read(&mut self, now: Moment, random: u64) {
        self.failures = 0;
        self.probe_at = now;
        let own = ReaderId(name_hash(&self.own_name));
        self.add_evidence(LogEvidence {
            reader: own,
            at: now,
        });
        let stale_time = ms(self.policy.stale_ms);
        if now.since(Moment::START) < stale_time {
            // Evidence of other readers may not have arrived yet.
            return;
        }
        let fresh = |evidence: &&LogEvidence| !evidence.at.after(stale_time).is_due(now);
        let others = self.readers.iter().filter(|other| other.reader != own);
        if others.filter(fresh).count() >= self.policy.min_other_readers {
            return;
        }
        let min_reader_ms = self.policy.min_reader_ms;
        self.reader_until =
            self.reader_until
                .max(random_moment(now, min_reader_ms, 2 * min_reader_ms, random));
    }

    /// Records a failed read of the log and schedules the next one with exponential backoff.
    pub fn on_log_failed(&mut self, now: Moment, random: u64) {
        self.failures = self.failures.saturating_add(1);
        let max_pause_ms = if self.is_designated() {
            self.policy.retry_ms
        } else {
            self.policy.max_probe_ms
        };
        let pause_ms = self.policy.retry_ms << self.failures.min(10);
        let pause_ms = pause_ms.min(max_pause_ms);
        self.probe_at = random_moment(now, pause_ms / 2, pause_ms, random);
    }

    /// Returns the next action of the task that keeps a call of this kind open.
    pub fn peer_step(
        &mut self,
        now: Moment,
        own_next: LogPosition,
        kind: CallKind,
        random: u64,
    ) -> PeerStep {
        self.avoided.retain(|avoided| !avoided.until.is_due(now));
        if let Some(newer) = self.newer_peer.take()
            && newer.next > own_next
        {
            return PeerStep::FetchFromPeer(newer.peer);
        }
        if self.avoided.len() >= self.peers.len() {
            // No sidecar responds, possibly because this process was disconnected: retry all.
            self.avoided.clear();
            return PeerStep::WaitUntil(now.after(ms(self.policy.retry_ms)));
        }
        let index = match self.parent() {
            Some(parent) if kind == CallKind::Parent => parent,
            _ => usize::try_from(random % self.peers.len() as u64).unwrap_or(0),
        };
        PeerStep::FetchFromPeer(self.next_available(index))
    }

    /// Records evidence from a sidecar's response, which was `age_ms` old when it was sent.
    pub fn on_peer_evidence(&mut self, now: Moment, reader: ReaderId, age_ms: u64) {
        let micros = age_ms.saturating_mul(1_000);
        let at = Moment::from_micros(now.as_micros().saturating_sub(micros));
        // Evidence about this process itself, returned by a peer, is ignored.
        if reader != ReaderId(name_hash(&self.own_name)) && at > Moment::START {
            self.add_evidence(LogEvidence { reader, at });
        }
    }

    /// Records that a sidecar did not respond; it is avoided for `avoid_ms`.
    pub fn on_peer_failed(&mut self, now: Moment, peer: SocketAddr) {
        self.avoided.retain(|avoided| avoided.peer != peer);
        if self.avoided.len() == MAX_AVOIDED {
            self.avoided.remove(0);
        }
        let until = now.after(ms(self.policy.avoid_ms));
        self.avoided.push(AvoidedPeer { peer, until });
    }

    /// Records the position that a sidecar has reported.
    pub fn on_peer_position(&mut self, reported: PeerPosition) {
        let best = self.newer_peer.map(|peer| peer.next);
        if reported.next > best.unwrap_or_default() {
            self.newer_peer = Some(reported);
        }
    }

    /// Returns the newest evidence, which is sent to other processes.
    #[must_use]
    pub fn newest_evidence(&self) -> Option<LogEvidence> {
        self.readers
            .iter()
            .max_by_key(|evidence| evidence.at)
            .copied()
    }

    fn add_evidence(&mut self, evidence: LogEvidence) {
        let mut known = self.readers.iter_mut();
        if let Some(known) = known.find(|known| known.reader == evidence.reader) {
            known.at = known.at.max(evidence.at);
            return;
        }
        if self.readers.len() == MAX_READERS {
            self.readers.sort_by_key(|known| Reverse(known.at));
            self.readers.pop();
        }
        self.readers.push(evidence);
    }

    /// Returns whether this process is a designated reader of the log.
    #[must_use]
    pub fn is_designated(&self) -> bool {
        self.position
            .is_some_and(|position| position < self.policy.designated_readers)
    }

    /// Returns the index of the parent among the peers; `None` for a designated reader or
    /// without peers.
    fn parent(&self) -> Option<usize> {
        let last = self.peers.len().checked_sub(1)?;
        match self.position {
            Some(position) if position < self.policy.designated_readers => None,
            Some(position) => {
                Some(((position - self.policy.designated_readers) / self.policy.fan_out).min(last))
            }
            None => usize::try_from(name_hash(&self.own_name) % self.peers.len() as u64).ok(),
        }
    }

    /// Returns the sidecar at the index, or the next one after it that is not avoided.
    fn next_available(&self, index: usize) -> SocketAddr {
        let after = self.peers.iter().cycle().skip(index);
        let mut candidates = after.take(self.peers.len());
        let found =
            candidates.find(|peer| !self.avoided.iter().any(|avoided| avoided.peer == **peer));
        *found.unwrap_or(&self.peers[index])
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

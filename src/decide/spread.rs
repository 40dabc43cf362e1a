//! Who fetches the configuration from whom.
//!
//! Every process keeps two calls open, one at its parent in a tree of sidecars and one at a
//! random sidecar; each is answered as soon as there is something newer. A few sidecars read the
//! log. Replies tell which reader last had everything on the log, and how long ago; where that
//! evidence grows stale, processes try the log themselves, and whoever succeeds reads on until it
//! hears that enough others do.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::hashing::name_hash;
use super::ids::LogOffset;
use super::snapshot_timer::draw;
use crate::kernel::Moment;

/// Bounds of the spreading of configuration.
#[derive(Debug, Clone, Copy)]
pub struct SpreadPolicy {
    /// Sidecars that read the log as long as they can.
    pub readers: usize,
    /// Processes that ask the same sidecar as a matter of course.
    pub fan_out: usize,
    /// Milliseconds after which evidence is stale.
    pub stale_ms: u64,
    /// Milliseconds that a starting process gives its peers before it tries the log, and within
    /// which processes that start together spread their tries.
    pub start_ms: u64,
    /// Milliseconds within which all processes try the log once evidence is stale.
    pub probe_spread_ms: u64,
    /// Longest milliseconds between two tries of a process that fails to reach the log.
    pub max_probe_ms: u64,
    /// Other readers that must be known before a reader that is not designated stops.
    pub spare_readers: usize,
    /// Milliseconds for which a process that found the log reads on at least.
    pub reader_ms: u64,
    /// Milliseconds between two tries of a designated reader.
    pub retry_ms: u64,
    /// Milliseconds for which a sidecar that did not answer is avoided.
    pub avoid_ms: u64,
}

/// Bounds for normal use.
pub const STANDARD: SpreadPolicy = SpreadPolicy {
    readers: 8,
    fan_out: 4,
    stale_ms: 8_000,
    start_ms: 500,
    probe_spread_ms: 4_000,
    max_probe_ms: 15_000,
    spare_readers: 4,
    reader_ms: 60_000,
    retry_ms: 500,
    avoid_ms: 30_000,
};

/// Readers that are remembered.
const MAX_READERS: usize = 16;

/// Sidecars that are avoided at the same time.
const MAX_AVOIDED: usize = 64;

/// What the task that reads the log does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogStep {
    /// Reads the log and waits there for records.
    Follow,
    /// Reads the log once.
    Probe,
    /// Leaves the log alone until the deadline.
    WaitUntil(Moment),
}

/// What the task that asks sidecars does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStep {
    /// Fetches from a sidecar, which may wait for something newer.
    FetchFromPeer(SocketAddr),
    /// No sidecar is known; looks again at the deadline.
    WaitUntil(Moment),
}

/// State of the spreading at one process.
#[derive(Debug, Clone)]
pub struct SpreadState {
    /// Bounds.
    pub policy: SpreadPolicy,
    /// Name of the process, which decides its place.
    pub own_name: String,
    /// Sidecars known from settings.
    pub seeds: Vec<SocketAddr>,
    /// All known sidecars but this one, in an order that every process agrees on.
    pub peers: Vec<SocketAddr>,
    /// Sidecars that come before this one in the order; `None` for an entry.
    pub rank: Option<usize>,
    /// When each reader is known to have had everything on the log, this process included.
    pub readers: Vec<LogEvidence>,
    /// Until when this process reads the log although it is not designated.
    pub reader_until: Moment,
    /// When this process may try the log next.
    pub probe_at: Moment,
    /// Tries of the log that have failed since the last success.
    pub failures: u32,
    /// A sidecar that has something newer, and up to where.
    pub ahead: Option<PeerOffset>,
    avoided: Vec<AvoidedPeer>,
}

/// Evidence that a reader had everything on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvidence {
    /// The reader.
    pub reader: ReaderId,
    /// When it had everything.
    pub at: Moment,
}

/// Identifies a process that reads the log: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReaderId(pub u64);

/// Which of its calls a process is to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// To the sidecar that the process asks as a matter of course.
    Parent,
    /// To a random sidecar.
    Random,
}

/// Offset that a sidecar has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOffset {
    /// The sidecar.
    pub peer: SocketAddr,
    /// Its offset.
    pub next_offset: LogOffset,
}

#[derive(Debug, Clone, Copy)]
struct AvoidedPeer {
    peer: SocketAddr,
    until: Moment,
}

impl SpreadState {
    /// Creates the state of a process that knows only the sidecars from its settings.
    #[must_use]
    pub fn new(policy: SpreadPolicy, own_name: &str, seeds: Vec<SocketAddr>) -> Self {
        let mut state = Self {
            policy,
            own_name: own_name.to_owned(),
            seeds,
            peers: Vec::new(),
            rank: None,
            readers: Vec::new(),
            reader_until: Moment::START,
            probe_at: Moment::START,
            failures: 0,
            ahead: None,
            avoided: Vec::new(),
        };
        state.set_sidecars(&[], None);
        state
    }

    /// Takes in the sidecars that the configuration declares, and which one this process is.
    pub fn set_sidecars(&mut self, declared: &[SocketAddr], own: Option<SocketAddr>) {
        let mut peers: Vec<SocketAddr> = declared.iter().chain(&self.seeds).copied().collect();
        peers.sort_by_cached_key(|peer| (name_hash(&peer.to_string()), *peer));
        peers.dedup();
        self.rank = own.and_then(|own| peers.iter().position(|peer| *peer == own));
        peers.retain(|peer| Some(*peer) != own);
        self.peers = peers;
    }

    /// Tells whether this process has read the log recently.
    #[must_use]
    pub fn reads_log(&self, now: Moment) -> bool {
        let own = ReaderId(name_hash(&self.own_name));
        let stale_ms = ms(self.policy.stale_ms);
        let mut known = self.readers.iter();
        known.any(|known| known.reader == own && !known.at.after(stale_ms).is_due(now))
    }

    /// Decides what the task that reads the log does.
    pub fn log_step(&mut self, now: Moment, own: LogOffset, random: u64) -> LogStep {
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
        let (evidence_at, stale_ms, spread_ms) = match self.newest_evidence() {
            Some(evidence) => (
                evidence.at,
                self.policy.stale_ms,
                self.policy.probe_spread_ms,
            ),
            None if own == LogOffset(0) => {
                (Moment::START, self.policy.start_ms, self.policy.start_ms)
            }
            None => (
                Moment::START,
                self.policy.stale_ms,
                self.policy.probe_spread_ms,
            ),
        };
        let stale_at = evidence_at.after(ms(stale_ms));
        if !stale_at.is_due(now) {
            return LogStep::WaitUntil(stale_at);
        }
        // All processes find the evidence stale at about the same time; spread their tries.
        if self.probe_at < stale_at {
            self.probe_at = draw(now, 0, spread_ms, random);
            return LogStep::WaitUntil(self.probe_at);
        }
        LogStep::Probe
    }

    /// Takes in that everything on the log up to now has been read.
    pub fn log_read(&mut self, now: Moment, random: u64) {
        self.failures = 0;
        self.probe_at = now;
        let own = ReaderId(name_hash(&self.own_name));
        self.add_evidence(LogEvidence {
            reader: own,
            at: now,
        });
        let stale_ms = ms(self.policy.stale_ms);
        if now.since(Moment::START) < stale_ms {
            // Too early to know whether others read.
            return;
        }
        let fresh = |evidence: &&LogEvidence| !evidence.at.after(stale_ms).is_due(now);
        let others = self.readers.iter().filter(|other| other.reader != own);
        if others.filter(fresh).count() >= self.policy.spare_readers {
            return;
        }
        let reader_ms = self.policy.reader_ms;
        self.reader_until = self
            .reader_until
            .max(draw(now, reader_ms, 2 * reader_ms, random));
    }

    /// Takes in that the log could not be read.
    pub fn log_failed(&mut self, now: Moment, random: u64) {
        self.failures = self.failures.saturating_add(1);
        let longest_ms = if self.is_designated() {
            4 * self.policy.retry_ms
        } else {
            self.policy.max_probe_ms
        };
        let pause_ms = self.policy.retry_ms << self.failures.min(10);
        let pause_ms = pause_ms.min(longest_ms);
        self.probe_at = draw(now, pause_ms / 2, pause_ms, random);
    }

    /// Decides which sidecar to ask.
    pub fn peer_step(
        &mut self,
        now: Moment,
        own: LogOffset,
        kind: CallKind,
        random: u64,
    ) -> PeerStep {
        self.avoided.retain(|avoided| !avoided.until.is_due(now));
        if let Some(ahead) = self.ahead.take()
            && ahead.next_offset > own
        {
            return PeerStep::FetchFromPeer(ahead.peer);
        }
        if self.avoided.len() >= self.peers.len() {
            // Nobody answers: perhaps this process was cut off, so all are worth another try.
            self.avoided.clear();
            return PeerStep::WaitUntil(now.after(ms(self.policy.retry_ms)));
        }
        let index = match self.parent() {
            Some(parent) if kind == CallKind::Parent => parent,
            _ => usize::try_from(random % self.peers.len() as u64).unwrap_or(0),
        };
        PeerStep::FetchFromPeer(self.unavoided(index))
    }

    /// Takes in the evidence of a sidecar, which was `age_ms` old when it was sent.
    pub fn peer_answered(&mut self, now: Moment, reader: ReaderId, age_ms: u64) {
        let micros = age_ms.saturating_mul(1_000);
        let at = Moment::from_micros(now.as_micros().saturating_sub(micros));
        // An echo of what this process told is worth nothing.
        if reader != ReaderId(name_hash(&self.own_name)) && at > Moment::START {
            self.add_evidence(LogEvidence { reader, at });
        }
    }

    /// Takes in that a sidecar did not answer.
    pub fn peer_failed(&mut self, now: Moment, peer: SocketAddr) {
        self.avoided.retain(|avoided| avoided.peer != peer);
        if self.avoided.len() == MAX_AVOIDED {
            self.avoided.remove(0);
        }
        let until = now.after(ms(self.policy.avoid_ms));
        self.avoided.push(AvoidedPeer { peer, until });
    }

    /// Takes in that a sidecar has an offset in force.
    pub fn heard(&mut self, heard: PeerOffset) {
        let best = self.ahead.map_or(LogOffset(0), |ahead| ahead.next_offset);
        if heard.next_offset > best {
            self.ahead = Some(heard);
        }
    }

    /// Returns the newest evidence, which is told to others.
    #[must_use]
    pub fn newest_evidence(&self) -> Option<LogEvidence> {
        self.readers
            .iter()
            .max_by_key(|evidence| evidence.at)
            .copied()
    }

    fn add_evidence(&mut self, evidence: LogEvidence) {
        let mut known = self.readers.iter_mut();
        if let Some(own) = known.find(|own| own.reader == evidence.reader) {
            own.at = own.at.max(evidence.at);
            return;
        }
        if self.readers.len() == MAX_READERS {
            self.readers.sort_by_key(|known| Reverse(known.at));
            self.readers.pop();
        }
        self.readers.push(evidence);
    }

    /// Tells whether this process is one of the few that read the log as long as they can.
    #[must_use]
    pub fn is_designated(&self) -> bool {
        self.rank.is_some_and(|rank| rank < self.policy.readers)
    }

    /// Returns the index of the sidecar that this process asks as a matter of course.
    fn parent(&self) -> Option<usize> {
        let last = self.peers.len().checked_sub(1)?;
        match self.rank {
            Some(rank) if rank < self.policy.readers => None,
            Some(rank) => Some(((rank - self.policy.readers) / self.policy.fan_out).min(last)),
            None => usize::try_from(name_hash(&self.own_name) % self.peers.len() as u64).ok(),
        }
    }

    /// Returns the sidecar at the index or the next one that is not avoided.
    fn unavoided(&self, index: usize) -> SocketAddr {
        let after = self.peers.iter().cycle().skip(index);
        let mut in_turn = after.take(self.peers.len());
        let free = in_turn.find(|peer| !self.avoided.iter().any(|avoided| avoided.peer == **peer));
        *free.unwrap_or(&self.peers[index])
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

//! Service `config`: owns the process's replica of the configuration and decides from where newer
//! records are read.

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::config_history::{ConfigHistory, DecodedPage};
use crate::decide::config::Configuration;
use crate::decide::config_replica::{ConfigReplica, SkippedRecord, StreamRecord};
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::decide::propagation::{self, PropagationState, ReaderId};
use crate::decide::snapshot::{PartCollector, Snapshot};
use crate::decide::snapshot_timer::{SnapshotStep, SnapshotTimer};
use crate::events::{RECORD_SKIPPED, STORE_RESTORED, log_event};
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal};
use crate::platform::log_client::LogPage;
use crate::services::common::mail::{
    ConfigMail, Mail, NextLogRead, NextPeerCall, NextSnapshotWrite,
};
use crate::wire::config_page::{ConfigPage, WireEvidence, WireNumberedRecord};
use crate::wire::config_snapshot::{decode_stream_record, encode_part};
use crate::wire::position::WirePosition;

/// Name of the service that owns the replica of the configuration.
pub const CONFIG: &str = "config";

/// Maximum number of records without effect that are kept for dumps, newest last.
const MAX_SKIPPED: usize = 32;

/// Maximum number of other processes that may wait for newer records at the same time.
const MAX_PEER_WAITERS: usize = 4_096;

/// Settings of the service `config`.
#[derive(Debug, Clone)]
pub struct ConfigSettings {
    /// Name of this instance.
    pub name: String,
    /// Declared name of the upstream that a sidecar serves; `None` for an entry.
    pub upstream: Option<String>,
    /// Addresses of sidecars that can be asked before the configuration names any.
    pub peers: Vec<std::net::SocketAddr>,
    /// Retention time of the log, in milliseconds.
    pub retention_ms: u64,
    /// Seed of the random number generator of the service.
    pub seed: u64,
}

/// Service or task of this process that waits for a configuration newer than a position.
#[derive(Debug)]
struct ConfigWaiter {
    than: LogPosition,
    reply_to: ReplyTo<Arc<Configuration>>,
}

/// Other process that waits for records from a position on, until a deadline.
#[derive(Debug)]
struct PeerWaiter {
    from: LogPosition,
    until: Moment,
    reply_to: ReplyTo<ConfigPage>,
}

/// State of the service `config`.
#[derive(Debug)]
pub(super) struct ConfigState {
    pub(super) replica: ConfigReplica,
    pub(super) skipped: Vec<SkippedRecord>,
    pub(super) propagation: PropagationState,
    pub(super) timer: SnapshotTimer,
    /// Records of the configuration in force, and their era.
    history: ConfigHistory,
    history_era: StoreEra,
    /// Records of a higher era that is not in force yet.
    rebuilt_history: ConfigHistory,
    upstream: Option<String>,
    random: StdRng,
    read_from: LogOffset,
    waiters: Vec<ConfigWaiter>,
    peer_waiters: Vec<PeerWaiter>,
}

/// Creates the service `config` with an empty configuration.
#[must_use]
pub fn config_service(settings: ConfigSettings) -> Service<Mail> {
    let mut state = ConfigState::new(settings);
    Service::new(CONFIG, move |turn, signal| {
        match signal {
            Signal::Mail(Mail::Config(mail)) => state.handle(turn.now, mail),
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
            Signal::Dump(reply_to) => reply_to.send(state.dump(turn.now)),
            Signal::Stop => return NextStep::Stopped,
        }
        state.reply_to_waiters(turn.now)
    })
}

impl ConfigState {
    fn new(settings: ConfigSettings) -> Self {
        let mut random = StdRng::seed_from_u64(settings.seed);
        let timer = SnapshotTimer::start(settings.retention_ms, Moment::START, random.random());
        Self {
            replica: ConfigReplica::default(),
            skipped: Vec::new(),
            propagation: PropagationState::new(
                propagation::DEFAULT_POLICY,
                &settings.name,
                settings.peers,
            ),
            timer,
            history: ConfigHistory::default(),
            history_era: StoreEra::default(),
            rebuilt_history: ConfigHistory::default(),
            upstream: settings.upstream,
            random,
            read_from: LogOffset::default(),
            waiters: Vec::new(),
            peer_waiters: Vec::new(),
        }
    }

    fn handle(&mut self, now: Moment, mail: ConfigMail) {
        let random = self.random.random();
        match mail {
            ConfigMail::Current(reply_to) => reply_to.send(Arc::clone(&self.replica.current)),
            ConfigMail::SidecarPosition(peer) => self.propagation.on_peer_position(peer),
            ConfigMail::Newer { than, reply_to } => {
                self.waiters.push(ConfigWaiter { than, reply_to });
            }
            ConfigMail::Since {
                from,
                until,
                reply_to,
            } => self.add_peer_waiter(from, until, reply_to),
            ConfigMail::NextLogRead(reply_to) => reply_to.send(NextLogRead {
                step: self
                    .propagation
                    .log_step(now, self.replica.next().offset, random),
                from: self.read_from,
            }),
            ConfigMail::LogRead(page) => self.apply_log_page(now, page),
            ConfigMail::LogFailed => self.propagation.on_log_failed(now, random),
            ConfigMail::NextPeerCall(kind, reply_to) => reply_to.send(NextPeerCall {
                step: self
                    .propagation
                    .peer_step(now, self.replica.next(), kind, random),
                from: self.replica.next(),
            }),
            ConfigMail::PeerRead(page) => self.apply_peer_page(now, page),
            ConfigMail::PeerFailed(peer) => self.propagation.on_peer_failed(now, peer),
            ConfigMail::NextSnapshotWrite(reply_to) => reply_to.send(self.next_snapshot_write(now)),
        }
    }

    fn apply_log_page(&mut self, now: Moment, page: LogPage) {
        let end = LogPosition {
            era: page.era,
            offset: page.next,
        };
        let random = self.random.random();
        let (read_from, saw_snapshot) = self.apply_page(DecodedPage::from_log(page));
        self.read_from = read_from;
        if saw_snapshot {
            self.timer.on_snapshot_seen(now, random);
        }
        let next = self.replica.next();
        if end.era == next.era && end <= next {
            self.propagation.on_log_read(now, random);
        }
    }

    fn apply_peer_page(&mut self, now: Moment, page: ConfigPage) {
        if let Some(evidence) = page.evidence {
            let reader = ReaderId(evidence.reader);
            let age_ms = u64::from(evidence.age_ms);
            self.propagation.on_peer_evidence(now, reader, age_ms);
        }
        let (before, next) = (self.replica.next(), page.next());
        let mut parts = PartCollector::default();
        for body in &page.snapshot {
            if let StreamRecord::Part(part) = decode_stream_record(body)
                && let Some(snapshot) = parts.add(part)
            {
                self.replica.apply_snapshot(next.era, &snapshot);
                self.end_page(before, Vec::new());
            }
        }
        if !page.records.is_empty() {
            self.apply_page(DecodedPage::from_peer(next, page.records));
        }
        if self.replica.next() > before {
            self.read_from = self.replica.next().offset;
        }
    }

    /// Applies a page to the replica; returns the offset to read next, and whether the page
    /// completed a snapshot.
    fn apply_page(&mut self, decoded: DecodedPage) -> (LogOffset, bool) {
        let before = self.replica.next();
        let outcome = self.replica.apply_page(decoded.page);
        for skipped in outcome.skipped {
            let offset = skipped.offset.0;
            log_event(
                &RECORD_SKIPPED,
                &[("offset", &offset), ("reason", &skipped.reason)],
            );
            if self.skipped.len() == MAX_SKIPPED {
                self.skipped.remove(0);
            }
            self.skipped.push(skipped);
        }
        self.end_page(before, decoded.history);
        (outcome.read_from, outcome.saw_snapshot)
    }

    /// Keeps the replayed records of a page, by which the replica went on from this position.
    fn end_page(&mut self, before: LogPosition, records: Vec<WireNumberedRecord>) {
        let next = self.replica.next();
        let mut replayed = before.offset.0..next.offset.0;
        if next.era > before.era {
            replayed.start = 0;
            self.rebuilt_history = ConfigHistory::default();
            let (era, offset) = (next.era.0, before.offset.0);
            log_event(&STORE_RESTORED, &[("era", &era), ("next_offset", &offset)]);
        }
        let history = if next.era > self.history_era {
            &mut self.rebuilt_history
        } else {
            &mut self.history
        };
        for record in records {
            if replayed.contains(&record.offset) {
                history.keep(record);
            }
        }
        if self.replica.current.era > self.history_era {
            self.history = std::mem::take(&mut self.rebuilt_history);
            self.history_era = self.replica.current.era;
        }
        if next != before {
            self.set_sidecars();
        }
    }

    /// Updates the list of sidecars that can be asked for the configuration.
    fn set_sidecars(&mut self) {
        let current = &self.replica.current;
        let upstreams = current.upstreams.iter().map(|(_, upstream)| upstream);
        let serving = upstreams.filter(|upstream| !upstream.retired);
        let declared: Vec<_> = serving.map(|upstream| upstream.sidecar).collect();
        let own = self
            .upstream
            .as_ref()
            .and_then(|name| current.upstream(name));
        let own_address = own.map(|(_, upstream)| upstream.sidecar);
        self.propagation.set_sidecars(&declared, own_address);
    }

    fn add_peer_waiter(&mut self, from: LogPosition, until: Moment, reply_to: ReplyTo<ConfigPage>) {
        // Beyond the limit the reply handle is dropped, and the caller asks another sidecar.
        if self.peer_waiters.len() < MAX_PEER_WAITERS {
            let waiter = PeerWaiter {
                from,
                until,
                reply_to,
            };
            self.peer_waiters.push(waiter);
        }
    }

    fn next_snapshot_write(&mut self, now: Moment) -> NextSnapshotWrite {
        let random = self.random.random();
        match self.timer.step(now, random) {
            SnapshotStep::WaitUntil(deadline) => NextSnapshotWrite::WaitUntil(deadline),
            SnapshotStep::Write
                if !self.propagation.reads_log(now) || self.replica.is_rebuilding() =>
            {
                NextSnapshotWrite::WaitUntil(self.timer.due_at)
            }
            SnapshotStep::Write => {
                let snapshot = Snapshot::of(&self.replica.current);
                NextSnapshotWrite::Write(snapshot.parts().iter().map(encode_part).collect())
            }
        }
    }

    /// Replies to the waiters whose configuration is available or whose deadline has passed, and
    /// returns the next deadline.
    fn reply_to_waiters(&mut self, now: Moment) -> NextStep {
        let next = self.replica.current.next();
        let ready = self.waiters.extract_if(.., |waiter| waiter.than < next);
        for waiter in ready {
            waiter.reply_to.send(Arc::clone(&self.replica.current));
        }
        let is_over = |waiter: &mut PeerWaiter| waiter.from < next || waiter.until.is_due(now);
        let over: Vec<_> = self.peer_waiters.extract_if(.., is_over).collect();
        for waiter in over {
            waiter.reply_to.send(self.page_since(now, waiter.from));
        }
        match self.peer_waiters.iter().map(|waiter| waiter.until).min() {
            Some(until) => NextStep::WaitUntil(until),
            None => NextStep::Wait,
        }
    }

    /// Builds a page with the records from a position on, or with a snapshot if some of them are no
    /// longer kept.
    fn page_since(&self, now: Moment, from: LogPosition) -> ConfigPage {
        let evidence = self
            .propagation
            .newest_evidence()
            .map(|evidence| WireEvidence {
                reader: evidence.reader.0,
                age_ms: u32::try_from(now.since(evidence.at).as_millis()).unwrap_or(u32::MAX),
            });
        let next = self.replica.current.next();
        let mut page = ConfigPage {
            next_offset: WirePosition::from(next).0,
            evidence,
            ..ConfigPage::default()
        };
        if from >= next {
            return page;
        }
        let is_same_era = from.era == next.era;
        let from = if is_same_era {
            from.offset
        } else {
            LogOffset(0)
        };
        if let Some(records) = self.history.since(from) {
            page.records = records;
        } else {
            let parts = Snapshot::of(&self.replica.current).parts();
            page.snapshot = parts.iter().map(encode_part).collect();
        }
        page
    }
}

//! Store of the platform and the upstreams that write their entries to it, in virtual time.

use std::collections::BTreeMap;

use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::wire::peer_rpc::WireTopic;
use bytes::Bytes;

/// Interval of the upstreams' heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;

/// Time without a heartbeat after which an entry expires, in milliseconds.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;

/// Append-only topic whose newest record of each key is the current one.
#[derive(Debug, Clone, Default)]
pub struct Topic {
    /// Number of times that the store has come back from a copy.
    pub era: StoreEra,
    /// Key and value of each record; the offset is the position in the list.
    records: Vec<(String, Option<Bytes>)>,
}

impl Topic {
    /// Appends a record.
    pub fn append(&mut self, key: &str, value: Option<String>) {
        self.records.push((key.to_owned(), value.map(Bytes::from)));
    }

    /// Returns the position of the next record.
    pub fn end(&self) -> LogPosition {
        self.position(self.records.len())
    }

    fn position(&self, index: usize) -> LogPosition {
        LogPosition {
            era: self.era,
            offset: LogOffset(index as u64),
        }
    }

    /// Returns the records from an offset on; `None` if the topic ends before it.
    pub fn from(&self, offset: LogOffset) -> Option<Vec<KeyedRecord>> {
        let start = usize::try_from(offset.0).unwrap_or(usize::MAX);
        let offsets = start..self.records.len();
        (start <= offsets.end).then(|| offsets.map(|index| self.record(index)).collect())
    }

    /// Returns the newest record of each key that is not deleted.
    pub fn newest(&self) -> Vec<KeyedRecord> {
        let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, (key, _)) in self.records.iter().enumerate() {
            newest.insert(key, index);
        }
        let current = newest.into_values().map(|index| self.record(index));
        current.filter(|record| record.value.is_some()).collect()
    }

    /// Returns the newest value of a key that is not deleted.
    fn value(&self, key: &str) -> Option<&Bytes> {
        let newest = self.records.iter().rfind(|(known, _)| known == key);
        newest.and_then(|(_, value)| value.as_ref())
    }

    fn record(&self, index: usize) -> KeyedRecord {
        let (key, value) = &self.records[index];
        KeyedRecord {
            key: key.clone(),
            value: value.clone(),
            position: self.position(index),
        }
    }

    /// Goes on from a copy, in the next era.
    fn restore(&mut self, copy: Self) {
        self.records = copy.records;
        self.era = StoreEra(self.era.0 + 1);
    }
}

/// Copy of the store from which it can come back.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    /// Time of the copy, in milliseconds.
    pub made_ms: u64,
    operator: Topic,
    upstream: Topic,
}

/// Upstream that writes its entry.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub id: String,
    pub born: u64,
    /// Whether it runs.
    pub is_alive: bool,
    pub is_draining: bool,
    /// Whether its entry is on the list.
    pub is_listed: bool,
    /// Time of the last change of the list on its behalf, in milliseconds.
    pub changed_ms: u64,
    /// Time since which the store has been told that the run drains or is gone, in milliseconds, whether
    /// or not it still knows.
    pub ended_ms: Option<u64>,
    /// Time at which the store was first told so of the run, in milliseconds.
    pub first_end_ms: Option<u64>,
    accepted_ms: u64,
    /// Time of the next write, in milliseconds.
    pub due_ms: u64,
    beats: u64,
}

impl Upstream {
    /// Creates an upstream that writes its entry at once.
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("i-{index}"),
            born: 1,
            is_alive: true,
            is_draining: false,
            is_listed: false,
            changed_ms: 0,
            ended_ms: None,
            first_end_ms: None,
            accepted_ms: 0,
            due_ms: index as u64 * 150 % HEARTBEAT_MS,
            beats: 0,
        }
    }

    /// Starts a new run, at once, which writes its entry soon.
    pub fn restart(&mut self, now_ms: u64) {
        self.born += 1;
        self.beats = 0;
        self.ended_ms = None;
        self.first_end_ms = None;
        self.is_alive = true;
        self.is_draining = false;
        self.due_ms = now_ms + 100;
    }

    /// Writes the state at once.
    pub fn drain(&mut self, now_ms: u64) {
        self.is_draining = true;
        self.due_ms = now_ms;
    }

    /// Notes that the store is told that the run drains or is gone.
    fn end(&mut self, now_ms: u64) {
        self.ended_ms.get_or_insert(now_ms);
        self.first_end_ms.get_or_insert(now_ms);
    }

    fn entry(&self) -> String {
        let state = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"service":"llm","address":"127.0.0.1:9","zone":"dc-0","slots":12,"version":"v1","cold-left-ms":0,"state":"{state}",
            "born":{},"sequence":{},"models":[{{"name":"m","version":1}}]}}"#,
            self.born, self.beats
        )
    }
}

/// Store and its writers.
#[derive(Debug)]
pub struct Platform {
    pub operator: Topic,
    pub upstream: Topic,
    pub upstreams: Vec<Upstream>,
    /// Whether writes fail.
    pub is_down: bool,
    /// Whether entries expire while writes fail.
    pub has_lapses: bool,
}

impl Platform {
    /// Creates a store with upstreams and a configuration.
    pub fn new(upstreams: usize) -> Self {
        let mut platform = Self {
            operator: Topic::default(),
            upstream: Topic::default(),
            upstreams: (0..upstreams).map(Upstream::new).collect(),
            is_down: false,
            has_lapses: false,
        };
        platform.configure(1);
        platform.name_version(1);
        platform
    }

    /// Writes a configuration.
    pub fn configure(&mut self, version: u64) {
        let document = format!(
            r#"{{"version":{version},"routes":[],"services":[{{"name":"llm","max-connections":100,
            "engine":{{"kv-capacity-tokens":1000,"token-kv-bytes":1.0,"link-mbps":1.0}}}}],
            "limits":{{"max-header-bytes":4096,"max-body-bytes":100000,"header-timeout-ms":3000,
            "idle-timeout-ms":15000}}}}"#
        );
        self.operator.append("config", Some(document));
    }

    /// Writes a target version.
    pub fn name_version(&mut self, version: u64) {
        let target = format!(r#"{{"model":"m","version":{version}}}"#);
        self.operator.append("version/m", Some(target));
    }

    /// Starts one more upstream, which writes its entry at once.
    pub fn join(&mut self, now_ms: u64) {
        let mut upstream = Upstream::new(self.upstreams.len());
        upstream.due_ms = now_ms;
        self.upstreams.push(upstream);
    }

    /// Copies all topics.
    pub fn copy(&self, made_ms: u64) -> StoreCopy {
        StoreCopy {
            made_ms,
            operator: self.operator.clone(),
            upstream: self.upstream.clone(),
        }
    }

    /// Lets the store come back from a copy; upstreams write again within `lag_ms`.
    pub fn restore(&mut self, copy: StoreCopy, now_ms: u64, lag_ms: impl FnMut() -> u64) {
        self.operator.restore(copy.operator);
        self.upstream.restore(copy.upstream);
        let lags = std::iter::repeat_with(lag_ms);
        for (upstream, lag_ms) in self.upstreams.iter_mut().zip(lags) {
            upstream.is_listed = self.upstream.value(&upstream.id).is_some();
            // An entry whose upstream is silent expires later.
            upstream.accepted_ms = now_ms;
            upstream.changed_ms = now_ms;
            upstream.due_ms = upstream.due_ms.min(now_ms + lag_ms);
        }
    }

    /// Returns a topic.
    pub fn topic(&self, topic: WireTopic) -> &Topic {
        match topic {
            WireTopic::Operator => &self.operator,
            WireTopic::Upstream => &self.upstream,
        }
    }

    /// Lets upstreams write and entries expire.
    pub fn step(&mut self, now_ms: u64) {
        for upstream in &mut self.upstreams {
            let is_expired = now_ms.saturating_sub(upstream.accepted_ms) >= EXPIRY_MS;
            if upstream.is_listed && is_expired && (!self.is_down || self.has_lapses) {
                self.upstream.append(&upstream.id, None);
                upstream.is_listed = false;
                upstream.changed_ms = now_ms;
                upstream.end(now_ms);
            }
            if !upstream.is_alive || upstream.due_ms > now_ms {
                continue;
            }
            upstream.due_ms = now_ms + HEARTBEAT_MS;
            if self.is_down {
                // A write that fails is tried again soon.
                upstream.due_ms = now_ms + 300;
                continue;
            }
            upstream.beats += 1;
            let entry = upstream.entry();
            self.upstream.append(&upstream.id, Some(entry));
            upstream.accepted_ms = now_ms;
            if !upstream.is_listed {
                upstream.changed_ms = now_ms;
            }
            upstream.is_listed = true;
            if upstream.is_draining {
                upstream.end(now_ms);
            } else {
                upstream.ended_ms = None;
            }
        }
    }
}

//! Home of one claim partition: batches claims into one append at a time and settles by reading.
//!
//! Whoever is the home, a claim is answered only from records that were read back from the log.
//! An append whose answer is lost is settled in the same way, so it needs no special case.

use std::collections::BTreeMap;
use std::time::Duration;

use super::claims::{ClaimRecord, ClaimTable, ClaimVerdict, KeyHash};
use super::ids::LogOffset;
use crate::kernel::{Arena, Key, Moment};

/// Least time between two appends to one partition; bounds the load on the log.
const APPEND_GAP: Duration = Duration::from_millis(100);

/// Pause after a failed call to the log.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time for which claims are refused at once after the log has failed repeatedly.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);

/// Failures in a row after which the log counts as out.
const OUTAGE_FAILURES: u32 = 2;

/// Records in one append at most.
pub const MAX_BATCH: usize = 512;

/// Bounds of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBounds {
    /// Keys remembered at most; at the bound, claims on new keys are refused as unavailable.
    pub max_keys: usize,
    /// Claims waiting at most; beyond it they are refused as unavailable.
    pub max_pending: usize,
}

impl Default for HomeBounds {
    fn default() -> Self {
        Self {
            max_keys: 65_536,
            max_pending: 4096,
        }
    }
}

/// Addresses one claim that waits for its verdict.
pub type PendingKey = Key<PendingClaim>;

/// A claim or release that waits for its verdict.
#[derive(Debug, Clone)]
pub struct PendingClaim {
    /// The record to append.
    pub record: ClaimRecord,
    /// When it is answered as unavailable.
    pub deadline: Moment,
    is_sent: bool,
}

/// What a claim leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// It is decided.
    Answer(ClaimVerdict),
    /// Its verdict comes later under this key.
    Pending(PendingKey),
}

/// What a home does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeStep {
    /// Append these records in one go, then call [`ClaimHome::finish_append`].
    Append(Vec<ClaimRecord>),
    /// Read from the offset, then call [`ClaimHome::finish_read`].
    Read(LogOffset),
    /// Nothing until the moment.
    WaitUntil(Moment),
}

/// What a read of the partition brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// Oldest offset that the log still keeps.
    pub first: LogOffset,
    /// Offset that the next append gets.
    pub next: LogOffset,
    /// Appends from the wanted offset on, in order; maybe not up to the end.
    pub batches: Vec<(LogOffset, Vec<ClaimRecord>)>,
}

/// Verdicts on claims that were pending.
pub type VerdictList = Vec<(PendingKey, ClaimVerdict)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogCall {
    Idle,
    Appending,
    Reading,
}

/// State of the home of one partition.
#[derive(Debug)]
pub struct ClaimHome {
    /// The bounds.
    pub bounds: HomeBounds,
    /// The outcome of the records read so far.
    pub table: ClaimTable,
    /// Appends begun so far.
    pub appends: u64,
    pending: Arena<PendingClaim>,
    /// Pending claims in the order in which they came, by arrival number.
    queue: BTreeMap<u64, PendingKey>,
    arrivals: u64,
    by_key: BTreeMap<(KeyHash, u64), PendingKey>,
    call: LogCall,
    /// The partition has to be read at least up to this offset and to its end.
    read_to: Option<LogOffset>,
    append_from: Moment,
    call_from: Moment,
    failures: u32,
    refuse_until: Moment,
}

impl ClaimHome {
    /// Creates a home that has yet to replay its partition.
    #[must_use]
    pub fn new(bounds: HomeBounds) -> Self {
        Self {
            bounds,
            table: ClaimTable::default(),
            appends: 0,
            pending: Arena::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            by_key: BTreeMap::new(),
            call: LogCall::Idle,
            read_to: Some(LogOffset(0)),
            append_from: Moment::START,
            call_from: Moment::START,
            failures: 0,
            refuse_until: Moment::START,
        }
    }

    /// Takes in a claim or a release that is to be answered by the deadline.
    pub fn submit(&mut self, now: Moment, record: ClaimRecord, deadline: Moment) -> ClaimStep {
        if let Some(verdict) = self.table.settled(&record) {
            return ClaimStep::Answer(verdict);
        }
        let is_new = self.table.holder(record.key).is_none();
        let is_full = is_new && self.table.len() + self.pending.len() >= self.bounds.max_keys;
        let is_refused = !self.refuse_until.is_due(now)
            || self.pending.len() >= self.bounds.max_pending
            || deadline.is_due(now);
        if is_full || is_refused {
            return ClaimStep::Answer(ClaimVerdict::Unavailable);
        }
        let hash = record.key;
        let key = self.pending.insert(PendingClaim {
            record,
            deadline,
            is_sent: false,
        });
        self.arrivals += 1;
        self.queue.insert(self.arrivals, key);
        self.by_key.insert((hash, self.arrivals), key);
        ClaimStep::Pending(key)
    }

    /// Returns the next step; an append or a read is under way until it is finished.
    pub fn next_step(&mut self, now: Moment) -> HomeStep {
        if self.call != LogCall::Idle {
            return HomeStep::WaitUntil(self.next_deadline());
        }
        if !self.call_from.is_due(now) {
            return HomeStep::WaitUntil(self.call_from.min(self.next_deadline()));
        }
        if self.read_to.is_some() {
            self.call = LogCall::Reading;
            return HomeStep::Read(self.table.next_offset());
        }
        if self.queue.is_empty() {
            return HomeStep::WaitUntil(Moment::NEVER);
        }
        if !self.append_from.is_due(now) {
            return HomeStep::WaitUntil(self.append_from.min(self.next_deadline()));
        }
        self.begin_append(now)
    }

    /// Takes in the answer to an append: its offset, or `None` if it failed or was lost.
    pub fn finish_append(&mut self, now: Moment, offset: Option<LogOffset>) -> VerdictList {
        self.call = LogCall::Idle;
        // Whatever the answer was, only reading tells what is on the log.
        let Some(offset) = offset else {
            self.read_to = Some(self.table.next_offset());
            return self.fail(now);
        };
        self.failures = 0;
        self.read_to = Some(LogOffset(offset.0 + 1));
        Vec::new()
    }

    /// Takes in the answer to a read, or `None` if it failed.
    pub fn finish_read(&mut self, now: Moment, page: Option<&ClaimPage>) -> VerdictList {
        self.call = LogCall::Idle;
        let Some(page) = page else {
            return self.fail(now);
        };
        self.table.trim(page.first);
        let mut verdicts = Vec::new();
        for (offset, records) in &page.batches {
            if *offset != self.table.next_offset() {
                continue;
            }
            self.table.apply(*offset, records);
            for record in records {
                self.settle_key(record.key, &mut verdicts);
            }
        }
        let end = self.table.next_offset();
        if end >= page.next && self.read_to.is_none_or(|wanted| end >= wanted) {
            self.read_to = None;
            self.resend_unsettled();
        } else if page.batches.is_empty() {
            self.call_from = now.after(RETRY_PAUSE);
        }
        verdicts
    }

    /// Answers the claims whose deadline has come.
    pub fn expire(&mut self, now: Moment) -> VerdictList {
        self.answer_where(|claim| claim.deadline.is_due(now))
    }

    /// Returns how many claims wait for their verdict.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    fn begin_append(&mut self, now: Moment) -> HomeStep {
        let mut records = Vec::new();
        for key in self.queue.values().take(MAX_BATCH) {
            if let Some(claim) = self.pending.get_mut(*key) {
                claim.is_sent = true;
                records.push(claim.record.clone());
            }
        }
        self.call = LogCall::Appending;
        self.append_from = now.after(APPEND_GAP);
        self.appends += 1;
        HomeStep::Append(records)
    }

    /// Counts a failed call; a log that fails repeatedly makes all waiting claims unavailable.
    fn fail(&mut self, now: Moment) -> VerdictList {
        self.failures += 1;
        self.call_from = now.after(RETRY_PAUSE);
        if self.failures < OUTAGE_FAILURES {
            return Vec::new();
        }
        self.call_from = now.after(OUTAGE_PAUSE);
        self.refuse_until = self.call_from;
        self.answer_where(|_| true)
    }

    /// Answers the pending claims on a key that are decided by what has been read.
    fn settle_key(&mut self, key: KeyHash, verdicts: &mut VerdictList) {
        let claims: Vec<(u64, PendingKey)> = self
            .by_key
            .range((key, 0)..=(key, u64::MAX))
            .map(|((_, arrival), pending)| (*arrival, *pending))
            .collect();
        for (arrival, pending) in claims {
            let claim = self.pending.get(pending);
            let verdict = claim.and_then(|claim| self.table.settled(&claim.record));
            if let Some(verdict) = verdict {
                self.remove(arrival, pending);
                verdicts.push((pending, verdict));
            }
        }
    }

    /// Lets claims that were sent but are not on the log be sent again.
    fn resend_unsettled(&mut self) {
        let mut any_unsettled = false;
        for (_, claim) in self.pending.iter_mut() {
            any_unsettled |= claim.is_sent;
            claim.is_sent = false;
        }
        if !any_unsettled {
            self.failures = 0;
        }
    }

    fn answer_where(&mut self, is_over: impl Fn(&PendingClaim) -> bool) -> VerdictList {
        let over: Vec<(u64, PendingKey)> = self
            .queue
            .iter()
            .filter(|(_, key)| self.pending.get(**key).is_some_and(&is_over))
            .map(|(arrival, key)| (*arrival, *key))
            .collect();
        for (arrival, key) in &over {
            self.remove(*arrival, *key);
        }
        let unavailable = |(_, key)| (key, ClaimVerdict::Unavailable);
        over.into_iter().map(unavailable).collect()
    }

    fn remove(&mut self, arrival: u64, key: PendingKey) {
        self.queue.remove(&arrival);
        if let Some(claim) = self.pending.remove(key) {
            self.by_key.remove(&(claim.record.key, arrival));
        }
    }

    fn next_deadline(&self) -> Moment {
        let deadlines = self.pending.iter().map(|(_, claim)| claim.deadline);
        deadlines.min().unwrap_or(Moment::NEVER)
    }
}

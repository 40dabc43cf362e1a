//! Coordinator of one claim partition: batches claims into one append at a time and reads them
//! back for their verdicts.
//!
//! Any sidecar can be the coordinator, since a claim is answered only from records that were read
//! back from the log. An append without a response is resolved by the same read.

use std::collections::BTreeMap;
use std::time::Duration;

use super::claims::{ClaimRecord, ClaimTable, ClaimVerdict, KeyHash};
use super::ids::{LogOffset, LogPosition, StoreEra};
use crate::kernel::{Arena, Key, Moment};

/// Minimum time between two appends to one partition; limits the load on the log.
const APPEND_GAP: Duration = Duration::from_millis(100);

/// Delay before the next call to the log after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which new claims are refused immediately after repeated failures of the log.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(500);

/// Number of consecutive failures after which the log counts as unavailable.
const OUTAGE_FAILURES: u32 = 2;

/// Maximum number of records in one append.
pub const MAX_BATCH: usize = 512;

/// Limits on the memory of a partition's coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorLimits {
    /// Maximum number of keys; beyond it, claims on new keys are refused as unavailable.
    pub max_keys: usize,
    /// Maximum number of pending claims; beyond it, claims are refused as unavailable.
    pub max_pending: usize,
}

impl Default for CoordinatorLimits {
    fn default() -> Self {
        Self {
            max_keys: 65_536,
            max_pending: 4096,
        }
    }
}

/// Arena key of a pending claim.
pub type PendingKey = Key<PendingClaim>;

/// Claim or release that waits for its verdict.
#[derive(Debug, Clone)]
pub struct PendingClaim {
    /// Record to append.
    pub record: ClaimRecord,
    /// Time at which the verdict becomes [`ClaimVerdict::Unavailable`].
    pub deadline: Moment,
    is_sent: bool,
}

/// Result of submitting a claim or a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The verdict is known.
    Answer(ClaimVerdict),
    /// The verdict is returned later under this key.
    Pending(PendingKey),
}

/// Next action of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorStep {
    /// Append these records in one call to the log, then call [`ClaimCoordinator::finish_append`].
    Append(Vec<ClaimRecord>),
    /// Read the partition from the offset, then call [`ClaimCoordinator::finish_read`].
    Read(LogOffset),
    /// Do nothing until the given time.
    WaitUntil(Moment),
}

/// Page of records read from the partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// Era of the log in which the page was read.
    pub era: StoreEra,
    /// Oldest offset that the log still keeps.
    pub first: LogOffset,
    /// Offset that the next append will get.
    pub next: LogOffset,
    /// Appends from the requested offset on, in order; the page may end before `next`.
    pub batches: Vec<(LogOffset, Vec<ClaimRecord>)>,
}

/// Verdicts on claims that are no longer pending.
pub type VerdictList = Vec<(PendingKey, ClaimVerdict)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogCall {
    Idle,
    Appending,
    Reading,
}

/// Coordinator of one claim partition.
#[derive(Debug)]
pub struct ClaimCoordinator {
    /// Limits on keys and pending claims.
    pub limits: CoordinatorLimits,
    /// State of the partition as read so far.
    pub table: ClaimTable,
    /// Number of appends started so far.
    pub appends: u64,
    pending: Arena<PendingClaim>,
    /// Pending claims by arrival number.
    queue: BTreeMap<u64, PendingKey>,
    arrivals: u64,
    by_key: BTreeMap<(KeyHash, u64), PendingKey>,
    call: LogCall,
    /// When set, the partition has to be read to its end and at least up to this position.
    read_to: Option<LogPosition>,
    /// Records of earlier eras that the log lacks, to be appended again.
    lost: Vec<ClaimRecord>,
    /// Whether the log may lack records of earlier eras.
    may_have_lost: bool,
    next_append_at: Moment,
    next_call_at: Moment,
    failures: u32,
    refuse_until: Moment,
}

impl ClaimCoordinator {
    /// Creates a coordinator that still has to replay its partition.
    #[must_use]
    pub fn new(limits: CoordinatorLimits) -> Self {
        Self {
            limits,
            table: ClaimTable::default(),
            appends: 0,
            pending: Arena::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            by_key: BTreeMap::new(),
            call: LogCall::Idle,
            read_to: Some(LogPosition::default()),
            lost: Vec::new(),
            may_have_lost: false,
            next_append_at: Moment::START,
            next_call_at: Moment::START,
            failures: 0,
            refuse_until: Moment::START,
        }
    }

    /// Accepts a claim or a release whose verdict is due by the deadline.
    pub fn submit(&mut self, now: Moment, record: ClaimRecord, deadline: Moment) -> ClaimStep {
        if let Some(verdict) = self.table.final_verdict(&record) {
            return ClaimStep::Answer(verdict);
        }
        let is_new = self.table.holder(record.key).is_none();
        let is_full = is_new && self.table.len() + self.pending.len() >= self.limits.max_keys;
        let is_refused = !self.refuse_until.is_due(now)
            || self.pending.len() >= self.limits.max_pending
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

    /// Returns the next action; while an append or a read is in progress, that is to wait.
    pub fn next_step(&mut self, now: Moment) -> CoordinatorStep {
        if self.call != LogCall::Idle {
            return CoordinatorStep::WaitUntil(self.next_deadline());
        }
        if !self.next_call_at.is_due(now) {
            return CoordinatorStep::WaitUntil(self.next_call_at.min(self.next_deadline()));
        }
        if self.read_to.is_some() {
            self.call = LogCall::Reading;
            return CoordinatorStep::Read(self.table.next().offset);
        }
        if self.queue.is_empty() && self.lost.is_empty() {
            return CoordinatorStep::WaitUntil(Moment::NEVER);
        }
        if !self.next_append_at.is_due(now) {
            return CoordinatorStep::WaitUntil(self.next_append_at.min(self.next_deadline()));
        }
        self.begin_append(now)
    }

    /// Ends an append with its position, or with `None` if it failed or its response was lost.
    pub fn finish_append(&mut self, now: Moment, position: Option<LogPosition>) -> VerdictList {
        self.call = LogCall::Idle;
        // A failed append may still be on the log; only a read can tell.
        let Some(position) = position else {
            self.read_to = Some(self.table.next());
            return self.record_failure(now);
        };
        self.failures = 0;
        self.read_to = Some(LogPosition {
            offset: LogOffset(position.offset.0 + 1),
            ..position
        });
        Vec::new()
    }

    /// Ends a read with its page, or with `None` if it failed.
    pub fn finish_read(&mut self, now: Moment, page: Option<&ClaimPage>) -> VerdictList {
        self.call = LogCall::Idle;
        let Some(page) = page else {
            return self.record_failure(now);
        };
        if page.era < self.table.next().era {
            self.next_call_at = now.after(RETRY_DELAY);
            return Vec::new();
        }
        self.may_have_lost |= self.table.enter_era(page.era, page.first);
        self.table.trim(page.first);
        let mut verdicts = Vec::new();
        for (offset, records) in &page.batches {
            if *offset != self.table.next().offset {
                continue;
            }
            self.table.apply(*offset, records);
            for record in records {
                self.resolve_key(record.key, &mut verdicts);
            }
        }
        let end = self.table.next();
        if end.offset >= page.next && self.read_to.is_none_or(|wanted| end >= wanted) {
            self.read_to = None;
            self.find_lost();
            self.mark_unsent();
        } else if page.batches.is_empty() {
            self.next_call_at = now.after(RETRY_DELAY);
        }
        verdicts
    }

    /// Returns [`ClaimVerdict::Unavailable`] for the claims whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> VerdictList {
        self.refuse_where(|claim| claim.deadline.is_due(now))
    }

    /// Returns the number of pending claims.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    fn begin_append(&mut self, now: Moment) -> CoordinatorStep {
        let mut records = std::mem::take(&mut self.lost);
        for key in self.queue.values().take(MAX_BATCH - records.len()) {
            if let Some(claim) = self.pending.get_mut(*key) {
                claim.is_sent = true;
                records.push(claim.record.clone());
            }
        }
        self.call = LogCall::Appending;
        self.next_append_at = now.after(APPEND_GAP);
        self.appends += 1;
        CoordinatorStep::Append(records)
    }

    /// Records a failed call; after repeated failures all pending claims become unavailable.
    fn record_failure(&mut self, now: Moment) -> VerdictList {
        self.failures += 1;
        self.next_call_at = now.after(RETRY_DELAY);
        if self.failures < OUTAGE_FAILURES {
            return Vec::new();
        }
        self.next_call_at = now.after(OUTAGE_BACKOFF);
        self.refuse_until = self.next_call_at;
        self.refuse_where(|_| true)
    }

    /// Ends the pending claims on a key whose verdict follows from the records read so far.
    fn resolve_key(&mut self, key: KeyHash, verdicts: &mut VerdictList) {
        let claims: Vec<(u64, PendingKey)> = self
            .by_key
            .range((key, 0)..=(key, u64::MAX))
            .map(|((_, arrival), pending)| (*arrival, *pending))
            .collect();
        for (arrival, pending) in claims {
            let claim = self.pending.get(pending);
            let verdict = claim.and_then(|claim| self.table.final_verdict(&claim.record));
            if let Some(verdict) = verdict {
                self.remove(arrival, pending);
                verdicts.push((pending, verdict));
            }
        }
    }

    /// Finds the records that are to be appended again, until the log lacks none.
    fn find_lost(&mut self) {
        if !self.may_have_lost {
            return;
        }
        self.lost = self.table.lost_records(MAX_BATCH);
        self.may_have_lost = !self.lost.is_empty();
    }

    /// Marks claims that were sent but are not on the log as unsent, so that they are sent again.
    fn mark_unsent(&mut self) {
        let mut any_sent = false;
        for (_, claim) in self.pending.iter_mut() {
            any_sent |= claim.is_sent;
            claim.is_sent = false;
        }
        if !any_sent {
            self.failures = 0;
        }
    }

    fn refuse_where(&mut self, matches: impl Fn(&PendingClaim) -> bool) -> VerdictList {
        let refused: Vec<(u64, PendingKey)> = self
            .queue
            .iter()
            .filter(|(_, key)| self.pending.get(**key).is_some_and(&matches))
            .map(|(arrival, key)| (*arrival, *key))
            .collect();
        for (arrival, key) in &refused {
            self.remove(*arrival, *key);
        }
        let unavailable = |(_, key)| (key, ClaimVerdict::Unavailable);
        refused.into_iter().map(unavailable).collect()
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

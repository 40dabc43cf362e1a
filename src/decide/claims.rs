//! Claims on idempotency keys: the first claim on a key in offset order wins.
//!
//! Every process that replays a partition of the log finds the same winners, whichever process
//! appended the records, so safety needs no leader. A key is released only by a record that names
//! a ticket which is proven never to have run and never to run.
//!
//! When the log comes back from an older copy, it may lack claims whose requests have run. A table
//! keeps them and states those that the log lacks, so that they can be appended again.

use std::collections::{HashMap, VecDeque};

use super::claim_entry::{ClaimEntry, ClaimHolder, CustomerName, HolderName};
use super::hashing::hash_parts;
use super::ids::{Incarnation, LogOffset, LogPosition, StoreEra, Ticket};
use super::suspects::Fingerprint;
use crate::kernel::{Arena, Key};

/// Number of claim partitions; each partition is a separate stream on the log.
pub const PARTITION_COUNT: u16 = 16;

/// Maximum number of tickets released for one key; later releases are ignored and the key stays
/// held.
pub const MAX_RELEASES: usize = 16;

/// Hash of a customer name and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Returns the hash of an idempotency key in the scope of a customer.
    ///
    /// ```
    /// use bulrushslip::decide::claims::KeyHash;
    /// assert_ne!(KeyHash::of("a", "bc"), KeyHash::of("ab", "c"));
    /// ```
    #[must_use]
    pub fn of(customer: &str, key: &str) -> Self {
        let hash = hash_parts(&[customer.as_bytes(), key.as_bytes()]);
        let mut word = [0; 16];
        word.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(word))
    }

    /// Returns the partition that holds the claims on the key.
    #[must_use]
    pub fn partition(self) -> PartitionId {
        let remainder = self.0 % u128::from(PARTITION_COUNT);
        PartitionId(u16::try_from(remainder).unwrap_or_default())
    }
}

/// Number of a claim partition, below [`PARTITION_COUNT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId(pub u16);

impl PartitionId {
    /// Iterates over all claim partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }

    /// Returns the name of the partition's stream on the log.
    #[must_use]
    pub fn stream(self) -> String {
        format!("claims-{:02}", self.0)
    }

    /// Orders sidecars by rendezvous hash: the first is the coordinator, the others are fallbacks.
    #[must_use]
    pub fn coordinator_order<'a>(self, sidecars: &[&'a str]) -> Vec<&'a str> {
        let mut order: Vec<([u8; 32], &str)> = sidecars
            .iter()
            .map(|name| (self.rendezvous_hash(name), *name))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    fn rendezvous_hash(self, name: &str) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(name.as_bytes());
        *hasher.finalize().as_bytes()
    }
}

/// Limits on the age of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencyWindow {
    /// Seconds after its creation for which a key is accepted; must be well below the log's
    /// retention time.
    pub window_s: u64,
    /// Allowed clock difference between callers and entries, in seconds.
    pub skew_s: u64,
}

/// Whether an idempotency key can still be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key can be claimed until this time in Unix seconds.
    Valid(u64),
    /// The key is too old: its records may have left the log, so it is unknown whether its
    /// request ran.
    Expired,
    /// The stated creation time lies in the future.
    Future,
}

/// Checks the age of a key; a key without a stated creation time counts as created now.
#[must_use]
pub const fn key_age(policy: IdempotencyWindow, now_s: u64, created_s: Option<u64>) -> KeyAge {
    let Some(created_s) = created_s else {
        return KeyAge::Valid(now_s.saturating_add(policy.window_s));
    };
    if created_s > now_s.saturating_add(policy.skew_s) {
        return KeyAge::Future;
    }
    let expires_s = created_s.saturating_add(policy.window_s);
    if expires_s <= now_s {
        return KeyAge::Expired;
    }
    KeyAge::Valid(expires_s)
}

/// Attempt for which a key is claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTarget {
    /// Ticket that is submitted once the claim has won.
    pub ticket: Ticket,
    /// Name of the upstream to which the ticket is submitted.
    pub upstream: String,
    /// The only incarnation of the upstream's sidecar that accepts the ticket, so that a
    /// withdrawal there proves that the ticket never runs.
    pub sidecar: Incarnation,
    /// Fingerprint of the request, to detect a key that is reused for a different request.
    pub fingerprint: Fingerprint,
}

/// One record of a claim partition: a release, a claim, or both.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Name of the customer, for people who read the log.
    pub customer: String,
    /// Hash of the customer and the idempotency key.
    pub key: KeyHash,
    /// Released ticket, which is proven never to have run and never to run.
    pub released: Option<Ticket>,
    /// Attempt that claims the key.
    pub target: Option<ClaimTarget>,
    /// Time at which the key expires, in Unix seconds.
    pub expires_s: u64,
}

/// Outcome of a claim or a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim holds the key.
    Won,
    /// Another ticket holds the key.
    Held(ClaimTarget),
    /// The ticket has been released and cannot hold a key again.
    Released,
    /// The record was not appended or not read back in time; it may still appear on the log.
    Unavailable,
}

/// State of one claim partition, replayed up to an offset.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    next: LogPosition,
    entries: Arena<ClaimEntry>,
    by_key: HashMap<KeyHash, Key<ClaimEntry>>,
    by_offset: VecDeque<(LogOffset, Key<ClaimEntry>)>,
    names: Arena<HolderName>,
    by_name: HashMap<String, Key<HolderName>>,
    customers: Arena<CustomerName>,
    by_customer: HashMap<String, Key<CustomerName>>,
}

impl ClaimTable {
    /// Returns the position below which every record of the era has been applied.
    #[must_use]
    pub const fn next(&self) -> LogPosition {
        self.next
    }

    /// Enters a higher era, in which the log is read again from its oldest offset; returns `false` if the
    /// era is not higher. All claims are kept, as their requests may have run.
    pub fn enter_era(&mut self, era: StoreEra, first: LogOffset) -> bool {
        if era <= self.next.era {
            return false;
        }
        self.next = LogPosition { era, offset: first };
        true
    }

    /// Returns at most `limit` records for the releases and claims that were not read in this era.
    #[must_use]
    pub fn lost_records(&self, limit: usize) -> Vec<ClaimRecord> {
        let entries = self.entries.iter().map(|(_, entry)| entry);
        let lost = entries.flat_map(|entry| {
            let releases = entry
                .released
                .iter()
                .filter(|known| self.is_lost(known.era));
            let releases = releases.map(|known| self.record(entry, Some(known.ticket), None));
            let claim = entry.holder.filter(|holder| self.is_lost(holder.era));
            let target = claim.and_then(|holder| self.target(holder));
            releases.chain(target.map(|target| self.record(entry, None, Some(target))))
        });
        lost.take(limit).collect()
    }

    /// Returns whether there are releases or claims that were not read in this era.
    #[must_use]
    pub fn has_lost_records(&self) -> bool {
        !self.lost_records(1).is_empty()
    }

    fn is_lost(&self, era: StoreEra) -> bool {
        era < self.next.era
    }

    fn record(
        &self,
        entry: &ClaimEntry,
        released: Option<Ticket>,
        target: Option<ClaimTarget>,
    ) -> ClaimRecord {
        let customer = self.customers.get(entry.customer);
        ClaimRecord {
            customer: customer.map_or_else(String::new, |CustomerName(name)| name.clone()),
            key: entry.key,
            released,
            target,
            expires_s: entry.expires_s,
        }
    }

    /// Applies the records of one append; an offset that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, records: &[ClaimRecord]) {
        if offset < self.next.offset {
            return;
        }
        self.next.offset = LogOffset(offset.0 + 1);
        for record in records {
            self.apply_record(offset, record);
        }
    }

    /// Removes the keys whose records have left the log, that is, are all below `first`.
    ///
    /// A table that has missed records below `first` is cleared and continues at `first`.
    pub fn trim(&mut self, first: LogOffset) {
        if first > self.next.offset {
            *self = Self {
                next: LogPosition {
                    offset: first,
                    ..self.next
                },
                ..Self::default()
            };
            return;
        }
        while let Some((offset, key)) = self.by_offset.front().copied() {
            if offset >= first {
                return;
            }
            self.by_offset.pop_front();
            self.remove_if_last_record(key, offset);
        }
    }

    /// Returns the attempt that holds a key.
    #[must_use]
    pub fn holder(&self, key: KeyHash) -> Option<ClaimTarget> {
        let entry = self.entry(key)?;
        self.target(entry.holder?)
    }

    fn target(&self, holder: ClaimHolder) -> Option<ClaimTarget> {
        let HolderName(name) = self.names.get(holder.upstream)?;
        Some(ClaimTarget {
            ticket: holder.ticket,
            upstream: name.clone(),
            sidecar: holder.sidecar,
            fingerprint: holder.fingerprint,
        })
    }

    /// Returns the verdict on a record that would not change the table, or `None` if the record
    /// has to be appended.
    #[must_use]
    pub fn final_verdict(&self, record: &ClaimRecord) -> Option<ClaimVerdict> {
        let entry = self.entry(record.key)?;
        let Some(target) = &record.target else {
            let ticket = record.released?;
            return entry.release_verdict(ticket);
        };
        if entry.has_released(target.ticket) {
            return Some(ClaimVerdict::Released);
        }
        let holder = entry.holder?;
        if holder.ticket == target.ticket {
            return Some(ClaimVerdict::Won);
        }
        if record.released == Some(holder.ticket) && entry.released.len() < MAX_RELEASES {
            return None;
        }
        self.holder(record.key).map(ClaimVerdict::Held)
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&self, key: KeyHash) -> Option<&ClaimEntry> {
        self.entries.get(*self.by_key.get(&key)?)
    }

    fn apply_record(&mut self, offset: LogOffset, record: &ClaimRecord) {
        let target = record.target.as_ref();
        let upstream = target.map(|target| self.intern(&target.upstream));
        let entry_key = self.entry_key(offset, record);
        let era = self.next.era;
        let Some(entry) = self.entries.get_mut(entry_key) else {
            return;
        };
        if let Some(ticket) = record.released {
            entry.release(era, ticket);
        }
        if let (Some(target), Some(upstream)) = (target, upstream) {
            entry.claim(era, target, upstream);
        }
        if entry.last_offset < offset {
            entry.last_offset = offset;
            self.by_offset.push_back((offset, entry_key));
        }
    }

    fn entry_key(&mut self, offset: LogOffset, record: &ClaimRecord) -> Key<ClaimEntry> {
        let key = record.key;
        if let Some(entry_key) = self.by_key.get(&key) {
            return *entry_key;
        }
        let customer = self.intern_customer(&record.customer);
        let entry_key = self.entries.insert(ClaimEntry {
            key,
            customer,
            expires_s: record.expires_s,
            holder: None,
            released: Vec::new(),
            last_offset: offset,
        });
        self.by_key.insert(key, entry_key);
        self.by_offset.push_back((offset, entry_key));
        entry_key
    }

    fn intern(&mut self, name: &str) -> Key<HolderName> {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.names.insert(HolderName(name.to_owned()));
        self.by_name.insert(name.to_owned(), key);
        key
    }

    fn intern_customer(&mut self, name: &str) -> Key<CustomerName> {
        if let Some(key) = self.by_customer.get(name) {
            return *key;
        }
        let key = self.customers.insert(CustomerName(name.to_owned()));
        self.by_customer.insert(name.to_owned(), key);
        key
    }

    fn remove_if_last_record(&mut self, key: Key<ClaimEntry>, offset: LogOffset) {
        let is_last = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.last_offset == offset);
        if !is_last {
            return;
        }
        if let Some(entry) = self.entries.remove(key) {
            self.by_key.remove(&entry.key);
        }
    }
}

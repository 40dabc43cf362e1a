//! Prompt segments, and which upstream is assumed to hold which prompt prefix in its KV cache.

use std::collections::HashMap;
use std::time::Duration;

use super::cache_scope::CacheScope;
use super::fleet::MemberKey;
use super::hashing::{first_word, hash_parts};
use super::route_table::{DataCentreId, KvStore};
use crate::kernel::Moment;

/// Maximum number of prefixes in the index; above it, all that were not used recently are removed.
const MAX_PREFIXES: usize = 16_384;

/// Time after which an unused prefix is removed; engines evict it within seconds.
const PREFIX_LIFETIME: Duration = Duration::from_secs(20);

/// Share of a KV store assumed to hold the most recent saves, in percent; the rest is taken by
/// saves that are not known yet.
const STORE_RETENTION_PERCENT: u64 = 80;

/// Time to wait for the first prefill of a prefix, for requests that can wait that long. A busy
/// engine takes seconds, and a second prefill costs it more than the wait costs a request.
const PREFILL_WAIT: Duration = Duration::from_secs(4);

/// Share of an engine's KV cache assumed to hold the most recent prefixes, in percent; the rest is
/// taken by running requests.
const CACHE_RETENTION_PERCENT: u64 = 75;

/// Length from which a shared prefix counts as long, in tokens: a transfer is cheaper than a prefill,
/// and instances tell each other which upstreams hold it.
pub const LONG_PREFIX_TOKENS: u64 = 512;

/// One segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the segment's content.
    pub id: u64,
    /// Length of the segment.
    pub tokens: u64,
}

/// Sizes and segments of a request's prompt, as stated by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptShape {
    /// Hash of the model's name.
    pub model: u64,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum length of the answer.
    pub answer_tokens: u64,
    /// Segments from the start of the prompt; the last one belongs to this request or its session.
    pub segments: Vec<PromptSegment>,
}

impl PromptShape {
    /// Returns the leading segments, which other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[PromptSegment] {
        match self.segments.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the length of the shared segments in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|segment| segment.tokens).sum()
    }

    /// Returns whether the shared segments are long.
    #[must_use]
    pub fn has_long_prefix(&self) -> bool {
        self.shared_tokens() >= LONG_PREFIX_TOKENS
    }
}

/// Set of requests that may share KV cache: equal model, weights and scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CacheDomain(pub u64);

impl CacheDomain {
    /// Returns the domain of a request.
    #[must_use]
    pub fn of(model: u64, version: u64, scope: CacheScope<'_>) -> Self {
        let (model, version) = (model.to_le_bytes(), version.to_le_bytes());
        let hash = match scope {
            CacheScope::Own(name) => hash_parts(&[&model, &version, name.as_bytes()]),
            CacheScope::Shared(None) => hash_parts(&[&model, &version, &[]]),
            CacheScope::Shared(Some(isolated)) => {
                hash_parts(&[&model, &version, &[], &isolated.0.to_le_bytes()])
            }
        };
        Self(first_word(&hash))
    }

    /// Returns the domain as it is sent to engines, which keep their caches apart by this text.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// Hash of the leading segments of a prompt up to one segment, within a domain.
type PrefixHash = u64;

#[derive(Debug, Clone, Copy)]
struct CachedCopy {
    member: MemberKey,
    /// Total of tokens added to the upstream's KV cache when the prefix was used last.
    total_added_tokens: u64,
    used: Moment,
}

#[derive(Debug, Clone, Default)]
struct PrefixRecord {
    copies: Vec<CachedCopy>,
    /// KV stores that hold the prefix, each with the total of tokens saved there at that time.
    saved_in: Vec<(DataCentreId, u64)>,
    /// Time until which requests wait for the running first prefill of the prefix.
    pending_until: Moment,
    used: Moment,
}

/// KV cache state of an upstream, as needed to estimate what it still holds.
#[derive(Debug, Clone, Copy)]
pub struct CacheState {
    /// Key of the upstream.
    pub member: MemberKey,
    /// Tokens added to its KV cache so far.
    pub total_added_tokens: u64,
    /// Tokens that its KV cache holds.
    pub memory_tokens: u64,
}

/// Prefixes assumed to be in the KV caches of upstreams and in the KV stores.
///
/// Engines do not report evictions here: a prefix counts as evicted once enough other tokens have
/// been added after its last use.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    records: HashMap<PrefixHash, PrefixRecord>,
    /// Tokens that each instance has had saved to each KV store.
    saved_by: HashMap<(u64, DataCentreId), u64>,
    /// Tokens that all instances have had saved to each KV store, as far as reported.
    saved: HashMap<DataCentreId, u64>,
}

/// Returns the hash of each shared prefix of a prompt with the length of its last segment, shortest
/// prefix first.
#[must_use]
pub fn prefix_hashes(domain: CacheDomain, segments: &[PromptSegment]) -> Vec<(u64, u64)> {
    let mut hash = domain.0;
    let mut prefixes = Vec::with_capacity(segments.len());
    for segment in segments {
        // Segment ids are hashes already, so a multiplicative mix suffices.
        hash = (hash ^ segment.id)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29);
        prefixes.push((hash, segment.tokens));
    }
    prefixes
}

/// Returns the KV store for prefixes computed in a data centre: the store in that data centre, else
/// one selected by the prefix hash, so that all instances agree.
#[must_use]
pub fn kv_store_for(stores: &[KvStore], data_centre: DataCentreId, hash: u64) -> Option<&KvStore> {
    let local = stores.iter().find(|store| store.data_centre == data_centre);
    local.or_else(|| {
        let count = u64::try_from(stores.len())
            .ok()
            .filter(|count| *count > 0)?;
        stores.get(usize::try_from(hash % count).ok()?)
    })
}

impl PrefixIndex {
    /// Returns the length of the longest prefix assumed to be cached at an upstream, in tokens.
    #[must_use]
    pub fn cached_prefix_tokens(&self, prefixes: &[(u64, u64)], holder: CacheState) -> u64 {
        let usable = holder.memory_tokens * CACHE_RETENTION_PERCENT / 100;
        let mut cached = 0;
        for (hash, tokens) in prefixes {
            let record = self.records.get(hash);
            let copy = record.and_then(|record| record.copy_at(holder.member));
            let is_cached = copy.is_some_and(|copy| {
                holder
                    .total_added_tokens
                    .saturating_sub(copy.total_added_tokens)
                    < usable
            });
            if !is_cached {
                break;
            }
            cached += tokens;
        }
        cached
    }

    /// Iterates over upstreams that have used the whole prefix, the most recent last.
    pub fn holders(&self, prefixes: &[(u64, u64)]) -> impl Iterator<Item = MemberKey> {
        let last = prefixes.last().and_then(|(hash, _)| self.records.get(hash));
        let copies = last.map(|record| record.copies.as_slice());
        copies.unwrap_or_default().iter().map(|copy| copy.member)
    }

    /// Returns whether the whole prefix is assumed to be in a KV store.
    #[must_use]
    pub fn is_saved(&self, prefixes: &[(u64, u64)], store: &KvStore) -> bool {
        let last = prefixes.last().and_then(|(hash, _)| self.records.get(hash));
        let saved = last.map(|record| record.saved_in.as_slice());
        let mut copies = saved.unwrap_or_default().iter();
        let Some((_, saved_before)) =
            copies.find(|(data_centre, _)| *data_centre == store.data_centre)
        else {
            return false;
        };
        let usable = store.memory_tokens * STORE_RETENTION_PERCENT / 100;
        self.saved_at(store.data_centre) - saved_before < usable
    }

    fn saved_at(&self, store: DataCentreId) -> u64 {
        self.saved.get(&store).copied().unwrap_or(0)
    }

    /// Returns the tokens that an instance has had saved, by the data centre of the KV store.
    #[must_use]
    pub fn saved_by(&self, instance: u64) -> Vec<(DataCentreId, u64)> {
        let all = self.saved_by.iter();
        let own = all.filter(|((saver, _), _)| *saver == instance);
        own.map(|((_, data_centre), tokens)| (*data_centre, *tokens))
            .collect()
    }

    /// Records that an instance has had more tokens saved to a KV store.
    pub fn add_saved_tokens(&mut self, instance: u64, store: DataCentreId, tokens: u64) {
        *self.saved_by.entry((instance, store)).or_default() += tokens;
        *self.saved.entry(store).or_default() += tokens;
    }

    /// Records how many tokens an instance has had saved to a KV store since its start.
    pub fn record_saved_total(&mut self, instance: u64, store: DataCentreId, total: u64) {
        let previous = self.saved_by.insert((instance, store), total).unwrap_or(0);
        // A smaller total means that the instance has restarted.
        let increase = total.checked_sub(previous).unwrap_or(total);
        *self.saved.entry(store).or_default() += increase;
    }

    /// Records how many tokens the instances of another data centre have had saved to a KV store,
    /// unless a larger total is known.
    pub fn record_site_saved_total(&mut self, site: DataCentreId, store: DataCentreId, total: u64) {
        let known = self.saved_by.entry((site.0, store)).or_default();
        let increase = total.saturating_sub(*known);
        *known += increase;
        *self.saved.entry(store).or_default() += increase;
    }

    /// Returns whether any upstream has used the whole prefix within `PREFIX_LIFETIME`.
    #[must_use]
    pub fn is_known(&self, now: Moment, prefixes: &[(u64, u64)]) -> bool {
        let last = prefixes.last().and_then(|(hash, _)| self.records.get(hash));
        last.is_some_and(|record| now.since(record.used) < PREFIX_LIFETIME)
    }

    /// Returns the time until which to wait for the running first prefill of the whole prefix, or
    /// `None` if none is running or the prefix is available.
    #[must_use]
    pub fn pending_prefill(&self, now: Moment, prefixes: &[(u64, u64)]) -> Option<Moment> {
        let (hash, _) = prefixes.last()?;
        let record = self.records.get(hash)?;
        let is_available = !record.copies.is_empty() || !record.saved_in.is_empty();
        let is_pending = !is_available && record.pending_until > now;
        is_pending.then_some(record.pending_until)
    }

    /// Records that an upstream has started to prefill the prefixes, which cannot be fetched yet.
    pub fn record_prefill_start(&mut self, now: Moment, prefixes: &[(u64, u64)]) {
        for (hash, _) in prefixes {
            let record = self.records.entry(*hash).or_default();
            record.used = now;
            if record.pending_until <= now {
                record.pending_until = now.after(PREFILL_WAIT);
            }
        }
    }

    /// Records that a prefill was abandoned, so that the next request does not wait for it.
    pub fn record_prefill_abandoned(&mut self, prefixes: &[(u64, u64)]) {
        for (hash, _) in prefixes {
            if let Some(record) = self.records.get_mut(hash) {
                record.pending_until = Moment::START;
            }
        }
    }

    /// Records that an upstream has the prefixes in its KV cache.
    pub fn record_cached(
        &mut self,
        now: Moment,
        prefixes: &[(u64, u64)],
        member: MemberKey,
        added_tokens: u64,
    ) {
        if self.records.len() >= MAX_PREFIXES {
            self.remove_unused(now);
        }
        for (hash, _) in prefixes {
            let record = self.records.entry(*hash).or_default();
            record.used = now;
            record.pending_until = Moment::START;
            record
                .copies
                .retain(|copy| copy.member != member && now.since(copy.used) < PREFIX_LIFETIME);
            record.copies.push(CachedCopy {
                member,
                total_added_tokens: added_tokens,
                used: now,
            });
        }
    }

    /// Records that the prefixes were saved to the KV store of a data centre.
    pub fn record_saved(&mut self, prefixes: &[(u64, u64)], store: DataCentreId) {
        let saved_before = self.saved_at(store);
        for (hash, _) in prefixes {
            let record = self.records.entry(*hash).or_default();
            record
                .saved_in
                .retain(|(data_centre, _)| *data_centre != store);
            record.saved_in.push((store, saved_before));
        }
    }

    /// Removes an upstream from all prefixes, because it restarted or its cache was cleared.
    pub fn remove_member(&mut self, member: MemberKey) {
        for record in self.records.values_mut() {
            record.copies.retain(|copy| copy.member != member);
        }
    }

    /// Returns the number of prefixes in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_unused(&mut self, now: Moment) {
        let is_live = |record: &PrefixRecord| now.since(record.used) < PREFIX_LIFETIME;
        self.records.retain(|_, record| is_live(record));
        if self.records.len() >= MAX_PREFIXES {
            self.records.clear();
        }
    }
}

impl PrefixRecord {
    fn copy_at(&self, member: MemberKey) -> Option<&CachedCopy> {
        self.copies.iter().find(|copy| copy.member == member)
    }
}

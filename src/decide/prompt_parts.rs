//! Prompts in parts, and which upstream is believed to hold which part in memory.

use std::collections::HashMap;
use std::time::Duration;

use super::fleet::MemberKey;
use super::hashing::{first_word, hash_parts};
use super::route_table::{KeptStore, PlaceId};
use crate::kernel::Moment;

/// Parts remembered at most; beyond it all that were not used lately are forgotten.
const MAX_PARTS: usize = 16_384;

/// Time after which an unused part is forgotten; engines evict within seconds.
const PART_LIFETIME: Duration = Duration::from_secs(20);

/// Share of a kept store, in percent, that is believed to survive as least recently used; saves
/// that are not known of yet take the rest.
const USABLE_STORE_PERCENT: u64 = 80;

/// Time for which other requests wait for the first reading of a part, if they have it; a busy
/// engine takes seconds, and a second reading costs it more than the wait costs a request.
const READING_WAIT: Duration = Duration::from_secs(4);

/// Share of an engine's memory, in percent, that is believed to survive as least recently used;
/// running requests take the rest.
const USABLE_MEMORY_PERCENT: u64 = 75;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a request says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptShape {
    /// Hash of the model's name.
    pub model: u64,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Parts, outermost first; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}

/// Which prompt memory may be shared: same model, same weights, same side of each wall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CacheDomain(pub u64);

impl CacheDomain {
    /// Returns the domain of a request; `wall` names an isolated customer and is empty for others.
    #[must_use]
    pub fn of(model: u64, version: u64, wall: &str) -> Self {
        let words = [
            &model.to_le_bytes()[..],
            &version.to_le_bytes()[..],
            wall.as_bytes(),
        ];
        Self(first_word(&hash_parts(&words)))
    }

    /// Returns the text under which engines keep memory of the domain.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// Names a chain of parts from the outermost to one part, within a domain.
type ChainId = u64;

#[derive(Debug, Clone, Copy)]
struct PartCopy {
    member: MemberKey,
    /// The holder's count of tokens read when the part was used last.
    read_mark: u64,
    used: Moment,
}

#[derive(Debug, Clone, Default)]
struct PartRecord {
    copies: Vec<PartCopy>,
    /// Kept stores that it was saved to, each with the tokens that all had saved there by then.
    kept: Vec<(PlaceId, u64)>,
    /// Until when a first reading that is under way is waited for.
    pending_until: Moment,
    used: Moment,
}

/// Holder of parts as a question sees it.
#[derive(Debug, Clone, Copy)]
pub struct HolderView {
    /// The holder.
    pub member: MemberKey,
    /// Tokens that it has read so far.
    pub read_mark: u64,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

/// Believed contents of the upstreams' memory and of the kept store.
#[derive(Debug, Default)]
pub struct PartIndex {
    records: HashMap<ChainId, PartRecord>,
    /// Tokens that each instance has had saved to each kept store.
    saved_by: HashMap<(u64, PlaceId), u64>,
    /// Tokens saved to each kept store by all, as far as known.
    saved: HashMap<PlaceId, u64>,
}

/// Returns the chains of the shared parts of a prompt, outermost first.
#[must_use]
pub fn chains(domain: CacheDomain, parts: &[PromptPart]) -> Vec<(u64, u64)> {
    let mut chain = domain.0;
    let mut found = Vec::with_capacity(parts.len());
    for part in parts {
        // A multiplicative mix keeps chains apart; identities are hashes already.
        chain = (chain ^ part.id)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29);
        found.push((chain, part.tokens));
    }
    found
}

/// Returns the kept store that parts read in a data centre are saved to: the one there, else one
/// that the part decides, so that all instances name the same.
#[must_use]
pub fn home_store(stores: &[KeptStore], place: PlaceId, chain: u64) -> Option<&KeptStore> {
    let near = stores.iter().find(|store| store.place == place);
    near.or_else(|| {
        let count = u64::try_from(stores.len())
            .ok()
            .filter(|count| *count > 0)?;
        stores.get(usize::try_from(chain % count).ok()?)
    })
}

impl PartIndex {
    /// Returns the tokens of the leading parts that the holder is believed to have in memory.
    #[must_use]
    pub fn held_tokens(&self, chains: &[(u64, u64)], holder: HolderView) -> u64 {
        let usable = holder.memory_tokens * USABLE_MEMORY_PERCENT / 100;
        let mut held = 0;
        for (chain, tokens) in chains {
            let record = self.records.get(chain);
            let copy = record.and_then(|record| record.copy_at(holder.member));
            let is_held =
                copy.is_some_and(|copy| holder.read_mark.saturating_sub(copy.read_mark) < usable);
            if !is_held {
                break;
            }
            held += tokens;
        }
        held
    }

    /// Iterates over upstreams at which the whole chain was used, latest first by insertion.
    pub fn holders(&self, chains: &[(u64, u64)]) -> impl Iterator<Item = MemberKey> {
        let last = chains.last().and_then(|(chain, _)| self.records.get(chain));
        let copies = last.map(|record| record.copies.as_slice());
        copies.unwrap_or_default().iter().map(|copy| copy.member)
    }

    /// Tells whether the chain is believed to be in a kept store.
    #[must_use]
    pub fn is_kept(&self, chains: &[(u64, u64)], store: &KeptStore) -> bool {
        let last = chains.last().and_then(|(chain, _)| self.records.get(chain));
        let kept = last.map(|record| record.kept.as_slice());
        let mut copies = kept.unwrap_or_default().iter();
        let Some((_, mark)) = copies.find(|(place, _)| *place == store.place) else {
            return false;
        };
        let usable = store.memory_tokens * USABLE_STORE_PERCENT / 100;
        self.saved_at(store.place) - mark < usable
    }

    fn saved_at(&self, store: PlaceId) -> u64 {
        self.saved.get(&store).copied().unwrap_or(0)
    }

    /// Returns the tokens that an instance has had saved to each kept store.
    #[must_use]
    pub fn saved_by(&self, instance: u64) -> Vec<(PlaceId, u64)> {
        let all = self.saved_by.iter();
        let own = all.filter(|((saver, _), _)| *saver == instance);
        own.map(|((_, place), tokens)| (*place, *tokens)).collect()
    }

    /// Notes that an instance has had further tokens saved to a kept store.
    pub fn add_saved(&mut self, instance: u64, store: PlaceId, tokens: u64) {
        *self.saved_by.entry((instance, store)).or_default() += tokens;
        *self.saved.entry(store).or_default() += tokens;
    }

    /// Takes in how many tokens an instance has had saved to a kept store since its start.
    pub fn note_saved(&mut self, instance: u64, store: PlaceId, total: u64) {
        let before = self.saved_by.insert((instance, store), total).unwrap_or(0);
        // A smaller total comes from an instance that has started anew.
        let grown = total.checked_sub(before).unwrap_or(total);
        *self.saved.entry(store).or_default() += grown;
    }

    /// Tells whether anyone read the chain within the part lifetime.
    #[must_use]
    pub fn is_known(&self, now: Moment, chains: &[(u64, u64)]) -> bool {
        let last = chains.last().and_then(|(chain, _)| self.records.get(chain));
        last.is_some_and(|record| now.since(record.used) < PART_LIFETIME)
    }

    /// Returns until when to wait for a first reading of the chain that is under way.
    #[must_use]
    pub fn pending(&self, now: Moment, chains: &[(u64, u64)]) -> Option<Moment> {
        let (chain, _) = chains.last()?;
        let record = self.records.get(chain)?;
        let is_available = !record.copies.is_empty() || !record.kept.is_empty();
        let is_pending = !is_available && record.pending_until > now;
        is_pending.then_some(record.pending_until)
    }

    /// Notes that the parts are being read and cannot be fetched yet.
    pub fn note_reading(&mut self, now: Moment, chains: &[(u64, u64)]) {
        for (chain, _) in chains {
            let record = self.records.entry(*chain).or_default();
            record.used = now;
            if record.pending_until <= now {
                record.pending_until = now.after(READING_WAIT);
            }
        }
    }

    /// Notes that a reading was given up, so that another request reads the parts.
    pub fn note_given_up(&mut self, chains: &[(u64, u64)]) {
        for (chain, _) in chains {
            if let Some(record) = self.records.get_mut(chain) {
                record.pending_until = Moment::START;
            }
        }
    }

    /// Notes that an upstream holds the parts.
    pub fn note_used(&mut self, now: Moment, chains: &[(u64, u64)], member: MemberKey, mark: u64) {
        if self.records.len() >= MAX_PARTS {
            self.forget_unused(now);
        }
        for (chain, _) in chains {
            let record = self.records.entry(*chain).or_default();
            record.used = now;
            record.pending_until = Moment::START;
            record
                .copies
                .retain(|copy| copy.member != member && now.since(copy.used) < PART_LIFETIME);
            record.copies.push(PartCopy {
                member,
                read_mark: mark,
                used: now,
            });
        }
    }

    /// Notes that the chain was saved to a kept store.
    pub fn note_kept(&mut self, chains: &[(u64, u64)], store: PlaceId) {
        let mark = self.saved_at(store);
        for (chain, _) in chains {
            let record = self.records.entry(*chain).or_default();
            record.kept.retain(|(place, _)| *place != store);
            record.kept.push((store, mark));
        }
    }

    /// Forgets what an upstream held, because it restarted or was emptied.
    pub fn forget_member(&mut self, member: MemberKey) {
        for record in self.records.values_mut() {
            record.copies.retain(|copy| copy.member != member);
        }
    }

    /// Returns how many parts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn forget_unused(&mut self, now: Moment) {
        let is_live = |record: &PartRecord| now.since(record.used) < PART_LIFETIME;
        self.records.retain(|_, record| is_live(record));
        if self.records.len() >= MAX_PARTS {
            self.records.clear();
        }
    }
}

impl PartRecord {
    fn copy_at(&self, member: MemberKey) -> Option<&PartCopy> {
        self.copies.iter().find(|copy| copy.member == member)
    }
}

//! Which upstreams a request is offered to, and in which order.
//!
//! Candidates come from rendezvous hashing, so every entry finds the same ones without any
//! exchange. Quotes of the first few then decide between waiting and recomputing.

use std::cmp::Reverse;

use super::config::UpstreamKey;
use super::ids::{PrefixKey, Rank};

/// Largest number of candidates that are asked for a quote.
pub const MAX_CANDIDATES: usize = 8;

/// Fixed-point one of a wait weight.
const WEIGHT_ONE: u64 = 1_024;

/// Least weight of a routine request's wait under load.
const LEAST_ROUTINE_WEIGHT: u64 = WEIGHT_ONE / 10;

/// Expected wait at the best candidate at which a routine wait weighs half, in microseconds.
const HALF_WEIGHT_WAIT_US: u64 = 50_000;

/// Expected wait that a submission may find beyond its quote, in microseconds.
const WAIT_MARGIN_US: u64 = 50_000;

/// An upstream that serves the version of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTarget {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Hash of the upstream's name, the same at every entry.
    pub name_hash: u64,
    /// Small number of its data centre.
    pub data_centre: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Keys of the prompt's pieces, outermost first.
    pub keys: &'a [PrefixKey],
    /// Pieces whose prefix decides the placement; more than there are means all.
    pub placement_pieces: u32,
    /// Random bits, for prompts without a whole piece and for random placement.
    pub draw: u64,
}

/// What a candidate would cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateQuote {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether it accepts submissions now.
    pub open: bool,
    /// Expected wait before the start, in microseconds.
    pub wait_us: u64,
    /// Pieces that it would have to compute.
    pub missing_pieces: u32,
    /// Time to compute one piece there, in microseconds.
    pub piece_us: u64,
}

/// One offer of a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementHop {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Expected wait beyond which the next upstream is better, in microseconds.
    pub wait_limit_us: u64,
}

/// A way to place requests.
#[derive(Debug, Clone, Copy)]
pub struct PlacementPolicy {
    /// Name on the command line.
    pub name: &'static str,
    /// Candidates that are taken; with one, no quote is needed.
    pub candidates: usize,
    /// Offers of one request at most.
    pub max_hops: usize,
    /// Scores a target for a request; the highest come first.
    pub score: fn(&PlacementRequest<'_>, &PlacementTarget) -> u64,
    /// Weighs a wait against as much computing, given the least wait of all candidates; 1,024
    /// stands for equal weight.
    pub wait_weight: fn(Rank, u64) -> u64,
    /// Whether pieces to compute count besides the wait.
    pub counts_missing: bool,
    /// Whether all first candidates may stand in one data centre.
    pub single_data_centre: bool,
}

/// Rendezvous on the middle level of the prefix, a few quotes, and spill in the same order.
pub const STANDARD: PlacementPolicy = PlacementPolicy {
    name: "standard",
    candidates: 4,
    max_hops: 3,
    score: score_by_prefix,
    wait_weight: weight_by_load,
    counts_missing: true,
    single_data_centre: false,
};

/// Any upstream at random; a baseline for measurements.
pub const RANDOM: PlacementPolicy = PlacementPolicy {
    name: "random-fifo",
    candidates: 1,
    max_hops: 1,
    score: score_at_random,
    wait_weight: weight_always,
    counts_missing: false,
    single_data_centre: true,
};

/// The one with the shorter wait of two at random; a baseline for measurements.
pub const TWO_CHOICES: PlacementPolicy = PlacementPolicy {
    name: "two-choices",
    candidates: 2,
    max_hops: 1,
    score: score_at_random,
    wait_weight: weight_always,
    counts_missing: false,
    single_data_centre: true,
};

/// Rendezvous on the whole prefix without quotes or spill; a baseline for measurements.
pub const ONE_LEVEL: PlacementPolicy = PlacementPolicy {
    name: "one-level",
    candidates: 1,
    max_hops: 1,
    score: score_by_whole_prefix,
    wait_weight: weight_always,
    counts_missing: false,
    single_data_centre: true,
};

impl PlacementPolicy {
    /// Returns the upstreams to ask, best first; no two entries with the same targets differ.
    #[must_use]
    pub fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<UpstreamKey> {
        let mut scored: Vec<(u64, &PlacementTarget)> = targets
            .iter()
            .filter(|target| !target.leaving)
            .map(|target| ((self.score)(request, target), target))
            .collect();
        scored.sort_unstable_by_key(|(score, target)| Reverse((*score, target.name_hash)));
        let count = self.candidates.min(MAX_CANDIDATES).min(scored.len());
        if !self.single_data_centre {
            spread(&mut scored, count);
        }
        scored.truncate(count);
        scored.iter().map(|(_, target)| target.upstream).collect()
    }

    /// Returns the offers to make, best first, from the quotes that came in time.
    ///
    /// Candidates that did not answer follow those that did, since a lost reply says little.
    #[must_use]
    pub fn hops(
        &self,
        rank: Rank,
        candidates: &[UpstreamKey],
        quotes: &[CandidateQuote],
    ) -> Vec<PlacementHop> {
        let open = || quotes.iter().filter(|quote| quote.open);
        let least_wait_us = open().map(|quote| quote.wait_us).min().unwrap_or(0);
        let wait_weight = (self.wait_weight)(rank, least_wait_us).max(1);
        let mut ranked: Vec<(u64, usize, CandidateQuote)> = open()
            .filter_map(|quote| {
                let position = candidates.iter().position(|c| *c == quote.upstream)?;
                let cost = self.cost(quote, wait_weight);
                Some((cost, position, *quote))
            })
            .collect();
        ranked.sort_unstable_by_key(|(cost, position, _)| (*cost, *position));
        let next_costs = ranked.iter().skip(1).map(|(cost, _, _)| Some(*cost));
        let next_costs: Vec<Option<u64>> = next_costs.chain([None]).collect();
        let answered = ranked
            .iter()
            .zip(next_costs)
            .map(|((cost, _, quote), next)| {
                let limit = next.map(|next| {
                    let advantage_us = (next - cost).saturating_mul(WEIGHT_ONE) / wait_weight;
                    quote.wait_us.saturating_add(advantage_us) + WAIT_MARGIN_US
                });
                hop(quote.upstream, limit)
            });
        let silent = candidates
            .iter()
            .filter(|candidate| quotes.iter().all(|quote| quote.upstream != **candidate))
            .map(|candidate| hop(*candidate, None));
        let mut hops: Vec<PlacementHop> = answered.chain(silent).take(self.max_hops).collect();
        if let Some(last) = hops.last_mut() {
            last.wait_limit_us = u64::MAX;
        }
        hops
    }

    fn cost(&self, quote: &CandidateQuote, wait_weight: u64) -> u64 {
        let wait_cost = quote.wait_us.saturating_mul(wait_weight) / WEIGHT_ONE;
        if !self.counts_missing {
            return wait_cost;
        }
        let pieces = u64::from(quote.missing_pieces);
        wait_cost.saturating_add(quote.piece_us.saturating_mul(pieces))
    }
}

fn hop(upstream: UpstreamKey, limit: Option<u64>) -> PlacementHop {
    PlacementHop {
        upstream,
        wait_limit_us: limit.unwrap_or(u64::MAX),
    }
}

/// Moves a target of a second data centre to the last of the first `count` places.
fn spread(scored: &mut [(u64, &PlacementTarget)], count: usize) {
    let Some((_, first)) = scored.first() else {
        return;
    };
    let elsewhere = scored
        .iter()
        .position(|(_, target)| target.data_centre != first.data_centre);
    if let Some(position) = elsewhere
        && count > 1
        && position >= count
    {
        scored[count - 1..=position].rotate_right(1);
    }
}

fn score_by_prefix(request: &PlacementRequest<'_>, target: &PlacementTarget) -> u64 {
    let depth = request.keys.len().min(request.placement_pieces as usize);
    let anchor = depth.checked_sub(1).map(|last| request.keys[last].0);
    mix(anchor.unwrap_or(request.draw) ^ mix(target.name_hash))
}

fn score_by_whole_prefix(request: &PlacementRequest<'_>, target: &PlacementTarget) -> u64 {
    let anchor = request.keys.last().map_or(request.draw, |key| key.0);
    mix(anchor ^ mix(target.name_hash))
}

fn score_at_random(request: &PlacementRequest<'_>, target: &PlacementTarget) -> u64 {
    mix(request.draw ^ mix(target.name_hash))
}

/// Weighs the wait of routine work less under load.
///
/// A recomputation then delays everyone behind it, while a routine request can wait.
fn weight_by_load(rank: Rank, least_wait_us: u64) -> u64 {
    match rank {
        Rank::Urgent => WEIGHT_ONE,
        Rank::Routine => {
            let weight = WEIGHT_ONE * HALF_WEIGHT_WAIT_US / (HALF_WEIGHT_WAIT_US + least_wait_us);
            weight.max(LEAST_ROUTINE_WEIGHT)
        }
    }
}

const fn weight_always(_rank: Rank, _least_wait_us: u64) -> u64 {
    WEIGHT_ONE
}

/// Spreads all bits of a word over all others (the finalizer of `SplitMix64`).
const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

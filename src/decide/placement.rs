//! Selection of the upstreams that a request is submitted to, and their order.
//!
//! Candidates come from rendezvous hashing, so all entries select the same ones without exchanging
//! state. Quotes from the candidates then decide between waiting and computing pieces again.

use std::cmp::Reverse;

use super::config::UpstreamKey;
use super::ids::{PrefixKey, Rank};

/// Maximum number of candidates that are asked for a quote.
pub const MAX_CANDIDATES: usize = 8;

/// Weight 1 of a wait, in fixed-point arithmetic.
const UNIT_WEIGHT: u64 = 1_024;

/// Lowest weight of a routine request's wait under load.
const MIN_ROUTINE_WEIGHT: u64 = UNIT_WEIGHT / 10;

/// Lowest quoted wait at which the wait of a routine request has weight 1/2, in microseconds.
const HALF_WEIGHT_WAIT_US: u64 = 50_000;

/// Margin between the quoted wait and the longest wait that a submission accepts, in microseconds.
const WAIT_MARGIN_US: u64 = 50_000;

/// Upstream that serves the weights version of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTarget {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Hash of the upstream's name, the same in all entry processes.
    pub name_hash: u64,
    /// Index of the upstream's data centre.
    pub data_centre: u32,
    /// Whether the upstream accepts no new requests.
    pub leaving: bool,
}

/// Inputs of an upstream's score that belong to the request.
#[derive(Debug, Clone, Copy)]
pub struct ScoringInput<'a> {
    /// Keys of the prompt's pieces, from the start of the prompt.
    pub keys: &'a [PrefixKey],
    /// Number of leading pieces that are hashed; all if the prompt has fewer.
    pub placement_pieces: u32,
    /// Random bits, used for prompts without a complete piece and by random policies.
    pub draw: u64,
}

/// Cost of a request at a candidate, as quoted by its sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateQuote {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Whether the upstream accepts submissions now.
    pub open: bool,
    /// Expected wait before the request starts, in microseconds.
    pub wait_us: u64,
    /// Number of the prompt's pieces that are not cached at the upstream.
    pub missing_pieces: u32,
    /// Time in which the upstream computes one piece, in microseconds.
    pub piece_us: u64,
}

/// Upstream to submit a request to, and the wait above which it should refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionTarget {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Expected wait above which the next upstream is cheaper, in microseconds.
    pub wait_limit_us: u64,
}

/// Strategy that selects upstreams for requests.
#[derive(Debug, Clone, Copy)]
pub struct PlacementPolicy {
    /// Name in the `policy` setting.
    pub name: &'static str,
    /// Number of candidates; with one, no quotes are requested.
    pub candidates: usize,
    /// Maximum number of upstreams to submit to after one round of quotes.
    pub max_targets: usize,
    /// Scores an upstream for a request; candidates are those with the highest scores.
    pub score: fn(&ScoringInput<'_>, &PlacementTarget) -> u64,
    /// Returns the weight of a wait relative to computing time, from the request's rank and the
    /// lowest quoted wait in microseconds; 1,024 is equal weight.
    pub wait_weight: fn(Rank, u64) -> u64,
    /// Whether the cost includes the pieces to compute.
    pub counts_missing: bool,
    /// Whether all candidates may be in one data centre.
    pub single_data_centre: bool,
}

/// Rendezvous hashing on the leading pieces, several quotes, and spill in order of cost.
pub const STANDARD: PlacementPolicy = PlacementPolicy {
    name: "standard",
    candidates: 4,
    max_targets: 3,
    score: score_by_prefix,
    wait_weight: weight_by_load,
    counts_missing: true,
    single_data_centre: false,
};

/// Random upstream; a baseline for measurements.
pub const RANDOM: PlacementPolicy = PlacementPolicy {
    name: "random-fifo",
    candidates: 1,
    max_targets: 1,
    score: score_at_random,
    wait_weight: equal_weight,
    counts_missing: false,
    single_data_centre: true,
};

/// Random choice of two upstreams, the one with the shorter wait; a baseline for measurements.
pub const TWO_CHOICES: PlacementPolicy = PlacementPolicy {
    name: "two-choices",
    candidates: 2,
    max_targets: 1,
    score: score_at_random,
    wait_weight: equal_weight,
    counts_missing: false,
    single_data_centre: true,
};

/// Rendezvous hashing on the whole prefix without quotes or spill; a baseline for measurements.
pub const ONE_LEVEL: PlacementPolicy = PlacementPolicy {
    name: "one-level",
    candidates: 1,
    max_targets: 1,
    score: score_by_whole_prefix,
    wait_weight: equal_weight,
    counts_missing: false,
    single_data_centre: true,
};

impl PlacementPolicy {
    /// Returns the candidates, highest score first; independent of the order of `targets`.
    #[must_use]
    pub fn candidates(
        &self,
        input: &ScoringInput<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<UpstreamKey> {
        let mut scored: Vec<(u64, &PlacementTarget)> = targets
            .iter()
            .filter(|target| !target.leaving)
            .map(|target| ((self.score)(input, target), target))
            .collect();
        scored.sort_unstable_by_key(|(score, target)| Reverse((*score, target.name_hash)));
        let count = self.candidates.min(MAX_CANDIDATES).min(scored.len());
        if !self.single_data_centre {
            include_second_data_centre(&mut scored, count);
        }
        scored.truncate(count);
        scored.iter().map(|(_, target)| target.upstream).collect()
    }

    /// Returns the upstreams to submit to, lowest cost first, from the quotes received in time.
    ///
    /// Candidates without a quote come last, since a lost reply says little about their load.
    #[must_use]
    pub fn submission_targets(
        &self,
        rank: Rank,
        candidates: &[UpstreamKey],
        quotes: &[CandidateQuote],
    ) -> Vec<SubmissionTarget> {
        let open = || quotes.iter().filter(|quote| quote.open);
        let min_wait_us = open().map(|quote| quote.wait_us).min().unwrap_or(0);
        let wait_weight = (self.wait_weight)(rank, min_wait_us).max(1);
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
        let with_quote = ranked
            .iter()
            .zip(next_costs)
            .map(|((cost, _, quote), next)| {
                let limit = next.map(|next| {
                    let advantage_us = (next - cost).saturating_mul(UNIT_WEIGHT) / wait_weight;
                    quote.wait_us.saturating_add(advantage_us) + WAIT_MARGIN_US
                });
                submission_target(quote.upstream, limit)
            });
        let without_quote = candidates
            .iter()
            .filter(|candidate| quotes.iter().all(|quote| quote.upstream != **candidate))
            .map(|candidate| submission_target(*candidate, None));
        let mut targets_by_cost: Vec<SubmissionTarget> = with_quote
            .chain(without_quote)
            .take(self.max_targets)
            .collect();
        if let Some(last) = targets_by_cost.last_mut() {
            last.wait_limit_us = u64::MAX;
        }
        targets_by_cost
    }

    fn cost(&self, quote: &CandidateQuote, wait_weight: u64) -> u64 {
        let wait_cost = quote.wait_us.saturating_mul(wait_weight) / UNIT_WEIGHT;
        if !self.counts_missing {
            return wait_cost;
        }
        let pieces = u64::from(quote.missing_pieces);
        wait_cost.saturating_add(quote.piece_us.saturating_mul(pieces))
    }
}

fn submission_target(upstream: UpstreamKey, limit: Option<u64>) -> SubmissionTarget {
    SubmissionTarget {
        upstream,
        wait_limit_us: limit.unwrap_or(u64::MAX),
    }
}

/// Moves the best target of a second data centre to the last of the first `count` positions, unless
/// they contain one already.
fn include_second_data_centre(scored: &mut [(u64, &PlacementTarget)], count: usize) {
    let Some((_, first)) = scored.first() else {
        return;
    };
    let other_data_centre = scored
        .iter()
        .position(|(_, target)| target.data_centre != first.data_centre);
    if let Some(position) = other_data_centre
        && count > 1
        && position >= count
    {
        scored[count - 1..=position].rotate_right(1);
    }
}

fn score_by_prefix(input: &ScoringInput<'_>, target: &PlacementTarget) -> u64 {
    let depth = input.keys.len().min(input.placement_pieces as usize);
    let prefix = depth.checked_sub(1).map(|last| input.keys[last].0);
    mix(prefix.unwrap_or(input.draw) ^ mix(target.name_hash))
}

fn score_by_whole_prefix(input: &ScoringInput<'_>, target: &PlacementTarget) -> u64 {
    let prefix = input.keys.last().map_or(input.draw, |key| key.0);
    mix(prefix ^ mix(target.name_hash))
}

fn score_at_random(input: &ScoringInput<'_>, target: &PlacementTarget) -> u64 {
    mix(input.draw ^ mix(target.name_hash))
}

/// Weighs the wait of routine requests less when the upstreams are loaded.
///
/// A recomputation then delays all requests behind it, while a routine request can wait.
fn weight_by_load(rank: Rank, min_wait_us: u64) -> u64 {
    match rank {
        Rank::Urgent => UNIT_WEIGHT,
        Rank::Routine => {
            let weight = UNIT_WEIGHT * HALF_WEIGHT_WAIT_US / (HALF_WEIGHT_WAIT_US + min_wait_us);
            weight.max(MIN_ROUTINE_WEIGHT)
        }
    }
}

const fn equal_weight(_rank: Rank, _least_wait_us: u64) -> u64 {
    UNIT_WEIGHT
}

/// Mixes the bits of a word (finalizer of `SplitMix64`).
const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

//! New weights: which upstream is ordered to load them next, and by which instance.
//!
//! The right to order one upstream is a claim on a log. A claim holds for a short time from before
//! its append was sent; another instance claims the same upstream only after that time and the
//! time for which holders must not take turns, counted from when it read the claim.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::fleet::{Fleet, MemberKey, MemberState};
use super::ids::LogOffset;
use super::route_table::PlaceId;
use crate::kernel::Moment;

/// Time from before its append was sent for which a claim may be used.
pub const CLAIM_USE: Duration = Duration::from_secs(1);

/// Time beyond [`CLAIM_USE`] and the holders' turn before another instance claims the upstream;
/// covers an order that is on its way.
const CLAIM_MARGIN: Duration = Duration::from_millis(500);

/// Time without progress after which the instance next in rank takes over.
const STALL_STEP: Duration = Duration::from_millis(1_200);

/// Share of the upstreams that may always be ordered at the same time, as one in so many; loads of
/// more at once slow each other down.
const ALWAYS_ORDERED: usize = 4;

/// Largest such share where many upstreams are left: most of an order's time then goes to runs
/// that end first.
const AT_MOST_ORDERED: usize = 2;

/// Upstreams that a data centre keeps, on average, before more than the first share is ordered.
const KEPT_PER_PLACE: usize = 4;

/// Pause before an upstream is ordered again whose order did not succeed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a load that was claimed is no longer counted.
const LOAD_LIMIT: Duration = Duration::from_secs(4);

/// A claim on orders to one upstream, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderClaim {
    /// Hash of the name of the claiming instance.
    pub holder: u64,
    /// Identities of the upstreams.
    pub upstreams: Vec<String>,
    /// Version that they are to load.
    pub version: u64,
}

#[derive(Debug, Clone, Copy)]
struct SeenClaim {
    holder: u64,
    seen: Moment,
    /// When the load counts as over.
    loading_until: Moment,
}

/// Claims seen on the log.
#[derive(Debug, Default, Clone)]
pub struct ClaimTable {
    claims: HashMap<String, SeenClaim>,
    /// Offset that the next claim gets, as far as known.
    pub end: LogOffset,
    latest: Moment,
}

/// What the instance knows of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutView<'a> {
    /// The present moment.
    pub now: Moment,
    /// Hash of this instance's name.
    pub own: u64,
    /// Instances that go before this one, as far as they are alive.
    pub rank: u32,
    /// Hash of the model's name.
    pub model: u64,
    /// Version to run.
    pub version: u64,
    /// When the version was named, as this instance knows it.
    pub named: Moment,
    /// Time for which holders must not take turns.
    pub holder_turn: Duration,
    /// All upstreams.
    pub fleet: &'a Fleet,
}

/// What to do about a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStep {
    /// All upstreams that can be ordered run the version.
    Done,
    /// Claim these and order them.
    Claim(Vec<MemberKey>),
    /// Ask again at the moment at the latest.
    Wait(Moment),
}

impl ClaimTable {
    /// Takes in a claim from the log.
    pub fn apply(&mut self, now: Moment, claim: &OrderClaim) {
        self.latest = now;
        let seen = SeenClaim {
            holder: claim.holder,
            seen: now,
            loading_until: now.after(LOAD_LIMIT),
        };
        let claimed = claim.upstreams.iter().map(|id| (id.clone(), seen));
        self.claims.extend(claimed);
    }

    /// Notes that an order is over, with or without success.
    pub fn finish(&mut self, now: Moment, upstream: &str, is_loaded: bool) {
        let pause = if is_loaded {
            Duration::ZERO
        } else {
            FAILED_PAUSE
        };
        if let Some(claim) = self.claims.get_mut(upstream) {
            claim.loading_until = now.after(pause);
        }
    }

    /// Says what to do next.
    #[must_use]
    pub fn next(&self, view: RolloutView<'_>) -> RolloutStep {
        let behind: Vec<MemberKey> = view
            .fleet
            .iter()
            .filter(|(_, member)| {
                let weights = member.entry.weights;
                let is_old = weights.is_some_and(|weights| {
                    weights.model == view.model && weights.version < view.version
                });
                is_old && member.entry.state == MemberState::Ready
            })
            .map(|(key, _)| key)
            .collect();
        if behind.is_empty() {
            return RolloutStep::Done;
        }
        // An instance further back acts only if those before it make no progress.
        let patience = view.named.max(self.latest).after(STALL_STEP * view.rank);
        if !patience.is_due(view.now) {
            return RolloutStep::Wait(patience);
        }
        let limit = orders_at_once(view);
        let loading = behind
            .iter()
            .filter(|key| self.is_loading(view, **key))
            .count();
        let free = limit.saturating_sub(loading);
        let mut open: Vec<MemberKey> = behind
            .into_iter()
            .filter(|key| self.may_claim(view, *key))
            .collect();
        if free == 0 || open.is_empty() {
            return RolloutStep::Wait(view.now.after(Duration::from_millis(100)));
        }
        spread_over_places(view, &mut open);
        open.truncate(free);
        RolloutStep::Claim(open)
    }

    fn claim_of(&self, view: RolloutView<'_>, key: MemberKey) -> Option<SeenClaim> {
        let member = view.fleet.get(key)?;
        self.claims.get(&member.entry.id).copied()
    }

    fn is_loading(&self, view: RolloutView<'_>, key: MemberKey) -> bool {
        let claim = self.claim_of(view, key);
        claim.is_some_and(|claim| !claim.loading_until.is_due(view.now))
    }

    fn may_claim(&self, view: RolloutView<'_>, key: MemberKey) -> bool {
        let Some(member) = view.fleet.get(key) else {
            return false;
        };
        if !member.down_until.is_due(view.now) {
            return false;
        }
        let Some(claim) = self.claims.get(&member.entry.id) else {
            return true;
        };
        if claim.holder == view.own {
            return claim.loading_until.is_due(view.now);
        }
        let others_pause = CLAIM_USE + view.holder_turn + CLAIM_MARGIN;
        claim.seen.after(others_pause).is_due(view.now)
    }
}

/// Returns how many upstreams of the model are ordered at the same time at most.
fn orders_at_once(view: RolloutView<'_>) -> usize {
    let members = view.fleet.iter().map(|(_, member)| &member.entry);
    let engines = members.filter(|entry| {
        let weights = entry.weights;
        weights.is_some_and(|weights| weights.model == view.model)
    });
    let places: Vec<PlaceId> = engines.map(|entry| entry.place).collect();
    let kept = places.iter().collect::<HashSet<_>>().len() * KEPT_PER_PLACE;
    let spare = places.len().saturating_sub(kept);
    let always = places.len().div_ceil(ALWAYS_ORDERED);
    always.max(spare.min(places.len() / AT_MOST_ORDERED)).max(1)
}

/// Orders upstreams by the age of their weights, and so that neighbours lie in different data
/// centres; in each of them those with the least to finish go first.
fn spread_over_places(view: RolloutView<'_>, keys: &mut Vec<MemberKey>) {
    keys.sort_by_key(|key| {
        let member = view.fleet.get(*key);
        member.map(|member| (member.version(), member.own.in_flight))
    });
    let mut taken: HashMap<PlaceId, u32> = HashMap::new();
    let mut turns: Vec<(Option<u64>, u32, MemberKey)> = Vec::new();
    for key in keys.drain(..) {
        let Some(member) = view.fleet.get(key) else {
            continue;
        };
        let turn = taken.entry(member.entry.place).or_default();
        turns.push((member.version(), *turn, key));
        *turn += 1;
    }
    turns.sort_by_key(|(version, turn, _)| (*version, *turn));
    keys.extend(turns.into_iter().map(|(_, _, key)| key));
}

//! Rollout of new weights: which upstreams are ordered to load them next, and by which instance.
//!
//! An instance may order an upstream only while it holds a claim on it, which it appends to the
//! log. A claim is valid for [`CLAIM_VALIDITY`], counted from before its append was sent. Another
//! instance may claim the upstream once that time, the minimum interval between orders of
//! different holders and a margin have passed since it read the claim.
//!
//! The log may come back from an older copy, without claims whose orders are still under way. In each
//! era the first claim waits until all that may have been lost have expired, and fences of a later era
//! are higher.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::fleet::{Fleet, FleetMember, MemberKey, UpstreamEntry};
use super::ids::{LogOffset, LogPosition, StoreEra};
use super::route_table::DataCentreId;
use crate::kernel::Moment;

/// Time for which a claim is valid, counted from before its append was sent.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(1);

/// Margin before another instance claims the upstream; covers an order that is still being sent, which
/// may take a connection of 400 ms and a delivery of 400 ms.
const CLAIM_MARGIN: Duration = Duration::from_millis(900);

/// Time without progress after which the instance with the next rank takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);

/// Divisor of the fleet's size that gives how many upstreams may always be ordered concurrently;
/// concurrent loads slow each other down.
const MIN_CONCURRENCY_DIVISOR: usize = 4;

/// Divisor of the fleet's size that gives how many upstreams may be ordered concurrently if enough
/// remain in use: an order mostly waits for running requests to end.
const MAX_CONCURRENCY_DIVISOR: usize = 2;

/// Upstreams that remain in use per data centre, on average, when more than one in
/// `MIN_CONCURRENCY_DIVISOR` are ordered.
const RESERVED_PER_DATA_CENTRE: usize = 4;

/// Share of the time limit for older weights in which all upstreams get an order even if none of the
/// orders ends, in percent; the rest is for the last ones to be carried out.
const ORDERING_PERCENT: u32 = 75;

/// Orders whose times make up most of the average.
const ORDERS_AVERAGED: u32 = 8;

/// Pause before an upstream is ordered again after a failed order.
const FAILED_ORDER_PAUSE: Duration = Duration::from_millis(400);

/// Time after which an order that was claimed no longer counts towards the limit on concurrent orders,
/// and its holder may repeat it if it does not deliver it, as after a restart.
const MAX_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time after which the holder may order an upstream again although the end of its last order was not
/// recorded. It covers the drain, the calls before the order is accepted and the wait for the load.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(8);

/// Claim on the right to order upstreams, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderClaim {
    /// Hash of the name of the instance that holds the claim.
    pub holder: u64,
    /// Names of the claimed upstreams.
    pub upstreams: Vec<String>,
    /// Version of the weights that the upstreams are to load.
    pub version: u64,
    /// Era of the log in which the holder made the claim.
    pub era: StoreEra,
}

#[derive(Debug, Clone, Copy)]
struct ObservedClaim {
    holder: u64,
    version: u64,
    read_at: Moment,
    /// Time until which the order counts towards the limit on concurrent orders.
    place_until: Moment,
    /// Time from which the holder may claim the upstream again.
    retry_at: Moment,
}

/// Latest claim on each upstream, as read from the log.
#[derive(Debug, Default, Clone)]
pub struct OrderClaimTable {
    claims: HashMap<String, ObservedClaim>,
    /// Position of the next claim on the log, as far as known.
    pub end: LogPosition,
    /// Start of the time in which claims that the log has lost may still be in use.
    lost_since: Option<Moment>,
    latest: Moment,
    /// Moving average of the time from a claim to the end of its order.
    order_time: Option<Duration>,
}

/// State that the next step of a rollout depends on.
#[derive(Debug, Clone, Copy)]
pub struct RolloutView<'a> {
    /// Current time.
    pub now: Moment,
    /// Hash of this instance's name.
    pub own: u64,
    /// Number of live instances that act before this one.
    pub rank: u32,
    /// Hash of the model's name.
    pub model: u64,
    /// Version that upstreams are to run.
    pub version: u64,
    /// Time at which this instance learned of the version.
    pub target_since: Moment,
    /// Time after operators set the version from which no request may start on older weights.
    pub weights_limit: Duration,
    /// Oldest version to which requests may still be sent.
    pub oldest_allowed: u64,
    /// Minimum interval between orders of different holders to one upstream.
    pub min_holder_interval: Duration,
    /// Whether orders are spread over the time limit, as far as their learned time allows.
    pub spreads_orders: bool,
    /// All upstreams.
    pub fleet: &'a Fleet,
}

/// Next step of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStep {
    /// No step is left: all upstreams that accept requests run the version.
    Done,
    /// Append a claim on these upstreams, then order them to load the version.
    Claim(Vec<MemberKey>),
    /// Ask for the next step again, at this time at the latest.
    Wait(Moment),
}

impl RolloutView<'_> {
    /// Reports whether requests may no longer be sent to the weights of an upstream.
    fn is_expired(&self, key: MemberKey) -> bool {
        let version = self.fleet.get(key).and_then(FleetMember::version);
        version.is_some_and(|version| version < self.oldest_allowed)
    }

    /// Reports whether requests are to end before an upstream is ordered: an idle one has none, and one
    /// with expired weights is better off if it refuses those that wait.
    #[must_use]
    pub fn needs_drain(&self, key: MemberKey) -> bool {
        let member = self.fleet.get(key);
        let is_idle = member.is_none_or(|member| member.load(self.now).in_flight == 0);
        !is_idle && !self.is_expired(key)
    }
}

impl OrderClaimTable {
    /// Enters a higher era, in which the log is read again from its start; returns `false` if the era is
    /// not higher.
    pub fn enter_era(&mut self, now: Moment, era: StoreEra) -> bool {
        if era <= self.end.era {
            return false;
        }
        self.end = LogPosition {
            era,
            offset: LogOffset(0),
        };
        self.lost_since = Some(now);
        true
    }

    /// Records a claim read from the log, of whose orders this instance delivers none.
    pub fn apply(&mut self, now: Moment, claim: &OrderClaim) {
        self.latest = now;
        if claim.era == self.end.era {
            // Its holder has waited for the lost claims.
            self.lost_since = None;
        }
        let observed = ObservedClaim {
            holder: claim.holder,
            version: claim.version,
            read_at: now,
            place_until: now.after(MAX_LOAD_TIME),
            retry_at: now.after(MAX_LOAD_TIME),
        };
        let claimed = claim.upstreams.iter().map(|id| (id.clone(), observed));
        self.claims.extend(claimed);
    }

    /// Records a claim whose orders this instance delivers from now on.
    pub fn start(&mut self, now: Moment, claim: &OrderClaim) {
        self.apply(now, claim);
        for upstream in &claim.upstreams {
            if let Some(observed) = self.claims.get_mut(upstream) {
                observed.retry_at = now.after(MAX_DELIVERY_TIME);
            }
        }
    }

    /// Records that an order to an upstream has ended, which frees its place; after a failed one the
    /// upstream is not ordered again at once.
    pub fn finish(&mut self, now: Moment, upstream: &str, is_loaded: bool) {
        let pause = if is_loaded {
            Duration::ZERO
        } else {
            FAILED_ORDER_PAUSE
        };
        if let Some(claim) = self.claims.get_mut(upstream) {
            claim.place_until = now;
            claim.retry_at = now.after(pause);
            if is_loaded {
                let taken = now.since(claim.read_at);
                let known = self.order_time.unwrap_or(taken);
                self.order_time = Some((known * (ORDERS_AVERAGED - 1) + taken) / ORDERS_AVERAGED);
            }
        }
    }

    /// Returns the next step of a rollout.
    #[must_use]
    pub fn next(&self, view: RolloutView<'_>) -> RolloutStep {
        let outdated: Vec<MemberKey> = view
            .fleet
            .iter()
            .filter(|(_, member)| {
                let is_outdated = member.weights().is_some_and(|weights| {
                    weights.model == view.model && weights.version < view.version
                });
                is_outdated && member.wants_requests(view.now)
            })
            .map(|(key, _)| key)
            .collect();
        if outdated.is_empty() {
            return RolloutStep::Done;
        }
        let lost_until = self
            .lost_since
            .map(|since| since.after(exclusive_time(view)));
        if let Some(until) = lost_until.filter(|until| !until.is_due(view.now)) {
            return RolloutStep::Wait(until);
        }
        // An instance with a higher rank acts only if those before it make no progress.
        let takeover_time = view
            .target_since
            .max(self.latest)
            .after(TAKEOVER_DELAY * view.rank);
        if !takeover_time.is_due(view.now) {
            return RolloutStep::Wait(takeover_time);
        }
        let limit = self.order_limit(view);
        let place_time = place_time(view, limit);
        let loading = outdated
            .iter()
            .filter(|key| self.holds_place(view, **key, place_time))
            .count();
        let mut claimable: Vec<MemberKey> = outdated
            .into_iter()
            .filter(|key| self.may_claim(view, *key))
            .collect();
        // An upstream that may serve no more requests loses nothing by a concurrent load.
        let expired = claimable
            .iter()
            .filter(|key| view.is_expired(**key))
            .count();
        let remaining = limit.saturating_sub(loading).max(expired);
        if remaining == 0 || claimable.is_empty() {
            return RolloutStep::Wait(view.now.after(Duration::from_millis(100)));
        }
        self.sort_for_rollout(view, &mut claimable);
        claimable.truncate(remaining);
        RolloutStep::Claim(claimable)
    }

    /// Returns how many upstreams may be ordered concurrently. Orders that are spread take as few
    /// upstreams from the requests at a time as still get all their order before the limit, if orders
    /// take as long as before.
    fn order_limit(&self, view: RolloutView<'_>) -> usize {
        if !view.spreads_orders {
            return max_concurrent_orders(view);
        }
        let engines = engines(view).count();
        let fastest = engines.div_ceil(MIN_CONCURRENCY_DIVISOR);
        let Some(order_time) = self.order_time else {
            return fastest.max(1);
        };
        let time = view.weights_limit * ORDERING_PERCENT / 100;
        let batches = time.as_millis() / order_time.as_millis().max(1);
        let batches = usize::try_from(batches).unwrap_or(usize::MAX).max(1);
        engines.div_ceil(batches).clamp(1, fastest.max(1))
    }

    fn claim_of(&self, view: RolloutView<'_>, key: MemberKey) -> Option<ObservedClaim> {
        let member = view.fleet.get(key)?;
        self.claims.get(&member.entry.id).copied()
    }

    /// Reports whether an upstream's order counts towards the limit on concurrent orders.
    fn holds_place(&self, view: RolloutView<'_>, key: MemberKey, place_time: Duration) -> bool {
        let claim = self.claim_of(view, key);
        claim.is_some_and(|claim| {
            let place_until = claim.place_until.min(claim.read_at.after(place_time));
            !place_until.is_due(view.now)
        })
    }

    /// Returns when an upstream was last claimed for the target version.
    fn ordered_at(&self, view: RolloutView<'_>, key: MemberKey) -> Option<Moment> {
        let claim = self.claim_of(view, key);
        let claim = claim.filter(|claim| claim.version == view.version);
        claim.map(|claim| claim.read_at)
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
            return claim.retry_at.is_due(view.now);
        }
        claim.read_at.after(exclusive_time(view)).is_due(view.now)
    }

    /// Sorts upstreams by the version of their weights, the oldest first, then by their last order
    /// for the target version, and alternates between data centres; within one, upstreams with fewer
    /// requests of this instance come first.
    fn sort_for_rollout(&self, view: RolloutView<'_>, keys: &mut Vec<MemberKey>) {
        keys.sort_by_key(|key| {
            let member = view.fleet.get(*key);
            let requests = member.map(|member| member.own.in_flight);
            (
                member.map(FleetMember::version),
                self.ordered_at(view, *key),
                requests,
            )
        });
        let mut turns_by_data_centre: HashMap<DataCentreId, u32> = HashMap::new();
        let mut turns = Vec::new();
        for key in keys.drain(..) {
            let Some(member) = view.fleet.get(key) else {
                continue;
            };
            let turn = turns_by_data_centre
                .entry(member.entry.data_centre)
                .or_default();
            turns.push((member.version(), self.ordered_at(view, key), *turn, key));
            *turn += 1;
        }
        turns.sort_by_key(|(version, ordered_at, turn, _)| (*version, *ordered_at, *turn));
        keys.extend(turns.into_iter().map(|(.., key)| key));
    }
}

/// Returns for how long after an instance has read a claim others leave the upstream alone.
fn exclusive_time(view: RolloutView<'_>) -> Duration {
    CLAIM_VALIDITY + view.min_holder_interval + CLAIM_MARGIN
}

/// Returns how many upstreams of the model may be ordered concurrently.
fn max_concurrent_orders(view: RolloutView<'_>) -> usize {
    let data_centres: Vec<DataCentreId> = engines(view).map(|entry| entry.data_centre).collect();
    let reserved = data_centres.iter().collect::<HashSet<_>>().len() * RESERVED_PER_DATA_CENTRE;
    let available = data_centres.len().saturating_sub(reserved);
    let minimum = data_centres.len().div_ceil(MIN_CONCURRENCY_DIVISOR);
    minimum
        .max(available.min(data_centres.len() / MAX_CONCURRENCY_DIVISOR))
        .max(1)
}

/// Returns how long an order that does not end counts towards the limit on concurrent orders, such
/// that the last upstreams get theirs in time.
fn place_time(view: RolloutView<'_>, limit: usize) -> Duration {
    let batches = engines(view).count().div_ceil(limit);
    let earlier_batches = u32::try_from(batches.saturating_sub(1)).unwrap_or(u32::MAX);
    view.weights_limit * ORDERING_PERCENT / 100 / earlier_batches.max(1)
}

/// Iterates over the upstreams of the model.
fn engines(view: RolloutView<'_>) -> impl Iterator<Item = &UpstreamEntry> {
    let members = view.fleet.iter().map(|(_, member)| &member.entry);
    members.filter(move |entry| {
        let weights = entry.weights;
        weights.is_some_and(|weights| weights.model == view.model)
    })
}

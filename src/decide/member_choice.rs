//! Choice of the upstream that runs a request, and of the source of its cached prompt prefix.

use std::net::SocketAddr;

use super::cache_scope::CacheScope;
use super::fleet::{Fleet, FleetMember, MemberKey, MemberLoad};
use super::prefix_homes::PrefixHomes;
use super::prefix_source::{cheapest_source, stores_holding};
use super::prompt_parts::{
    CacheDomain, CacheState, LONG_PREFIX_TOKENS, PrefixIndex, PromptShape, kv_store_for,
    prefix_hashes,
};
use super::route_table::{DataCentreId, EngineRule, KvStore, ServiceId};
use super::service_pause::ServicePause;
use super::site_loads::SiteLoads;
use super::software::SoftwareFilter;
use crate::kernel::Moment;

/// Time in which an engine prefills one prompt token, in microseconds, as stated by the operators.
const PREFILL_TOKEN_US: f64 = 20.0;

/// Weight of a prefill's time in the cost of a request; later requests are delayed by it as well.
const PREFILL_WEIGHT: f64 = 1.0;

/// Cost of prefilling one shared token again that another upstream has prefilled recently, in
/// microseconds of wait. Operators charge it on top of the time that the prefill takes.
const REPEATED_PREFILL_TOKEN_US: f64 = 150.0;

/// Cost of sending one kilobyte to another data centre, in microseconds of wait.
const REMOTE_KILOBYTE_US: f64 = 3_000.0;

/// Cost of sending any request to another data centre, in microseconds of wait.
const REMOTE_REQUEST_US: f64 = 8_000.0;

/// Cost of a failed request, in microseconds of wait; weighted with the failure share.
const FAILED_REQUEST_US: f64 = 400_000.0;

/// Cost of running on weights older than the newest, in microseconds of wait.
const OUTDATED_WEIGHTS_US: f64 = 40_000.0;

/// Answer length from which a run noticeably delays the reload of its upstream, in tokens.
const LONG_ANSWER_TOKENS: u64 = 256;

/// Cost of a long answer at an upstream that is about to reload, in microseconds of wait.
const RELOAD_DELAY_US: f64 = 250_000.0;

/// Cost of an upstream with all slots taken, compared with an idle one, in microseconds of wait.
const FULL_UPSTREAM_US: f64 = 250_000.0;

/// Share of the KV cache that running requests may take, in percent; above it engines preempt them.
const USABLE_MEMORY_PERCENT: u64 = 85;

/// Length from which a prompt counts as long, in tokens that have to be prefilled.
pub const LONG_PROMPT_TOKENS: u64 = 1_024;

/// Backlog of prefill above which an upstream gets no long prompt, in tokens; about 0.25 s.
const LONG_PROMPT_MAX_BACKLOG_TOKENS: u64 = 12_000;

/// Backlog of prefill above which an upstream gets no prompt at all, in tokens; about 0.6 s.
const MAX_BACKLOG_TOKENS: u64 = 30_000;

/// Share of a prefill's time that each concurrent request loses, because it produces no tokens
/// while the engine works on a chunk of the prompt.
const INTERFERENCE_SHARE: f64 = 0.05;

/// Largest result of [`tie_break_cost`], in microseconds of wait.
const MAX_TIE_BREAK_US: f64 = 6_000.0;

/// Share of a transfer's time that counts as wait; the engine computes during the rest.
const TRANSFER_WEIGHT: f64 = 0.4;

/// Request for which an upstream is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Service that the request was routed to.
    pub service: ServiceId,
    /// Sizes and segments of the prompt; `None` for services that are not model engines.
    pub prompt: Option<&'a PromptShape>,
    /// Customers that share KV cache with the request.
    pub cache_scope: CacheScope<'a>,
    /// Length of the request body.
    pub body_bytes: usize,
    /// Upstreams that must not be chosen, because the request has been sent to them before.
    pub excluded: &'a [MemberKey],
    /// Software versions of which an upstream may be chosen.
    pub software: SoftwareFilter<'a>,
    /// Latest time to wait for a running prefill of the same shared prefix.
    pub prefill_deadline: Moment,
    /// Hash that distributes requests without a prompt over equal upstreams.
    pub request_hash: u64,
}

/// State that a choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Current time.
    pub now: Moment,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// All upstreams with their load.
    pub fleet: &'a Fleet,
    /// Prefixes that the upstreams and the KV stores are assumed to hold.
    pub prefix_index: &'a PrefixIndex,
    /// Properties of the service's engines; `None` for other services.
    pub engine: Option<EngineRule>,
    /// KV stores that engines can save to and fetch from.
    pub kv_stores: &'a [KvStore],
    /// Newest version of the weights of the prompt's model, if the model has one.
    pub newest: Option<NewestWeights>,
}

/// Newest version of a model's weights, and the oldest version still allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewestWeights {
    /// Version number.
    pub version: u64,
    /// Whether answers of older versions are already worth less than those of this one.
    pub is_preferred: bool,
    /// Oldest version that requests may still run on.
    pub oldest_allowed: u64,
}

/// Upstream chosen for a request, and how its KV cache is used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChoice {
    /// Key of the upstream.
    pub member: MemberKey,
    /// Domain within which the KV cache of the request is shared; `None` without a prompt.
    pub domain: Option<CacheDomain>,
    /// Address from which the upstream fetches the cached prefix that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// KV store to which the upstream saves the shared prefix.
    pub save_to: Option<KvStore>,
    /// Prompt tokens that the upstream has to prefill.
    pub unread_tokens: u64,
    /// Tokens that the request adds to the upstream's KV cache.
    pub memory_tokens: u64,
    /// Hash of each shared prefix with the length of its last segment, shortest prefix first.
    pub prefixes: Vec<(u64, u64)>,
    /// Time until which to wait for a running prefill of the same shared prefix.
    pub pending_prefill: Option<Moment>,
    /// Tokens of the shared prefix that the upstream is assumed not to have cached.
    pub missing_tokens: u64,
    /// Whether any upstream has prefilled the shared prefix recently.
    pub is_known: bool,
}

/// Result of [`choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChoiceOutcome {
    /// Send the request to the chosen upstream.
    Send(MemberChoice),
    /// Choose again when the prefill of the shared prefix ends, at this time at the latest.
    WaitForPrefill(Moment),
    /// Every upstream that could run the request is at capacity or paused.
    Full,
    /// The upstreams that could run the request want no requests before this time.
    Paused(Moment),
    /// No upstream of the service can run the request.
    NoUpstream,
}

/// Chooses the upstream with the lowest cost among those that have capacity.
#[must_use]
pub fn choose(context: ChoiceContext<'_>, request: ChoiceRequest<'_>) -> ChoiceOutcome {
    let mut best: Option<(f64, MemberChoice)> = None;
    let mut has_upstream = false;
    let mut pause = ServicePause::default();
    let short = request.prompt.filter(|prompt| !prompt.has_long_prefix());
    let homes = short.map(|prompt| PrefixHomes::of(context.fleet, request.service, prompt));
    let sites = SiteLoads::of(context.fleet, request.service, context.now);
    for (key, member) in context.fleet.of_service(request.service) {
        let is_admitted = request.software.admits(member.entry.software);
        if request.excluded.contains(&key) || !is_admitted {
            continue;
        }
        has_upstream = true;
        if !member.is_leaving() {
            pause.record(member.notice.closed_until(context.now));
        }
        if !member.is_open(context.now)
            || !has_capacity(context, member)
            || is_outdated(context, member)
        {
            continue;
        }
        let is_home = homes.as_ref().map(|homes| homes.contains(key));
        let expected = ExpectedLoad {
            load: expected_load(context, &sites, member),
            is_home,
        };
        let Some((cost, choice)) = evaluate(context, request, key, member, expected) else {
            continue;
        };
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, choice));
        }
    }
    match best {
        Some((_, choice)) => match choice.pending_prefill {
            Some(until) if !request.prefill_deadline.is_due(context.now) => {
                ChoiceOutcome::WaitForPrefill(until)
            }
            _ => ChoiceOutcome::Send(choice),
        },
        None if has_upstream => pause
            .end()
            .map_or(ChoiceOutcome::Full, ChoiceOutcome::Paused),
        None => ChoiceOutcome::NoUpstream,
    }
}

/// Returns whether requests may not run on an upstream's weights; unknown ones count as the oldest.
fn is_outdated(context: ChoiceContext<'_>, member: &FleetMember) -> bool {
    let newest = context.newest;
    newest.is_some_and(|newest| member.version().unwrap_or(0) < newest.oldest_allowed)
}

fn has_capacity(context: ChoiceContext<'_>, member: &FleetMember) -> bool {
    member.has_room(context.now, context.engine.is_some())
}

/// What a request meets at an upstream.
#[derive(Debug, Clone, Copy)]
struct ExpectedLoad {
    /// Load when the request arrives.
    load: MemberLoad,
    /// Whether the upstream is a home of the request's short prefix; `None` for other requests.
    is_home: Option<bool>,
}

/// Returns the load that a request meets at an upstream. What is known of one in another data centre
/// is older than its requests last, so it counts as at least as busy as the others there.
fn expected_load(
    context: ChoiceContext<'_>,
    sites: &SiteLoads,
    member: &FleetMember,
) -> MemberLoad {
    let load = member.load(context.now);
    let site = member.entry.data_centre;
    if site == context.data_centre {
        return load;
    }
    let average = sites.average(site);
    MemberLoad {
        in_flight: load.in_flight.max(average.in_flight),
        unread_tokens: load.unread_tokens.max(average.unread_tokens),
        ..load
    }
}

fn evaluate(
    context: ChoiceContext<'_>,
    request: ChoiceRequest<'_>,
    key: MemberKey,
    member: &FleetMember,
    expected: ExpectedLoad,
) -> Option<(f64, MemberChoice)> {
    let ExpectedLoad { load, is_home } = expected;
    let is_remote = member.entry.data_centre != context.data_centre;
    let kilobytes = to_f64(request.body_bytes as u64) / 1_000.0;
    let mut cost = member.failure_share * FAILED_REQUEST_US;
    if is_remote {
        cost += REMOTE_REQUEST_US + kilobytes * REMOTE_KILOBYTE_US;
    }
    let occupied = f64::from(load.in_flight) / f64::from(member.entry.slots.max(1));
    cost += occupied * occupied * FULL_UPSTREAM_US;
    let mut choice = MemberChoice {
        member: key,
        domain: None,
        fetch_from: None,
        save_to: None,
        unread_tokens: 0,
        memory_tokens: 0,
        prefixes: Vec::new(),
        pending_prefill: None,
        missing_tokens: 0,
        is_known: false,
    };
    let (Some(prompt), Some(engine)) = (request.prompt, context.engine) else {
        cost += tie_break_cost(request.request_hash, member.id_hash);
        return Some((cost, choice));
    };
    let version = member.version().unwrap_or(0);
    if let Some(newest) = context.newest.filter(|newest| version < newest.version) {
        // An upstream reloads once its requests have ended; a long answer would delay that.
        if prompt.answer_tokens >= LONG_ANSWER_TOKENS {
            cost += RELOAD_DELAY_US;
        }
        if newest.is_preferred {
            cost += OUTDATED_WEIGHTS_US;
        }
    }
    let domain = CacheDomain::of(prompt.model, version, request.cache_scope);
    let prefixes = prefix_hashes(domain, prompt.shared());
    let holder = CacheState {
        member: key,
        total_added_tokens: member.total_added_tokens,
        memory_tokens: engine.memory_tokens,
    };
    let shared = prompt.shared_tokens();
    let cached = match is_home {
        Some(true) => shared,
        Some(false) => 0,
        None => context
            .prefix_index
            .cached_prefix_tokens(&prefixes, holder)
            .min(shared),
    };
    let missing = shared - cached;
    let mut unread = prompt.prompt_tokens.saturating_sub(shared) + missing;
    if missing > 0 {
        match cheapest_source(context, engine, key, member, &prefixes, missing) {
            Some((transfer_us, address)) if missing >= LONG_PREFIX_TOKENS => {
                choice.fetch_from = Some(address);
                unread -= missing;
                cost += transfer_us * TRANSFER_WEIGHT;
            }
            _ => {
                cost += to_f64(missing) * PREFILL_TOKEN_US * PREFILL_WEIGHT;
                if is_home.is_some() || context.prefix_index.is_known(context.now, &prefixes) {
                    cost += to_f64(missing) * REPEATED_PREFILL_TOKEN_US;
                }
            }
        }
    }
    let is_newest = context
        .newest
        .is_none_or(|newest| version >= newest.version);
    if shared >= LONG_PREFIX_TOKENS
        && is_newest
        && stores_holding(context, &prefixes).next().is_none()
    {
        let last = prefixes.last().map_or(0, |(hash, _)| *hash);
        choice.save_to = kv_store_for(context.kv_stores, member.entry.data_centre, last).copied();
    }
    let held = shared - missing;
    let needed = (prompt.prompt_tokens + prompt.answer_tokens).saturating_sub(held);
    if !fits_in_memory(load, engine, needed) || is_backlogged(load, unread) {
        return None;
    }
    if missing >= LONG_PREFIX_TOKENS && choice.fetch_from.is_none() {
        choice.pending_prefill = context.prefix_index.pending_prefill(context.now, &prefixes);
    }
    cost += to_f64(load.unread_tokens) * PREFILL_TOKEN_US;
    let prefill_us = to_f64(unread) * PREFILL_TOKEN_US;
    cost += prefill_us * f64::from(load.in_flight) * INTERFERENCE_SHARE;
    let subject = prefixes
        .last()
        .map_or(request.request_hash, |(hash, _)| *hash);
    cost += tie_break_cost(subject, member.id_hash);
    choice.domain = Some(domain);
    choice.unread_tokens = unread;
    choice.memory_tokens = needed;
    choice.missing_tokens = missing;
    choice.is_known = context.prefix_index.is_known(context.now, &prefixes);
    choice.prefixes = prefixes;
    Some((cost, choice))
}

/// Returns whether the tokens fit into the KV cache; an idle upstream takes a request of any size.
const fn fits_in_memory(load: MemberLoad, engine: EngineRule, needed: u64) -> bool {
    let usable = engine.memory_tokens * USABLE_MEMORY_PERCENT / 100;
    load.in_flight == 0 || load.memory_tokens + needed <= usable
}

/// Returns whether an upstream has so much prefill left that the request should wait in the queue.
const fn is_backlogged(load: MemberLoad, unread: u64) -> bool {
    let limit = if unread >= LONG_PROMPT_TOKENS {
        LONG_PROMPT_MAX_BACKLOG_TOKENS
    } else {
        MAX_BACKLOG_TOKENS
    };
    load.unread_tokens > limit
}

/// Returns a small cost that sends equal prompts to the same upstream if other costs are similar.
fn tie_break_cost(subject: u64, id_hash: u64) -> f64 {
    let hash = (subject ^ id_hash)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
        .wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    let share = f64::from(u32::try_from(hash >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    share * MAX_TIE_BREAK_US
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and bytes are far below 2^52"
)]
pub(super) const fn to_f64(count: u64) -> f64 {
    count as f64
}

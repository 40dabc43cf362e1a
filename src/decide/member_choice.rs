//! Choice of the upstream that runs a request, and of the source of its prompt memory.

use std::net::SocketAddr;

use super::fleet::{Fleet, FleetMember, MemberKey, MemberLoad};
use super::prompt_parts::{CacheDomain, HolderView, PartIndex, PromptShape, chains, home_store};
use super::route_table::{EngineRule, KeptStore, PlaceId, ServiceId};
use crate::kernel::Moment;

/// Time in which an engine reads one prompt token, in microseconds; stated by the operators for
/// the engines in use.
const TOKEN_READ_US: f64 = 20.0;

/// Weight of time that others lose: a computed part delays whoever comes next, in percent of the
/// time that it takes.
const READ_WEIGHT: f64 = 1.0;

/// Cost of one shared token that is read though another upstream has read it lately, in
/// microseconds of waiting that are worth as much; the operators price it beside the time.
const REREAD_TOKEN_US: f64 = 150.0;

/// Cost of one kilobyte to another data centre, in microseconds of waiting.
const FAR_KILOBYTE_US: f64 = 3_000.0;

/// Cost of any request to another data centre, in microseconds of waiting.
const FAR_REQUEST_US: f64 = 8_000.0;

/// Cost of a request that fails, in microseconds of waiting.
const FAILURE_US: f64 = 400_000.0;

/// Cost of weights that are not the newest, in microseconds of waiting.
const OLD_WEIGHTS_US: f64 = 40_000.0;

/// Answer tokens from which a run delays the reload of its upstream noticeably.
const LONG_RUN_TOKENS: u64 = 256;

/// Cost of a long run at an upstream that is about to reload, in microseconds of waiting.
const LONG_RUN_US: f64 = 250_000.0;

/// Cost of a full upstream against an idle one, in microseconds of waiting.
const OCCUPIED_US: f64 = 250_000.0;

/// Share of an engine's memory that running requests may take, in percent; beyond it engines
/// preempt.
const USABLE_MEMORY_PERCENT: u64 = 85;

/// Tokens from which a prompt counts as long.
const LONG_PROMPT_TOKENS: u64 = 1_024;

/// Unread tokens of an upstream beyond which it gets no further long prompt; about 0.25 s.
const LONG_BACKLOG_TOKENS: u64 = 12_000;

/// Unread tokens beyond which it gets no further prompt at all; about 0.6 s.
const SHORT_BACKLOG_TOKENS: u64 = 30_000;

/// Share of the time of reading a prompt that each run beside it loses: its tokens wait while a
/// piece of the prompt is read.
const DISTURBANCE_SHARE: f64 = 0.05;

/// Largest difference that the order of preference makes, in microseconds of waiting; it sends
/// equal prompts to equal upstreams while nothing else tells them apart.
const PREFERENCE_US: f64 = 6_000.0;

/// Share of a transfer's time that counts as waiting: the engine computes meanwhile.
const TRANSFER_WEIGHT: f64 = 0.4;

/// How much longer a transfer between data centres takes.
const FAR_TRANSFER: f64 = 2.0;

/// Shared tokens from which fetching and keeping pays against reading.
const MIN_MOVED_TOKENS: u64 = 512;

/// Requests beyond the slots that are sent to an upstream of a plain service, in parts of the
/// slots; they wait there rather than here.
const PLAIN_QUEUE_SHARE: u32 = 3;

/// One request as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct PlaceQuestion<'a> {
    /// Service to run on.
    pub service: ServiceId,
    /// Its prompt, for model engines.
    pub prompt: Option<&'a PromptShape>,
    /// Name of the customer if it is isolated, else empty.
    pub wall: &'a str,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Upstreams that it must not go to.
    pub excluded: &'a [MemberKey],
    /// Until when it may wait for a reading of its shared parts that is under way.
    pub patience: Moment,
    /// Number that spreads requests without prompts over equal upstreams.
    pub draw: u64,
}

/// What the choice knows.
#[derive(Debug, Clone, Copy)]
pub struct PlaceView<'a> {
    /// The present moment.
    pub now: Moment,
    /// Data centre of this instance.
    pub place: PlaceId,
    /// All upstreams.
    pub fleet: &'a Fleet,
    /// Believed contents of memories.
    pub parts: &'a PartIndex,
    /// Engines of the service.
    pub engine: Option<EngineRule>,
    /// Stores of kept prompt memory.
    pub kept_stores: &'a [KeptStore],
    /// Newest version of the weights, if the prompt's model has one.
    pub newest: Option<NewestWeights>,
}

/// Newest version of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewestWeights {
    /// The version.
    pub version: u64,
    /// Whether answers made on older ones are worth less by now.
    pub is_preferred: bool,
    /// Oldest version that may still be used.
    pub oldest_allowed: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChoice {
    /// The upstream.
    pub member: MemberKey,
    /// Domain of its prompt memory there.
    pub domain: Option<CacheDomain>,
    /// Where the upstream fetches prompt memory that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the upstream saves the shared parts.
    pub save_to: Option<KeptStore>,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Tokens that it needs in memory beyond what is there.
    pub memory_tokens: u64,
    /// Chains of its shared parts with their tokens.
    pub chain: Vec<(u64, u64)>,
    /// Until when to wait for a reading of its shared parts that is under way.
    pub awaits: Option<Moment>,
    /// Shared tokens that it is believed not to hold.
    pub missing_tokens: u64,
    /// Whether any upstream has read the shared parts lately.
    pub is_known: bool,
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceStep {
    /// Send it there.
    Send(MemberChoice),
    /// Ask again at the moment at the latest: its shared parts are being read elsewhere.
    Await(Moment),
    /// All upstreams that could run it are full or paused.
    Full,
    /// There is no upstream that could run it.
    Nowhere,
}

/// Chooses the cheapest upstream that has room.
#[must_use]
pub fn choose(view: PlaceView<'_>, question: PlaceQuestion<'_>) -> PlaceStep {
    let mut best: Option<(f64, MemberChoice)> = None;
    let mut is_anywhere = false;
    for (key, member) in view.fleet.of_service(question.service) {
        if question.excluded.contains(&key) {
            continue;
        }
        is_anywhere = true;
        if !member.is_open(view.now) || !has_room(view, member) || is_outdated(view, member) {
            continue;
        }
        let Some((cost, choice)) = price(view, question, key, member) else {
            continue;
        };
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, choice));
        }
    }
    match best {
        Some((_, choice)) => match choice.awaits {
            Some(until) if !question.patience.is_due(view.now) => PlaceStep::Await(until),
            _ => PlaceStep::Send(choice),
        },
        None if is_anywhere => PlaceStep::Full,
        None => PlaceStep::Nowhere,
    }
}

/// Returns how many requests an upstream is sent at the same time.
#[must_use]
pub const fn room(member: &FleetMember, is_engine: bool) -> u32 {
    let slots = member.entry.slots;
    if is_engine {
        slots
    } else {
        slots + slots / PLAIN_QUEUE_SHARE
    }
}

fn is_outdated(view: PlaceView<'_>, member: &FleetMember) -> bool {
    view.newest.is_some_and(|newest| {
        let own = member.version();
        own.is_some_and(|own| own < newest.oldest_allowed)
    })
}

fn has_room(view: PlaceView<'_>, member: &FleetMember) -> bool {
    member.load(view.now).in_flight < room(member, view.engine.is_some())
}

fn price(
    view: PlaceView<'_>,
    question: PlaceQuestion<'_>,
    key: MemberKey,
    member: &FleetMember,
) -> Option<(f64, MemberChoice)> {
    let load = member.load(view.now);
    let is_far = member.entry.place != view.place;
    let kilobytes = tokens(question.body_bytes as u64) / 1_000.0;
    let mut cost = member.failure_share * FAILURE_US;
    if is_far {
        cost += FAR_REQUEST_US + kilobytes * FAR_KILOBYTE_US;
    }
    let occupied = f64::from(load.in_flight) / f64::from(member.entry.slots.max(1));
    cost += occupied * occupied * OCCUPIED_US;
    let mut choice = MemberChoice {
        member: key,
        domain: None,
        fetch_from: None,
        save_to: None,
        unread_tokens: 0,
        memory_tokens: 0,
        chain: Vec::new(),
        awaits: None,
        missing_tokens: 0,
        is_known: false,
    };
    let (Some(prompt), Some(engine)) = (question.prompt, view.engine) else {
        cost += preference(question.draw, member.id_hash);
        return Some((cost, choice));
    };
    let version = member.version().unwrap_or(0);
    if let Some(newest) = view.newest.filter(|newest| version < newest.version) {
        // An upstream reloads only once its runs have ended, so long ones go elsewhere at once.
        if prompt.answer_tokens >= LONG_RUN_TOKENS {
            cost += LONG_RUN_US;
        }
        if newest.is_preferred {
            cost += OLD_WEIGHTS_US;
        }
    }
    let domain = CacheDomain::of(prompt.model, version, question.wall);
    let chain = chains(domain, prompt.shared());
    let holder = HolderView {
        member: key,
        read_mark: member.read_mark,
        memory_tokens: engine.memory_tokens,
    };
    let shared = prompt.shared_tokens();
    let missing = shared - view.parts.held_tokens(&chain, holder).min(shared);
    let mut unread = prompt.prompt_tokens.saturating_sub(shared) + missing;
    if missing > 0 {
        match cheapest_source(view, engine, key, member, &chain, missing) {
            Some((transfer_us, address)) if missing >= MIN_MOVED_TOKENS => {
                choice.fetch_from = Some(address);
                unread -= missing;
                cost += transfer_us * TRANSFER_WEIGHT;
            }
            _ => {
                cost += tokens(missing) * TOKEN_READ_US * READ_WEIGHT;
                if view.parts.is_known(view.now, &chain) {
                    cost += tokens(missing) * REREAD_TOKEN_US;
                }
            }
        }
    }
    let is_newest = view.newest.is_none_or(|newest| version >= newest.version);
    if shared >= MIN_MOVED_TOKENS && is_newest && kept_stores(view, &chain).next().is_none() {
        let last = chain.last().map_or(0, |(chain, _)| *chain);
        choice.save_to = home_store(view.kept_stores, member.entry.place, last).copied();
    }
    let held = shared - missing;
    let needed = (prompt.prompt_tokens + prompt.answer_tokens).saturating_sub(held);
    if !has_memory(load, engine, needed) || is_backlogged(load, unread) {
        return None;
    }
    if missing >= MIN_MOVED_TOKENS && choice.fetch_from.is_none() {
        choice.awaits = view.parts.pending(view.now, &chain);
    }
    cost += tokens(load.unread_tokens) * TOKEN_READ_US;
    let reading_us = tokens(unread) * TOKEN_READ_US;
    cost += reading_us * f64::from(load.in_flight) * DISTURBANCE_SHARE;
    let home = chain.last().map_or(question.draw, |(chain, _)| *chain);
    cost += preference(home, member.id_hash);
    choice.domain = Some(domain);
    choice.unread_tokens = unread;
    choice.memory_tokens = needed;
    choice.missing_tokens = missing;
    choice.is_known = view.parts.is_known(view.now, &chain);
    choice.chain = chain;
    Some((cost, choice))
}

/// Tells whether tokens fit beside what runs; an idle upstream takes any request.
const fn has_memory(load: MemberLoad, engine: EngineRule, needed: u64) -> bool {
    let usable = engine.memory_tokens * USABLE_MEMORY_PERCENT / 100;
    load.in_flight == 0 || load.memory_tokens + needed <= usable
}

/// Tells whether an upstream still has so much to read that the request is better kept here, where
/// it can go to whoever is free first.
const fn is_backlogged(load: MemberLoad, unread: u64) -> bool {
    let limit = if unread >= LONG_PROMPT_TOKENS {
        LONG_BACKLOG_TOKENS
    } else {
        SHORT_BACKLOG_TOKENS
    };
    load.unread_tokens > limit
}

/// Iterates over the kept stores that are believed to hold a chain.
fn kept_stores<'a>(
    view: PlaceView<'a>,
    chain: &'a [(u64, u64)],
) -> impl Iterator<Item = &'a KeptStore> {
    let stores = view.kept_stores.iter();
    stores.filter(move |store| view.parts.is_kept(chain, store))
}

/// Returns the time and address of the cheapest transfer of the missing tokens.
fn cheapest_source(
    view: PlaceView<'_>,
    engine: EngineRule,
    own: MemberKey,
    member: &FleetMember,
    chain: &[(u64, u64)],
    missing: u64,
) -> Option<(f64, SocketAddr)> {
    let near_us = tokens(missing) * engine.token_move_us;
    let transfer_us = |place: PlaceId| {
        if place == member.entry.place {
            near_us
        } else {
            near_us * FAR_TRANSFER
        }
    };
    let held_elsewhere = view.parts.holders(chain).filter_map(|key| {
        let source = view.fleet.get(key).filter(|_| key != own)?;
        let holder = HolderView {
            member: key,
            read_mark: source.read_mark,
            memory_tokens: engine.memory_tokens,
        };
        let all: u64 = chain.iter().map(|(_, tokens)| tokens).sum();
        let is_whole = view.parts.held_tokens(chain, holder) >= all;
        let is_up = source.down_until.is_due(view.now);
        (is_whole && is_up).then_some((transfer_us(source.entry.place), source.entry.address))
    });
    let kept = kept_stores(view, chain).map(|store| (transfer_us(store.place), store.address));
    held_elsewhere
        .chain(kept)
        .min_by(|one, other| one.0.total_cmp(&other.0))
}

/// Returns a small cost that orders upstreams differently for each prompt or draw.
fn preference(subject: u64, id_hash: u64) -> f64 {
    let mixed = (subject ^ id_hash)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
        .wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    let share = f64::from(u32::try_from(mixed >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    share * PREFERENCE_US
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and bytes are far below 2^52"
)]
const fn tokens(count: u64) -> f64 {
    count as f64
}

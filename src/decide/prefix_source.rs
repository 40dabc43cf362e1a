//! Where an upstream can fetch the cached prefix of a prompt that it lacks.

use std::net::SocketAddr;

use super::fleet::{FleetMember, MemberKey};
use super::member_choice::{ChoiceContext, to_f64};
use super::prompt_parts::CacheState;
use super::route_table::{DataCentreId, EngineRule, KvStore};

/// Factor on the time of a transfer between data centres.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;

/// Iterates over the KV stores that are assumed to hold a prefix.
pub(super) fn stores_holding<'a>(
    context: ChoiceContext<'a>,
    prefixes: &'a [(u64, u64)],
) -> impl Iterator<Item = &'a KvStore> {
    let stores = context.kv_stores.iter();
    stores.filter(move |store| context.prefix_index.is_saved(prefixes, store))
}

/// Returns the time and source address of the cheapest transfer of the missing tokens.
pub(super) fn cheapest_source(
    context: ChoiceContext<'_>,
    engine: EngineRule,
    own: MemberKey,
    member: &FleetMember,
    prefixes: &[(u64, u64)],
    missing: u64,
) -> Option<(f64, SocketAddr)> {
    let local_us = to_f64(missing) * engine.token_move_us;
    let transfer_us = |data_centre: DataCentreId| {
        if data_centre == member.entry.data_centre {
            local_us
        } else {
            local_us * REMOTE_TRANSFER_FACTOR
        }
    };
    let from_upstreams = context.prefix_index.holders(prefixes).filter_map(|key| {
        let source = context.fleet.get(key).filter(|_| key != own)?;
        let holder = CacheState {
            member: key,
            total_added_tokens: source.total_added_tokens,
            memory_tokens: engine.memory_tokens,
        };
        let all: u64 = prefixes.iter().map(|(_, tokens)| tokens).sum();
        let is_complete = context.prefix_index.cached_prefix_tokens(prefixes, holder) >= all;
        let is_reachable = source.down_until.is_due(context.now);
        (is_complete && is_reachable)
            .then_some((transfer_us(source.entry.data_centre), source.entry.address))
    });
    let from_stores = stores_holding(context, prefixes)
        .map(|store| (transfer_us(store.data_centre), store.address));
    from_upstreams
        .chain(from_stores)
        .min_by(|left, right| left.0.total_cmp(&right.0))
}

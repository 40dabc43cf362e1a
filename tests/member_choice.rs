//! Choice of an upstream by data centre, capacity, weights and cached prompt prefixes.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bulrushslip::decide::cache_scope::CacheScope;
use bulrushslip::decide::fleet::{
    EntryChange, Fleet, MemberKey, MemberLoad, MemberOutcome, MemberState, MemberWeights,
    UpstreamEntry,
};
use bulrushslip::decide::member_choice::{
    ChoiceContext, ChoiceOutcome, ChoiceRequest, MemberChoice, NewestWeights, choose,
};
use bulrushslip::decide::prompt_parts::{
    CacheDomain, PrefixIndex, PromptSegment, PromptShape, kv_store_for, prefix_hashes,
};
use bulrushslip::decide::route_table::{DataCentreId, EngineRule, KvStore, ServiceId};
use bulrushslip::decide::software::{SoftwareFilter, SoftwareVersion};
use bulrushslip::decide::stated_weights::{StatementSource, WeightsStatement};
use bulrushslip::kernel::Moment;

const MODEL: u64 = 1;

const ENGINE: EngineRule = EngineRule {
    memory_tokens: 100_000,
    token_move_us: 10.0,
};

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(id: &str, data_centre: &str, version: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: ServiceId::of("llm"),
        address: address(u16::try_from(id.len()).expect("a short name")),
        data_centre: DataCentreId::of(data_centre),
        slots: 32,
        state: MemberState::Ready,
        started_unix_ms: 1,
        software: SoftwareVersion(0),
        weights: Some(MemberWeights {
            model: MODEL,
            version,
        }),
    }
}

fn added(fleet: &mut Fleet, entry: UpstreamEntry) -> MemberKey {
    match fleet.apply(entry) {
        EntryChange::Added(key) => key,
        other => panic!("{other:?}"),
    }
}

fn review() -> PromptShape {
    PromptShape {
        model: MODEL,
        prompt_tokens: 17_000,
        answer_tokens: 100,
        segments: vec![
            PromptSegment {
                id: 5,
                tokens: 13_000,
            },
            PromptSegment {
                id: 6,
                tokens: 4_000,
            },
        ],
    }
}

static STORES: LazyLock<Vec<KvStore>> = LazyLock::new(|| {
    let store = |port, data_centre: &str| KvStore {
        address: address(port),
        data_centre: DataCentreId::of(data_centre),
        memory_tokens: 100_000,
    };
    vec![store(9, "remote"), store(10, "local")]
});

fn context<'a>(now: Moment, fleet: &'a Fleet, prefix_index: &'a PrefixIndex) -> ChoiceContext<'a> {
    ChoiceContext {
        now,
        data_centre: DataCentreId::of("local"),
        fleet,
        prefix_index,
        engine: Some(ENGINE),
        kv_stores: &STORES,
        newest: Some(NewestWeights {
            version: 1,
            is_preferred: true,
            oldest_allowed: 0,
        }),
    }
}

fn request(prompt: &PromptShape) -> ChoiceRequest<'_> {
    ChoiceRequest {
        service: ServiceId::of("llm"),
        prompt: Some(prompt),
        cache_scope: CacheScope::Shared(None),
        body_bytes: 34_000,
        excluded: &[],
        software: SoftwareFilter::Except(&[]),
        prefill_deadline: at(60_000),
        request_hash: 0,
    }
}

fn sent(step: ChoiceOutcome) -> MemberChoice {
    match step {
        ChoiceOutcome::Send(choice) => choice,
        other => panic!("{other:?}"),
    }
}

fn shared_prefixes(version: u64) -> Vec<(u64, u64)> {
    prefix_hashes(
        CacheDomain::of(MODEL, version, CacheScope::Shared(None)),
        review().shared(),
    )
}

#[test]
fn local_upstreams_are_preferred_until_at_capacity() {
    let mut fleet = Fleet::default();
    let local = added(&mut fleet, entry("n", "local", 1));
    let remote = added(&mut fleet, entry("ff", "remote", 1));
    let prefix_index = PrefixIndex::default();
    let prompt = review();
    let step = choose(context(at(0), &fleet, &prefix_index), request(&prompt));
    assert_eq!(sent(step).member, local);
    fleet.get_mut(local).expect("listed").own.in_flight = 32;
    let step = choose(context(at(0), &fleet, &prefix_index), request(&prompt));
    assert_eq!(sent(step).member, remote);
    fleet.get_mut(remote).expect("listed").own.in_flight = 32;
    let step = choose(context(at(0), &fleet, &prefix_index), request(&prompt));
    assert_eq!(step, ChoiceOutcome::Full);
    let mut other = request(&prompt);
    other.service = ServiceId::of("none");
    assert_eq!(
        choose(context(at(0), &fleet, &prefix_index), other),
        ChoiceOutcome::NoUpstream
    );
}

/// Nine long prompts fill an engine's KV cache long before its slots. Further requests were once
/// sent all the same and waited in the engine's queue.
#[test]
fn a_prompt_that_does_not_fit_into_the_kv_cache_waits() {
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let prefix_index = PrefixIndex::default();
    let prompt = review();
    let member = fleet.get_mut(key).expect("listed");
    member.own.in_flight = 5;
    member.own.memory_tokens = 80_000;
    let step = choose(context(at(0), &fleet, &prefix_index), request(&prompt));
    assert_eq!(step, ChoiceOutcome::Full);
    // The load from another instance counts as well until its report is stale.
    let member = fleet.get_mut(key).expect("listed");
    member.own = MemberLoad::default();
    let load = MemberLoad {
        in_flight: 5,
        unread_tokens: 30_000,
        memory_tokens: 30_000,
        added_tokens: 0,
    };
    member.record_peer_load(at(0), 7, load);
    let step = choose(context(at(1), &fleet, &prefix_index), request(&prompt));
    assert_eq!(step, ChoiceOutcome::Full);
    let step = choose(context(at(5_000), &fleet, &prefix_index), request(&prompt));
    assert_eq!(sent(step).member, key);
}

/// The age limit of a version was once replaced by that of the next version, so requests ran on
/// weights two versions old.
#[test]
fn weights_older_than_allowed_are_never_used() {
    let mut fleet = Fleet::default();
    added(&mut fleet, entry("n", "local", 1));
    let prefix_index = PrefixIndex::default();
    let prompt = review();
    let mut limited = context(at(0), &fleet, &prefix_index);
    limited.newest = Some(NewestWeights {
        version: 3,
        is_preferred: true,
        oldest_allowed: 1,
    });
    assert!(matches!(
        choose(limited, request(&prompt)),
        ChoiceOutcome::Send(_)
    ));
    limited.newest = Some(NewestWeights {
        version: 3,
        is_preferred: true,
        oldest_allowed: 2,
    });
    assert_eq!(choose(limited, request(&prompt)), ChoiceOutcome::Full);
}

/// A fetch once named an upstream whose prefill had not ended, so the prefix was computed twice.
/// Guards against use of an upstream that states no version of its weights once older weights have
/// expired: it counted as allowed.
#[test]
fn an_upstream_of_unknown_version_is_not_used_once_older_weights_have_expired() {
    let mut fleet = Fleet::default();
    let mut unknown = entry("a", "near", 1);
    unknown.weights = None;
    added(&mut fleet, unknown);
    let prefix_index = PrefixIndex::default();
    let prompt = review();
    let step = |oldest_allowed: u64| {
        let mut view = context(at(0), &fleet, &prefix_index);
        view.newest = Some(NewestWeights {
            version: 2,
            is_preferred: true,
            oldest_allowed,
        });
        choose(view, request(&prompt))
    };
    assert!(matches!(step(0), ChoiceOutcome::Send(_)));
    assert_eq!(step(2), ChoiceOutcome::Full);
}

#[test]
fn a_prefix_is_fetched_once_its_first_prefill_has_ended() {
    let mut fleet = Fleet::default();
    let holder = added(&mut fleet, entry("n", "local", 1));
    let other = added(&mut fleet, entry("nn", "local", 1));
    let mut prefix_index = PrefixIndex::default();
    let prompt = review();
    let first = sent(choose(
        context(at(0), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!(
        (first.fetch_from, first.save_to.map(|store| store.address)),
        (None, Some(address(10)))
    );
    prefix_index.record_prefill_start(at(0), &shared_prefixes(1));
    let step = choose(context(at(10), &fleet, &prefix_index), request(&prompt));
    assert!(
        matches!(step, ChoiceOutcome::WaitForPrefill(until) if until > at(10)),
        "{step:?}"
    );
    // A request does not wait for a prefill that was abandoned.
    prefix_index.record_prefill_abandoned(&shared_prefixes(1));
    assert!(matches!(
        choose(context(at(20), &fleet, &prefix_index), request(&prompt)),
        ChoiceOutcome::Send(_)
    ));
    prefix_index.record_cached(at(30), &shared_prefixes(1), holder, 0);
    let cached = sent(choose(
        context(at(40), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!((cached.member, cached.unread_tokens), (holder, 4_000));
    fleet.get_mut(holder).expect("listed").own.in_flight = 32;
    let fetched = sent(choose(
        context(at(40), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!(fetched.member, other);
    assert_eq!(fetched.fetch_from, Some(address(1)));
    assert_eq!(fetched.unread_tokens, 4_000);
}

#[test]
fn prefixes_of_other_weights_or_isolated_customers_are_not_shared() {
    let isolated = CacheScope::Own("isolated");
    let unisolated = CacheDomain::of(MODEL, 1, CacheScope::Shared(None));
    assert_ne!(
        unisolated,
        CacheDomain::of(MODEL, 2, CacheScope::Shared(None))
    );
    assert_ne!(unisolated, CacheDomain::of(MODEL, 1, isolated));
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_cached(at(0), &shared_prefixes(1), key, 0);
    let prompt = review();
    let mut apart = request(&prompt);
    apart.cache_scope = isolated;
    let choice = sent(choose(context(at(1), &fleet, &prefix_index), apart));
    assert_eq!((choice.missing_tokens, choice.fetch_from), (13_000, None));
}

#[test]
fn a_prefix_counts_as_evicted_after_enough_added_tokens() {
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_cached(at(0), &shared_prefixes(1), key, 0);
    let prompt = review();
    fleet.get_mut(key).expect("listed").total_added_tokens = 90_000;
    let choice = sent(choose(
        context(at(1), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!(choice.missing_tokens, 13_000);
}

/// A fetch once named a KV store that had evicted the prefix long before, so it was computed again.
#[test]
fn a_saved_prefix_counts_as_evicted_after_enough_saved_tokens() {
    let local = STORES[1];
    let mut fleet = Fleet::default();
    added(&mut fleet, entry("n", "local", 1));
    let mut prefix_index = PrefixIndex::default();
    prefix_index.add_saved_tokens(1, local.data_centre, 13_000);
    prefix_index.record_saved(&shared_prefixes(1), local.data_centre);
    let prompt = review();
    let choice = sent(choose(
        context(at(1), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!(
        (choice.fetch_from, choice.save_to),
        (Some(local.address), None)
    );
    // Another instance reports its total twice and then restarts; each token counts once.
    for (total, is_kept) in [
        (50_000, true),
        (50_000, true),
        (20_000, true),
        (30_000, false),
    ] {
        prefix_index.record_saved_total(2, local.data_centre, total);
        assert_eq!(
            prefix_index.is_saved(&shared_prefixes(1), &local),
            is_kept,
            "{total}"
        );
    }
    let choice = sent(choose(
        context(at(2), &fleet, &prefix_index),
        request(&prompt),
    ));
    assert_eq!((choice.fetch_from, choice.save_to), (None, Some(local)));
}

#[test]
fn prefixes_of_outdated_weights_are_not_saved() {
    let mut fleet = Fleet::default();
    added(&mut fleet, entry("n", "local", 1));
    let prefix_index = PrefixIndex::default();
    let prompt = review();
    let mut context = context(at(1), &fleet, &prefix_index);
    context.newest = Some(NewestWeights {
        version: 2,
        is_preferred: true,
        oldest_allowed: 0,
    });
    assert_eq!(sent(choose(context, request(&prompt))).save_to, None);
}

#[test]
fn prefixes_are_saved_to_the_local_store_or_one_selected_by_hash() {
    let local = kv_store_for(&STORES, DataCentreId::of("local"), 7);
    assert_eq!(local, Some(&STORES[1]));
    for hash in 0..4 {
        let store = kv_store_for(&STORES, DataCentreId::of("elsewhere"), hash);
        assert_eq!(store, STORES.get(usize::from(hash % 2 == 1)));
    }
    assert_eq!(kv_store_for(&[], DataCentreId::of("local"), 7), None);
}

#[test]
fn tokens_added_by_other_instances_count_once() {
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let member = fleet.get_mut(key).expect("listed");
    member.record_added_tokens(1_000);
    let load = |added_tokens| MemberLoad {
        added_tokens,
        ..MemberLoad::default()
    };
    // The last total is smaller because the instance has restarted.
    for (total, mark) in [(500, 1_500), (700, 1_700), (700, 1_700), (300, 2_000)] {
        member.record_peer_load(at(0), 7, load(total));
        assert_eq!(member.total_added_tokens, mark);
    }
}

#[test]
fn a_restarted_upstream_has_no_state_of_the_earlier_run() {
    let mut fleet = Fleet::default();
    let old = added(&mut fleet, entry("n", "local", 1));
    let member = fleet.get_mut(old).expect("listed");
    member.own.in_flight = 9;
    let statement = WeightsStatement {
        version: 2,
        source: StatementSource::Response,
    };
    member.stated.record(at(0), statement, 1, 2);
    // An entry with older weights than the upstream reported itself changes nothing.
    assert_eq!(fleet.apply(entry("n", "local", 1)), EntryChange::Same(old));
    assert_eq!(fleet.get(old).expect("listed").version(), Some(2));
    let mut restarted = entry("n", "local", 1);
    restarted.started_unix_ms = 2;
    let EntryChange::Restarted { new, .. } = fleet.apply(restarted) else {
        panic!("not recognised as a restart");
    };
    assert!(fleet.get(old).is_none());
    let member = fleet.get(new).expect("listed");
    assert_eq!((member.own.in_flight, member.version()), (0, Some(1)));
}

#[test]
fn failed_connection_attempts_double_the_pause() {
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let member = fleet.get_mut(key).expect("listed");
    member.record_outcome(at(0), MemberOutcome::Unreachable);
    assert!(!member.is_open(at(399)) && member.is_open(at(400)));
    member.record_outcome(at(400), MemberOutcome::Unreachable);
    assert!(!member.is_open(at(1_199)) && member.is_open(at(1_200)));
}

/// Guards against requests that follow each other every 60 ms to an engine that rejects all of them
/// while it loads weights.
#[test]
fn rejections_in_a_row_double_the_pause() {
    let mut fleet = Fleet::default();
    let key = added(&mut fleet, entry("n", "local", 1));
    let member = fleet.get_mut(key).expect("listed");
    let mut now = 0;
    for pause in [60, 120, 240, 480, 480] {
        member.record_outcome(at(now), MemberOutcome::TurnedAway);
        // Rejections of requests that were sent before change nothing.
        member.record_outcome(at(now + 1), MemberOutcome::TurnedAway);
        assert!(!member.is_open(at(now + pause - 1)) && member.is_open(at(now + pause)));
        now += pause;
    }
    member.record_outcome(at(now), MemberOutcome::Answered);
    member.record_outcome(at(now), MemberOutcome::TurnedAway);
    assert!(member.is_open(at(now + 60)));
}

/// Prompt with short shared segments, as those of operators' questions.
fn question(session: u64) -> PromptShape {
    PromptShape {
        model: MODEL,
        prompt_tokens: 383,
        answer_tokens: 11,
        segments: vec![
            PromptSegment { id: 3, tokens: 55 },
            PromptSegment {
                id: session,
                tokens: 37,
            },
            PromptSegment {
                id: session + 1,
                tokens: 291,
            },
        ],
    }
}

fn short_request(prompt: &PromptShape) -> ChoiceRequest<'_> {
    ChoiceRequest {
        body_bytes: 380,
        request_hash: prompt.segments[1].id,
        ..request(prompt)
    }
}

/// Guards against short prefixes that are prefilled at every upstream: instances do not tell each
/// other of them, and each knew only of its own requests, one in 68.
#[test]
fn instances_agree_on_two_homes_of_a_short_prefix() {
    let mut fleet = Fleet::default();
    for index in 0..13 {
        added(&mut fleet, entry(&format!("near-{index}"), "local", 1));
        added(&mut fleet, entry(&format!("far-{index}"), "remote", 1));
    }
    for session in 10..110 {
        let prompt = question(session * 2);
        let mut chosen = Vec::new();
        // Each turn stands for an instance that knows of no other request but the load.
        for _ in 0..6 {
            let prefix_index = PrefixIndex::default();
            let step = choose(
                context(at(0), &fleet, &prefix_index),
                short_request(&prompt),
            );
            let member = sent(step).member;
            let load = &mut fleet.get_mut(member).expect("listed").own;
            load.in_flight += 1;
            chosen.push(member);
        }
        for member in &chosen {
            fleet.get_mut(*member).expect("listed").own = MemberLoad::default();
        }
        chosen.sort_unstable();
        chosen.dedup();
        assert!(chosen.len() <= 2, "{} homes", chosen.len());
    }
}

/// Guards against upstreams of other data centres that look idle only because their requests are
/// not known yet: 84 in 100 late questions were sent to another data centre.
#[test]
fn an_upstream_elsewhere_counts_as_busy_as_the_others_there() {
    let mut fleet = Fleet::default();
    let local = added(&mut fleet, entry("n", "local", 1));
    let mut remote = Vec::new();
    for index in 0..10 {
        remote.push(added(
            &mut fleet,
            entry(&format!("far-{index}"), "remote", 1),
        ));
    }
    let busy = |unread_tokens| MemberLoad {
        in_flight: 3,
        unread_tokens,
        memory_tokens: 17_000,
        added_tokens: 0,
    };
    fleet.get_mut(local).expect("listed").own = busy(9_000);
    for key in &remote[1..] {
        fleet.get_mut(*key).expect("listed").own = busy(17_000);
    }
    let prefix_index = PrefixIndex::default();
    let prompt = question(20);
    let step = choose(
        context(at(0), &fleet, &prefix_index),
        short_request(&prompt),
    );
    assert_eq!(sent(step).member, local);
    // The local upstream is busier than those in the other data centre are on average.
    fleet.get_mut(local).expect("listed").own = busy(30_000);
    let step = choose(
        context(at(0), &fleet, &prefix_index),
        short_request(&prompt),
    );
    assert_eq!(sent(step).member, remote[0]);
}

#[test]
fn a_stream_is_resumed_only_at_upstreams_of_its_software_version() {
    let prompt = review();
    let mut fleet = Fleet::default();
    let old = added(&mut fleet, entry("i-1", "local", 1));
    let newer = UpstreamEntry {
        software: SoftwareVersion(2),
        ..entry("i-22", "local", 1)
    };
    added(&mut fleet, newer);
    let parts = PrefixIndex::default();
    let resumed = |software| ChoiceRequest {
        software: SoftwareFilter::Only(software),
        ..request(&prompt)
    };
    let choice = choose(context(at(0), &fleet, &parts), resumed(SoftwareVersion(0)));
    assert_eq!(sent(choice).member, old);
    let choice = choose(context(at(0), &fleet, &parts), resumed(SoftwareVersion(3)));
    assert_eq!(choice, ChoiceOutcome::NoUpstream);
}

//! Order and concurrency of load orders in a rollout, and claims between instances.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::fleet::{
    EntryChange, Fleet, MemberKey, MemberState, MemberWeights, UpstreamEntry,
};
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::rollout::{
    CLAIM_VALIDITY, OrderClaim, OrderClaimTable, RolloutStep, RolloutView,
};
use bulrushslip::decide::route_table::{DataCentreId, ServiceId};
use bulrushslip::decide::software::SoftwareVersion;
use bulrushslip::kernel::Moment;

const HOLDER_INTERVAL: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn fleet(versions: &[u64]) -> (Fleet, Vec<MemberKey>) {
    let mut fleet = Fleet::default();
    let keys = versions.iter().enumerate().map(|(index, version)| {
        let change = fleet.apply(UpstreamEntry {
            id: format!("i-{index}"),
            service: ServiceId::of("llm"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: DataCentreId::of(if index % 2 == 0 { "a" } else { "b" }),
            slots: 8,
            state: MemberState::Ready,
            started_unix_ms: 1,
            software: SoftwareVersion(0),
            weights: Some(MemberWeights {
                model: 1,
                version: *version,
            }),
        });
        match change {
            EntryChange::Added(key) => key,
            other => panic!("{other:?}"),
        }
    });
    let keys = keys.collect();
    (fleet, keys)
}

fn view(now: Moment, fleet: &Fleet, own: u64, rank: u32) -> RolloutView<'_> {
    RolloutView {
        now,
        own,
        rank,
        model: 1,
        version: 9,
        target_since: at(0),
        weights_limit: Duration::from_secs(8),
        oldest_allowed: 0,
        min_holder_interval: HOLDER_INTERVAL,
        spreads_orders: false,
        fleet,
    }
}

fn claim(holder: u64, upstreams: &[&str]) -> OrderClaim {
    OrderClaim {
        holder,
        upstreams: upstreams.iter().map(|id| (*id).to_owned()).collect(),
        version: 9,
        era: StoreEra(0),
    }
}

fn claimed(step: RolloutStep) -> Vec<MemberKey> {
    match step {
        RolloutStep::Claim(keys) => keys,
        other => panic!("{other:?}"),
    }
}

/// Upstreams that had just loaded the previous version were once reloaded before older ones.
#[test]
fn the_oldest_weights_are_ordered_first_across_data_centres() {
    let (fleet, keys) = fleet(&[8, 8, 8, 8, 7, 7, 7, 7]);
    let step = OrderClaimTable::default().next(view(at(1), &fleet, 1, 0));
    let first = claimed(step);
    assert_eq!(first.len(), 2);
    assert!(first.iter().all(|key| keys[4..].contains(key)), "{first:?}");
    let data_centre = |key| fleet.get(key).expect("listed").entry.data_centre;
    assert_ne!(data_centre(first[0]), data_centre(first[1]));
}

/// With a quarter of a large fleet at a time, versions that followed each other within seconds were
/// replaced before they were loaded everywhere.
#[test]
fn half_of_a_large_fleet_is_ordered_if_each_data_centre_keeps_enough() {
    for (upstreams, at_once) in [(1, 1), (8, 2), (12, 4), (14, 6), (40, 20)] {
        let (fleet, _) = fleet(&vec![8; upstreams]);
        let step = OrderClaimTable::default().next(view(at(1), &fleet, 1, 0));
        assert_eq!(
            claimed(step).len(),
            at_once,
            "of {upstreams} upstreams in two data centres"
        );
    }
}

#[test]
fn a_rollout_is_done_once_all_run_the_version() {
    let (fleet, _) = fleet(&[9, 9, 10]);
    let step = OrderClaimTable::default().next(view(at(1), &fleet, 1, 0));
    assert_eq!(step, RolloutStep::Done);
}

#[test]
fn an_instance_with_a_higher_rank_waits_for_progress() {
    let (fleet, _) = fleet(&[8; 4]);
    let mut claims = OrderClaimTable::default();
    assert!(matches!(
        claims.next(view(at(10), &fleet, 2, 1)),
        RolloutStep::Wait(_)
    ));
    claimed(claims.next(view(at(1_200), &fleet, 2, 1)));
    // Progress of another instance restarts the wait.
    claims.apply(at(1_200), &claim(1, &["i-0"]));
    assert!(matches!(
        claims.next(view(at(2_000), &fleet, 2, 1)),
        RolloutStep::Wait(_)
    ));
}

/// Orders of two holders to one upstream are at least the configured interval apart, even if the
/// first holder's order arrives at the very end of its claim.
#[test]
fn an_upstream_is_not_claimed_within_the_interval_between_holders() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = OrderClaimTable::default();
    claims.apply(at(0), &claim(1, &["i-0"]));
    let earliest = at(0).after(CLAIM_VALIDITY + HOLDER_INTERVAL);
    for ms in (0..).step_by(100).take_while(|ms| at(*ms) <= earliest) {
        let step = claims.next(view(at(ms), &fleet, 2, 0));
        assert!(matches!(step, RolloutStep::Wait(_)), "{ms} ms: {step:?}");
    }
    let later = earliest.after(Duration::from_secs(1));
    assert_eq!(claimed(claims.next(view(later, &fleet, 2, 0))), keys);
}

/// When a newer version was set, orders were once repeated while earlier ones were still running.
#[test]
fn a_holder_does_not_repeat_a_running_order() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = OrderClaimTable::default();
    claims.apply(at(0), &claim(1, &["i-0"]));
    assert!(matches!(
        claims.next(view(at(500), &fleet, 1, 0)),
        RolloutStep::Wait(_)
    ));
    claims.finish(at(500), "i-0", false);
    assert!(matches!(
        claims.next(view(at(600), &fleet, 1, 0)),
        RolloutStep::Wait(_)
    ));
    assert_eq!(claimed(claims.next(view(at(900), &fleet, 1, 0))), keys);
    assert_eq!(claims.end, LogPosition::default());
}

/// Plays a rollout in which no order succeeds, each ending after `order_ms` if that is given, and
/// returns the times at which each upstream was claimed.
fn claim_times(upstreams: usize, order_ms: Option<u64>, until_ms: u64) -> Vec<Vec<u64>> {
    let (fleet, keys) = fleet(&vec![8; upstreams]);
    let mut claims = OrderClaimTable::default();
    let mut times = vec![Vec::new(); upstreams];
    let mut ends: Vec<(u64, String)> = Vec::new();
    for ms in (0..until_ms).step_by(50) {
        for (_, upstream) in ends.extract_if(.., |(end, _)| *end <= ms) {
            claims.finish(at(ms), &upstream, false);
        }
        let RolloutStep::Claim(claimed) = claims.next(view(at(ms), &fleet, 1, 0)) else {
            continue;
        };
        let ids: Vec<&str> = claimed
            .iter()
            .map(|key| fleet.get(*key).expect("listed").entry.id.as_str())
            .collect();
        claims.start(at(ms), &claim(1, &ids));
        if let Some(order_ms) = order_ms {
            ends.extend(ids.iter().map(|id| (ms + order_ms, (*id).to_owned())));
        }
        for (index, key) in keys.iter().enumerate() {
            if claimed.contains(key) {
                times[index].push(ms);
            }
        }
    }
    times
}

/// Upstreams that took seconds to end their requests once kept the places of the others, and were
/// ordered again before others were ordered at all.
#[test]
fn orders_that_do_not_end_leave_no_upstream_without_one_before_the_limit() {
    for (index, times) in claim_times(12, None, 8_000).iter().enumerate() {
        assert!(!times.is_empty(), "i-{index} has no order after 8 s");
    }
}

/// Orders that are not answered may be carried out late; upstreams that got such an order were once
/// ordered again before others were ordered at all.
#[test]
fn upstreams_without_an_order_come_before_those_whose_order_failed() {
    let times = claim_times(12, Some(700), 8_000);
    let last_first = times.iter().filter_map(|times| times.first()).max();
    let first_second = times.iter().filter_map(|times| times.get(1)).min();
    assert!(times.iter().all(|times| !times.is_empty()));
    assert!(last_first <= first_second, "{times:?}");
}

/// Failed orders once kept their places during the pause before the next attempt, in which nothing is
/// loaded.
#[test]
fn a_failed_order_frees_its_place_before_its_upstream_may_be_ordered_again() {
    let (fleet, keys) = fleet(&[8; 4]);
    let mut claims = OrderClaimTable::default();
    let first = claimed(claims.next(view(at(0), &fleet, 1, 0)));
    assert_eq!(first.len(), 1);
    let failed = fleet.get(first[0]).expect("listed").entry.id.clone();
    claims.apply(at(0), &claim(1, &[&failed]));
    claims.finish(at(650), &failed, false);
    let second = claimed(claims.next(view(at(650), &fleet, 1, 0)));
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
    for key in keys.iter().filter(|key| **key != first[0]) {
        let id = &fleet.get(*key).expect("listed").entry.id;
        claims.apply(at(650), &claim(1, &[id]));
        claims.finish(at(700), id, true);
    }
    let pause = claims.next(view(at(700), &fleet, 1, 0));
    assert_ne!(pause, RolloutStep::Claim(first), "ordered again at once");
}

/// Upstreams whose weights have expired serve nothing until they load the version; they were once
/// ordered a quarter at a time.
#[test]
fn all_upstreams_with_expired_weights_are_ordered_whatever_others_load() {
    let (fleet, keys) = fleet(&[8, 8, 8, 8, 7, 7, 7, 7]);
    let mut claims = OrderClaimTable::default();
    let allowed = view(at(0), &fleet, 1, 0);
    let ids = claimed(claims.next(allowed))
        .iter()
        .map(|key| fleet.get(*key).expect("listed").entry.id.clone())
        .collect();
    let first = OrderClaim {
        holder: 1,
        upstreams: ids,
        version: 9,
        era: StoreEra(0),
    };
    claims.apply(at(0), &first);
    let step = claims.next(RolloutView {
        oldest_allowed: 8,
        ..view(at(100), &fleet, 1, 0)
    });
    let unordered = keys[4..].iter().copied().filter(|key| {
        let id = &fleet.get(*key).expect("listed").entry.id;
        !first.upstreams.contains(id)
    });
    let unordered: Vec<MemberKey> = unordered.collect();
    let rest = claimed(step);
    assert_eq!(rest.len(), unordered.len());
    assert!(unordered.iter().all(|key| rest.contains(key)), "{rest:?}");
}

#[test]
fn only_upstreams_with_requests_on_allowed_weights_are_drained() {
    let (mut fleet, keys) = fleet(&[8, 8, 7]);
    for key in &keys[1..] {
        fleet.get_mut(*key).expect("listed").own.in_flight = 1;
    }
    let view = RolloutView {
        oldest_allowed: 8,
        ..view(at(0), &fleet, 1, 0)
    };
    let drained: Vec<bool> = keys.iter().map(|key| view.needs_drain(*key)).collect();
    assert_eq!(drained, [false, true, false]);
}

/// An order that took its whole time was once repeated before it ended, and the end of the first one was
/// taken for that of the second.
#[test]
fn an_order_that_takes_its_whole_time_is_not_repeated_before_it_ends() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = OrderClaimTable::default();
    claims.start(at(0), &claim(1, &["i-0"]));
    for ms in (0..6_000).step_by(100) {
        let step = claims.next(view(at(ms), &fleet, 1, 0));
        assert!(matches!(step, RolloutStep::Wait(_)), "{ms} ms: {step:?}");
    }
    claims.finish(at(6_000), "i-0", false);
    assert_eq!(claimed(claims.next(view(at(6_400), &fleet, 1, 0))), keys);
}

/// A restarted instance finds its claims on the log and delivers none of their orders; it once waited for
/// the end of such an order for as long as the whole limit of older weights.
#[test]
fn a_restarted_holder_orders_again_what_it_no_longer_delivers() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = OrderClaimTable::default();
    claims.apply(at(0), &claim(1, &["i-0"]));
    assert_eq!(claimed(claims.next(view(at(4_000), &fleet, 1, 0))), keys);
}

/// Half of the upstreams were once taken from a loaded fleet at a time, so that long prompts waited
/// behind others at the rest.
#[test]
fn spread_orders_take_few_upstreams_at_a_time_and_reach_all_in_time() {
    for (order_ms, most_at_once) in [(600, 5), (1_200, 10), (2_500, 20)] {
        let (mut fleet, keys) = fleet(&[8; 40]);
        let mut claims = OrderClaimTable::default();
        let mut running: Vec<(u64, MemberKey)> = Vec::new();
        let mut most_running = 0;
        let mut last_claim = 0;
        for ms in (0..14_000).step_by(50) {
            for (_, key) in running.extract_if(.., |(end, _)| *end <= ms) {
                let mut entry = fleet.get(key).expect("listed").entry.clone();
                claims.finish(at(ms), &entry.id, true);
                entry.weights.as_mut().expect("an engine").version = 9;
                fleet.apply(entry);
            }
            let spread = RolloutView {
                spreads_orders: true,
                ..view(at(ms), &fleet, 1, 0)
            };
            if let RolloutStep::Claim(claimed) = claims.next(spread) {
                let ids = claimed
                    .iter()
                    .map(|key| &fleet.get(*key).expect("listed").entry.id);
                let ids: Vec<&str> = ids.map(String::as_str).collect();
                claims.start(at(ms), &claim(1, &ids));
                running.extend(claimed.iter().map(|key| (ms + order_ms, *key)));
                last_claim = ms;
            }
            // The time of orders is not known before the first batch has ended.
            if ms > 2 * order_ms {
                most_running = most_running.max(running.len());
            }
        }
        assert!(last_claim < 8_000, "the last order after {last_claim} ms");
        assert!(
            most_running <= most_at_once,
            "{most_running} orders of {order_ms} ms"
        );
        let versions = keys
            .iter()
            .map(|key| fleet.get(*key).expect("listed").version());
        assert!(versions.into_iter().all(|version| version == Some(9)));
    }
}

#[test]
fn claims_that_a_restored_log_may_have_lost_expire_before_the_next_one() {
    let (fleet, _) = fleet(&[8; 4]);
    let mut claims = OrderClaimTable::default();
    assert!(!claims.enter_era(at(0), StoreEra(0)), "no copy so far");
    claimed(claims.next(view(at(0), &fleet, 1, 0)));
    claims.end.offset = LogOffset(7);
    assert!(claims.enter_era(at(10_000), StoreEra(1)));
    assert_eq!(claims.end.offset, LogOffset(0), "read again from the start");
    claims.apply(at(10_000), &claim(2, &["i-9"]));
    let last_order = at(10_000).after(CLAIM_VALIDITY);
    let wait = claims.next(view(at(10_000), &fleet, 1, 0));
    let RolloutStep::Wait(until) = wait else {
        panic!("{wait:?}");
    };
    assert!(last_order.after(HOLDER_INTERVAL) < until);
    claimed(claims.next(view(until, &fleet, 1, 0)));
}

#[test]
fn a_claim_of_the_same_era_shows_that_lost_claims_have_expired() {
    let (fleet, _) = fleet(&[8; 4]);
    let mut claims = OrderClaimTable::default();
    claims.enter_era(at(0), StoreEra(4));
    let later = OrderClaim {
        era: StoreEra(4),
        ..claim(2, &["i-9"])
    };
    claims.apply(at(0), &later);
    claimed(claims.next(view(at(0), &fleet, 1, 0)));
}

#[test]
fn fences_of_a_later_era_are_higher_and_none_is_given_twice() {
    let position = |era, offset| LogPosition {
        era: StoreEra(era),
        offset: LogOffset(offset),
    };
    let last = u64::from(u32::MAX);
    assert!(position(1, last).fence() < position(2, 0).fence());
    assert!(position(2, 0).fence() < position(2, 1).fence());
    assert_eq!(position(0, last + 1).fence(), None);
    assert_eq!(position(last + 1, 0).fence(), None);
}

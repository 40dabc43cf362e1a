//! Which upstream is ordered to load new weights next, and by whom.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::fleet::{
    EntryChange, Fleet, MemberKey, MemberState, MemberWeights, UpstreamEntry,
};
use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::rollout::{CLAIM_USE, ClaimTable, OrderClaim, RolloutStep, RolloutView};
use bulrushslip::decide::route_table::{PlaceId, ServiceId};
use bulrushslip::kernel::Moment;

const TURN: Duration = Duration::from_secs(3);

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
            place: PlaceId::of(if index % 2 == 0 { "a" } else { "b" }),
            slots: 8,
            state: MemberState::Ready,
            born: 1,
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
        named: at(0),
        holder_turn: TURN,
        fleet,
    }
}

fn claim(holder: u64, upstreams: &[&str]) -> OrderClaim {
    OrderClaim {
        holder,
        upstreams: upstreams.iter().map(|id| (*id).to_owned()).collect(),
        version: 9,
    }
}

fn claimed(step: RolloutStep) -> Vec<MemberKey> {
    match step {
        RolloutStep::Claim(keys) => keys,
        other => panic!("{other:?}"),
    }
}

/// Upstreams that were reloaded for the version before were once reloaded first.
#[test]
fn the_oldest_weights_go_first_a_quarter_at_a_time_over_all_places() {
    let (fleet, keys) = fleet(&[8, 8, 8, 8, 7, 7, 7, 7]);
    let step = ClaimTable::default().next(view(at(1), &fleet, 1, 0));
    let first = claimed(step);
    assert_eq!(first.len(), 2);
    assert!(first.iter().all(|key| keys[4..].contains(key)), "{first:?}");
    let place = |key| fleet.get(key).expect("listed").entry.place;
    assert_ne!(place(first[0]), place(first[1]));
}

/// Versions that follow each other in seconds were never in force in a large fleet.
#[test]
fn a_large_fleet_is_ordered_by_halves_as_long_as_each_place_keeps_enough() {
    for (upstreams, at_once) in [(1, 1), (8, 2), (12, 4), (14, 6), (40, 20)] {
        let (fleet, _) = fleet(&vec![8; upstreams]);
        let step = ClaimTable::default().next(view(at(1), &fleet, 1, 0));
        assert_eq!(claimed(step).len(), at_once, "of {upstreams} at two places");
    }
}

#[test]
fn nothing_is_left_to_do_once_all_run_the_version() {
    let (fleet, _) = fleet(&[9, 9, 10]);
    let step = ClaimTable::default().next(view(at(1), &fleet, 1, 0));
    assert_eq!(step, RolloutStep::Done);
}

#[test]
fn an_instance_further_back_waits_for_those_before_it() {
    let (fleet, _) = fleet(&[8; 4]);
    let mut claims = ClaimTable::default();
    assert!(matches!(
        claims.next(view(at(10), &fleet, 2, 1)),
        RolloutStep::Wait(_)
    ));
    claimed(claims.next(view(at(1_200), &fleet, 2, 1)));
    // Progress of another one starts the wait anew.
    claims.apply(at(1_200), &claim(1, &["i-0"]));
    assert!(matches!(
        claims.next(view(at(2_000), &fleet, 2, 1)),
        RolloutStep::Wait(_)
    ));
}

/// Two holders never take turns at one upstream within the time that the operators state, even if
/// the first one's order arrives at the very end of its claim.
#[test]
fn an_upstream_claimed_by_another_is_left_alone_for_the_holders_turn() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = ClaimTable::default();
    claims.apply(at(0), &claim(1, &["i-0"]));
    let earliest = at(0).after(CLAIM_USE + TURN);
    for ms in (0..).step_by(100).take_while(|ms| at(*ms) <= earliest) {
        let step = claims.next(view(at(ms), &fleet, 2, 0));
        assert!(matches!(step, RolloutStep::Wait(_)), "{ms} ms: {step:?}");
    }
    let later = earliest.after(Duration::from_secs(1));
    assert_eq!(claimed(claims.next(view(later, &fleet, 2, 0))), keys);
}

/// Orders were once repeated on top of running ones when a newer version was named.
#[test]
fn a_holder_does_not_order_again_what_it_still_carries_out() {
    let (fleet, keys) = fleet(&[8]);
    let mut claims = ClaimTable::default();
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
    assert_eq!(claims.end, LogOffset(0));
}

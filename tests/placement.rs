//! Properties of placement, and a comparison with a naive choice by cost.

mod property;

use bulrushslip::decide::config::UpstreamKey;
use bulrushslip::decide::ids::{PrefixKey, Rank};
use bulrushslip::decide::placement::{CandidateQuote, PlacementTarget, STANDARD, ScoringInput};
use bulrushslip::decide::policy::RoutingPolicy;
use bulrushslip::kernel::Arena;

/// Generated inputs per property.
const CASES: u64 = 2_000;

fn targets(count: u64) -> Vec<PlacementTarget> {
    let mut arena = Arena::new();
    let upstream = bulrushslip::decide::config::Upstream {
        name: String::new(),
        data_centre: String::new(),
        sidecar: "127.0.0.1:1".parse().expect("an address"),
        kind: bulrushslip::decide::config::UpstreamKind::Plain {
            service: String::new(),
        },
        slots: 1,
        retired: false,
    };
    let target = |index: u64| PlacementTarget {
        upstream: arena.insert(upstream.clone()),
        name_hash: index * 0x1234_5678_9abc,
        data_centre: u32::from(index.is_multiple_of(4)),
        leaving: false,
    };
    (0..count).map(target).collect()
}

fn request(keys: &[PrefixKey], placement_pieces: u32) -> ScoringInput<'_> {
    ScoringInput {
        keys,
        placement_pieces,
        draw: 7,
    }
}

#[test]
fn candidates_do_not_depend_on_the_order_of_targets() {
    property::check::<(Vec<u64>, u8, u8)>(CASES, |(keys, depth, rotation)| {
        let keys: Vec<PrefixKey> = keys.iter().copied().map(PrefixKey).collect();
        let own = targets(12);
        let mut other = own.clone();
        other.rotate_left(usize::from(rotation % 12));
        let request = request(&keys, u32::from(*depth));
        for policy in RoutingPolicy::ALL.map(RoutingPolicy::placement) {
            let chosen = policy.candidates(&request, &own);
            assert_eq!(chosen, policy.candidates(&request, &other));
            assert_eq!(chosen.len(), policy.candidates);
        }
    });
}

#[test]
fn a_leaving_upstream_moves_only_its_own_prompts() {
    let mut all = targets(12);
    let keys: Vec<[PrefixKey; 1]> = (0..2_000).map(|key| [PrefixKey(key)]).collect();
    let first = |all: &[PlacementTarget]| -> Vec<UpstreamKey> {
        let pick = |key: &[PrefixKey; 1]| STANDARD.candidates(&request(key, 1), all)[0];
        keys.iter().map(pick).collect()
    };
    let before = first(&all);
    all[5].leaving = true;
    let leaving_upstream = all[5].upstream;
    let after = first(&all);
    let is_unmoved = |(old, new): (&UpstreamKey, &UpstreamKey)| {
        *new != leaving_upstream && (old == new || *old == leaving_upstream)
    };
    assert!(before.iter().zip(&after).all(is_unmoved));
    for target in &all {
        let share = before.iter().filter(|key| **key == target.upstream).count();
        assert!(
            (110..=230).contains(&share),
            "{share} of 2,000 prompts at one of 12 upstreams"
        );
    }
}

#[test]
fn candidates_span_two_data_centres() {
    let all = targets(12);
    for key in (0..500).map(PrefixKey) {
        let chosen = STANDARD.candidates(&request(&[key], 1), &all);
        let data_centre = |key: &UpstreamKey| {
            all.iter()
                .find(|t| t.upstream == *key)
                .map(|t| t.data_centre)
        };
        assert!(
            chosen
                .iter()
                .any(|key| data_centre(key) != data_centre(&chosen[0]))
        );
    }
}

#[test]
fn prompts_with_the_same_leading_pieces_share_candidates() {
    let all = targets(12);
    let keys = |last: u64| [1, 2, last].map(PrefixKey);
    let chosen = |last| STANDARD.candidates(&request(&keys(last), 2), &all);
    assert!((0..50).all(|last| chosen(last) == chosen(50)));
}

#[test]
fn submission_targets_are_bounded_and_agree_with_a_naive_choice() {
    property::check::<[(u16, u8, u8); 4]>(CASES, |rows| {
        let all = targets(12);
        let candidates = STANDARD.candidates(&request(&[PrefixKey(3)], 1), &all);
        let rows = candidates.iter().zip(rows);
        let quotes: Vec<CandidateQuote> = rows
            .filter(|(_, (_, _, answered))| answered % 4 > 0)
            .map(|(upstream, (wait, missing, answered))| CandidateQuote {
                upstream: *upstream,
                open: answered % 4 > 1,
                wait_us: u64::from(*wait) * 100,
                missing_pieces: u32::from(missing % 8),
                piece_us: 60_000,
            })
            .collect();
        let submission_targets = STANDARD.submission_targets(Rank::Urgent, &candidates, &quotes);
        assert!(submission_targets.len() <= STANDARD.max_targets);
        let mut naive = None;
        for quote in quotes.iter().filter(|quote| quote.open) {
            let cost = quote.wait_us + 60_000 * u64::from(quote.missing_pieces);
            if naive.is_none_or(|(least, _)| cost < least) {
                naive = Some((cost, quote.upstream));
            }
        }
        let Some((_, upstream)) = naive else {
            let is_quoted = |key| quotes.iter().any(|quote| quote.upstream == key);
            return assert!(
                submission_targets
                    .iter()
                    .all(|target| !is_quoted(target.upstream))
            );
        };
        assert_eq!(submission_targets[0].upstream, upstream);
        assert_eq!(
            submission_targets[submission_targets.len() - 1].wait_limit_us,
            u64::MAX
        );
    });
}

//! Decisions on the memory of connections and requests.

mod property;

use bulrushslip::decide::ids::Rank;
use bulrushslip::decide::memory_budget::{MemoryBudget, MemoryClaim, MemoryUse};
use bulrushslip::decide::memory_plan::{CONNECTION_BYTES, MemoryPlan};

/// Generated inputs of the property.
const CASES: u64 = 2_000;

const MB: u64 = 1_000_000;

fn claim(customer: &str, rank: Rank, bytes: u64) -> MemoryClaim<'_> {
    MemoryClaim {
        customer,
        rank,
        bytes,
    }
}

/// Reserves claims of one customer and rank until one is refused; returns how many were granted.
fn fill(budget: &mut MemoryBudget, customer: &str, rank: Rank) -> u64 {
    let mut granted = 0;
    while budget.reserve(claim(customer, rank, MB)).is_some() {
        granted += 1;
    }
    granted
}

#[test]
fn routine_requests_are_refused_before_urgent_ones() {
    let mut budget = MemoryBudget::new(100 * MB);
    for customer in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        fill(&mut budget, customer, Rank::Routine);
    }
    assert!(budget.reserve(claim("i", Rank::Urgent, MB)).is_some());
    assert!(budget.reserved() <= 71 * MB);
}

#[test]
fn the_customer_that_holds_most_is_refused_first() {
    let mut budget = MemoryBudget::new(100 * MB);
    let of_large = fill(&mut budget, "large", Rank::Urgent);
    assert!(of_large > 50, "{of_large}");
    assert!(budget.reserve(claim("large", Rank::Urgent, MB)).is_none());
    assert!(budget.reserve(claim("small", Rank::Urgent, MB)).is_some());
}

#[test]
fn accepted_requests_may_grow_when_new_ones_are_refused() {
    let mut budget = MemoryBudget::new(100 * MB);
    let accepted = budget.reserve(claim("a", Rank::Urgent, MB));
    let accepted = accepted.expect("an empty budget has room");
    for customer in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        fill(&mut budget, customer, Rank::Urgent);
    }
    assert!(!budget.grow(accepted, 5 * MB, MemoryUse::Body));
    assert!(budget.grow(accepted, 5 * MB, MemoryUse::Response));
    assert!(!budget.grow(accepted, 100 * MB, MemoryUse::Response));
}

#[test]
fn released_bytes_are_free_again_and_a_second_release_changes_nothing() {
    let mut budget = MemoryBudget::new(10 * MB);
    let first = budget.reserve(claim("a", Rank::Urgent, MB));
    let first = first.expect("an empty budget has room");
    assert!(budget.grow(first, MB, MemoryUse::Body));
    let second = budget.reserve(claim("a", Rank::Routine, MB));
    budget.release(first);
    budget.release(first);
    assert_eq!(budget.reserved(), MB);
    assert!(!budget.grow(first, MB, MemoryUse::Response));
    budget.release(second.expect("a budget with room"));
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn in_any_order_of_calls_the_budget_is_kept_and_returned() {
    property::check::<Vec<(u8, u8, u16)>>(CASES, |steps| {
        let mut budget = MemoryBudget::new(200_000);
        let mut held = Vec::new();
        for (kind, customer, bytes) in steps.iter().copied() {
            let rank = Rank::ALL[usize::from(kind % 2)];
            let customer = ["a", "b", "c"][usize::from(customer % 3)];
            match (kind / 2 % 3, held.pop()) {
                (0, Some(key)) => budget.release(key),
                (1, Some(key)) => {
                    budget.grow(key, bytes.into(), MemoryUse::Response);
                    held.push(key);
                }
                (_, kept) => {
                    held.extend(kept);
                    held.extend(budget.reserve(claim(customer, rank, bytes.into())));
                }
            }
            assert!(budget.reserved() <= 200_000);
        }
        for key in held {
            budget.release(key);
        }
        assert_eq!(budget.reserved(), 0);
    });
}

#[test]
fn connections_and_requests_together_stay_below_the_limit() {
    for limit_mb in [48, 64, 110, 128, 260, 1_000] {
        let limit = limit_mb * MB;
        let plan = MemoryPlan::for_limit(limit);
        let connections = plan.max_connections as u64 * CONNECTION_BYTES;
        assert!(
            connections + plan.request_bytes < limit * 80 / 100,
            "{limit_mb}"
        );
        assert!(plan.max_connections > 100, "{limit_mb}");
        assert!(plan.request_bytes > 4 * MB, "{limit_mb}");
    }
}

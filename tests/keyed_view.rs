//! Newest records of a topic, merged from several sources in any order.

mod property;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::keyed_view::{KeyedRecord, KeyedView, WriterStamp};

/// Number of generated deliveries.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct Delivery {
    records: Vec<(u8, Option<u8>)>,
    order: Vec<u8>,
}

/// More deletions than a view keeps.
const MANY_DELETIONS: u64 = 5_000;

/// Returns a position in a store that has never come back from a copy.
fn position(offset: u64) -> LogPosition {
    LogOffset(offset).into()
}

fn record(offset: usize, key: u8, value: Option<u8>) -> KeyedRecord {
    KeyedRecord {
        key: format!("k{}", key % 5),
        value: value.map(|value| vec![value].into()),
        position: position(offset as u64),
    }
}

/// Forwarded records may be old, duplicated and out of order; none may restore an older value.
#[test]
fn the_newest_record_of_each_key_wins_in_any_order_of_delivery() {
    property::check(CASES, |delivery: &Delivery| {
        let numbered = delivery.records.iter().enumerate();
        let records: Vec<KeyedRecord> = numbered
            .map(|(offset, (key, value))| record(offset, *key, *value))
            .collect();
        let mut view = KeyedView::default();
        for index in &delivery.order {
            if let Some(record) = records.get(usize::from(*index)) {
                view.apply(record);
            }
        }
        for record in &records {
            view.apply(record);
        }
        let naive: BTreeMap<&str, &KeyedRecord> = records
            .iter()
            .map(|record| (record.key.as_str(), record))
            .collect();
        for (key, newest) in naive {
            assert_eq!(view.value(key), newest.value.as_ref());
            assert_eq!(view.position(key), Some(newest.position));
        }
    });
}

#[test]
fn a_repeated_value_is_not_reported_as_changed() {
    let mut view = KeyedView::default();
    view.apply(&record(0, 0, Some(1)));
    view.apply(&record(4, 0, Some(1)));
    assert!(view.since(position(1)).is_empty());
    assert_eq!(view.since(position(0))[0].position, position(4));
    view.apply(&record(5, 0, Some(2)));
    assert_eq!(view.since(position(5)).len(), 1);
}

#[test]
fn a_complete_listing_deletes_missing_keys_without_newer_records() {
    let mut view = KeyedView::default();
    for (offset, key) in [(0, 0), (1, 1), (7, 2)] {
        view.apply(&record(offset, key, Some(1)));
    }
    let listed = [record(0, 0, Some(1))];
    let missing = view.deletions_for_missing_keys(&listed, position(5));
    let keys: Vec<&str> = missing.iter().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["k1"]);
}

/// Guards against instances that never learn of a key that came back with the value that it had
/// before its deletion.
#[test]
fn a_value_that_returns_after_a_deletion_counts_as_changed() {
    let mut view = KeyedView::default();
    for (offset, value) in [(0, Some(1)), (3, None), (5, Some(1)), (8, Some(1))] {
        view.apply(&record(offset, 0, value));
    }
    // Those that have read past the deletion need the record; later repetitions are none.
    assert_eq!(view.since(position(4)).len(), 1);
    assert!(view.since(position(6)).is_empty());
}

/// Guards against the same loss when the instance in between has not seen the deletion.
#[test]
fn a_value_from_a_source_of_newest_records_counts_as_changed() {
    let mut view = KeyedView::default();
    view.apply(&record(0, 0, Some(1)));
    view.apply_newest(&record(5, 0, Some(1)));
    assert_eq!(view.since(position(4)).len(), 1);
}

/// Guards against an instance that keeps a deleted key, because its source has read a listing in which
/// the key was missing already.
#[test]
fn a_view_that_began_with_a_listing_tells_of_later_deletions_only() {
    let mut view = KeyedView::default();
    view.begin_at(position(9));
    view.apply_newest(&record(7, 1, Some(1)));
    view.advance(position(9));
    assert!(view.covers(position(0)) && view.covers(position(9)));
    assert!(!view.covers(position(8)));
    // A view that has followed the topic before has the deletions.
    let mut follower = KeyedView::default();
    follower.advance(position(4));
    follower.begin_at(position(9));
    assert!(follower.covers(position(5)));
}

/// Views that hold the same are told apart from others by their digest, however they came to it.
#[test]
fn the_digest_tells_whether_two_views_hold_the_same() {
    let mut follower = KeyedView::default();
    let steps = [
        (0, 0, Some(1)),
        (1, 1, Some(2)),
        (2, 2, Some(3)),
        (3, 2, None),
        (4, 0, Some(1)),
    ];
    for (offset, key, value) in steps {
        follower.apply(&record(offset, key, value));
    }
    let mut beginner = KeyedView::default();
    for (offset, key, value) in [(1, 1, Some(2)), (4, 0, Some(1))] {
        beginner.apply_newest(&record(offset, key, value));
    }
    assert_eq!(follower.digest(), beginner.digest());
    assert_eq!(follower.digest().keys, 2);
    beginner.apply(&record(5, 1, Some(4)));
    assert_ne!(follower.digest(), beginner.digest());
    beginner.apply(&record(6, 1, Some(2)));
    assert_eq!(follower.digest(), beginner.digest());
}

/// Guards against an instance that drops deletions and still answers those that have not seen them; other
/// instances send records in any order.
#[test]
fn a_view_that_has_dropped_deletions_tells_of_later_ones_only() {
    let mut view = KeyedView::default();
    for offset in (0..MANY_DELETIONS).rev() {
        view.apply_newest(&KeyedRecord {
            key: offset.to_string(),
            value: None,
            position: position(offset),
        });
    }
    view.advance(position(MANY_DELETIONS));
    let from = position(MANY_DELETIONS - 1);
    assert!(!view.covers(from) || view.since(from).len() == 1);
    assert!(view.covers(position(MANY_DELETIONS)));
}

/// Returns a position in an era of the store.
fn in_era(era: u64, offset: u64) -> LogPosition {
    LogPosition {
        era: StoreEra(era),
        offset: LogOffset(offset),
    }
}

/// View of values that are the counts of their writers.
fn counted_view() -> KeyedView {
    KeyedView::new(
        |_value| 0,
        |value| {
            Some(WriterStamp {
                started_unix_ms: 1,
                sequence: u64::from(*value.first()?),
            })
        },
    )
}

fn entry(position: LogPosition, value: Option<u8>) -> KeyedRecord {
    KeyedRecord {
        key: "k".to_owned(),
        value: value.map(|value| vec![value].into()),
        position,
    }
}

#[test]
fn a_record_after_a_drill_of_the_store_replaces_one_with_a_higher_offset() {
    let mut view = KeyedView::default();
    view.apply(&entry(in_era(0, 9), Some(1)));
    view.advance(in_era(0, 10));
    assert!(view.apply_newest(&entry(in_era(1, 4), Some(2))));
    view.advance(in_era(1, 5));
    assert_eq!(view.value("k"), Some(&vec![2].into()));
    assert!(!view.apply_newest(&entry(in_era(0, 11), Some(3))));
}

#[test]
fn a_copy_undoes_nothing_that_its_writer_has_said_later() {
    let mut view = counted_view();
    view.apply(&entry(in_era(0, 4), Some(5)));
    view.apply(&entry(in_era(0, 9), Some(7)));
    view.advance(in_era(0, 10));
    assert!(!view.apply_newest(&entry(in_era(1, 4), Some(5))));
    view.advance(in_era(1, 5));
    assert_eq!(view.value("k"), Some(&vec![7].into()));
    assert!(view.apply(&entry(in_era(1, 5), Some(8))));
    assert_eq!(view.value("k"), Some(&vec![8].into()));
}

#[test]
fn a_deleted_key_comes_back_from_a_copy_only_when_its_writer_goes_on() {
    let mut view = counted_view();
    view.apply(&entry(in_era(0, 4), Some(5)));
    view.apply(&entry(in_era(0, 9), None));
    view.advance(in_era(0, 10));
    assert!(!view.apply_newest(&entry(in_era(1, 4), Some(5))));
    view.advance(in_era(1, 5));
    assert_eq!(view.value("k"), None);
    assert!(view.apply(&entry(in_era(1, 5), Some(6))));
}

/// Another instance may know that the record of the copy is outdated.
#[test]
fn the_first_record_after_one_that_may_come_from_a_copy_counts_as_a_change() {
    let mut view = counted_view();
    view.apply_newest(&entry(in_era(1, 4), Some(5)));
    view.advance(in_era(1, 5));
    view.apply(&entry(in_era(1, 5), Some(6)));
    assert_eq!(view.since(in_era(1, 5)).len(), 1);
    view.apply(&entry(in_era(1, 6), Some(7)));
    assert_eq!(view.since(in_era(1, 6)).len(), 0);
}

#[test]
fn a_key_that_a_copy_lacks_is_deleted_until_its_writer_repeats_it() {
    let mut view = counted_view();
    view.apply(&entry(in_era(0, 9), Some(7)));
    view.advance(in_era(0, 10));
    let lost = view.deletions_for_lost_keys(in_era(1, 0));
    assert_eq!(lost, vec![entry(in_era(0, u64::MAX), None)]);
    assert!(view.apply_missing(&lost[0]));
    view.advance(in_era(1, 0));
    assert_eq!(view.value("k"), None);
    assert!(view.apply(&entry(in_era(1, 0), Some(7))));
}

#[test]
fn a_view_that_enters_an_era_tells_views_of_the_same_era_of_later_deletions_only() {
    let mut view = KeyedView::default();
    view.apply(&entry(in_era(0, 9), Some(1)));
    view.advance(in_era(0, 10));
    view.apply_newest(&entry(in_era(1, 4), Some(2)));
    view.advance(in_era(1, 5));
    assert!(view.covers(in_era(0, 10)));
    assert!(!view.covers(in_era(1, 3)));
    assert!(view.covers(in_era(1, 5)));
}

/// Review: a copy is read, its entry expires there, and what was lost is then written again in its order.
#[test]
fn a_deletion_in_a_later_era_does_not_let_what_came_before_it_return() {
    let mut view = counted_view();
    view.apply(&entry(in_era(0, 4), Some(5)));
    view.apply(&entry(in_era(0, 9), Some(7)));
    view.apply(&entry(in_era(0, 10), None));
    view.advance(in_era(0, 11));
    assert!(!view.apply_newest(&entry(in_era(1, 4), Some(5))));
    view.advance(in_era(1, 5));
    view.apply(&entry(in_era(1, 5), None));
    view.apply(&entry(in_era(1, 6), Some(6)));
    assert_eq!(view.value("k"), None);
}

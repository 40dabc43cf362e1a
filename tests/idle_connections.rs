//! Choice of the idle connection that is closed for a new one.

mod property;

use std::time::Duration;

use bulrushslip::decide::idle_connections::ConnectionTable;
use bulrushslip::kernel::Moment;

/// Generated inputs of the property.
const CASES: u64 = 2_000;

fn at(seconds: u64) -> Moment {
    Moment::START.after(Duration::from_secs(seconds))
}

#[test]
fn the_longest_idle_connection_is_taken_first() {
    let mut table = ConnectionTable::default();
    let first = table.open(at(0));
    let second = table.open(at(1));
    table.begin_request(first);
    table.end_request(at(2), first);
    assert_eq!(table.take_longest_idle(at(4)), Some(second));
    assert_eq!(table.take_longest_idle(at(5)), Some(first));
    assert_eq!(table.take_longest_idle(at(6)), None);
}

#[test]
fn a_flood_of_new_connections_closes_few_idle_ones() {
    let mut table = ConnectionTable::default();
    for _ in 0..100 {
        table.open(at(0));
    }
    let flood = (0..1_000).map(|ms| at(5).after(Duration::from_millis(ms)));
    let taken = flood.filter(|now| table.take_longest_idle(*now).is_some());
    assert_eq!(taken.count(), 50);
}

#[test]
fn a_connection_in_use_or_just_used_is_not_taken() {
    let mut table = ConnectionTable::default();
    let connection = table.open(at(0));
    table.begin_request(connection);
    assert_eq!(table.take_longest_idle(at(60)), None);
    table.end_request(at(60), connection);
    assert_eq!(table.take_longest_idle(at(60)), None);
    assert_eq!(table.take_longest_idle(at(62)), Some(connection));
}

#[test]
fn a_closed_connection_is_not_taken_and_late_reports_change_nothing() {
    let mut table = ConnectionTable::default();
    let closed = table.open(at(0));
    table.close(closed);
    table.end_request(at(1), closed);
    let open = table.open(at(2));
    table.close(closed);
    assert_eq!(table.take_longest_idle(at(9)), Some(open));
}

#[test]
fn in_any_order_of_reports_only_idle_connections_are_taken_longest_first() {
    property::check::<Vec<(u8, u8)>>(CASES, |steps| {
        let mut table = ConnectionTable::default();
        let mut open = Vec::new();
        for (now, (kind, index)) in (0..).map(at).zip(steps.iter().copied()) {
            let chosen = usize::from(index) % open.len().max(1);
            match (kind % 4, open.get_mut(chosen)) {
                (0, _) | (_, None) => open.push((table.open(now), Some(now))),
                (1, Some((key, idle_since))) => {
                    table.begin_request(*key);
                    *idle_since = None;
                }
                (2, Some((key, idle_since))) => {
                    table.end_request(now, *key);
                    *idle_since = Some(now);
                }
                (_, Some(_)) => {
                    let idle = open.iter().filter_map(|(_, idle_since)| *idle_since);
                    let longest = idle.min().filter(|since| *since < now);
                    let taken = table.take_longest_idle(now);
                    let position = open.iter().position(|(key, _)| Some(*key) == taken);
                    let since = position.and_then(|position| open.remove(position).1);
                    assert_eq!(since, longest);
                }
            }
        }
    });
}

//! Deadlines of versions, and the signal that cancels a request.

use std::time::Duration;

use bulrushslip::decide::version_deadlines::VersionDeadlines;
use bulrushslip::gateway::cancellation::{CancelSignal, cancellation};
use bulrushslip::kernel::Moment;
use futures::FutureExt;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

#[test]
fn the_earliest_report_of_a_deadline_applies() {
    let mut deadlines = VersionDeadlines::default();
    assert!(deadlines.record(2, at(8_000)));
    assert!(!deadlines.record(2, at(9_000)));
    assert!(deadlines.record(2, at(7_000)));
    assert_eq!(deadlines.start_deadline(1), Some(at(7_000)));
    assert_eq!(deadlines.start_deadline(2), None);
}

#[test]
fn an_older_version_that_is_reported_later_keeps_its_own_deadline() {
    let mut deadlines = VersionDeadlines::default();
    deadlines.record(3, at(9_000));
    deadlines.record(2, at(5_000));
    assert_eq!(deadlines.start_deadline(1), Some(at(5_000)));
    assert_eq!(deadlines.start_deadline(2), Some(at(9_000)));
    assert_eq!(deadlines.oldest_allowed(at(5_000)), 2);
    assert_eq!(deadlines.oldest_allowed(at(9_000)), 3);
}

#[test]
fn sends_end_before_cancellations_and_these_before_the_deadline() {
    let mut deadlines = VersionDeadlines::default();
    deadlines.record(2, at(8_000));
    let cancel_at = deadlines.cancel_at(1).expect("a newer version");
    assert!(cancel_at < at(8_000));
    assert_eq!(deadlines.oldest_allowed(cancel_at), 2);
    assert_eq!(deadlines.oldest_allowed(at(0)), 0);
}

#[test]
fn an_assumed_deadline_applies_here_and_is_not_reported() {
    let mut deadlines = VersionDeadlines::default();
    assert!(deadlines.assume(2, at(3_000)));
    assert_eq!(deadlines.observed().count(), 0);
    assert!(!deadlines.record(2, at(8_000)));
    assert_eq!(deadlines.start_deadline(1), Some(at(3_000)));
    assert_eq!(deadlines.observed().next(), Some((2, at(8_000))));
}

#[test]
fn a_full_table_takes_no_older_version() {
    let mut deadlines = VersionDeadlines::default();
    for version in 2..100 {
        deadlines.record(version, at(version));
    }
    let oldest = deadlines.observed().next().expect("a version").0;
    assert!(!deadlines.record(oldest - 1, at(1)));
    assert_eq!(deadlines.newest(), 99);
}

/// A signal whose sender had been dropped was once polled again after its end, which panics.
#[test]
fn a_signal_without_a_sender_never_cancels() {
    let (sender, mut signal) = cancellation();
    assert!(!signal.is_due());
    drop(sender);
    assert!(!signal.is_due());
    assert_eq!(signal.received().now_or_never(), None);
    assert_eq!(signal.received().now_or_never(), None);
}

#[test]
fn a_signal_that_was_sent_is_due_once() {
    let (sender, mut signal) = cancellation();
    sender.send();
    assert!(signal.is_due());
    assert!(!signal.is_due());
    let (sender, mut signal) = cancellation();
    sender.send();
    assert_eq!(signal.received().now_or_never(), Some(()));
    assert_eq!(CancelSignal::never().received().now_or_never(), None);
}

//! Which engine crashes an entry names for a request, given the engine that each reply states.

use bulrushslip::decide::ids::{EngineEpoch, Incarnation, Ticket};
use bulrushslip::decide::outcome::StreamEnd;
use bulrushslip::decide::request_step::RequestEvent;
use bulrushslip::decide::seen_crashes::SeenCrashes;
use bulrushslip::decide::suspects::{CrashId, Fingerprint};

/// Call of an entry.
#[derive(Debug, Clone, Copy)]
enum EntryCall {
    Submit,
    Read,
}

use EntryCall::{Read, Submit};

const fn ticket(sequence: u64) -> Ticket {
    let entry = Incarnation(1);
    Ticket { entry, sequence }
}

/// Returns the crash of an engine; epoch 0 stands for an unknown one.
fn crash(epoch: u64) -> Option<CrashId> {
    let epoch = EngineEpoch(epoch);
    let sidecar = Incarnation(7);
    (epoch != EngineEpoch::default()).then_some(CrashId { sidecar, epoch })
}

const fn items(from_index: u64, count: u64, end: Option<StreamEnd>) -> RequestEvent {
    RequestEvent::Items {
        from_index,
        count,
        end,
    }
}

/// Event of a loss before the first item.
const LOSS: RequestEvent = items(0, 0, Some(StreamEnd::EngineLost));

/// Returns the crashes after calls for one ticket, each with its result and the stated epoch.
fn named(calls: &[(EntryCall, RequestEvent, u64)]) -> Vec<Option<CrashId>> {
    let mut crashes = SeenCrashes::default();
    for (call, event, epoch) in calls {
        match call {
            Submit => crashes.record_submission(ticket(1), event, crash(*epoch)),
            Read => crashes.record_read(ticket(1), event, crash(*epoch)),
        }
    }
    let updates = crashes.updates(Fingerprint(1));
    updates.iter().map(|update| update.seen_in).collect()
}

const ACCEPTED: RequestEvent = RequestEvent::Accepted;

#[test]
fn the_engine_that_accepted_and_lost_the_ticket_is_named() {
    for end in [StreamEnd::EngineLost, StreamEnd::Uncertain] {
        let loss = items(0, 0, Some(end));
        let calls = [(Submit, ACCEPTED, 3), (Read, loss, 3)];
        assert_eq!(named(&calls), [crash(3)], "{end:?}");
    }
}

#[test]
fn the_engine_that_sent_the_first_item_is_named() {
    let first = items(0, 1, None);
    let loss = items(1, 0, Some(StreamEnd::EngineLost));
    let calls = [(Submit, ACCEPTED, 3), (Read, first, 4), (Read, loss, 4)];
    assert_eq!(named(&calls), [crash(4)]);
}

#[test]
fn no_crash_is_named_if_the_engine_that_ran_the_ticket_is_uncertain() {
    let empty = items(0, 0, None);
    let first = items(0, 1, None);
    let more = items(1, 1, None);
    let late_loss = items(2, 0, Some(StreamEnd::EngineLost));
    let cases: [&[(EntryCall, RequestEvent, u64)]; 6] = [
        &[(Submit, ACCEPTED, 3), (Read, LOSS, 4)],
        &[(Submit, ACCEPTED, 3), (Read, LOSS, 0)],
        &[(Submit, ACCEPTED, 3), (Read, empty, 4), (Read, LOSS, 4)],
        &[
            (Submit, ACCEPTED, 3),
            (Read, first, 3),
            (Read, more, 4),
            (Read, late_loss, 4),
        ],
        // The first submission arrived, and the engine restarted before the second one.
        &[
            (Submit, RequestEvent::Lost, 0),
            (Submit, ACCEPTED, 4),
            (Read, LOSS, 4),
        ],
        &[
            (Submit, ACCEPTED, 3),
            (Read, RequestEvent::Lost, 0),
            (Read, first, 4),
            (Read, items(1, 0, Some(StreamEnd::EngineLost)), 4),
        ],
    ];
    for calls in cases {
        assert_eq!(named(calls), [], "{calls:?}");
    }
}

#[test]
fn ends_without_a_loss_name_no_crash() {
    for end in [StreamEnd::Complete, StreamEnd::Cancelled] {
        let calls = [(Submit, ACCEPTED, 3), (Read, items(0, 1, Some(end)), 3)];
        assert_eq!(named(&calls), [], "{end:?}");
    }
}

#[test]
fn the_engine_of_one_ticket_says_nothing_about_the_next() {
    let mut crashes = SeenCrashes::default();
    crashes.record_submission(ticket(1), &ACCEPTED, crash(3));
    crashes.record_read(ticket(2), &LOSS, crash(3));
    assert_eq!(crashes.updates(Fingerprint(1)), []);
}

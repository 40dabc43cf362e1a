//! What follows a send that brought no success, against a naive account of what may have run.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::route_table::RouteKind;
use bulrushslip::decide::send_step::{MAX_OFFERS, NextSend, SendEnd, SendHistory};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct Story {
    kind: u8,
    max_attempts: u8,
    ends: Vec<u8>,
}

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::ResumableStream,
    RouteKind::OnceStream,
];

const ENDS: [SendEnd; 4] = [
    SendEnd::NotArrived,
    SendEnd::NotRun,
    SendEnd::MayHaveRun,
    SendEnd::Failed,
];

#[test]
fn a_request_is_told_not_run_only_if_no_send_may_have_run_it() {
    property::check(CASES, |story: &Story| {
        let kind = KINDS[usize::from(story.kind) % KINDS.len()];
        let max_attempts = u32::from(story.max_attempts % 4) + 1;
        let mut history = SendHistory::default();
        let mut runs = 0;
        for (index, end) in (0_u32..).zip(&story.ends) {
            let end = ENDS[usize::from(*end) % ENDS.len()];
            runs += u32::from(matches!(end, SendEnd::MayHaveRun | SendEnd::Failed));
            history.note(end);
            match history.next(end, kind, max_attempts) {
                NextSend::Again => {
                    assert!(runs == 0 || kind.is_repeatable(), "{kind:?} runs again");
                    assert!(runs < max_attempts);
                    assert!(index + 1 < MAX_OFFERS);
                }
                NextSend::RefuseNotRun => return assert_eq!(runs, 0),
                NextSend::FailUnknown | NextSend::HandOn => return assert!(runs > 0),
            }
        }
    });
}

//! Compares retry decisions with a plain count of the attempts that may have run the request.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::route_table::RouteKind;
use bulrushslip::decide::send_step::{MAX_OFFERS, NextSend, SendEnd, SendHistory};

/// Generated inputs per property.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct Scenario {
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
fn not_run_is_reported_only_if_no_attempt_may_have_run() {
    property::check(CASES, |scenario: &Scenario| {
        let kind = KINDS[usize::from(scenario.kind) % KINDS.len()];
        let max_attempts = u32::from(scenario.max_attempts % 4) + 1;
        let mut history = SendHistory::default();
        let mut runs = 0;
        for (index, end) in (0_u32..).zip(&scenario.ends) {
            let end = ENDS[usize::from(*end) % ENDS.len()];
            runs += u32::from(matches!(end, SendEnd::MayHaveRun | SendEnd::Failed));
            history.note(end);
            match history.next(end, kind, max_attempts) {
                NextSend::Again => {
                    assert!(runs == 0 || kind.is_repeatable(), "{kind:?} is repeated");
                    assert!(runs < max_attempts);
                    assert!(index + 1 < MAX_OFFERS);
                }
                NextSend::RefuseNotRun => return assert_eq!(runs, 0),
                NextSend::FailUnknown | NextSend::HandOn => return assert!(runs > 0),
            }
        }
    });
}

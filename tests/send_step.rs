//! Compares retry decisions with a plain count of the attempts that may have run the request.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::route_table::RouteKind;
use bulrushslip::decide::send_step::{AttemptOutcome, MAX_SENDS, RetryDecision, SendHistory};

/// Generated inputs per property.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct Scenario {
    kind: u8,
    max_attempts: u8,
    outcomes: Vec<u8>,
}

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::ResumableStream,
    RouteKind::OnceStream,
];

const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::NotArrived,
    AttemptOutcome::NotRun,
    AttemptOutcome::MayHaveRun,
    AttemptOutcome::Failed,
];

#[test]
fn not_run_is_reported_only_if_no_attempt_may_have_run() {
    property::check(CASES, |scenario: &Scenario| {
        let kind = KINDS[usize::from(scenario.kind) % KINDS.len()];
        let max_attempts = u32::from(scenario.max_attempts % 4) + 1;
        let mut history = SendHistory::default();
        let mut runs = 0;
        for (index, outcome) in (0_u32..).zip(&scenario.outcomes) {
            let outcome = OUTCOMES[usize::from(*outcome) % OUTCOMES.len()];
            runs += u32::from(matches!(
                outcome,
                AttemptOutcome::MayHaveRun | AttemptOutcome::Failed
            ));
            history.record(outcome);
            match history.next(outcome, kind, max_attempts) {
                RetryDecision::Retry => {
                    assert!(runs == 0 || kind.is_repeatable(), "{kind:?} is repeated");
                    assert!(runs < max_attempts);
                    assert!(index + 1 < MAX_SENDS);
                }
                RetryDecision::RefuseNotRun => return assert_eq!(runs, 0),
                RetryDecision::FailUnknown | RetryDecision::Forward => return assert!(runs > 0),
            }
        }
    });
}

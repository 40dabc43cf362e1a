//! Generated requests, prompts and statistics of the load program.

use std::time::Duration;

use bulrushslip::decide::ids::Rank;
use bulrushslip::decide::prefix::prefix_keys;
use bulrushslip::kernel::Moment;
use bulrushslip::load::prompts::PromptBuilder;
use bulrushslip::load::report::{GroupKey, RunReport};
use bulrushslip::load::sample::{CustomerClass, RequestSample, SampleOutcome};
use bulrushslip::load::workload::{LoadPhase, PlannedRequest, PrefixLengths, WorkloadSpec};
use bulrushslip::wire::openai::{ApiKind, CallerRequest};

const SPEC: WorkloadSpec = WorkloadSpec {
    seed: 1,
    rate: 50,
    seconds: 100,
    urgent_percent: 30,
    flood_factor: 4,
    without_large: false,
};

fn prompt_builder() -> PromptBuilder {
    PromptBuilder {
        model: "model".to_owned(),
        piece_bytes: 128,
        prefix_lengths: PrefixLengths {
            preamble: 2,
            site: 3,
            unit: 2,
        },
    }
}

#[test]
fn prompts_share_the_pieces_of_their_common_levels() {
    let base = SPEC.plan()[0];
    let keys = |request: PlannedRequest| {
        let body = prompt_builder().body(&request);
        let parsed =
            CallerRequest::parse(ApiKind::Chat, body.as_bytes()).expect("the body is valid");
        prefix_keys("customer", "model", "v1", &parsed.prompt, 128)
    };
    let base_keys = keys(base);
    assert_eq!(base_keys.len(), 7);
    let shared = |request| {
        let other = keys(request);
        base_keys
            .iter()
            .zip(&other)
            .take_while(|(a, b)| a == b)
            .count()
    };
    let other_question = PlannedRequest {
        question: 1,
        ..base
    };
    let other_unit = PlannedRequest {
        unit: base.unit + 1,
        ..base
    };
    let other_site = PlannedRequest {
        site: base.site + 1,
        ..base
    };
    assert_eq!(
        [other_question, other_unit, other_site].map(shared),
        [7, 5, 2]
    );
}

#[test]
fn generated_requests_match_seed_rate_customer_shares_and_floods() {
    let plan = SPEC.plan();
    assert_eq!(plan, SPEC.plan());
    assert_ne!(plan, WorkloadSpec { seed: 2, ..SPEC }.plan());
    let count = |rank, phase| {
        let matches = |r: &&PlannedRequest| r.rank == rank && r.phase == phase;
        plan.iter().filter(matches).count()
    };
    // The urgent and routine rates are 15/s and 35/s for 70 s, and four times as high in a flood
    // of 15 s for each rank.
    assert!((945..=1_155).contains(&count(Rank::Urgent, LoadPhase::Steady)));
    assert!((2_200..=2_700).contains(&count(Rank::Routine, LoadPhase::Steady)));
    assert!((800..=1_000).contains(&count(Rank::Urgent, LoadPhase::UrgentFlood)));
    assert!((1_900..=2_300).contains(&count(Rank::Routine, LoadPhase::RoutineFlood)));
    let large = |r: &&PlannedRequest| CustomerClass::of(r.customer) == CustomerClass::Large;
    let percent = plan.iter().filter(large).count() * 100 / plan.len();
    assert!((62..=68).contains(&percent), "{percent}");
    let without_large = WorkloadSpec {
        without_large: true,
        ..SPEC
    }
    .plan();
    let small: Vec<_> = plan.iter().filter(|r| !large(r)).copied().collect();
    assert_eq!(small, without_large);
}

#[test]
fn a_request_without_complete_response_counts_with_its_deadline_at_least() {
    let mut report = RunReport::new(&["one".to_owned()], [2_000_000, 2_000_000]);
    let request = PlannedRequest {
        rank: Rank::Urgent,
        ..SPEC.plan()[0]
    };
    let due = Moment::from_micros(5);
    let mut sample = RequestSample::new(0, &request, due);
    sample.first_token = Some(due.after(Duration::from_millis(10)));
    sample.outcome = SampleOutcome::Complete;
    report.record(&sample);
    sample.outcome = SampleOutcome::Refused("503 busy".to_owned());
    report.record(&sample);
    let key = GroupKey {
        rank: Rank::Urgent,
        class: None,
        phase: None,
    };
    let stats = report.targets[0]
        .group(key)
        .expect("the report has the group");
    assert_eq!((stats.sent, stats.in_time, stats.refusals()), (2, 1, 1));
    assert_eq!(stats.first_token.max() / 1_000, 10);
    assert!(stats.first_token_or_loss.max() >= 2_000_000);
}

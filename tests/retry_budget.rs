//! The retry budget: its limits under any order of calls, and in the service `tickets`.

mod property;

use bulrushslip::decide::ids::Incarnation;
use bulrushslip::decide::request_step::SubmitCause;
use bulrushslip::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
use bulrushslip::kernel::{Moment, ReplyTo, Signal, SteppedKernel};
use bulrushslip::services::caller_side::tickets::tickets_service;
use bulrushslip::services::common::mail::{Mail, MintOutcome, TicketsMail};

/// Number of generated inputs of each property.
const CASES: u64 = 2_000;

#[test]
fn retries_stay_within_their_share_of_new_requests_in_any_order() {
    property::check::<(u8, u8, Vec<bool>)>(CASES, |(share, burst, calls)| {
        let policy = RetryPolicy {
            max_per_request: 3,
            share_percent: u32::from(*share % 101),
            burst: u32::from(*burst % 20),
        };
        let mut budget = RetryBudget::new(policy);
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_new_request in calls {
            if *is_new_request {
                requests += 1;
                budget.record_new_request();
            } else if budget.try_retry(0) == RetryStep::Retry {
                retries += 1;
            }
            let bound = u64::from(policy.burst) * 100 + requests * u64::from(policy.share_percent);
            assert!(retries * 100 <= bound);
        }
    });
}

#[test]
fn retries_stay_within_their_share_while_half_of_the_attempts_fail() {
    const REQUESTS: u32 = 10_000;
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(policy);
    let (mut retries, mut unbounded) = (0, 0);
    for request in 0..REQUESTS {
        budget.record_new_request();
        // Each attempt fails with probability 1/2, independently of earlier attempts.
        let failures = (request.wrapping_mul(2_654_435_761) | 1 << 31).trailing_zeros();
        unbounded += failures.min(policy.max_per_request);
        for attempt in 0..failures {
            match budget.try_retry(attempt) {
                RetryStep::Retry => retries += 1,
                RetryStep::RequestExhausted | RetryStep::BudgetExhausted => break,
            }
        }
    }
    println!("requests {REQUESTS}, retries {retries}, without a budget {unbounded}");
    assert!(retries <= REQUESTS * policy.share_percent / 100 + policy.burst);
    assert!(unbounded > REQUESTS * 3 / 4);
}

#[test]
fn one_request_gets_a_limited_number_of_retries() {
    let mut budget = RetryBudget::new(RetryPolicy::default());
    assert_eq!(budget.try_retry(2), RetryStep::Retry);
    assert_eq!(budget.try_retry(3), RetryStep::RequestExhausted);
}

#[test]
fn the_tickets_service_charges_retries_but_neither_new_requests_nor_spills() {
    let policy = RetryPolicy {
        max_per_request: 2,
        share_percent: 50,
        burst: 1,
    };
    let mut kernel = SteppedKernel::new(1);
    let tickets = kernel.add(tickets_service(Incarnation(1), policy));
    let mut mint = |cause| {
        let (reply_to, mut reply) = ReplyTo::channel();
        let mail = Mail::Tickets(TicketsMail::Mint(cause, reply_to));
        kernel.post(tickets, Signal::Mail(mail));
        kernel.run_until(Moment::START);
        matches!(reply.try_recv(), Ok(MintOutcome::Minted(_)))
    };
    assert!(mint(SubmitCause::Spill) && mint(SubmitCause::Retry(0)));
    assert!(!mint(SubmitCause::Retry(0)));
    assert!(mint(SubmitCause::First) && mint(SubmitCause::First) && mint(SubmitCause::Spill));
    assert!(!mint(SubmitCause::Retry(2)));
    assert!(mint(SubmitCause::Retry(1)));
}

//! Retries of requests that were running in an engine crash, before any update from the sidecar of
//! that engine has arrived: the ledger service on the stepped kernel.

mod ledger_harness;

use bulrushslip::decide::outcome::{RefusalReason, StreamEnd};
use bulrushslip::services::common::mail::LedgerMail;
use bulrushslip::wire::rpc::{ReadCall, SubmitCall, SubmitReply, SubmitVerdict};
use bulrushslip::wire::suspect_rpc::WireCrash;
use ledger_harness::{EPOCH, INCARNATION, Sidecar, submit_call, ticket};

/// Crash of another sidecar's engine.
const OTHER_CRASH: WireCrash = WireCrash {
    sidecar: 99,
    epoch: 1,
};

/// Returns a submission of a request that was running in the crash.
fn retry_call(sequence: u64) -> SubmitCall {
    SubmitCall {
        seen_in: vec![OTHER_CRASH],
        ..submit_call(sequence, true)
    }
}

fn submit(sidecar: &mut Sidecar, call: SubmitCall) -> SubmitReply {
    sidecar.ask(|reply_to| LedgerMail::Submit(call, reply_to))
}

#[test]
fn requests_that_were_in_one_crash_are_retried_one_at_a_time() {
    let mut sidecar = Sidecar::start();
    for sequence in [1, 2] {
        let reply = submit(&mut sidecar, retry_call(sequence));
        assert!(matches!(reply.verdict, SubmitVerdict::Accepted));
    }
    let first = sidecar.started.try_recv().expect("the engine is idle");
    assert!(sidecar.started.try_recv().is_err(), "both run together");
    sidecar.post(LedgerMail::ResponseEnded(first, StreamEnd::Complete));
    sidecar.started.try_recv().expect("the engine is idle");
}

#[test]
fn a_request_that_was_in_two_crashes_is_refused() {
    let mut sidecar = Sidecar::start();
    submit(&mut sidecar, retry_call(1));
    let started = sidecar.started.try_recv().expect("the engine is idle");
    sidecar.post(LedgerMail::ResponseEnded(started, StreamEnd::EngineLost));
    let again = SubmitCall {
        fingerprint: 1,
        ..submit_call(2, true)
    };
    let SubmitVerdict::NotRun { reason, .. } = submit(&mut sidecar, again).verdict else {
        panic!("accepted after two crashes");
    };
    let reason = RefusalReason::try_from(reason);
    assert_eq!(reason, Ok(RefusalReason::Poisonous));
}

#[test]
fn the_end_of_a_lost_response_names_the_crash() {
    let mut sidecar = Sidecar::start();
    let key = sidecar.submit(1, true);
    sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::EngineLost));
    let call = ReadCall {
        ticket: ticket(1).into(),
        incarnation: INCARNATION.0,
        from_index: 0,
        wait_us: 0,
    };
    let reply = sidecar.ask(|reply_to| LedgerMail::Read(call, reply_to));
    let crash = reply.crash.map(|crash| (crash.sidecar, crash.epoch));
    assert_eq!(crash, Some((INCARNATION.0, EPOCH.0)));
}

//! Retries of requests that were running in an engine crash, after the entry has
//! reported the crash: the ledger service on the stepped kernel.

mod ledger_harness;

use std::time::Duration;

use bulrushslip::decide::ids::{EngineEpoch, Incarnation};
use bulrushslip::decide::outcome::{RefusalReason, StreamEnd};
use bulrushslip::decide::suspect_guard::SuspectUpdate;
use bulrushslip::decide::suspects::{CrashId, Fingerprint};
use bulrushslip::kernel::Moment;
use bulrushslip::services::common::mail::{EngineStatus, LedgerMail};
use bulrushslip::wire::rpc::{ReadCall, ReadReply, ReadVerdict, SubmitReply, SubmitVerdict};
use bulrushslip::wire::rpc::{SubmitCall, WireStreamEnd};
use ledger_harness::{EPOCH, INCARNATION, MAX_ANSWER_BYTES, Sidecar, submit_call, ticket};

/// Crash of another sidecar's engine.
const OTHER_CRASH: CrashId = CrashId {
    sidecar: Incarnation(99),
    epoch: EngineEpoch(1),
};

fn submit(sidecar: &mut Sidecar, call: SubmitCall) -> SubmitReply {
    sidecar.ask(|reply_to| LedgerMail::Submit(call, reply_to))
}

/// Submits a request after its entry has reported that it was running in the other crash.
fn retry(sidecar: &mut Sidecar, sequence: u64) -> SubmitReply {
    let call = submit_call(sequence, true);
    let updates = vec![SuspectUpdate {
        fingerprint: Fingerprint(call.fingerprint),
        seen_in: Some(OTHER_CRASH),
        cleared_of: Vec::new(),
    }];
    sidecar.ask(|reply_to| LedgerMail::Suspects(updates, reply_to));
    submit(sidecar, call)
}

/// Reads the first ticket from the start.
fn read(sidecar: &mut Sidecar) -> ReadReply {
    let call = ReadCall {
        ticket: ticket(1).into(),
        incarnation: INCARNATION.0,
        from_index: 0,
        wait_us: 0,
    };
    sidecar.ask(|reply_to| LedgerMail::Read(call, reply_to))
}

#[test]
fn requests_that_were_in_one_crash_are_retried_one_at_a_time() {
    let mut sidecar = Sidecar::start();
    for sequence in [1, 2] {
        let reply = retry(&mut sidecar, sequence);
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
    retry(&mut sidecar, 1);
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
    let version = String::new();
    let epoch = EngineEpoch(EPOCH.0 + 1);
    let restarted = EngineStatus::Up { epoch, version };
    for status in [None, Some(EngineStatus::Down), Some(restarted)] {
        let mut sidecar = Sidecar::start();
        let key = sidecar.submit(1, true);
        if let Some(status) = status.clone() {
            sidecar.post(LedgerMail::EngineStatus(status));
        }
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::EngineLost));
        let named = read(&mut sidecar).head.crash();
        let expected = CrashId {
            sidecar: INCARNATION,
            epoch: EPOCH,
        };
        assert_eq!(named, Some(expected), "{status:?}");
        let issued = sidecar.updates.try_recv().expect("an update");
        assert_eq!(issued[0].seen_in, named, "{status:?}");
    }
}

#[test]
fn the_end_of_a_response_that_is_too_large_names_no_crash() {
    let mut sidecar = Sidecar::start();
    let key = sidecar.submit(1, true);
    sidecar.send_data(key, MAX_ANSWER_BYTES + 1);
    let reply = read(&mut sidecar);
    let ReadVerdict::Items { end, .. } = reply.verdict else {
        panic!("unknown ticket");
    };
    assert!(matches!(end, Some(WireStreamEnd::EngineLost)), "{end:?}");
    assert_eq!(reply.head.crash(), None);
    assert!(sidecar.updates.try_recv().is_err(), "reported as a crash");
}

/// Sends a request that no other is like, but for the pieces of its prompt that have these keys.
fn send_prompt(sidecar: &mut Sidecar, sequence: u64, prefix_keys: &[u64]) -> SubmitReply {
    let mut call = submit_call(sequence, true);
    call.prefix_keys = prefix_keys.to_vec();
    call.prefix_keys.push(1_000 + sequence);
    submit(sidecar, call)
}

/// Crashes the engine with requests that share their first two pieces, the first one also with
/// requests that are answered.
fn crash_by_segment(sidecar: &mut Sidecar) {
    for number in 1..=3 {
        for (sequence, keys, end) in [
            (number * 2, &[51, 52][..], StreamEnd::EngineLost),
            (number * 2 + 1, &[51][..], StreamEnd::Complete),
        ] {
            sidecar
                .kernel
                .run_until(Moment::START.after(Duration::from_secs(number * 10 + sequence % 2)));
            let reply = send_prompt(sidecar, sequence, keys);
            assert!(matches!(reply.verdict, SubmitVerdict::Accepted));
            let started = sidecar.started.try_recv().expect("a free slot");
            sidecar.post(LedgerMail::ResponseEnded(started, end));
            sidecar.post(LedgerMail::EngineStatus(EngineStatus::Up {
                epoch: EngineEpoch(EPOCH.0 + number),
                version: String::new(),
            }));
        }
    }
}

fn is_poisonous(reply: &SubmitReply) -> bool {
    let SubmitVerdict::NotRun { reason, .. } = reply.verdict else {
        return false;
    };
    RefusalReason::try_from(reason) == Ok(RefusalReason::Poisonous)
}

/// Guards against suspects that are known only as whole requests.
#[test]
fn a_prompt_segment_that_was_in_three_crashes_is_refused_at_all_sidecars() {
    let mut sidecar = Sidecar::start();
    crash_by_segment(&mut sidecar);
    let mut other = Sidecar::start();
    for updates in sidecar.updates.try_iter().collect::<Vec<_>>() {
        other.ask(|reply_to| LedgerMail::Suspects(updates, reply_to));
        let later = other.kernel.now().after(Duration::from_secs(5));
        other.kernel.run_until(later);
    }
    for sidecar in [&mut sidecar, &mut other] {
        assert!(is_poisonous(&send_prompt(sidecar, 20, &[51, 52])));
        let sound = send_prompt(sidecar, 21, &[51, 53]);
        assert!(matches!(sound.verdict, SubmitVerdict::Accepted));
    }
}

//! What a sidecar concludes from polls of its engine, and its readiness: the ledger service on the
//! stepped kernel.

mod ledger_harness;

use std::sync::Arc;
use std::time::Duration;

use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::services::common::mail::{EngineStatus, LedgerMail};
use bulrushslip::wire::rpc::SubmitVerdict;
use ledger_harness::{EPOCH, Sidecar, configuration, submit_call};

/// Time that a poll waits for its reply.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Lets a poll pass without a reply, with response data in its second half if `has_data` is set,
/// and returns the status of the engine after it.
fn poll_without_reply(sidecar: &mut Sidecar, has_data: bool) -> EngineStatus {
    let key = sidecar.submit(1, false);
    let polled_at = sidecar.kernel.now().after(POLL_TIME);
    sidecar.send_data(key, 10);
    sidecar.kernel.run_until(polled_at.after(POLL_TIME / 2));
    if has_data {
        sidecar.send_data(key, 10);
    }
    sidecar.kernel.run_until(polled_at.after(POLL_TIME));
    sidecar.ask(|reply_to| LedgerMail::EngineSilent(polled_at, reply_to))
}

fn submit(sidecar: &mut Sidecar) -> SubmitVerdict {
    let call = submit_call(2, false);
    let reply = sidecar.ask(|reply_to| LedgerMail::Submit(call, reply_to));
    reply.verdict
}

#[test]
fn an_engine_that_streams_is_up_although_it_does_not_reply_to_a_poll() {
    let mut sidecar = Sidecar::start();
    let status = poll_without_reply(&mut sidecar, true);
    assert_eq!(status.epoch(), Some(EPOCH));
    assert!(matches!(submit(&mut sidecar), SubmitVerdict::Accepted));
}

#[test]
fn an_engine_that_is_silent_on_all_connections_is_down() {
    let mut sidecar = Sidecar::start();
    let status = poll_without_reply(&mut sidecar, false);
    assert_eq!(status, EngineStatus::Down);
    let SubmitVerdict::NotRun { reason, .. } = submit(&mut sidecar) else {
        panic!("accepted for an engine that is down");
    };
    let reason = RefusalReason::try_from(reason);
    assert_eq!(reason, Ok(RefusalReason::EngineDown));
}

#[test]
fn a_sidecar_is_ready_while_it_accepts_requests_for_the_declared_version() {
    let mut sidecar = Sidecar::start();
    let readiness = |sidecar: &mut Sidecar| sidecar.ask(LedgerMail::Readiness);
    assert_eq!(readiness(&mut sidecar), None);
    sidecar.post(LedgerMail::EngineStatus(EngineStatus::Down));
    assert_eq!(readiness(&mut sidecar), Some(RefusalReason::EngineDown));
    sidecar.post(LedgerMail::EngineStatus(EngineStatus::Up {
        epoch: EPOCH,
        version: "v2".to_owned(),
    }));
    assert_eq!(readiness(&mut sidecar), Some(RefusalReason::WrongVersion));
    let mut undeclared = configuration();
    undeclared.upstreams = bulrushslip::kernel::Arena::new();
    undeclared.next_offset = LogOffset(2);
    sidecar.post(LedgerMail::Configured(Arc::new(undeclared)));
    let unready = readiness(&mut sidecar);
    assert_eq!(unready, Some(RefusalReason::NoConfiguration));
    let mut declared = configuration();
    declared.next_offset = LogOffset(3);
    sidecar.post(LedgerMail::Configured(Arc::new(declared)));
    sidecar.post(LedgerMail::Leaving);
    assert_eq!(readiness(&mut sidecar), Some(RefusalReason::Leaving));
}

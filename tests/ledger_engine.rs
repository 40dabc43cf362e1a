//! What a sidecar concludes from polls that its engine does not reply to: the ledger service on the
//! stepped kernel.

mod ledger_harness;

use std::time::Duration;

use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::services::common::mail::{EngineStatus, LedgerMail};
use bulrushslip::wire::rpc::SubmitVerdict;
use ledger_harness::{EPOCH, Sidecar, submit_call};

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

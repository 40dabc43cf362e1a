//! Upstreams that say of themselves that they leave or want no requests, at the ledger of a sidecar.

mod ledger_harness;

use std::time::Duration;

use bulrushslip::decide::ids::EngineEpoch;
use bulrushslip::decide::member_notice::UpstreamNotice;
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::services::common::mail::{EngineStatus, LedgerMail};
use bulrushslip::wire::rpc::{ReadVerdict, SubmitVerdict, WireStreamEnd};
use ledger_harness::{EPOCH, SLOTS, Sidecar, submit_call};

const LEAVING: UpstreamNotice = UpstreamNotice {
    is_leaving: true,
    pause: None,
};

const PAUSE: UpstreamNotice = UpstreamNotice {
    is_leaving: false,
    pause: Some(Duration::from_secs(2)),
};

/// Submits a request; returns why it is refused, if it is.
fn submit(sidecar: &mut Sidecar, sequence: u64) -> Option<RefusalReason> {
    let call = submit_call(sequence, true);
    let reply = sidecar.ask(|reply_to| LedgerMail::Submit(call, reply_to));
    match reply.verdict {
        SubmitVerdict::NotRun { reason, .. } => RefusalReason::try_from(reason).ok(),
        SubmitVerdict::Accepted => None,
    }
}

fn report(sidecar: &mut Sidecar, status: EngineStatus) {
    sidecar.post(LedgerMail::EngineStatus(status));
}

fn up(epoch: EngineEpoch) -> EngineStatus {
    EngineStatus::Up {
        epoch,
        version: String::new(),
    }
}

#[test]
fn a_leaving_upstream_gets_no_requests_until_its_next_run() {
    let mut sidecar = Sidecar::start();
    sidecar.post(LedgerMail::EngineNotice(LEAVING));
    assert_eq!(submit(&mut sidecar, 1), Some(RefusalReason::Leaving));
    report(&mut sidecar, up(EPOCH));
    assert_eq!(submit(&mut sidecar, 2), Some(RefusalReason::Leaving));
    report(&mut sidecar, up(EngineEpoch(EPOCH.0 + 1)));
    assert_eq!(submit(&mut sidecar, 3), None);
}

#[test]
fn a_leaving_plain_service_gets_requests_again_after_it_was_down() {
    let mut sidecar = Sidecar::start();
    sidecar.post(LedgerMail::EngineNotice(LEAVING));
    report(&mut sidecar, EngineStatus::Down);
    report(&mut sidecar, up(EPOCH));
    assert_eq!(submit(&mut sidecar, 1), None);
}

/// Guards against a notice that is taken for one of an earlier run, because it came while the upstream
/// answered no polls.
#[test]
fn a_notice_that_comes_while_polls_are_silent_holds_for_the_run() {
    let mut sidecar = Sidecar::start();
    let polled_at = sidecar.kernel.now().after(Duration::from_secs(1));
    sidecar.kernel.run_until(polled_at);
    let in_force = sidecar.ask(|reply_to| LedgerMail::EngineSilent(polled_at, reply_to));
    assert_eq!(in_force, EngineStatus::Down);
    sidecar.post(LedgerMail::EngineNotice(LEAVING));
    report(&mut sidecar, up(EPOCH));
    assert_eq!(submit(&mut sidecar, 1), Some(RefusalReason::Leaving));
    report(&mut sidecar, up(EngineEpoch(EPOCH.0 + 1)));
    assert_eq!(submit(&mut sidecar, 2), None);
}

#[test]
fn a_paused_upstream_gets_no_requests_until_the_pause_ends() {
    let mut sidecar = Sidecar::start();
    sidecar.post(LedgerMail::EngineNotice(PAUSE));
    assert_eq!(submit(&mut sidecar, 1), Some(RefusalReason::Busy));
    let end = sidecar.kernel.now().after(Duration::from_secs(2));
    sidecar.kernel.run_until(end);
    assert_eq!(submit(&mut sidecar, 2), None);
}

#[test]
fn queued_requests_of_a_paused_or_leaving_upstream_go_elsewhere() {
    for notice in [LEAVING, PAUSE] {
        let mut sidecar = Sidecar::start();
        for sequence in 0..=SLOTS {
            assert_eq!(submit(&mut sidecar, sequence), None);
        }
        sidecar.post(LedgerMail::EngineNotice(notice));
        let ReadVerdict::Items { end, .. } = sidecar.read(SLOTS) else {
            panic!("unknown ticket");
        };
        assert!(matches!(end, Some(WireStreamEnd::NotRun(_))), "{end:?}");
    }
}

//! Limits on the responses that a sidecar buffers: the ledger service on the stepped kernel.

mod ledger_harness;

use bulrushslip::decide::outcome::StreamEnd;
use bulrushslip::services::common::mail::LedgerMail;
use bulrushslip::wire::rpc::{ReadVerdict, WireStreamEnd};
use ledger_harness::{MAX_ANSWER_BYTES, MAX_TICKETS, Sidecar};

#[test]
fn responses_of_ended_tickets_are_evicted_oldest_first() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=3 {
        let key = sidecar.submit(sequence, false);
        sidecar.send_data(key, 400);
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    }
    assert!(sidecar.buffered_bytes() <= MAX_ANSWER_BYTES);
    assert!(matches!(sidecar.read(1), ReadVerdict::UnknownTicket));
    for kept in [2, 3] {
        let ReadVerdict::Items { items, end } = sidecar.read(kept) else {
            panic!("ticket {kept} was evicted")
        };
        assert_eq!(items.len(), 1);
        assert!(matches!(end, Some(WireStreamEnd::Complete)));
    }
}

#[test]
fn a_response_over_the_limit_is_truncated_and_only_idempotent_work_is_cancelled() {
    for idempotent in [true, false] {
        let mut sidecar = Sidecar::start();
        let key = sidecar.submit(1, idempotent);
        sidecar.send_data(key, 900);
        sidecar.send_data(key, 900);
        sidecar.send_data(key, 900);
        let ReadVerdict::Items { end, .. } = sidecar.read(1) else {
            panic!("the ticket was evicted")
        };
        assert!(matches!(end, Some(WireStreamEnd::EngineLost)), "{end:?}");
        assert_eq!(sidecar.cancelled.try_recv().is_ok(), idempotent);
        // Further data of the upstream is discarded, and other requests are served.
        assert!(sidecar.buffered_bytes() <= 2 * MAX_ANSWER_BYTES);
        sidecar.submit(2, idempotent);
    }
}

#[test]
fn responses_of_tickets_evicted_at_the_limit_are_dropped() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=40 {
        let key = sidecar.submit(sequence, false);
        sidecar.send_data(key, 10);
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    }
    assert!(
        sidecar.buffered_bytes() <= 10 * MAX_TICKETS,
        "{}",
        sidecar.buffered_bytes()
    );
}

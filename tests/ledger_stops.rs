//! Planned stop of a sidecar whose replies are lost: the ledger service on the stepped kernel.

mod ledger_harness;

use std::time::Duration;

use bulrushslip::decide::ids::{Incarnation, Ticket};
use bulrushslip::decide::outcome::{RefusalReason, StreamEnd};
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::services::common::mail::LedgerMail;
use bulrushslip::wire::rpc::{ReadCall, ReadReply, ReadVerdict, SubmitCall, SubmitVerdict};
use ledger_harness::{INCARNATION, SLOTS, Sidecar, submit_call, ticket};

/// Time for which an entry repeats a read whose reply is lost.
const RETRY_TIME: Duration = Duration::from_secs(5);

/// Time within which an entry reads again if a reply is lost.
const REREAD_TIME: Duration = Duration::from_millis(1_900);

fn read_call(sequence: u64, from_index: u64) -> ReadCall {
    ReadCall {
        ticket: ticket(sequence).into(),
        incarnation: INCARNATION.0,
        from_index,
        wait_us: 500_000,
    }
}

/// Reads a ticket from an index on; the reply is lost on its way to the entry.
fn lose_read(sidecar: &mut Sidecar, sequence: u64, from_index: u64) {
    let lost = ReplyTo::new(|_: ReadReply| {});
    sidecar.post(LedgerMail::Read(read_call(sequence, from_index), lost));
}

fn read_end(sidecar: &mut Sidecar, sequence: u64, from_index: u64) -> Option<StreamEnd> {
    let call = read_call(sequence, from_index);
    let reply = sidecar.ask(|reply_to| LedgerMail::Read(call, reply_to));
    let ReadVerdict::Items { end, .. } = reply.verdict else {
        panic!("{reply:?}");
    };
    end.map(|end| StreamEnd::try_from(end).expect("a known end"))
}

/// Lets time pass in which an entry retries.
fn let_retry_time_pass(sidecar: &mut Sidecar) {
    let end = sidecar.kernel.now().after(RETRY_TIME);
    sidecar.kernel.run_until(end);
}

#[test]
fn a_stopping_ledger_repeats_an_end_whose_reply_was_lost() {
    let mut sidecar = Sidecar::start();
    let key = sidecar.submit(1, false);
    sidecar.send_data(key, 10);
    sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    lose_read(&mut sidecar, 1, 0);
    sidecar.stop();
    let_retry_time_pass(&mut sidecar);
    assert!(!sidecar.is_stopped());
    assert_eq!(read_end(&mut sidecar, 1, 0), Some(StreamEnd::Complete));
    // Index 0 is the item and index 1 the end, so this read acknowledges both.
    lose_read(&mut sidecar, 1, 2);
    assert!(sidecar.is_stopped());
}

#[test]
fn a_stopping_ledger_repeats_that_a_queued_ticket_has_not_run() {
    let mut sidecar = Sidecar::start();
    let running: Vec<_> = (1..=SLOTS).map(|i| sidecar.submit(i, false)).collect();
    let queued = SLOTS + 1;
    let call = submit_call(queued, false);
    let reply = sidecar.ask(|reply_to| LedgerMail::Submit(call, reply_to));
    assert!(matches!(reply.verdict, SubmitVerdict::Accepted));
    lose_read(&mut sidecar, queued, 0);
    sidecar.stop();
    for (sequence, key) in (1..).zip(running) {
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
        lose_read(&mut sidecar, sequence, 1);
    }
    let_retry_time_pass(&mut sidecar);
    let not_run = StreamEnd::NotRun(RefusalReason::Leaving);
    assert_eq!(read_end(&mut sidecar, queued, 0), Some(not_run));
    lose_read(&mut sidecar, queued, 1);
    assert!(sidecar.is_stopped());
}

#[test]
fn a_reader_that_still_waits_for_the_end_delays_the_stop() {
    let mut sidecar = Sidecar::start();
    let key = sidecar.submit(1, false);
    sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    lose_read(&mut sidecar, 1, 1);
    lose_read(&mut sidecar, 1, 0);
    sidecar.stop();
    assert!(!sidecar.is_stopped());
    lose_read(&mut sidecar, 1, 1);
    assert!(sidecar.is_stopped());
}

#[test]
fn a_stopping_ledger_waits_briefly_for_entries_that_acknowledge_no_end() {
    let mut sidecar = Sidecar::start();
    let ticket = Ticket {
        entry: Incarnation(1),
        sequence: 1,
    };
    let submission = SubmitCall {
        ticket: ticket.into(),
        ..submit_call(1, false)
    };
    let reply = sidecar.ask(|reply_to| LedgerMail::Submit(submission, reply_to));
    assert!(matches!(reply.verdict, SubmitVerdict::Accepted));
    let key = sidecar.started.try_recv().expect("a free slot");
    sidecar.stop();
    sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    assert!(!sidecar.is_stopped());
    let read = ReadCall {
        ticket: ticket.into(),
        ..read_call(1, 0)
    };
    // The first reply is lost, and the entry reads again once its call has timed out.
    for _ in 0..2 {
        let reply = sidecar.ask(|reply_to| LedgerMail::Read(read, reply_to));
        let ReadVerdict::Items { end, .. } = reply.verdict else {
            panic!("{reply:?}");
        };
        assert!(end.is_some());
        let until = sidecar.kernel.now().after(REREAD_TIME);
        sidecar.kernel.run_until(until);
        assert!(!sidecar.is_stopped());
    }
    let until = sidecar.kernel.now().after(REREAD_TIME);
    sidecar.kernel.run_until(until);
    assert!(sidecar.is_stopped());
}

#[test]
fn an_end_that_nobody_reads_delays_the_stop_for_a_limited_time() {
    let mut sidecar = Sidecar::start();
    let key = sidecar.submit(1, false);
    lose_read(&mut sidecar, 1, 0);
    sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    sidecar.stop();
    assert!(!sidecar.is_stopped());
    sidecar
        .kernel
        .run_until(Moment::START.after(Duration::from_secs(11)));
    assert!(sidecar.is_stopped());
}

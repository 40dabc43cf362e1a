//! The ticket ledger against a model without eviction, and its limits.

mod property;

use std::collections::HashMap;
use std::time::Duration;

use bulrushslip::decide::ids::{Incarnation, Repeatability, Ticket};
use bulrushslip::decide::ledger::{
    ExpiryStep, LedgerBounds, StartStep, SubmitStep, TicketKey, TicketLedger, WithdrawStep,
};
use bulrushslip::decide::outcome::{RefusalReason, StreamEnd};
use bulrushslip::kernel::Moment;

const BOUNDS: LedgerBounds = LedgerBounds {
    max_tickets: 4,
    max_incarnations: 8,
    retention_ms: 60_000,
};

/// Number of generated inputs of each property.
const CASES: u64 = 2_000;

/// Interval at which an entry repeats a submission without a reply.
const REPEAT_INTERVAL: Duration = Duration::from_secs(8);

/// Longer than the retention time of ends.
const LONG_PAUSE: Duration = Duration::from_mins(10);

fn ticket(entry: u8, sequence: u8) -> Ticket {
    Ticket {
        entry: Incarnation(u64::from(entry % 3) + 1),
        sequence: u64::from(sequence % 6) + 1,
    }
}

fn repeatability(number: u8) -> Repeatability {
    if number.is_multiple_of(2) {
        Repeatability::Idempotent
    } else {
        Repeatability::NonIdempotent
    }
}

/// Model of the ledger: the history of each ticket, without eviction.
#[derive(Debug, Default)]
struct TicketHistory {
    starts: HashMap<Ticket, u32>,
    reported_not_run: HashMap<Ticket, bool>,
    queued: HashMap<Ticket, TicketKey>,
}

impl TicketHistory {
    fn record_not_run(&mut self, ticket: Ticket) {
        assert_eq!(
            self.starts.get(&ticket),
            None,
            "{ticket} ran, but was reported as not run"
        );
        self.reported_not_run.insert(ticket, true);
        self.queued.remove(&ticket);
    }

    fn record_start(&mut self, ticket: Ticket) {
        assert!(
            !self.reported_not_run.contains_key(&ticket),
            "{ticket} was reported as not run, but started"
        );
        let starts = self.starts.entry(ticket).or_default();
        *starts += 1;
        assert_eq!(*starts, 1, "{ticket} started more than once");
    }
}

fn apply(ledger: &mut TicketLedger, history: &mut TicketHistory, now: Moment, op: (u8, u8, u8)) {
    let (kind, entry, sequence) = op;
    let ticket = ticket(entry, sequence);
    match kind % 6 {
        0 | 1 => {
            let start_by = now.after(Duration::from_secs(5));
            match ledger.submit(now, ticket, repeatability(sequence), start_by) {
                SubmitStep::Queued(key) => {
                    assert!(
                        !history.reported_not_run.contains_key(&ticket),
                        "{ticket} was reported as not run, but is accepted"
                    );
                    assert_eq!(
                        history.starts.get(&ticket),
                        None,
                        "{ticket} started, but is queued again"
                    );
                    history.queued.insert(ticket, key);
                }
                SubmitStep::Known(_) | SubmitStep::Refused(RefusalReason::Forgotten) => {}
                SubmitStep::Refused(_) => history.record_not_run(ticket),
            }
        }
        2 => {
            if let Some(key) = history.queued.remove(&ticket) {
                match ledger.start(now, key) {
                    StartStep::Start => history.record_start(ticket),
                    StartStep::TooLate => history.record_not_run(ticket),
                    StartStep::NotQueued => {}
                }
            }
        }
        3 => match ledger.withdraw(now, ticket) {
            WithdrawStep::NotRun(_) => history.record_not_run(ticket),
            WithdrawStep::Cancel(_) | WithdrawStep::Running(_) | WithdrawStep::Done(_) => {
                assert_eq!(
                    history.starts.get(&ticket),
                    Some(&1),
                    "{ticket} never started"
                );
            }
            WithdrawStep::Forgotten => {}
        },
        4 => {
            if let Some(key) = ledger.find(ticket)
                && history.starts.contains_key(&ticket)
            {
                ledger.end(now, key, StreamEnd::Complete);
            }
        }
        _ => while let Some(_step) = ledger.expire(now) {},
    }
}

#[test]
fn no_ticket_starts_twice_or_after_it_was_reported_as_not_run() {
    property::check::<Vec<(u8, u8, u8, u8)>>(CASES, |operations| {
        let mut ledger = TicketLedger::new(BOUNDS);
        let mut history = TicketHistory::default();
        let mut now = Moment::START;
        for (kind, entry, sequence, pause) in operations {
            // Some pauses are long enough for the eviction of all tickets.
            let pause = if *pause > 240 {
                LONG_PAUSE
            } else {
                Duration::from_millis(u64::from(*pause))
            };
            now = now.after(pause);
            apply(&mut ledger, &mut history, now, (*kind, *entry, *sequence));
        }
    });
}

#[test]
fn at_its_limit_the_ledger_evicts_ended_tickets_and_refuses_their_duplicates() {
    let mut ledger = TicketLedger::new(BOUNDS);
    let now = Moment::START;
    for sequence in 1..=20 {
        let ticket = Ticket {
            entry: Incarnation(1),
            sequence,
        };
        let step = ledger.submit(now, ticket, Repeatability::NonIdempotent, Moment::NEVER);
        let SubmitStep::Queued(key) = step else {
            panic!("{step:?}")
        };
        assert_eq!(ledger.start(now, key), StartStep::Start);
        ledger.end(now, key, StreamEnd::Complete);
        assert!(ledger.len() <= BOUNDS.max_tickets);
    }
    let first = Ticket {
        entry: Incarnation(1),
        sequence: 1,
    };
    let duplicate = ledger.submit(now, first, Repeatability::NonIdempotent, Moment::NEVER);
    assert_eq!(duplicate, SubmitStep::Refused(RefusalReason::Forgotten));
    assert_eq!(ledger.withdraw(now, first), WithdrawStep::Forgotten);
}

#[test]
fn an_orphaned_ticket_is_cancelled_only_if_it_is_idempotent() {
    let mut ledger = TicketLedger::new(BOUNDS);
    let mut running = Vec::new();
    for (sequence, repeatability) in [
        (1, Repeatability::Idempotent),
        (2, Repeatability::NonIdempotent),
    ] {
        let ticket = Ticket {
            entry: Incarnation(1),
            sequence,
        };
        let step = ledger.submit(Moment::START, ticket, repeatability, Moment::NEVER);
        let SubmitStep::Queued(key) = step else {
            panic!("{step:?}")
        };
        assert_eq!(ledger.start(Moment::START, key), StartStep::Start);
        running.push(key);
    }
    let later = Moment::START.after(LONG_PAUSE);
    assert_eq!(ledger.expire(later), Some(ExpiryStep::Cancel(running[0])));
    assert_eq!(ledger.expire(later), None);
    ledger.end(later, running[1], StreamEnd::Complete);
    let kept = Ticket {
        entry: Incarnation(1),
        sequence: 2,
    };
    assert_eq!(
        ledger.renew(later, kept),
        Some(running[1]),
        "the answer of a non-idempotent ticket is kept"
    );
}

#[test]
fn a_queued_ticket_is_kept_while_its_submission_is_repeated() {
    let mut ledger = TicketLedger::new(BOUNDS);
    let ticket = ticket(0, 0);
    let submit = |ledger: &mut TicketLedger, now| {
        ledger.submit(now, ticket, Repeatability::NonIdempotent, Moment::NEVER)
    };
    let SubmitStep::Queued(key) = submit(&mut ledger, Moment::START) else {
        panic!("the ticket is new");
    };
    let mut now = Moment::START;
    for _ in 0..4 {
        now = now.after(REPEAT_INTERVAL);
        assert_eq!(ledger.expire(now), None, "at {now:?}");
        assert_eq!(submit(&mut ledger, now), SubmitStep::Known(key));
    }
    let later = now.after(LONG_PAUSE);
    assert_eq!(ledger.expire(later), Some(ExpiryStep::NotStarted(key)));
}

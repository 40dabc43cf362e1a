//! The ticket ledger against a reference that never forgets, and its bounds.

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
    remember_ms: 60_000,
};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

/// Far beyond the time for which ends are remembered.
const LONG: Duration = Duration::from_mins(10);

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

/// What has happened to each ticket, without forgetting.
#[derive(Debug, Default)]
struct TicketHistory {
    starts: HashMap<Ticket, u32>,
    told_not_run: HashMap<Ticket, bool>,
    queued: HashMap<Ticket, TicketKey>,
}

impl TicketHistory {
    fn not_run(&mut self, ticket: Ticket) {
        assert_eq!(
            self.starts.get(&ticket),
            None,
            "{ticket} ran and is called not run"
        );
        self.told_not_run.insert(ticket, true);
        self.queued.remove(&ticket);
    }

    fn started(&mut self, ticket: Ticket) {
        assert!(
            !self.told_not_run.contains_key(&ticket),
            "{ticket} runs after all"
        );
        let starts = self.starts.entry(ticket).or_default();
        *starts += 1;
        assert_eq!(*starts, 1, "{ticket} starts again");
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
                        !history.told_not_run.contains_key(&ticket),
                        "{ticket} is accepted"
                    );
                    assert_eq!(
                        history.starts.get(&ticket),
                        None,
                        "{ticket} is queued again"
                    );
                    history.queued.insert(ticket, key);
                }
                SubmitStep::Known(_) | SubmitStep::Refused(RefusalReason::Forgotten) => {}
                SubmitStep::Refused(_) => history.not_run(ticket),
            }
        }
        2 => {
            if let Some(key) = history.queued.remove(&ticket) {
                match ledger.start(now, key) {
                    StartStep::Start => history.started(ticket),
                    StartStep::TooLate => history.not_run(ticket),
                    StartStep::NotQueued => {}
                }
            }
        }
        3 => match ledger.withdraw(now, ticket) {
            WithdrawStep::NotRun(_) => history.not_run(ticket),
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
fn no_ticket_starts_twice_or_after_it_was_called_not_run() {
    property::check::<Vec<(u8, u8, u8, u8)>>(CASES, |operations| {
        let mut ledger = TicketLedger::new(BOUNDS);
        let mut history = TicketHistory::default();
        let mut now = Moment::START;
        for (kind, entry, sequence, pause) in operations {
            // Now and then long enough for everything to be forgotten.
            let pause = if *pause > 240 {
                LONG
            } else {
                Duration::from_millis(u64::from(*pause))
            };
            now = now.after(pause);
            apply(&mut ledger, &mut history, now, (*kind, *entry, *sequence));
        }
    });
}

#[test]
fn at_its_bound_the_ledger_forgets_ended_tickets_and_refuses_their_duplicates() {
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
    let again = ledger.submit(now, first, Repeatability::NonIdempotent, Moment::NEVER);
    assert_eq!(again, SubmitStep::Refused(RefusalReason::Forgotten));
    assert_eq!(ledger.withdraw(now, first), WithdrawStep::Forgotten);
}

#[test]
fn unread_work_is_cancelled_only_if_it_may_be_repeated() {
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
    let later = Moment::START.after(LONG);
    assert_eq!(ledger.expire(later), Some(ExpiryStep::Cancel(running[0])));
    assert_eq!(ledger.expire(later), None);
    ledger.end(later, running[1], StreamEnd::Complete);
    let kept = Ticket {
        entry: Incarnation(1),
        sequence: 2,
    };
    assert_eq!(
        ledger.read(later, kept),
        Some(running[1]),
        "its answer is kept"
    );
}

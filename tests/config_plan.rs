//! Plans and their confirmation: reported effects and final outcomes.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::config::Configuration;
use bulrushslip::decide::config_change::{ApplyRefusal, ConfigChange, PlanId, PlanRecord};
use bulrushslip::decide::confirm::{
    AppendResult, ConfirmOutcome, ConfirmStep, Confirmation, MAX_APPENDS, PlanCopy,
};
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::plan::{Intent, PlanEffect, make_plan};
use bulrushslip::wire::config_record::WireChange;

fn change(json: &str) -> ConfigChange {
    let wire: WireChange = serde_json::from_str(json).expect("a change");
    wire.try_into().expect("a valid change")
}

fn upstream(name: &str, port: u16, version: &str) -> ConfigChange {
    change(&format!(
        r#"{{"put_upstream":{{"name":"{name}","data_centre":"dc","sidecar":"127.0.0.1:{port}",
        "kind":{{"engine":{{"model":"m","version":"{version}"}}}},"slots":4}}}}"#
    ))
}

fn base() -> Configuration {
    let changes = vec![
        change(r#"{"put_model":{"name":"m","version":"v1"}}"#),
        change(r#"{"put_customer":{"name":"c","ranks":["urgent"],"max_in_flight":3}}"#),
        upstream("u1", 1, "v1"),
        upstream("u2", 2, "v2"),
    ];
    let empty = Configuration::default();
    let plan = make_plan(&empty, Intent::Declare(changes), PlanId(1), false).expect("a plan");
    empty
        .preview(LogOffset(0), &plan.record)
        .expect("it is valid")
}

fn text(name: &str) -> String {
    name.to_owned()
}

#[test]
fn a_plan_reports_its_effects_and_preconditions() {
    let intent = Intent::Move {
        customer: text("c"),
        model: text("m"),
        version: text("v2"),
    };
    let plan = make_plan(&base(), intent, PlanId(2), false).expect("a plan");
    let moved = PlanEffect::Moved {
        customer: text("c"),
        model: text("m"),
        from: text("v1"),
        to: text("v2"),
    };
    assert_eq!(
        (plan.effects, plan.breaks, plan.refusal),
        (vec![moved], vec![], None)
    );
    assert_eq!(plan.preconditions[0].changed_at, Some(LogOffset(0)));
    assert_eq!(plan.record.planned_at, LogOffset(1));
}

#[test]
fn a_plan_that_leaves_a_customer_unserved_is_refused_unless_forced() {
    let retire = || Intent::Retire {
        upstream: text("u1"),
    };
    let unserved = PlanEffect::Unserved {
        customer: text("c"),
        model: text("m"),
    };
    let plan = make_plan(&base(), retire(), PlanId(2), false).expect("a plan");
    assert_eq!(plan.breaks, vec![unserved.clone()]);
    assert!(matches!(plan.refusal, Some(ApplyRefusal::Unserved { .. })));
    let forced = make_plan(&base(), retire(), PlanId(2), true).expect("a plan");
    assert_eq!((forced.breaks, forced.refusal), (vec![unserved], None));
    let load = Intent::Load {
        upstream: text("u1"),
        version: text("v3"),
    };
    let plan = make_plan(&base(), load, PlanId(2), false).expect("a plan");
    assert!(matches!(plan.refusal, Some(ApplyRefusal::Unserved { .. })));
}

/// Number of generated confirmations.
const CASES: u64 = 5_000;

/// Generated result of one append or read.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum CallResult {
    Answered,
    Refused,
    LostAfterAppend,
    LostBeforeAppend,
    Late,
    Unreadable,
}

/// Log with copies of one plan. The first copies may be refused because a customer would be left
/// unserved, and all copies because of a conflicting change.
#[derive(Debug, Default)]
struct PlanLog {
    copies: Vec<LogOffset>,
    late: u32,
    has_conflict: bool,
    unserved_copies: usize,
}

impl PlanLog {
    fn add(&mut self) -> LogOffset {
        let offset = LogOffset(10 + self.copies.len() as u64);
        self.copies.push(offset);
        offset
    }

    fn append(&mut self, result: CallResult) -> AppendResult {
        match result {
            CallResult::Answered | CallResult::Unreadable => {
                AppendResult::Appended(in_era(0, self.add()))
            }
            CallResult::Refused => AppendResult::NotAppended,
            CallResult::LostBeforeAppend => AppendResult::Unanswered,
            CallResult::LostAfterAppend => {
                self.add();
                AppendResult::Unanswered
            }
            CallResult::Late => {
                self.late += 1;
                AppendResult::Unanswered
            }
        }
    }

    /// Returns all copies; at most one is in force.
    fn replay(&self) -> Vec<PlanCopy> {
        let copies = self.copies.iter().enumerate();
        let copy = |(at, offset): (usize, &LogOffset)| PlanCopy {
            position: in_era(0, *offset),
            in_force: at == self.unserved_copies && !self.has_conflict,
        };
        copies.map(copy).collect()
    }
}

fn in_era(era: u64, offset: LogOffset) -> LogPosition {
    let era = StoreEra(era);
    LogPosition { era, offset }
}

/// Guards against a confirmation that reads for ever, as the log ends below what it lost.
#[test]
fn a_plan_that_the_log_has_lost_is_appended_again() {
    let mut confirmation = Confirmation::default();
    confirmation.on_append(AppendResult::Appended(in_era(0, LogOffset(7))));
    assert_eq!(confirmation.step(), ConfirmStep::Read);
    confirmation.on_read(in_era(1, LogOffset(5)), Vec::new());
    assert_eq!(confirmation.step(), ConfirmStep::Append);
    let position = in_era(1, LogOffset(5));
    confirmation.on_append(AppendResult::Appended(position));
    assert_eq!(confirmation.step(), ConfirmStep::Read);
    let copy = PlanCopy {
        position,
        in_force: true,
    };
    confirmation.on_read(in_era(1, LogOffset(6)), vec![copy]);
    let in_force = ConfirmOutcome::InForce(position);
    assert_eq!(confirmation.step(), ConfirmStep::Done(in_force));
}

#[test]
fn the_outcome_of_a_confirmation_stays_true() {
    property::check::<(bool, u8, Vec<CallResult>)>(CASES, |(conflict, unserved, results)| {
        let mut log = PlanLog {
            has_conflict: *conflict,
            unserved_copies: usize::from(*unserved % 3),
            ..PlanLog::default()
        };
        let mut results = results.iter().copied();
        let mut confirmation = Confirmation::default();
        let outcome = loop {
            match confirmation.step() {
                ConfirmStep::Done(outcome) => break outcome,
                ConfirmStep::Append => {
                    let result = log.append(results.next().unwrap_or(CallResult::Refused));
                    confirmation.on_append(result);
                }
                ConfirmStep::Read => match results.next() {
                    Some(CallResult::Unreadable) => confirmation.on_read_failed(),
                    Some(CallResult::Late) if log.late > 0 => {
                        log.late -= 1;
                        log.add();
                        confirmation.on_read(in_era(0, LogOffset(100)), log.replay());
                    }
                    _ => confirmation.on_read(in_era(0, LogOffset(100)), log.replay()),
                },
            }
        };
        // Late appends reach the log after the confirmation has ended.
        for _ in 0..log.late {
            log.add();
        }
        assert!(log.copies.len() <= MAX_APPENDS as usize);
        let in_force = log
            .replay()
            .iter()
            .find(|copy| copy.in_force)
            .map(|copy| copy.position);
        match outcome {
            ConfirmOutcome::InForce(offset) => assert_eq!(in_force, Some(offset)),
            ConfirmOutcome::Refused(_) => assert_eq!(in_force, None),
            ConfirmOutcome::NotAppended => assert_eq!(log.copies, vec![]),
            ConfirmOutcome::Unknown => {}
        }
    });
}

#[test]
fn a_second_copy_of_a_plan_has_no_effect() {
    let mut configuration = base();
    let intent = Intent::Move {
        customer: text("c"),
        model: text("m"),
        version: text("v2"),
    };
    let plan = make_plan(&configuration, intent, PlanId(2), false).expect("a plan");
    configuration.apply(LogOffset(1), &plan.record);
    let back = PlanRecord {
        plan_id: PlanId(3),
        planned_at: LogOffset(2),
        forced: false,
        changes: vec![change(
            r#"{"move_customer":{"customer":"c","model":"m","version":"v1"}}"#,
        )],
    };
    configuration.apply(LogOffset(2), &back);
    configuration.apply(LogOffset(3), &plan.record);
    let (_, customer) = configuration.customer("c").expect("declared");
    assert_eq!(configuration.version_for(customer, "m"), Some("v1"));
}

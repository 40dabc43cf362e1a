//! Plans and their confirmation: what is told, and that it stays true.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::config::Configuration;
use bulrushslip::decide::config_change::{ApplyRefusal, ConfigChange, ConfigRecord, PlanId};
use bulrushslip::decide::confirm::{
    AppendResult, ConfirmStep, Confirmation, MAX_APPENDS, PlanCopy, Settlement,
};
use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::plan::{Intent, PlanEffect, make_plan};
use bulrushslip::wire::config_record::WireChange;

fn change(json: &str) -> ConfigChange {
    let wire: WireChange = serde_json::from_str(json).expect("a change");
    wire.try_into().expect("a meaningful change")
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
fn a_plan_names_its_effects_and_its_grounds() {
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
    assert_eq!(plan.grounds[0].changed_at, Some(LogOffset(0)));
    assert_eq!(plan.record.planned_at, LogOffset(1));
}

#[test]
fn a_plan_that_strands_a_customer_is_refused_unless_forced() {
    let retire = || Intent::Retire {
        upstream: text("u1"),
    };
    let stranded = PlanEffect::Stranded {
        customer: text("c"),
        model: text("m"),
    };
    let plan = make_plan(&base(), retire(), PlanId(2), false).expect("a plan");
    assert_eq!(plan.breaks, vec![stranded.clone()]);
    assert!(matches!(plan.refusal, Some(ApplyRefusal::Stranded { .. })));
    let forced = make_plan(&base(), retire(), PlanId(2), true).expect("a plan");
    assert_eq!((forced.breaks, forced.refusal), (vec![stranded], None));
    let unserved = Intent::Load {
        upstream: text("u1"),
        version: text("v3"),
    };
    let plan = make_plan(&base(), unserved, PlanId(2), false).expect("a plan");
    assert!(matches!(plan.refusal, Some(ApplyRefusal::Stranded { .. })));
}

/// Generated courses of a confirmation.
const CASES: u64 = 5_000;

/// What happens to one append or read.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Fate {
    Answered,
    Refused,
    LostAfterAppend,
    LostBeforeAppend,
    Late,
    Unreadable,
}

/// A log that holds copies of one plan; the first ones may be refused because a customer would be
/// stranded, and all of them because the ground has moved.
#[derive(Debug, Default)]
struct SmallLog {
    copies: Vec<LogOffset>,
    late: u32,
    ground_moved: bool,
    stranded: usize,
}

impl SmallLog {
    fn add(&mut self) -> LogOffset {
        let offset = LogOffset(10 + self.copies.len() as u64);
        self.copies.push(offset);
        offset
    }

    fn append(&mut self, fate: Fate) -> AppendResult {
        match fate {
            Fate::Answered | Fate::Unreadable => AppendResult::Appended(self.add()),
            Fate::Refused => AppendResult::NotAppended,
            Fate::LostBeforeAppend => AppendResult::Unanswered,
            Fate::LostAfterAppend => {
                self.add();
                AppendResult::Unanswered
            }
            Fate::Late => {
                self.late += 1;
                AppendResult::Unanswered
            }
        }
    }

    /// One copy is in force at most.
    fn replay(&self) -> Vec<PlanCopy> {
        let copies = self.copies.iter().enumerate();
        let copy = |(at, offset): (usize, &LogOffset)| PlanCopy {
            offset: *offset,
            in_force: at == self.stranded && !self.ground_moved,
        };
        copies.map(copy).collect()
    }
}

#[test]
fn what_a_confirmation_tells_stays_true() {
    property::check::<(bool, u8, Vec<Fate>)>(CASES, |(moved, stranded, fates)| {
        let mut log = SmallLog {
            ground_moved: *moved,
            stranded: usize::from(*stranded % 3),
            ..SmallLog::default()
        };
        let mut fates = fates.iter().copied();
        let mut confirmation = Confirmation::default();
        let settlement = loop {
            match confirmation.step() {
                ConfirmStep::Settled(settlement) => break settlement,
                ConfirmStep::Append => {
                    let result = log.append(fates.next().unwrap_or(Fate::Refused));
                    confirmation.appended(result);
                }
                ConfirmStep::Read => match fates.next() {
                    Some(Fate::Unreadable) => confirmation.unreadable(),
                    Some(Fate::Late) if log.late > 0 => {
                        log.late -= 1;
                        log.add();
                        confirmation.read(LogOffset(100), log.replay());
                    }
                    _ => confirmation.read(LogOffset(100), log.replay()),
                },
            }
        };
        // Whatever was on its way arrives in the end.
        for _ in 0..log.late {
            log.add();
        }
        assert!(log.copies.len() <= MAX_APPENDS as usize);
        let in_force = log
            .replay()
            .iter()
            .find(|copy| copy.in_force)
            .map(|copy| copy.offset);
        match settlement {
            Settlement::InForce(offset) => assert_eq!(in_force, Some(offset)),
            Settlement::Refused(_) => assert_eq!(in_force, None),
            Settlement::NotAppended => assert_eq!(log.copies, vec![]),
            Settlement::Unknown => {}
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
    let back = ConfigRecord {
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

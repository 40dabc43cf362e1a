//! Replay of the configuration stream after the log has come back from an older copy.

mod property;

use bolero::TypeGenerator;
use bulrushslip::decide::config::Configuration;
use bulrushslip::decide::config_change::{PlanId, PlanRecord};
use bulrushslip::decide::config_replica::{
    ConfigReplica, NumberedRecord, StreamPage, StreamRecord,
};
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::snapshot::Snapshot;
use bulrushslip::wire::config_record::WireChange;
use bulrushslip::wire::position::WirePosition;

/// Number of generated histories.
const CASES: u64 = 400;

/// Identifier of a plan, and the number of the model that it declares.
type Plan = u64;

fn record(plan: Plan) -> PlanRecord {
    let change = format!(r#"{{"put_model":{{"name":"m{plan}","version":"v"}}}}"#);
    let wire: WireChange = serde_json::from_str(&change).expect("a change");
    PlanRecord {
        plan_id: PlanId(plan),
        planned_at: LogOffset(1_000),
        forced: false,
        changes: vec![wire.try_into().expect("a valid change")],
    }
}

/// Returns the records of a log from an offset on, as a page of an era.
fn page(era: u64, log: &[Plan], from: usize, count: usize) -> StreamPage {
    let plans = log.iter().enumerate().skip(from).take(count);
    StreamPage {
        era: StoreEra(era),
        first: LogOffset(0),
        next: LogOffset(log.len() as u64),
        records: plans
            .map(|(offset, plan)| NumberedRecord {
                offset: LogOffset(offset as u64),
                record: StreamRecord::Plan(record(*plan)),
            })
            .collect(),
    }
}

fn whole(era: u64, log: &[Plan]) -> StreamPage {
    page(era, log, 0, log.len())
}

fn at(era: u64, offset: usize) -> LogPosition {
    LogPosition {
        era: StoreEra(era),
        offset: LogOffset(offset as u64),
    }
}

/// Returns a replica that has replayed a log in era 0.
fn replica_of(log: &[Plan]) -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    replica.apply_page(whole(0, log));
    replica
}

/// Returns the plans in force, in the order of their numbers.
fn in_force(configuration: &Configuration) -> Vec<Plan> {
    let names = configuration.models.iter().map(|(_, model)| &model.name);
    let mut plans: Vec<Plan> = names
        .map(|name| name[1..].parse().expect("a number"))
        .collect();
    plans.sort_unstable();
    plans
}

#[test]
fn a_plan_at_an_offset_of_a_lost_one_comes_into_force() {
    let mut replica = replica_of(&[1, 2, 3, 4]);
    replica.apply_page(whole(1, &[1, 2, 9]));
    assert_eq!(in_force(&replica.current), [1, 2, 9]);
    assert_eq!(replica.current.next(), at(1, 3));
}

#[test]
fn the_configuration_in_force_stays_while_the_log_only_lacks_plans() {
    let mut replica = replica_of(&[1, 2, 3]);
    for log in [&[][..], &[1], &[1, 3], &[3, 1]] {
        replica.apply_page(whole(1, log));
        assert_eq!(in_force(&replica.current), [1, 2, 3], "{log:?}");
        assert_eq!(replica.current.next(), at(0, 3));
        replica = replica_of(&[1, 2, 3]);
    }
}

#[test]
fn a_log_that_has_all_plans_again_is_in_force() {
    let mut replica = replica_of(&[1, 2, 3]);
    replica.apply_page(whole(1, &[1, 3]));
    replica.apply_page(whole(1, &[1, 3, 2]));
    assert_eq!(in_force(&replica.current), [1, 2, 3]);
    assert_eq!(replica.current.next(), at(1, 3));
}

#[test]
fn a_page_from_an_offset_of_the_earlier_era_skips_no_record() {
    let mut replica = replica_of(&[1, 2, 3]);
    let log = [1, 9, 8, 7];
    let outcome = replica.apply_page(page(1, &log, 3, 1));
    assert_eq!(outcome.read_from, LogOffset(0));
    assert_eq!(in_force(&replica.current), [1, 2, 3]);
    replica.apply_page(whole(1, &log));
    assert_eq!(in_force(&replica.current), [1, 7, 8, 9]);
}

#[test]
fn a_page_from_an_offset_of_the_earlier_era_skips_no_snapshot() {
    let mut replica = replica_of(&[1, 2, 3]);
    let mut late = page(1, &[1, 2, 9, 8], 3, 1);
    late.first = LogOffset(1);
    assert_eq!(replica.apply_page(late).read_from, LogOffset(1));
}

#[test]
fn part_of_a_log_is_not_in_force_before_the_rest() {
    let mut replica = replica_of(&[1, 2, 3]);
    let log = [9, 1, 2, 3];
    replica.apply_page(page(1, &log, 0, 2));
    assert_eq!(in_force(&replica.current), [1, 2, 3]);
    replica.apply_page(page(1, &log, 2, 2));
    assert_eq!(in_force(&replica.current), [1, 2, 3, 9]);
}

#[test]
fn a_snapshot_of_a_higher_era_replaces_one_of_higher_offsets() {
    let mut replica = replica_of(&[1, 2, 3]);
    let snapshot = |log: &[Plan]| Snapshot::of(&replica_of(log).current);
    replica.apply_snapshot(StoreEra(1), &snapshot(&[1, 9]));
    assert_eq!(in_force(&replica.current), [1, 9]);
    replica.apply_snapshot(StoreEra(0), &snapshot(&[1, 2, 3, 4]));
    assert_eq!(in_force(&replica.current), [1, 9]);
    assert_eq!(replica.current.next(), at(1, 2));
}

#[test]
fn positions_of_the_first_era_are_sent_as_offsets() {
    for position in [at(0, 7), at(1, 0), at(3, 1 << 30)] {
        let wire = WirePosition::from(position);
        assert_eq!(LogPosition::from(wire), position);
        assert!(wire.0 > 0);
    }
    assert_eq!(WirePosition::from(at(0, 7)), WirePosition(7));
    assert!(WirePosition::from(at(1, 0)).0 > WirePosition::from(at(0, 1 << 39)).0);
}

/// Page that arrives at the replica.
#[derive(Debug, Clone, TypeGenerator)]
struct Arrival {
    is_restored: bool,
    from: u8,
    count: u8,
}

/// A log, the length of its copy, what is appended to the copy, and what arrives of both.
#[derive(Debug, Clone, TypeGenerator)]
struct Drill {
    plans: u8,
    copied: u8,
    written_again: Vec<u8>,
    new_plans: u8,
    arrivals: Vec<Arrival>,
}

/// Reads a log to its end; the first page may only show that the era is higher.
fn catch_up(replica: &mut ConfigReplica, era: u64, log: &[Plan]) {
    for _ in 0..log.len() + 2 {
        let from = usize::try_from(replica.next().offset.0).expect("a short log");
        replica.apply_page(page(era, log, from, 3));
    }
}

fn check_drill(drill: &Drill) {
    let before: Vec<Plan> = (0..u64::from(drill.plans % 8)).collect();
    let copied = usize::from(drill.copied) % (before.len() + 1);
    let mut after = before[..copied].to_vec();
    let lost = &before[copied..];
    let again = drill.written_again.iter().take(lost.len());
    after.extend(again.filter_map(|index| lost.get(usize::from(*index) % 8)));
    after.extend((0..u64::from(drill.new_plans % 3)).map(|plan| 100 + plan));
    let mut replica = replica_of(&before);
    for arrival in &drill.arrivals {
        let (era, log) = if arrival.is_restored {
            (1, &after)
        } else {
            (0, &before)
        };
        let from = usize::from(arrival.from) % (log.len() + 1);
        replica.apply_page(page(era, log, from, usize::from(arrival.count % 8)));
        let (current, plans) = (&replica.current, in_force(&replica.current));
        let log = if current.era == StoreEra(0) {
            &before
        } else {
            &after
        };
        let end = usize::try_from(current.next_offset.0).expect("a short log");
        assert_eq!(end, log.len());
        assert_eq!(plans, in_force(&replica_of(log).current));
    }
    catch_up(&mut replica, 1, &after);
    let has_newer = after.iter().any(|plan| !before.contains(plan));
    let has_lost = before.iter().any(|plan| !after.contains(plan));
    let is_restored = replica.current.era == StoreEra(1);
    assert_eq!(is_restored, has_newer || !has_lost);
}

#[test]
fn a_drill_of_the_store_mixes_no_two_histories() {
    property::check::<Drill>(CASES, check_drill);
}

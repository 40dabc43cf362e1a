//! Replay of configuration records: concurrent plans, stale offsets, gaps and malformed records.

use bulrushslip::decide::config::Configuration;
use bulrushslip::decide::config_change::{
    ApplyOutcome, ApplyRefusal, ObjectName, PlanId, PlanRecord,
};
use bulrushslip::decide::config_replica::StreamRecord;
use bulrushslip::decide::ids::LogOffset;
use bulrushslip::wire::config_snapshot::{decode_stream_record, encode_record};

fn record(planned_at: u64, changes: &str) -> PlanRecord {
    let body = format!(
        r#"{{"plan":{{"plan_id":"{planned_at:x}","planned_at":{planned_at},"changes":[{changes}]}}}}"#
    );
    match decode_stream_record(&body) {
        StreamRecord::Plan(record) => record,
        other => panic!("not a record: {other:?}"),
    }
}

fn upstream(name: &str, port: u16, version: &str) -> String {
    format!(
        r#"{{"put_upstream":{{"name":"{name}","data_centre":"dc","sidecar":"127.0.0.1:{port}",
        "kind":{{"engine":{{"model":"m","version":"{version}"}}}},"slots":4}}}}"#
    )
}

fn base() -> Configuration {
    let mut configuration = Configuration::default();
    let changes = [
        r#"{"put_model":{"name":"m","version":"v1"}}"#.to_owned(),
        r#"{"put_customer":{"name":"c","ranks":["urgent"],"max_in_flight":3}}"#.to_owned(),
        upstream("u1", 1, "v1"),
        upstream("u2", 2, "v2"),
    ];
    let record = record(0, &changes.join(","));
    assert_eq!(
        configuration.apply(LogOffset(0), &record),
        ApplyOutcome::Applied
    );
    configuration
}

const MOVE: &str = r#"{"move_customer":{"customer":"c","model":"m","version":"v2"}}"#;
const RETIRE_NEW: &str = r#"{"retire_upstream":{"name":"u2"}}"#;

#[test]
fn the_first_of_two_concurrent_plans_for_one_object_wins() {
    let mut configuration = base();
    assert_eq!(
        configuration.apply(LogOffset(1), &record(1, MOVE)),
        ApplyOutcome::Applied
    );
    let refusal = ApplyRefusal::Conflict {
        object: ObjectName::Customer("c".to_owned()),
        changed_at: LogOffset(1),
    };
    let late = record(1, r#"{"remove_customer":{"name":"c"}}"#);
    assert_eq!(
        configuration.apply(LogOffset(2), &late),
        ApplyOutcome::Refused(refusal)
    );
    assert_eq!(configuration.next_offset, LogOffset(3));
    assert!(configuration.customer("c").is_some());
}

#[test]
fn concurrent_plans_for_different_objects_leave_no_customer_unserved() {
    let unserved = ApplyOutcome::Refused(ApplyRefusal::Unserved {
        customer: "c".to_owned(),
        model: "m".to_owned(),
    });
    for (first, second) in [(MOVE, RETIRE_NEW), (RETIRE_NEW, MOVE)] {
        let mut configuration = base();
        assert_eq!(
            configuration.apply(LogOffset(1), &record(1, first)),
            ApplyOutcome::Applied
        );
        assert_eq!(
            configuration.apply(LogOffset(2), &record(1, second)),
            unserved
        );
        let forced = PlanRecord {
            forced: true,
            ..record(3, second)
        };
        assert_eq!(
            configuration.apply(LogOffset(3), &forced),
            ApplyOutcome::Applied
        );
    }
}

#[test]
fn stale_offsets_and_gaps_change_nothing() {
    let mut configuration = base();
    let retire = record(1, RETIRE_NEW);
    assert_eq!(
        configuration.apply(LogOffset(0), &retire),
        ApplyOutcome::Stale
    );
    assert_eq!(
        configuration.apply(LogOffset(2), &retire),
        ApplyOutcome::Gap
    );
    configuration.skip(LogOffset(0));
    configuration.skip(LogOffset(5));
    assert_eq!(configuration.next_offset, LogOffset(1));
}

#[test]
fn a_record_takes_effect_as_a_whole_or_not_at_all() {
    let mut configuration = base();
    let half_valid = format!(r#"{RETIRE_NEW},{{"remove_customer":{{"name":"nobody"}}}}"#);
    let outcome = configuration.apply(LogOffset(1), &record(1, &half_valid));
    let unknown = ApplyRefusal::UnknownObject(ObjectName::Customer("nobody".to_owned()));
    assert_eq!(outcome, ApplyOutcome::Refused(unknown));
    assert_eq!(configuration.engines("m", "v2").count(), 1);
}

#[test]
fn records_round_trip_and_errors_name_the_invalid_field() {
    let sent = record(7, &format!("{MOVE},{}", upstream("u3", 3, "v1")));
    assert_eq!(
        decode_stream_record(&encode_record(&sent)),
        StreamRecord::Plan(sent.clone())
    );
    assert_eq!(sent.plan_id, PlanId(7));
    let bad = r#"{"plan":{"plan_id":"1","planned_at":0,"changes":[
        {"put_rank":{"rank":"gold","floor_percent":5,"start_timeout_ms":9}}]}}"#;
    let reason = "field rank cannot be \"gold\"".to_owned();
    assert_eq!(decode_stream_record(bad), StreamRecord::Malformed(reason));
    let unknown = r#"{"plan":{"plan_id":"1","planned_at":0,"changes":[{"explode":{}}]}}"#;
    for body in ["", "{}", "[]", r#"{"other":{}}"#, unknown] {
        assert!(matches!(
            decode_stream_record(body),
            StreamRecord::Malformed(_)
        ));
    }
}

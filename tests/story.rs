//! Timeline of one request from the log lines of several processes.

use bulrushslip::ctl::story::request_timeline;
use serde_json::{Value, json};

fn log_lines() -> Vec<Value> {
    vec![
        json!({"time_ms": 9_000, "name": "request_failed", "request": "r1", "upstream": "i-1",
            "outcome": "lost", "status": "502"}),
        json!({"time_ms": 8_500, "name": "upstream_changed", "upstream": "i-1", "change": "state"}),
        json!({"time_ms": 8_600, "name": "upstream_changed", "upstream": "i-2", "change": "state"}),
        json!({"time_ms": 1_000, "name": "store_lost", "topic": "operator"}),
        json!({"time_ms": 8_000, "name": "configuration_in_force", "version": "7"}),
        json!({"time_ms": 8_900, "name": "request_refused", "request": "r2"}),
        json!({"time_ms": 9_500, "name": "weights_named", "version": "2"}),
    ]
}

#[test]
fn a_timeline_has_the_lines_of_the_request_and_state_changes_shortly_before() {
    let timeline = request_timeline(&mut log_lines(), "r1", 5_000);
    assert_eq!(
        timeline,
        [
            "  -1000 ms configuration_in_force version=7",
            "  -500 ms upstream_changed change=state upstream=i-1",
            "* +0 ms request_failed outcome=lost status=502 upstream=i-1",
        ]
    );
}

#[test]
fn the_timeline_of_an_unknown_request_is_empty() {
    assert!(request_timeline(&mut log_lines(), "r9", 5_000).is_empty());
}

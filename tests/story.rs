//! A request's story from the log lines of several processes.

use bulrushslip::ctl::story::tell;
use serde_json::{Value, json};

fn lines() -> Vec<Value> {
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
fn a_story_shows_the_request_and_what_changed_shortly_before() {
    let story = tell(&mut lines(), "r1", 5_000);
    assert_eq!(
        story,
        [
            "  -1000 ms configuration_in_force version=7",
            "  -500 ms upstream_changed change=state upstream=i-1",
            "* +0 ms request_failed outcome=lost status=502 upstream=i-1",
        ]
    );
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    assert!(tell(&mut lines(), "r9", 5_000).is_empty());
}

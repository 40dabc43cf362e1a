//! Timeline of one request from the log lines of several processes.

use std::path::Path;
use std::process::{Command, Output};

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

fn explain(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bulrushslip-ctl"))
        .arg("explain")
        .args(arguments)
        .output()
        .expect("the binary can be started")
}

#[test]
fn explain_joins_the_lines_of_several_log_files() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let [first, second] = ["story-first.log", "story-second.log"].map(|name| folder.join(name));
    let lines = log_lines();
    let (before, after) = lines.split_at(3);
    for (path, lines) in [(&first, before), (&second, after)] {
        let lines: Vec<String> = lines.iter().map(|line| format!("front-1 {line}")).collect();
        std::fs::write(path, lines.join("\n")).expect("the folder of the tests is writable");
    }
    let [first, second] = [&first, &second].map(|path| path.to_str().expect("UTF-8"));
    let output = explain(&["--log", first, "--log", second, "--before-ms", "600", "r1"]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        text.lines().collect::<Vec<_>>(),
        [
            "  -500 ms upstream_changed change=state upstream=i-1",
            "* +0 ms request_failed outcome=lost status=502 upstream=i-1",
        ]
    );
    let unknown = explain(&["--log", first, "r9"]);
    assert_eq!(unknown.status.code(), Some(3), "{unknown:?}");
}

#[test]
fn explain_needs_one_source() {
    let none = explain(&["r1"]);
    let both = explain(&["--log", "a.log", "--platform", "127.0.0.1:1", "r1"]);
    let json = explain(&["--log", "a.log", "--json", "r1"]);
    for (output, error) in [
        (none, "either --platform or --log is needed"),
        (both, "--platform and --log cannot be used together"),
        (json, "--json cannot be used with --log"),
    ] {
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(text.trim_end(), error);
    }
}

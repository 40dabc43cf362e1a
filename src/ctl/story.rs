//! The timeline of one request, from the log files of several processes.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use serde_json::Value;

use super::exit::ExitStatus;

/// Log events of state changes that can explain how a process handled a request.
const STATE_EVENTS: [&str; 6] = [
    "configuration_in_force",
    "weights_named",
    "store_lost",
    "store_regained",
    "order_sent",
    "order_ended",
];

/// Fields that are left out of the list of fields at the end of a formatted line.
const COMMON_FIELDS: [&str; 5] = ["time_ms", "level", "event", "name", "request"];

/// Prints the timeline of a request from files of JSON log lines.
#[must_use]
pub fn explain_from_logs(files: &[PathBuf], id: &str, before_ms: u64) -> ExitStatus {
    let mut lines = Vec::new();
    for path in files {
        match fs::read_to_string(path) {
            Ok(text) => lines.extend(text.lines().filter_map(parse_line)),
            Err(error) => {
                eprintln!("cannot read {}: {error}", path.display());
                return ExitStatus::BadInput;
            }
        }
    }
    let timeline = request_timeline(&mut lines, id, before_ms);
    if timeline.is_empty() {
        eprintln!(
            "no log line contains request {id}; only a sample of successful requests is logged"
        );
        return ExitStatus::Refused;
    }
    for line in timeline {
        println!("{line}");
    }
    ExitStatus::Done
}

/// Parses the JSON object of a log line; log collectors may write a prefix before it.
fn parse_line(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Returns the formatted events of a request and the related state changes in the order of time;
/// empty if no log line contains the request.
#[must_use]
pub fn request_timeline(lines: &mut [Value], id: &str, before_ms: u64) -> Vec<String> {
    lines.sort_by_key(|line| line["time_ms"].as_u64());
    let is_of_request = |line: &&Value| line["request"] == id;
    let Some(first_ms) = lines
        .iter()
        .find(is_of_request)
        .and_then(|line| line["time_ms"].as_u64())
    else {
        return Vec::new();
    };
    let last_ms = lines
        .iter()
        .rev()
        .find(is_of_request)
        .and_then(|line| line["time_ms"].as_u64());
    let upstreams: Vec<&Value> = lines
        .iter()
        .filter(is_of_request)
        .map(|line| &line["upstream"])
        .filter(|upstream| upstream.is_string())
        .collect();
    let window = first_ms.saturating_sub(before_ms)..=last_ms.unwrap_or(first_ms);
    let is_related = |line: &&Value| {
        let time_ms = line["time_ms"].as_u64();
        let is_near = time_ms.is_some_and(|time_ms| window.contains(&time_ms));
        let name = line["name"].as_str().unwrap_or_default();
        let is_state_event = STATE_EVENTS.contains(&name);
        let is_upstream = line["request"].is_null() && upstreams.contains(&&line["upstream"]);
        line["request"] == id || (is_near && (is_state_event || is_upstream))
    };
    lines
        .iter()
        .filter(is_related)
        .map(|line| format_line(line, first_ms))
        .collect()
}

/// Formats a log line with its time relative to the first line of the request.
///
/// Lines of the request itself are marked with `*`.
fn format_line(line: &Value, first_ms: u64) -> String {
    let time_ms = line["time_ms"].as_u64().unwrap_or(first_ms);
    let sign = if time_ms < first_ms { '-' } else { '+' };
    let marker = if line["request"].is_null() { ' ' } else { '*' };
    let name = line["name"].as_str().unwrap_or_default();
    let mut text = format!("{marker} {sign}{} ms {name}", time_ms.abs_diff(first_ms));
    for (key, value) in line.as_object().into_iter().flatten() {
        if !COMMON_FIELDS.contains(&key.as_str()) {
            let value = value.as_str().unwrap_or_default();
            write!(text, " {key}={value}").expect("a string can always be written to");
        }
    }
    text
}

//! Numbered log events; docs/EVENTS.md is generated from [`CATALOGUE`].

mod catalogue;
mod request_events;
mod state_events;

pub use catalogue::*;
pub use request_events::*;
pub use state_events::*;

use std::fmt::{Display, Write};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde_json::{Map, Value};
use simplelog::{ConfigBuilder, WriteLogger};

use crate::decide::request_limit::LimitRate;
use crate::log_queue::LineQueue;
use crate::settings::LogFormat;

/// Field of a log event: key and value.
pub type EventField<'a> = (&'static str, &'a dyn Display);

/// Format of the log lines of this process, set when the logger starts.
static FORMAT: OnceLock<LogFormat> = OnceLock::new();

/// Destination of log lines.
#[derive(Debug)]
pub enum LogTarget {
    /// Standard error; standard output lists the open ports.
    StandardError,
    /// A queue of lines for standard output, which the platform collects.
    Queue(LineQueue),
}

/// Starts the logger of this process; only the first call has an effect.
pub fn start_log(level: LevelFilter, format: LogFormat, target: LogTarget) {
    let mut config = ConfigBuilder::new();
    config
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_time_format_rfc3339()
        .add_filter_allow_str("bulrushslip");
    if format == LogFormat::Json {
        config
            .set_time_level(LevelFilter::Off)
            .set_max_level(LevelFilter::Off);
    }
    let started = match target {
        LogTarget::StandardError => WriteLogger::init(level, config.build(), std::io::stderr()),
        LogTarget::Queue(queue) => WriteLogger::init(level, config.build(), queue),
    };
    if started.is_ok() {
        // `init` succeeds only once in a process, so the format is not set yet.
        let _ = FORMAT.set(format);
    }
}

/// Logs the limit on the requests that an upstream takes from all instances together.
pub fn log_limit(upstream: &str, rate: Option<LimitRate>) {
    let per_1000_s = rate.map_or_else(|| "none".to_owned(), |rate| rate.0.to_string());
    log_event(
        &UPSTREAM_LIMITED,
        &[("upstream", &upstream), ("per_1000_s", &per_1000_s)],
    );
}

/// Logs an event with its fields; if its level is disabled, nothing is rendered.
///
/// ```
/// use bulrushslip::events::{LISTENING, log_event};
/// log_event(&LISTENING, &[("role", &"entry"), ("address", &"127.0.0.1:8080")]);
/// ```
pub fn log_event(kind: &EventKind, fields: &[EventField<'_>]) {
    if !log::log_enabled!(kind.level) {
        return;
    }
    let line = match FORMAT.get() {
        Some(LogFormat::Json) => json_line(kind, fields),
        Some(LogFormat::Text) | None => text_line(kind, fields),
    };
    log::log!(kind.level, "{line}");
}

/// Renders an event as a line of `key=value` fields.
///
/// A value that is empty or has white space, control characters, `"` or `=` is written as a JSON
/// string, so that no value can imitate other fields or lines.
#[must_use]
pub fn text_line(kind: &EventKind, fields: &[EventField<'_>]) -> String {
    let mut line = format!("event={} name={}", kind.number, kind.name);
    for (key, value) in fields {
        let value = value.to_string();
        let is_plain = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
        line.push(' ');
        line.push_str(key);
        line.push('=');
        if is_plain {
            line.push_str(&value);
        } else {
            line.push_str(&Value::String(value).to_string());
        }
    }
    line
}

/// Renders an event as a line with a JSON object; the time is in milliseconds since 1970.
#[must_use]
pub fn json_line(kind: &EventKind, fields: &[EventField<'_>]) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_ms = now.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
    let mut object = Map::new();
    object.insert("time_ms".to_owned(), Value::from(time_ms));
    object.insert("level".to_owned(), Value::from(kind.level.as_str()));
    object.insert("event".to_owned(), Value::from(kind.number));
    object.insert("name".to_owned(), Value::from(kind.name));
    for (key, value) in fields {
        object.insert((*key).to_owned(), Value::from(value.to_string()));
    }
    Value::Object(object).to_string()
}

/// Renders the catalogue of events as a Markdown table.
#[must_use]
pub fn markdown() -> String {
    let mut text = String::from("| number | level | name | meaning |\n|---|---|---|---|\n");
    for kind in CATALOGUE {
        let level = kind.level.as_str().to_lowercase();
        writeln!(
            text,
            "| {} | {level} | `{}` | {} |",
            kind.number, kind.name, kind.text
        )
        .expect("a string can always be written to");
    }
    text
}

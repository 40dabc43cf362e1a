//! Numbered log events; docs/EVENTS.md is made from [`CATALOGUE`].

mod catalogue;

pub use catalogue::*;

use std::fmt::{Display, Write};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde_json::{Map, Value};
use simplelog::{ConfigBuilder, WriteLogger};

use crate::log_queue::LineQueue;
use crate::settings::LogFormat;

/// A field of an event.
pub type EventField<'a> = (&'static str, &'a dyn Display);

/// Format of this process's log, set once at its start.
static FORMAT: OnceLock<LogFormat> = OnceLock::new();

/// Where log lines go.
#[derive(Debug)]
pub enum LogTarget {
    /// Standard error; standard output tells the ports.
    StandardError,
    /// A queue of lines for standard output, where the platform collects them.
    Queue(LineQueue),
}

/// Starts the log of this process; only the first call has an effect.
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
        // A value is already there only if the log was started before.
        let _ = FORMAT.set(format);
    }
}

/// Logs an event with its fields; costs one comparison when its level is off.
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

/// Renders an event as `key=value` fields; values with blanks or quotes are quoted.
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

/// Renders an event as a JSON object; times are milliseconds since 1970.
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

/// Renders the catalogue as Markdown.
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

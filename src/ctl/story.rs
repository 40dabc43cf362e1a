//! Command `story`: tells a request's story from collected log lines, over all processes.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use super::exit::ExitStatus;

/// Events that change what a process believes, and may explain what it did with a request.
const BELIEFS: [&str; 6] = [
    "configuration_in_force",
    "weights_named",
    "store_lost",
    "store_regained",
    "order_sent",
    "order_ended",
];

/// Fields that every line has and that the story shows in its own way.
const COMMON_FIELDS: [&str; 5] = ["time_ms", "level", "event", "name", "request"];

/// Tells the story of a request from files of JSON log lines: what was decided for it, and what the
/// upstreams concerned did shortly before.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryArgs {
    /// time before the request from which changes are shown, in milliseconds
    #[argh(option, default = "5000")]
    pub before_ms: u64,
    /// file of log lines; may be given several times
    #[argh(option)]
    pub log: Vec<PathBuf>,
    /// id of the request, from its x-request-id header
    #[argh(positional)]
    pub id: String,
}

/// Runs the command.
#[must_use]
pub fn run(args: &StoryArgs) -> ExitStatus {
    let mut lines = Vec::new();
    for path in &args.log {
        match fs::read_to_string(path) {
            Ok(text) => lines.extend(text.lines().filter_map(parse)),
            Err(error) => {
                eprintln!("cannot read {}: {error}", path.display());
                return ExitStatus::BadInput;
            }
        }
    }
    let story = tell(&mut lines, &args.id, args.before_ms);
    if story.is_empty() {
        eprintln!(
            "no line names {}; of successes only a sample is logged",
            args.id
        );
        return ExitStatus::Refused;
    }
    for line in story {
        println!("{line}");
    }
    ExitStatus::Done
}

/// Finds the JSON object of a line; collectors may put words before it.
fn parse(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Returns the lines of the story in the order of their time.
#[must_use]
pub fn tell(lines: &mut [Value], id: &str, before_ms: u64) -> Vec<String> {
    lines.sort_by_key(|line| line["time_ms"].as_u64());
    let own = |line: &&Value| line["request"] == id;
    let Some(first) = lines
        .iter()
        .find(own)
        .and_then(|line| line["time_ms"].as_u64())
    else {
        return Vec::new();
    };
    let last = lines
        .iter()
        .rev()
        .find(own)
        .and_then(|line| line["time_ms"].as_u64());
    let upstreams: Vec<&Value> = lines
        .iter()
        .filter(own)
        .map(|line| &line["upstream"])
        .filter(|upstream| upstream.is_string())
        .collect();
    let span = first.saturating_sub(before_ms)..=last.unwrap_or(first);
    let concerns = |line: &&Value| {
        let time = line["time_ms"].as_u64();
        let is_near = time.is_some_and(|time| span.contains(&time));
        let name = line["name"].as_str().unwrap_or_default();
        let is_belief = BELIEFS.contains(&name);
        let is_upstream = line["request"].is_null() && upstreams.contains(&&line["upstream"]);
        line["request"] == id || (is_near && (is_belief || is_upstream))
    };
    lines
        .iter()
        .filter(concerns)
        .map(|line| show(line, first))
        .collect()
}

/// Renders a line with its time against the request's first line.
fn show(line: &Value, first: u64) -> String {
    let time = line["time_ms"].as_u64().unwrap_or(first);
    let sign = if time < first { '-' } else { '+' };
    let mark = if line["request"].is_null() { ' ' } else { '*' };
    let name = line["name"].as_str().unwrap_or_default();
    let mut text = format!("{mark} {sign}{} ms {name}", time.abs_diff(first));
    for (key, value) in line.as_object().into_iter().flatten() {
        if !COMMON_FIELDS.contains(&key.as_str()) {
            let value = value.as_str().unwrap_or_default();
            write!(text, " {key}={value}").expect("a string can always be written to");
        }
    }
    text
}

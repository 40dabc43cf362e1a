//! Command `explain`: shows the decisions on one request and their reasons, from the journal of an
//! entry or from log files.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use super::exit::ExitStatus;
use super::fleet::{FleetAccess, query_entries};
use super::story::explain_from_logs;

/// Shows the decisions on one request, from the journal of the entry that received it, or from
/// files of JSON log lines: its events and the state changes of its upstreams before and during it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// IP address and port of the platform, to ask the entries
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// bearer token of the operator ports
    #[argh(option)]
    pub operator_token: Option<String>,
    /// print JSON, with --platform only
    #[argh(switch)]
    pub json: bool,
    /// file of JSON log lines, in place of --platform; may be repeated
    #[argh(option)]
    pub log: Vec<PathBuf>,
    /// milliseconds before the first event of the request from which state changes are shown, with
    /// --log only
    #[argh(option, default = "5000")]
    pub before_ms: u64,
    /// id of the request, from its x-request-id header
    #[argh(positional)]
    pub id: String,
}

/// Runs the command `explain`.
pub async fn run(args: &ExplainArgs) -> ExitStatus {
    match (args.platform, args.log.as_slice()) {
        (None, []) => {
            eprintln!("either --platform or --log is needed");
            ExitStatus::BadInput
        }
        (Some(_), [_, ..]) => {
            eprintln!("--platform and --log cannot be used together");
            ExitStatus::BadInput
        }
        (None, _) if args.json => {
            eprintln!("--json cannot be used with --log");
            ExitStatus::BadInput
        }
        (None, files) => explain_from_logs(files, &args.id, args.before_ms),
        (Some(platform), []) => explain_from_entries(platform, args).await,
    }
}

/// Shows the journal of the entry that received the request.
async fn explain_from_entries(platform: SocketAddr, args: &ExplainArgs) -> ExitStatus {
    let is_id_char = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if args.id.is_empty() || !args.id.chars().all(is_id_char) {
        eprintln!(
            "{:?} is no request id; one looks like req-0123456789abcdef",
            args.id
        );
        return ExitStatus::BadInput;
    }
    let fleet = FleetAccess {
        platform,
        operator_token: args.operator_token.clone(),
    };
    match query_entries(&fleet, &format!("/explain/{}", args.id)).await {
        None => {
            eprintln!("the list of instances cannot be read");
            ExitStatus::Unavailable
        }
        Some(Value::Null) => {
            eprintln!("no reachable entry has a record of {}", args.id);
            ExitStatus::Refused
        }
        Some(report) if args.json => {
            println!("{report:#}");
            ExitStatus::Done
        }
        Some(report) => {
            print_report(&report);
            ExitStatus::Done
        }
    }
}

fn print_report(report: &Value) {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    println!("request   {}", text(&report["id"]));
    println!(
        "customer  {}, rank {}",
        text(&report["customer"]),
        text(&report["rank"])
    );
    println!("target    {}", text(&report["target"]));
    for step in report["steps"].as_array().into_iter().flatten() {
        let after_ms = step["after_ms"].as_f64().unwrap_or(0.0);
        println!(
            "{after_ms:9.1} ms  {:20} {}",
            text(&step["upstream"]),
            text(&step["event"])
        );
        if let Some(repeats) = step["repeats"].as_u64().filter(|repeats| *repeats > 0) {
            println!("             and {repeats} times more");
        }
    }
    if let Some(dropped) = report["dropped_steps"]
        .as_u64()
        .filter(|dropped| *dropped > 0)
    {
        println!("             {dropped} further steps were not recorded");
    }
    println!(
        "told      {} {}",
        text(&report["told"]),
        text(&report["reason"])
    );
}

//! Command `explain`: shows the decisions of an entry on one request and their reasons.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use super::exit::ExitStatus;
use super::fleet::{FleetAccess, query_entries};

/// Shows the decisions on one request, from the journal of the entry that received it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// bearer token of the operator ports
    #[argh(option)]
    pub operator_token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// id of the request, from its x-request-id header
    #[argh(positional)]
    pub id: String,
}

/// Runs the command `explain`.
pub async fn run(args: &ExplainArgs) -> ExitStatus {
    let is_id_char = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if args.id.is_empty() || !args.id.chars().all(is_id_char) {
        eprintln!(
            "{:?} is no request id; one looks like req-0123456789abcdef",
            args.id
        );
        return ExitStatus::BadInput;
    }
    let fleet = FleetAccess {
        platform: args.platform,
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

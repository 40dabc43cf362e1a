//! Command `status`: shows the configuration that each live process has in force.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::json;

use super::exit::ExitStatus;
use super::fleet::{FleetAccess, ProcessState, fetch_processes};
use super::follower::{CatchUpOutcome, ConfigFollower};
use crate::decide::ids::{LogPosition, StoreEra};
use crate::platform::log_client::LogClient;
use crate::wire::config_record::CONFIG_STREAM;

/// Shows the offset of the configuration that each live process has in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// bearer token of the operator ports
    #[argh(option)]
    pub operator_token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command `status`.
pub async fn run(args: &StatusArgs) -> ExitStatus {
    let log = LogClient::new(args.platform, CONFIG_STREAM);
    let mut follower = ConfigFollower::new(log, None);
    let outcome = follower.catch_up().await;
    let next = (outcome == CatchUpOutcome::AtEnd).then(|| follower.current().next());
    let fleet = FleetAccess {
        platform: args.platform,
        operator_token: args.operator_token.clone(),
    };
    let Some(states) = fetch_processes(&fleet).await else {
        eprintln!("the list of instances cannot be read");
        return ExitStatus::Unavailable;
    };
    if args.json {
        print_json(next, &follower, &states);
    } else {
        print_text(next, &follower, &states);
    }
    // While the log cannot be read, the newest position of any process is the reference.
    let newest = next.or_else(|| states.iter().filter_map(|state| state.next).max());
    if states.iter().all(|state| state.next >= newest) {
        ExitStatus::Done
    } else {
        ExitStatus::NotEverywhere
    }
}

fn print_json(next: Option<LogPosition>, follower: &ConfigFollower, states: &[ProcessState]) {
    let skipped_records = follower
        .skipped
        .iter()
        .map(|skipped| json!({"offset": skipped.offset.0, "reason": skipped.reason}));
    let processes = states.iter().map(|state| {
        json!({
            "name": state.name,
            "role": state.role,
            "leaving": state.is_leaving,
            "era": state.next.map(|next| next.era.0),
            "next_offset": state.next.map(|next| next.offset.0),
            "orders": state.dump["orders"],
        })
    });
    let report = json!({
        "log_era": next.map(|next| next.era.0),
        "log_next_offset": next.map(|next| next.offset.0),
        "skipped": skipped_records.collect::<Vec<_>>(),
        "processes": processes.collect::<Vec<_>>(),
    });
    println!("{report:#}");
}

fn print_text(next: Option<LogPosition>, follower: &ConfigFollower, states: &[ProcessState]) {
    match next {
        Some(next) => println!("log: {}", describe(next)),
        None => println!("log: cannot be read"),
    }
    for skipped in &follower.skipped {
        println!(
            "record {} has no effect: {}",
            skipped.offset.0, skipped.reason
        );
    }
    for state in states {
        let next = state
            .next
            .map_or("next offset no answer".to_owned(), describe);
        let leaving = if state.is_leaving { ", leaving" } else { "" };
        println!("{} {}{leaving}: {next}", state.role, state.name);
    }
}

fn describe(next: LogPosition) -> String {
    let LogPosition { era, offset } = next;
    if era == StoreEra(0) {
        return format!("next offset {}", offset.0);
    }
    format!("next offset {} in era {}", offset.0, era.0)
}

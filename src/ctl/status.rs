//! Command `status`: shows the configuration that each live process has in force.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::json;

use super::exit::ExitStatus;
use super::fleet::{FleetAccess, ProcessState, fetch_processes};
use super::follower::{CatchUpOutcome, ConfigFollower};
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
    let next_offset = (outcome == CatchUpOutcome::AtEnd).then(|| follower.current().next_offset.0);
    let fleet = FleetAccess {
        platform: args.platform,
        operator_token: args.operator_token.clone(),
    };
    let Some(states) = fetch_processes(&fleet).await else {
        eprintln!("the list of instances cannot be read");
        return ExitStatus::Unavailable;
    };
    if args.json {
        print_json(next_offset, &follower, &states);
    } else {
        print_text(next_offset, &follower, &states);
    }
    // While the log cannot be read, the newest offset of any process is the reference.
    let newest = next_offset.or_else(|| states.iter().filter_map(|state| state.next_offset).max());
    if states.iter().all(|state| state.next_offset >= newest) {
        ExitStatus::Done
    } else {
        ExitStatus::NotEverywhere
    }
}

fn print_json(next_offset: Option<u64>, follower: &ConfigFollower, states: &[ProcessState]) {
    let skipped_records = follower
        .skipped
        .iter()
        .map(|skipped| json!({"offset": skipped.offset.0, "reason": skipped.reason}));
    let processes = states.iter().map(|state| {
        json!({
            "name": state.name,
            "role": state.role,
            "leaving": state.is_leaving,
            "next_offset": state.next_offset,
            "orders": state.dump["orders"],
        })
    });
    let report = json!({
        "log_next_offset": next_offset,
        "skipped": skipped_records.collect::<Vec<_>>(),
        "processes": processes.collect::<Vec<_>>(),
    });
    println!("{report:#}");
}

fn print_text(next_offset: Option<u64>, follower: &ConfigFollower, states: &[ProcessState]) {
    match next_offset {
        Some(next_offset) => println!("log: next offset {next_offset}"),
        None => println!("log: cannot be read"),
    }
    for skipped in &follower.skipped {
        println!(
            "record {} has no effect: {}",
            skipped.offset.0, skipped.reason
        );
    }
    for state in states {
        let offset = match state.next_offset {
            Some(offset) => offset.to_string(),
            None => "no answer".to_owned(),
        };
        let leaving = if state.is_leaving { ", leaving" } else { "" };
        println!(
            "{} {}{leaving}: next offset {offset}",
            state.role, state.name
        );
    }
}

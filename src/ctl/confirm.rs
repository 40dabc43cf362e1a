//! Command `confirm`: appends a plan to the log and waits until all live processes apply it.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::exit::ExitStatus;
use super::fleet::{FleetAccess, ProcessState, fetch_processes};
use super::follower::{CatchUpOutcome, ConfigFollower};
use crate::decide::config_change::PlanRecord;
use crate::decide::config_replica::StreamRecord;
use crate::decide::confirm::{AppendResult, ConfirmOutcome, ConfirmStep, Confirmation};
use crate::decide::ids::LogPosition;
use crate::platform::log_client::{AppendOutcome, LogClient};
use crate::wire::config_record::CONFIG_STREAM;
use crate::wire::config_snapshot::{decode_stream_record, encode_record};

/// Pause before an append, a read of the log or a query of the fleet is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Puts a plan in force and waits until every live process has it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// bearer token of the operator ports
    #[argh(option)]
    pub operator_token: Option<String>,
    /// milliseconds to wait until every live process has the plan in force; 0 does not wait
    #[argh(option, default = "10_000")]
    pub wait_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// file with the plan
    #[argh(positional)]
    pub file: String,
}

/// Result of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmReport {
    /// State of the plan at the end of the confirmation.
    pub outcome: ConfirmOutcome,
    /// Reason why the plan is not known to be in force; empty if it is in force.
    pub reason: String,
}

/// Runs the command `confirm`.
pub async fn run(args: &ConfirmArgs) -> ExitStatus {
    let record = match read_plan(&args.file) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", args.file);
            return ExitStatus::BadInput;
        }
    };
    let report = confirm(args.platform, &record).await;
    let ConfirmOutcome::InForce(position) = report.outcome else {
        print_not_in_force(&report, args.json);
        return exit_status(report.outcome);
    };
    let fleet = FleetAccess {
        platform: args.platform,
        operator_token: args.operator_token.clone(),
    };
    let missing = wait_for_fleet(&fleet, position, Duration::from_millis(args.wait_ms)).await;
    print_in_force(position, &missing, args.json);
    if missing.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::NotEverywhere
    }
}

/// Appends a plan to the log and determines whether it is in force.
pub async fn confirm(platform: SocketAddr, record: &PlanRecord) -> ConfirmReport {
    let log = LogClient::new(platform, CONFIG_STREAM);
    let mut follower = ConfigFollower::new(log, Some(record.plan_id));
    let report = |outcome, reason: &str| ConfirmReport {
        outcome,
        reason: reason.to_owned(),
    };
    if let Some(failure) = follower.catch_up().await.failure() {
        return report(ConfirmOutcome::NotAppended, &failure);
    }
    // An earlier confirmation may have put the plan in force without receiving the response.
    let mut confirmation = Confirmation::default();
    let current = follower.current();
    confirmation.on_read(current.next(), follower.copies());
    let is_new = follower.copies().is_empty();
    if is_new && let Err(refusal) = current.preview(current.next_offset, record) {
        let outcome = ConfirmOutcome::Refused(current.next());
        return report(outcome, &refusal.to_string());
    }
    let outcome = run_confirmation(&mut confirmation, &mut follower, &encode_record(record)).await;
    match outcome {
        ConfirmOutcome::InForce(_) => report(outcome, ""),
        ConfirmOutcome::Refused(at) => report(outcome, follower.skip_reason(at.offset)),
        ConfirmOutcome::NotAppended => report(outcome, "the log accepts no records"),
        ConfirmOutcome::Unknown => report(
            outcome,
            "the log did not respond; confirm the same plan again",
        ),
    }
}

/// Carries out the steps of a confirmation until it ends.
async fn run_confirmation(
    confirmation: &mut Confirmation,
    follower: &mut ConfigFollower,
    body: &str,
) -> ConfirmOutcome {
    loop {
        match confirmation.step() {
            ConfirmStep::Done(outcome) => return outcome,
            ConfirmStep::Append => {
                let result = match follower.log.append(body.to_owned()).await {
                    AppendOutcome::Appended(position) => AppendResult::Appended(position),
                    AppendOutcome::Refused(_) => AppendResult::NotAppended,
                    AppendOutcome::Unknown(_) => AppendResult::Unanswered,
                };
                confirmation.on_append(result);
                if !matches!(result, AppendResult::Appended(_)) {
                    sleep(RETRY_PAUSE).await;
                }
            }
            ConfirmStep::Read => match follower.catch_up().await {
                CatchUpOutcome::AtEnd => {
                    let next = follower.current().next();
                    confirmation.on_read(next, follower.copies());
                }
                CatchUpOutcome::Unreadable(_) | CatchUpOutcome::RecordsMissing => {
                    sleep(RETRY_PAUSE).await;
                    confirmation.on_read_failed();
                }
            },
        }
    }
}

/// Waits until all live processes have the position in force; returns those that have not at the end
/// of the wait.
async fn wait_for_fleet(
    fleet: &FleetAccess,
    position: LogPosition,
    wait: Duration,
) -> Vec<ProcessState> {
    let deadline = Instant::now() + wait;
    if wait.is_zero() {
        return Vec::new();
    }
    loop {
        let Some(mut states) = fetch_processes(fleet).await else {
            eprintln!("the list of instances cannot be read");
            return Vec::new();
        };
        states.retain(|state| state.next.is_none_or(|next| next <= position));
        if states.is_empty() || Instant::now() >= deadline {
            return states;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns the exit status for the outcome of a confirmation.
#[must_use]
pub const fn exit_status(outcome: ConfirmOutcome) -> ExitStatus {
    match outcome {
        ConfirmOutcome::InForce(_) => ExitStatus::Done,
        ConfirmOutcome::Refused(_) => ExitStatus::Refused,
        ConfirmOutcome::NotAppended => ExitStatus::Unavailable,
        ConfirmOutcome::Unknown => ExitStatus::Unknown,
    }
}

fn read_plan(file: &str) -> Result<PlanRecord, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    match decode_stream_record(&text) {
        StreamRecord::Plan(record) => Ok(record),
        StreamRecord::Malformed(reason) => Err(reason),
        StreamRecord::Part(_) | StreamRecord::Omitted => {
            Err("the file does not contain a plan".to_owned())
        }
    }
}

fn print_not_in_force(report: &ConfirmReport, as_json: bool) {
    let outcome = match report.outcome {
        ConfirmOutcome::InForce(_) => "in_force",
        ConfirmOutcome::Refused(_) => "refused",
        ConfirmOutcome::NotAppended => "not_appended",
        ConfirmOutcome::Unknown => "unknown",
    };
    if as_json {
        println!("{}", json!({"outcome": outcome, "reason": report.reason}));
        return;
    }
    eprintln!("{}: {}", outcome.replace('_', " "), report.reason);
}

fn print_in_force(position: LogPosition, missing: &[ProcessState], as_json: bool) {
    let offset = position.offset.0;
    let names: Vec<&str> = missing.iter().map(|state| state.name.as_str()).collect();
    if as_json {
        let report = json!({"outcome": "in_force", "offset": offset, "missing": names});
        println!("{report}");
        return;
    }
    println!("in force from offset {offset}");
    for name in names {
        eprintln!("not yet in force at {name}");
    }
}

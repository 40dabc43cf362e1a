//! Command `confirm`: puts a plan in force and waits until every live process has it.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::exit::ExitStatus;
use super::fleet::{FleetArgs, ProcessState, processes};
use super::follower::{ConfigFollower, FollowOutcome};
use crate::decide::config_change::PlanRecord;
use crate::decide::config_replica::StreamRecord;
use crate::decide::confirm::{AppendResult, ConfirmOutcome, ConfirmStep, Confirmation};
use crate::decide::ids::LogOffset;
use crate::platform::log_client::{AppendOutcome, LogClient};
use crate::wire::config_record::CONFIG_STREAM;
use crate::wire::config_snapshot::{decode_stream_record, encode_record};

/// Pause before a further append or look.
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
    /// file that holds the plan
    #[argh(positional)]
    pub file: String,
}

/// What a confirmation came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmReport {
    /// What became of the plan.
    pub outcome: ConfirmOutcome,
    /// Why it is not in force; empty if it is.
    pub reason: String,
}

/// Runs the command.
pub async fn run(args: &ConfirmArgs) -> ExitStatus {
    let record = match read_plan(&args.file) {
        Ok(record) => record,
        Err(problem) => {
            eprintln!("{}: {problem}", args.file);
            return ExitStatus::BadInput;
        }
    };
    let report = confirm(args.platform, &record).await;
    let ConfirmOutcome::InForce(offset) = report.outcome else {
        print_refusal(&report, args.json);
        return status_of(report.outcome);
    };
    let fleet = FleetArgs {
        platform: args.platform,
        operator_token: args.operator_token.clone(),
    };
    let missing = wait_everywhere(&fleet, offset, Duration::from_millis(args.wait_ms)).await;
    print_in_force(offset, &missing, args.json);
    if missing.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::NotEverywhere
    }
}

/// Appends a plan and finds out what became of it.
pub async fn confirm(platform: SocketAddr, record: &PlanRecord) -> ConfirmReport {
    let log = LogClient::new(platform, CONFIG_STREAM);
    let mut follower = ConfigFollower::new(log, Some(record.plan_id));
    let report = |outcome, reason: &str| ConfirmReport {
        outcome,
        reason: reason.to_owned(),
    };
    match follower.catch_up().await {
        FollowOutcome::AtEnd => {}
        FollowOutcome::Unreadable(reason) => return report(ConfirmOutcome::NotAppended, &reason),
        FollowOutcome::RecordsMissing => {
            return report(ConfirmOutcome::NotAppended, "the log has lost records");
        }
    }
    // The plan may be in force already: an earlier confirmation may have lost its answer.
    let mut confirmation = Confirmation::default();
    let current = follower.current();
    confirmation.on_read(current.next_offset, follower.copies());
    let is_new = follower.copies().is_empty();
    if is_new && let Err(refusal) = current.preview(current.next_offset, record) {
        let outcome = ConfirmOutcome::Refused(current.next_offset);
        return report(outcome, &refusal.to_string());
    }
    let outcome = settle(&mut confirmation, &mut follower, &encode_record(record)).await;
    match outcome {
        ConfirmOutcome::InForce(_) => report(outcome, ""),
        ConfirmOutcome::Refused(offset) => report(outcome, follower.reason(offset)),
        ConfirmOutcome::NotAppended => report(outcome, "the log takes no records"),
        ConfirmOutcome::Unknown => report(
            outcome,
            "the log gave no answer; confirm the same plan again",
        ),
    }
}

async fn settle(
    confirmation: &mut Confirmation,
    follower: &mut ConfigFollower,
    body: &str,
) -> ConfirmOutcome {
    loop {
        match confirmation.step() {
            ConfirmStep::Done(outcome) => return outcome,
            ConfirmStep::Append => {
                let result = match follower.log.append(body.to_owned()).await {
                    AppendOutcome::Appended(offset) => AppendResult::Appended(offset),
                    AppendOutcome::Refused(_) => AppendResult::NotAppended,
                    AppendOutcome::Unknown(_) => AppendResult::Unanswered,
                };
                confirmation.on_append(result);
                if !matches!(result, AppendResult::Appended(_)) {
                    sleep(RETRY_PAUSE).await;
                }
            }
            ConfirmStep::Read => match follower.catch_up().await {
                FollowOutcome::AtEnd => {
                    let next_offset = follower.current().next_offset;
                    confirmation.on_read(next_offset, follower.copies());
                }
                FollowOutcome::Unreadable(_) | FollowOutcome::RecordsMissing => {
                    sleep(RETRY_PAUSE).await;
                    confirmation.on_read_failed();
                }
            },
        }
    }
}

/// Returns the live processes that do not have the offset in force by the end of the wait.
async fn wait_everywhere(
    fleet: &FleetArgs,
    offset: LogOffset,
    wait: Duration,
) -> Vec<ProcessState> {
    let deadline = Instant::now() + wait;
    if wait.is_zero() {
        return Vec::new();
    }
    loop {
        let Some(mut states) = processes(fleet).await else {
            eprintln!("the instance list cannot be read");
            return Vec::new();
        };
        states.retain(|state| state.next_offset.is_none_or(|next| next <= offset.0));
        if states.is_empty() || Instant::now() >= deadline {
            return states;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns the exit status that belongs to an outcome.
#[must_use]
pub const fn status_of(outcome: ConfirmOutcome) -> ExitStatus {
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
        StreamRecord::Part(_) | StreamRecord::Omitted => Err("not a plan".to_owned()),
    }
}

fn print_refusal(report: &ConfirmReport, as_json: bool) {
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

fn print_in_force(offset: LogOffset, missing: &[ProcessState], as_json: bool) {
    let names: Vec<&str> = missing.iter().map(|state| state.name.as_str()).collect();
    if as_json {
        let report = json!({"outcome": "in_force", "offset": offset.0, "missing": names});
        println!("{report}");
        return;
    }
    println!("in force from offset {}", offset.0);
    for name in names {
        eprintln!("not yet in force at {name}");
    }
}

//! Command `apply`: makes a plan from the changes in a file and confirms it in one step.

use rand::RngExt;

use super::args::ApplyArgs;
use super::confirm::{confirm, exit_status};
use super::exit::ExitStatus;
use super::follower::ConfigFollower;
use super::plan::read_changes;
use crate::decide::config_change::{PlanId, PlanRecord};
use crate::decide::confirm::ConfirmOutcome;
use crate::platform::log_client::LogClient;
use crate::wire::config_record::CONFIG_STREAM;

/// Runs the command `apply`.
pub async fn run(args: &ApplyArgs) -> ExitStatus {
    let changes = match read_changes(&args.file) {
        Ok(changes) => changes,
        Err(error) => {
            eprintln!("{}: {error}", args.file);
            return ExitStatus::BadInput;
        }
    };
    let log = LogClient::new(args.platform, CONFIG_STREAM);
    let mut follower = ConfigFollower::new(log, None);
    if let Some(failure) = follower.catch_up().await.failure() {
        eprintln!("{failure}");
        return ExitStatus::Unavailable;
    }
    let record = PlanRecord {
        plan_id: PlanId(rand::rng().random()),
        planned_at: follower.current().next_offset,
        forced: args.force,
        changes,
    };
    let report = confirm(args.platform, &record).await;
    match report.outcome {
        ConfirmOutcome::InForce(at) => println!("in force from offset {}", at.offset.0),
        ConfirmOutcome::Refused(_) => eprintln!("refused: {}", report.reason),
        ConfirmOutcome::NotAppended => eprintln!("not appended: {}", report.reason),
        ConfirmOutcome::Unknown => eprintln!("may have been appended: {}", report.reason),
    }
    exit_status(report.outcome)
}

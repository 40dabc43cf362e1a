//! Command `apply`: appends changes from a file as one plan.

use rand::RngExt;

use super::args::ApplyArgs;
use super::exit::ExitStatus;
use crate::decide::config_change::{ConfigChange, ConfigRecord, PlanId};
use crate::decide::ids::LogOffset;
use crate::platform::log_client::{AppendOutcome, LogClient, ReadOutcome, ReadWindow};
use crate::wire::config_objects::RecordError;
use crate::wire::config_record::{CONFIG_STREAM, WireChange};
use crate::wire::config_snapshot::encode_record;

/// Runs the command.
pub async fn run(args: &ApplyArgs) -> ExitStatus {
    let changes = match read_changes(&args.file) {
        Ok(changes) => changes,
        Err(problem) => {
            eprintln!("{}: {problem}", args.file);
            return ExitStatus::BadInput;
        }
    };
    let log = LogClient::new(args.platform, CONFIG_STREAM);
    let Some(planned_at) = newest_offset(&log).await else {
        return ExitStatus::Unavailable;
    };
    let record = ConfigRecord {
        plan_id: PlanId(rand::rng().random()),
        planned_at,
        forced: args.force,
        changes,
    };
    match log.append(encode_record(&record)).await {
        AppendOutcome::Appended(offset) => {
            println!("appended at offset {}", offset.0);
            ExitStatus::Done
        }
        AppendOutcome::Refused(reason) => {
            eprintln!("not appended: {reason}");
            ExitStatus::Unavailable
        }
        AppendOutcome::Unknown(reason) => {
            eprintln!("may have been appended: {reason}");
            ExitStatus::Unknown
        }
    }
}

fn read_changes(file: &str) -> Result<Vec<ConfigChange>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let changes: Vec<WireChange> =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let changes: Result<_, RecordError> = changes.into_iter().map(TryInto::try_into).collect();
    changes.map_err(|error| error.to_string())
}

async fn newest_offset(log: &LogClient) -> Option<LogOffset> {
    let window = ReadWindow {
        from: LogOffset(u64::MAX),
        limit: 1,
        wait: std::time::Duration::ZERO,
    };
    match log.read(window).await {
        ReadOutcome::Page(page) => Some(page.next),
        ReadOutcome::Unavailable(reason) => {
            eprintln!("the log cannot be read: {reason}");
            None
        }
    }
}

//! Commands of `bulrushslip-ctl`, the operators' command-line tool.

pub mod apply;
pub mod args;
pub mod check;
pub mod check_report;
pub mod confirm;
pub mod dump;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod follower;
pub mod plan;
pub mod request;
pub mod status;
pub mod story;

use args::{Command, CtlArgs};
use exit::ExitStatus;

/// Runs the given command and returns the exit status of the process.
pub async fn run(args: CtlArgs) -> ExitStatus {
    match args.command {
        Command::Apply(args) => apply::run(&args).await,
        Command::Check(args) => check::run(&args).await,
        Command::Plan(args) => plan::run(&args).await,
        Command::Confirm(args) => confirm::run(&args).await,
        Command::Status(args) => status::run(&args).await,
        Command::Dump(args) => dump::run(&args).await,
        Command::Explain(args) => explain::run(&args).await,
        Command::Request(args) => request::run(&args).await,
        Command::Hash(args) => {
            println!("{}", blake3::hash(args.bearer_key.as_bytes()));
            ExitStatus::Done
        }
    }
}

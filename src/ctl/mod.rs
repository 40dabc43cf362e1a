//! Command line of the operators.

pub mod apply;
pub mod args;
pub mod dump;
pub mod exit;
pub mod request;

use args::{Command, CtlArgs};
use exit::ExitStatus;

/// Runs one command and returns the exit status.
pub async fn run(args: CtlArgs) -> ExitStatus {
    match args.command {
        Command::Apply(args) => apply::run(&args).await,
        Command::Dump(args) => dump::run(&args).await,
        Command::Request(args) => request::run(&args).await,
        Command::Hash(args) => {
            println!("{}", blake3::hash(args.bearer_key.as_bytes()));
            ExitStatus::Done
        }
    }
}

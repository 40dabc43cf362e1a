//! Command line of the operators.

pub mod apply;
pub mod args;
pub mod exit;

use args::{Command, CtlArgs};
use exit::ExitStatus;

/// Runs one command and returns the exit status.
pub async fn run(args: CtlArgs) -> ExitStatus {
    match args.command {
        Command::Apply(args) => apply::run(&args).await,
        Command::Hash(args) => {
            println!("{}", blake3::hash(args.bearer_key.as_bytes()));
            ExitStatus::Done
        }
    }
}

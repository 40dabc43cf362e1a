//! Command-line arguments of `bulrushslip-ctl`.

use std::net::SocketAddr;

use argh::FromArgs;

use super::check::CheckArgs;
use super::confirm::ConfirmArgs;
use super::dump::DumpArgs;
use super::explain::ExplainArgs;
use super::plan::PlanArgs;
use super::request::RequestArgs;
use super::status::StatusArgs;

/// Changes and shows the configuration and the state of a bulrushslip fleet.
#[derive(Debug, FromArgs)]
pub struct CtlArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Makes a plan from a file of changes and confirms it.
    Apply(ApplyArgs),
    /// Checks a file of changes, a plan or a configuration document.
    Check(CheckArgs),
    /// Makes a plan from an intent.
    Plan(PlanArgs),
    /// Puts a plan in force.
    Confirm(ConfirmArgs),
    /// Shows the configuration that each process has in force.
    Status(StatusArgs),
    /// Prints the state of a process.
    Dump(DumpArgs),
    /// Shows the decisions of an entry on one request.
    Explain(ExplainArgs),
    /// Shows the timeline of one request from log files.
    /// Sends one chat request.
    Request(RequestArgs),
    /// Hashes a bearer key.
    Hash(HashArgs),
}

/// Makes a plan from a JSON array of changes and confirms it in one step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// make the changes even if customers are left without an upstream
    #[argh(switch)]
    pub force: bool,
    /// file with the changes
    #[argh(positional)]
    pub file: String,
}

/// Prints the hash of a bearer key, to be used in the declaration of a customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash")]
pub struct HashArgs {
    /// bearer key to hash
    #[argh(positional)]
    pub bearer_key: String,
}

//! Command-line arguments of `bulrushslip-ctl`.

use std::net::SocketAddr;

use argh::FromArgs;

use super::confirm::ConfirmArgs;
use super::dump::DumpArgs;
use super::explain::ExplainArgs;
use super::plan::PlanArgs;
use super::request::RequestArgs;
use super::status::StatusArgs;
use super::story::StoryArgs;

/// Changes and shows the configuration of bulrushslip.
#[derive(Debug, FromArgs)]
pub struct CtlArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Appends changes as they are.
    Apply(ApplyArgs),
    /// Turns an intent into a plan.
    Plan(PlanArgs),
    /// Puts a plan in force.
    Confirm(ConfirmArgs),
    /// Shows what is in force.
    Status(StatusArgs),
    /// Prints the state of a process.
    Dump(DumpArgs),
    /// Tells what was decided for one request.
    Explain(ExplainArgs),
    /// Tells a request's story from log files.
    Story(StoryArgs),
    /// Sends one request.
    Request(RequestArgs),
    /// Hashes a bearer key.
    Hash(HashArgs),
}

/// Appends a JSON array of changes as one plan, without asking.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// make the changes even if customers lose their upstreams
    #[argh(switch)]
    pub force: bool,
    /// file that holds the changes
    #[argh(positional)]
    pub file: String,
}

/// Prints the hash of a bearer key for use in a customer's declaration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash")]
pub struct HashArgs {
    /// the bearer key
    #[argh(positional)]
    pub bearer_key: String,
}

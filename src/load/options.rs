//! Command-line arguments of `bulrushslip-load`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use super::path::PathOptions;
use super::workload::{PrefixLengths, WorkloadSpec};

/// Sends seeded load to running entries and measures latencies and the cost of single decisions.
#[derive(Debug, FromArgs)]
pub struct LoadOptions {
    /// command to run
    #[argh(subcommand)]
    pub command: LoadCommand,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum LoadCommand {
    /// Sends seeded load to running entries.
    Run(RunOptions),
    /// Measures the cost of decisions in this process.
    Measure(MeasureOptions),
    /// Measures the latency that the path through an entry adds.
    Path(PathOptions),
}

/// Measure the cost of queue, placement and cache index decisions in this process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct MeasureOptions {
    /// pieces in the smaller cache index; the larger one holds ten times as many
    #[argh(option, default = "40_000")]
    pub pieces: usize,
    /// repetitions of each decision
    #[argh(option, default = "200_000")]
    pub repetitions: u32,
}

/// Send the same seeded requests to each target at the times they are due.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunOptions {
    /// target as NAME=ENTRY,ENTRY@ENGINE,ENGINE with IP addresses and ports; may be repeated, and
    /// the last one is the baseline of the comparison
    #[argh(option, from_str_fn(parse_target))]
    pub target: Vec<LoadTarget>,
    /// seed of the requests
    #[argh(option, default = "1")]
    pub seed: u64,
    /// requests per second outside floods
    #[argh(option, default = "40")]
    pub rate: u32,
    /// length of the run in seconds
    #[argh(option, default = "30")]
    pub seconds: u32,
    /// percentage of urgent requests outside floods
    #[argh(option, default = "30")]
    pub urgent_percent: u32,
    /// rate of a rank in its flood, as a multiple of its usual rate
    #[argh(option, default = "1")]
    pub flood_factor: u32,
    /// leave out the requests of the large customers
    #[argh(switch)]
    pub without_large: bool,
    /// bytes of prompt text in one cache piece, as in the declaration of the model
    #[argh(option, default = "128")]
    pub piece_bytes: usize,
    /// cache pieces in the preamble that all prompts share
    #[argh(option, default = "2")]
    pub preamble_pieces: usize,
    /// cache pieces in the text of a site
    #[argh(option, default = "3")]
    pub site_pieces: usize,
    /// cache pieces in the text of a unit
    #[argh(option, default = "2")]
    pub unit_pieces: usize,
    /// name of the model
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// prefix of bearer keys: customer N, from 0, sends this prefix followed by N
    #[argh(option, default = "String::from(\"key-\")")]
    pub key_prefix: String,
    /// time to the first token in milliseconds within which an urgent request counts as served
    #[argh(option, default = "2_000")]
    pub urgent_deadline_ms: u64,
    /// time to the first token in milliseconds within which a routine request counts as served
    #[argh(option, default = "2_000")]
    pub routine_deadline_ms: u64,
    /// address of an engine stand-in to crash; may be repeated
    #[argh(option)]
    pub crash: Vec<SocketAddr>,
    /// time at which the engines crash, in seconds from the start of the run
    #[argh(option, default = "10")]
    pub crash_at: u64,
    /// file to write the report to as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// Entries to which requests are sent, and the engines behind them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadTarget {
    /// Name of the target in the report.
    pub name: String,
    /// Addresses of the entries, used in rotation.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the engine stand-ins whose counters are read.
    pub engines: Vec<SocketAddr>,
}

impl RunOptions {
    /// Returns the parameters of the generated requests.
    #[must_use]
    pub const fn workload(&self) -> WorkloadSpec {
        WorkloadSpec {
            seed: self.seed,
            rate: self.rate,
            seconds: self.seconds,
            urgent_percent: self.urgent_percent,
            flood_factor: self.flood_factor,
            without_large: self.without_large,
        }
    }

    /// Returns the number of pieces in each level of a prompt.
    #[must_use]
    pub const fn prefix_lengths(&self) -> PrefixLengths {
        PrefixLengths {
            preamble: self.preamble_pieces,
            site: self.site_pieces,
            unit: self.unit_pieces,
        }
    }
}

fn parse_target(text: &str) -> Result<LoadTarget, String> {
    let (name, addresses) = text
        .split_once('=')
        .ok_or("expected NAME=ENTRY,ENTRY@ENGINE,ENGINE, but '=' is missing")?;
    let (entries, engines) = addresses.split_once('@').unwrap_or((addresses, ""));
    let entries = parse_addresses(entries)?;
    if entries.is_empty() {
        return Err("a target needs at least one entry".to_owned());
    }
    Ok(LoadTarget {
        name: name.to_owned(),
        entries,
        engines: parse_addresses(engines)?,
    })
}

fn parse_addresses(list: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |text: &str| text.parse().map_err(|error| format!("{text}: {error}"));
    list.split(',')
        .filter(|text| !text.is_empty())
        .map(parse)
        .collect()
}

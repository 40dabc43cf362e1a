//! Command line of the stand-ins.

use std::net::SocketAddr;

use argh::FromArgs;

/// Small fakes of the outside systems, for tests and demonstrations.
#[derive(Debug, FromArgs)]
pub struct StandinOptions {
    /// what to stand in for
    #[argh(subcommand)]
    pub role: StandinRole,
}

/// Systems that can be stood in for.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinRole {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Plain(PlainOptions),
    /// The platform.
    Platform(PlatformOptions),
}

/// Model engine with continuous batching and a prefix cache.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineOptions {
    /// IP address and port to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// name of the engine
    #[argh(option, default = "String::from(\"engine\")")]
    pub name: String,
    /// model served at start
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// version of the weights served at start
    #[argh(option, default = "String::from(\"v1\")")]
    pub version: String,
    /// requests that run at the same time
    #[argh(option, default = "8")]
    pub slots: usize,
    /// capacity of the prefix cache in pieces
    #[argh(option, default = "256")]
    pub cache_pieces: usize,
    /// prefill time of one missing piece in microseconds
    #[argh(option, default = "20_000")]
    pub prefill_us: u64,
    /// decode time of one token in microseconds
    #[argh(option, default = "10_000")]
    pub decode_us: u64,
    /// slowdown of decoding in percent for each other running request
    #[argh(option, default = "0")]
    pub batch_slowdown_percent: u64,
    /// tokens of an output whose caller sets no limit
    #[argh(option, default = "32")]
    pub tokens: u64,
    /// time in milliseconds after which a cache event is published
    #[argh(option, default = "0")]
    pub event_lag_ms: u64,
    /// share of cache events in percent that are lost
    #[argh(option, default = "0")]
    pub event_loss_percent: u64,
    /// age in milliseconds of the published load
    #[argh(option, default = "0")]
    pub load_lag_ms: u64,
    /// refuse orders whose fencing number is below the highest seen
    #[argh(switch)]
    pub checks_fence: bool,
    /// address of the weight store to load from
    #[argh(option)]
    pub weights: Option<SocketAddr>,
    /// time in milliseconds of a load without a weight store
    #[argh(option, default = "600")]
    pub load_ms: u64,
    /// time in milliseconds from a crash to the next life
    #[argh(option, default = "500")]
    pub restart_ms: u64,
    /// seed of the choice of lost cache events
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Plain service that echoes what it is sent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
pub struct PlainOptions {
    /// IP address and port to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "String::from(\"plain\")")]
    pub name: String,
    /// time in milliseconds of each request
    #[argh(option, default = "0")]
    pub latency_ms: u64,
}

/// Platform: log, weight store and kept-cache store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// IP address and port to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// records that each stream keeps
    #[argh(option, default = "100_000")]
    pub retention_records: usize,
    /// appends accepted a second
    #[argh(option, default = "400")]
    pub appends_per_second: u64,
    /// time in milliseconds of one transfer of weights
    #[argh(option, default = "600")]
    pub load_ms: u64,
    /// transfers of weights that run at full speed at the same time
    #[argh(option, default = "3")]
    pub concurrent_loads: u64,
}

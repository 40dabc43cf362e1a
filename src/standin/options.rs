//! Command line of the stand-ins.

use std::net::SocketAddr;

use argh::FromArgs;

/// Simulated external systems, for tests and demonstrations.
#[derive(Debug, FromArgs)]
pub struct StandinOptions {
    /// system to simulate
    #[argh(subcommand)]
    pub role: StandinRole,
}

/// External systems that can be simulated.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinRole {
    /// Inference engine.
    Engine(EngineOptions),
    /// Plain service.
    Plain(PlainOptions),
    /// Platform.
    Platform(PlatformOptions),
}

/// Inference engine with continuous batching and a prefix cache.
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
    /// number of batch slots
    #[argh(option, default = "8")]
    pub slots: usize,
    /// capacity of the prefix cache in pieces
    #[argh(option, default = "256")]
    pub cache_pieces: usize,
    /// prefill time in microseconds of one prompt piece that is not cached
    #[argh(option, default = "20_000")]
    pub prefill_us: u64,
    /// decode time in microseconds of one token when no other request is decoding
    #[argh(option, default = "10_000")]
    pub decode_us: u64,
    /// increase of the decode time in percent for each other decoding request
    #[argh(option, default = "0")]
    pub batch_slowdown_percent: u64,
    /// output length in tokens of a request without a token limit
    #[argh(option, default = "32")]
    pub tokens: u64,
    /// time in milliseconds from a cache event to its publication
    #[argh(option, default = "0")]
    pub event_lag_ms: u64,
    /// percentage of the cache events that are lost
    #[argh(option, default = "0")]
    pub event_loss_percent: u64,
    /// age in milliseconds of the published load report
    #[argh(option, default = "0")]
    pub load_lag_ms: u64,
    /// refuse load orders with a fencing number below the highest seen
    #[argh(switch)]
    pub checks_fence: bool,
    /// address of the weight store from which weights are fetched
    #[argh(option)]
    pub weights: Option<SocketAddr>,
    /// duration in milliseconds of a weight load without a weight store
    #[argh(option, default = "600")]
    pub load_ms: u64,
    /// time in milliseconds from a crash to the restart
    #[argh(option, default = "500")]
    pub restart_ms: u64,
    /// seed of the pseudo-random choice of lost cache events
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Plain service that echoes each request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
pub struct PlainOptions {
    /// IP address and port to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "String::from(\"plain\")")]
    pub name: String,
    /// response time in milliseconds of each request
    #[argh(option, default = "0")]
    pub latency_ms: u64,
}

/// Platform: log, weight store and KV store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// IP address and port to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// records that each topic of the log retains
    #[argh(option, default = "100_000")]
    pub retention_records: usize,
    /// maximum rate of appends per second, over all topics
    #[argh(option, default = "400")]
    pub appends_per_second: u64,
    /// duration in milliseconds of a transfer of weights at full speed
    #[argh(option, default = "600")]
    pub load_ms: u64,
    /// number of concurrent transfers of weights that still run at full speed
    #[argh(option, default = "3")]
    pub concurrent_loads: u64,
}

//! Messages to the service `engine`, and its replies.

use super::cache_feed::FeedPage;
use super::engine_request::{CompletionRequest, OpenStream};
use super::prefix_cache::PieceKey;
use crate::kernel::{Moment, ReplyTo};

/// A call to the service `engine`, and where its reply is sent.
///
/// If the reply is dropped, the connection of the caller is closed without a response.
#[derive(Debug)]
pub struct EngineMail {
    /// The call.
    pub call: EngineCall,
    /// Where the reply is sent.
    pub reply: ReplyTo<EngineReply>,
}

/// A call to the engine.
#[derive(Debug)]
pub enum EngineCall {
    /// Run a request, or attach to it if its id is known.
    Run(CompletionRequest),
    /// Read the stream of a known request, given by its id, from an event number on.
    Resume(String, u64),
    /// Cancel the request with an id.
    Cancel(String),
    /// Read cache events from a sequence number on; wait for one until a deadline.
    ReadFeed(u64, Moment),
    /// Read the keys of all cached pieces.
    CachedKeys,
    /// Read the published load report, which lags behind.
    LoadReport,
    /// Check whether an order to load weights is accepted.
    BeginWeightLoad(LoadOrder),
    /// Serve the loaded weights, unless the engine has crashed since the given epoch.
    FinishWeightLoad(LoadOrder, u64),
    /// Inject a fault or read counters; answered even while the engine is frozen or down.
    Admin(EngineAdmin),
}

/// Fault injection and counters for tests.
#[derive(Debug, Clone, Copy)]
pub enum EngineAdmin {
    /// Crash, and restart with an empty cache and without requests.
    Crash,
    /// Answer no call but admin calls until a deadline.
    Freeze(Moment),
    /// Keep all open connections open but never write to them again.
    Silence,
    /// Read the ids of all requests that have started.
    Runs,
    /// Read the statistics.
    Stats,
}

/// Order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the model to serve.
    pub model: String,
    /// Version of the weights to serve.
    pub version: String,
    /// Fencing number of the order.
    pub fence: u64,
}

/// Reply of the engine, with its epoch.
#[derive(Debug)]
pub struct EngineReply {
    /// Epoch of the engine when it replied.
    pub epoch: u64,
    /// Result of the call.
    pub response: EngineResponse,
}

/// Result of a call to the engine.
#[derive(Debug)]
pub enum EngineResponse {
    /// Opened stream of a request.
    Stream(OpenStream),
    /// The request is cancelled or had ended before; the value tells whether it had started.
    Cancelled(bool),
    /// Page of cache events.
    Feed(FeedPage),
    /// Sequence number of the next cache event, and the keys of all cached pieces.
    Keys(u64, Vec<PieceKey>),
    /// Published load report.
    LoadReport(LoadReport),
    /// The order to load weights is accepted or has been carried out.
    Accepted(LoadOrder),
    /// The call is refused.
    Refused(EngineRefusal),
    /// The fault is in effect.
    Done,
    /// Ids of all requests that have started.
    Runs(StartedRequests),
    /// Statistics.
    Stats(EngineStats),
}

/// Reason for which the engine refuses a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The engine serves another version of the weights than the request requires.
    WrongVersion,
    /// The fencing number of the order is below the highest seen.
    OldFence,
    /// No request with this id is known.
    UnknownRequest,
    /// The request was cancelled.
    Cancelled,
    /// Fetching the weights from the weight store failed.
    NoWeights,
}

/// Load of an engine at one moment.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Version of the weights that are served.
    pub version: String,
    /// Requests in a batch slot now.
    pub running: usize,
    /// Requests in the queue now.
    pub waiting: usize,
    /// Number of cached pieces.
    pub cached_pieces: usize,
}

/// Ids of all requests that have started, kept across crashes.
#[derive(Debug, Clone, Default)]
pub struct StartedRequests {
    /// Request ids in the order of their starts; a request that started again is repeated.
    pub ids: Vec<String>,
}

/// Counters kept across crashes, and the present number of requests.
#[derive(Debug, Clone, Default)]
pub struct EngineStats {
    /// Prompt pieces that were found in the cache.
    pub hit_pieces: u64,
    /// Prompt pieces that were not cached and had to be computed.
    pub missing_pieces: u64,
    /// Requests that were admitted to a batch slot.
    pub started: u64,
    /// Requests that produced their complete output.
    pub finished: u64,
    /// Requests that were cancelled while waiting or running.
    pub cancelled: u64,
    /// Crashes of the engine.
    pub crashes: u64,
    /// Requests in a batch slot now.
    pub running: usize,
    /// Requests in the queue now.
    pub waiting: usize,
    /// Load orders that were carried out, in order.
    pub loads: Vec<LoadOrder>,
}

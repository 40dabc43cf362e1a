//! Messages to the service `engine` and its replies.

use super::cache_feed::FeedPage;
use super::engine_request::{OpenStream, RunOrder};
use super::prefix_cache::PieceKey;
use crate::kernel::{Moment, ReplyTo};

/// A question and where its reply goes; a reply that is dropped cuts the caller's connection.
#[derive(Debug)]
pub struct EngineMail {
    /// What is asked.
    pub question: EngineQuestion,
    /// Takes the reply.
    pub reply: ReplyTo<EngineReply>,
}

/// What callers ask of the engine.
#[derive(Debug)]
pub enum EngineQuestion {
    /// Run a request, or attach to it when its name is known.
    Run(RunOrder),
    /// Read a known request from an event on.
    Resume(String, u64),
    /// Cancel a request.
    Cancel(String),
    /// Read cache events from a number on, waiting for one until a deadline.
    ReadFeed(u64, Moment),
    /// Read what is cached now.
    CachedKeys,
    /// Read the load as it was a lag ago.
    Load,
    /// Ask whether an order to load weights may begin.
    BeginLoad(LoadOrder),
    /// Put loaded weights to use, unless the engine has crashed since the given epoch.
    FinishLoad(LoadOrder, u64),
    /// Cause a fault, or look at what happened; answered whatever state the engine is in.
    Admin(EngineAdmin),
}

/// Faults and observations for tests.
#[derive(Debug, Clone, Copy)]
pub enum EngineAdmin {
    /// Crash and come back empty.
    Crash,
    /// Answer nothing until a deadline.
    Freeze(Moment),
    /// Leave all open streams silent for good.
    Silence,
    /// Read the starts of each request.
    Runs,
    /// Read the counters.
    Stats,
}

/// Order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Model to serve.
    pub model: String,
    /// Version to serve.
    pub version: String,
    /// Fencing number of the order.
    pub fence: u64,
}

/// A reply and the life of the engine that gave it.
#[derive(Debug)]
pub struct EngineReply {
    /// Life of the engine.
    pub epoch: u64,
    /// The answer.
    pub answer: EngineAnswer,
}

/// Answers of the engine.
#[derive(Debug)]
pub enum EngineAnswer {
    /// The stream of a request.
    Stream(OpenStream),
    /// The request was cancelled; tells whether it had started.
    Cancelled(bool),
    /// Cache events.
    Feed(FeedPage),
    /// Number of the next cache event, and all cached keys.
    Keys(u64, Vec<PieceKey>),
    /// Load as published.
    Load(LoadReport),
    /// The order is accepted or carried out.
    Accepted(LoadOrder),
    /// The engine does not do what was asked.
    Refused(EngineRefusal),
    /// The fault is in effect.
    Done,
    /// How often each request started, and in which order.
    Runs(RunCounts),
    /// Counters.
    Stats(EngineStats),
}

/// Why the engine does not do what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The engine serves another version.
    WrongVersion,
    /// The order's fencing number is below the highest seen.
    OldFence,
    /// No request has this name.
    UnknownRequest,
    /// The request was cancelled.
    Cancelled,
    /// The weight store did not deliver.
    NoWeights,
}

/// Load of the engine at one moment.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Version of the weights.
    pub version: String,
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Cached pieces.
    pub cached_pieces: usize,
}

/// Starts of requests, kept across crashes.
#[derive(Debug, Clone, Default)]
pub struct RunCounts {
    /// Names in the order of their starts.
    pub order: Vec<String>,
}

/// Counters kept across crashes, and the present state.
#[derive(Debug, Clone, Default)]
pub struct EngineStats {
    /// Pieces found in the cache.
    pub hit_pieces: u64,
    /// Pieces that had to be computed.
    pub missing_pieces: u64,
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that produced their whole output.
    pub finished: u64,
    /// Requests that were cancelled before they had finished.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Orders that were carried out.
    pub loads: Vec<LoadOrder>,
}

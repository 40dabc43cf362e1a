//! Counters that the engine stand-ins keep, read before and after a run.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::platform::http_client;

/// Time limit for reading the counters of one engine.
const STATS_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters summed over several engines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTotals {
    /// Prompt pieces found in a KV cache.
    pub hit_pieces: u64,
    /// Prompt pieces computed in prefill.
    pub missing_pieces: u64,
    /// Requests started.
    pub started: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Crashes of engines.
    pub crashes: u64,
}

impl EngineTotals {
    /// Reads and adds the counters of all engines; an engine that does not respond adds nothing.
    pub async fn read(engines: &[SocketAddr]) -> Self {
        let calls = engines.iter().map(|engine| read_engine(*engine));
        let responses = futures::future::join_all(calls).await;
        let zero = Self::default();
        responses
            .into_iter()
            .flatten()
            .fold(zero, |sum, engine| sum.combine(engine, u64::saturating_add))
    }

    /// Returns the difference from counters that were read earlier.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }

    /// Applies an operation to each pair of counters.
    fn combine(self, other: Self, operation: fn(u64, u64) -> u64) -> Self {
        Self {
            hit_pieces: operation(self.hit_pieces, other.hit_pieces),
            missing_pieces: operation(self.missing_pieces, other.missing_pieces),
            started: operation(self.started, other.started),
            finished: operation(self.finished, other.finished),
            cancelled: operation(self.cancelled, other.cancelled),
            crashes: operation(self.crashes, other.crashes),
        }
    }
}

async fn read_engine(engine: SocketAddr) -> Option<EngineTotals> {
    let request = http_client::request(Method::GET, engine, "/admin/stats");
    let request = request.body(Full::default()).ok()?;
    let response = http_client::call(engine, request, STATS_TIMEOUT).await;
    serde_json::from_slice(&response.ok()?.body).ok()
}

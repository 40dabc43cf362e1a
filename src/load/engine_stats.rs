//! Counters of the engine stand-ins over a run.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::platform::http_client;

/// Longest time for one engine to tell its counters.
const STATS_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters summed over engines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTotals {
    /// Pieces found in a cache.
    pub hit_pieces: u64,
    /// Pieces computed.
    pub missing_pieces: u64,
    /// Requests started.
    pub started: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
}

impl EngineTotals {
    /// Reads the counters of all engines; one that does not answer counts as nothing.
    pub async fn read(engines: &[SocketAddr]) -> Self {
        let calls = engines.iter().map(|engine| read_engine(*engine));
        let answers = futures::future::join_all(calls).await;
        let zero = Self::default();
        answers
            .into_iter()
            .flatten()
            .fold(zero, |sum, engine| sum.combine(engine, u64::saturating_add))
    }

    /// Returns what was counted since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }

    fn combine(self, other: Self, join: fn(u64, u64) -> u64) -> Self {
        Self {
            hit_pieces: join(self.hit_pieces, other.hit_pieces),
            missing_pieces: join(self.missing_pieces, other.missing_pieces),
            started: join(self.started, other.started),
            finished: join(self.finished, other.finished),
            cancelled: join(self.cancelled, other.cancelled),
            crashes: join(self.crashes, other.crashes),
        }
    }
}

async fn read_engine(engine: SocketAddr) -> Option<EngineTotals> {
    let request = http_client::request(Method::GET, engine, "/admin/stats");
    let request = request.body(Full::default()).ok()?;
    let response = http_client::call(engine, request, STATS_TIMEOUT).await;
    serde_json::from_slice(&response.ok()?.body).ok()
}

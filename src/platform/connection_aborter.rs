//! Closing of a connection in the middle of a response, so that its client sees that it is incomplete.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

/// Request extension with which a handler, or whoever it gives a clone to, closes the connection of
/// the request without completing the response.
#[derive(Debug, Clone)]
pub struct ConnectionAborter {
    /// Number of the request on its connection.
    request: u64,
    aborted: watch::Sender<u64>,
}

impl ConnectionAborter {
    /// Closes the connection; has no effect once a later request has begun on it.
    pub fn abort(&self) {
        self.aborted.send_replace(self.request);
    }
}

/// Numbers of the requests of one connection.
#[derive(Debug, Clone)]
pub struct AbortSignal {
    latest: Arc<AtomicU64>,
    aborted: watch::Sender<u64>,
}

impl Default for AbortSignal {
    fn default() -> Self {
        Self {
            latest: Arc::new(AtomicU64::new(0)),
            aborted: watch::Sender::new(0),
        }
    }
}

impl AbortSignal {
    /// Returns the aborter of the next request.
    #[must_use]
    pub fn next_request(&self) -> ConnectionAborter {
        ConnectionAborter {
            request: self.latest.fetch_add(1, Ordering::Relaxed) + 1,
            aborted: self.aborted.clone(),
        }
    }

    /// Waits until the response to the latest request is aborted.
    pub async fn received(&self) {
        let mut aborted = self.aborted.subscribe();
        let is_latest =
            |request: &u64| *request > 0 && *request == self.latest.load(Ordering::Relaxed);
        // Cannot fail while this value holds a sender.
        drop(aborted.wait_for(is_latest).await);
    }
}

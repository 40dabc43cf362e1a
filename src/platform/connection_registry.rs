//! Registry of a server's open connections: collects what they report and closes idle ones.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

use super::http_server::ResponseBody;
use crate::decide::idle_connections::{ConnectionKey, ConnectionTable};
use crate::kernel::Clock;

/// Reports that may wait for the accept loop, for each connection.
const REPORTS_PER_CONNECTION: usize = 4;

/// What a connection tells the registry.
#[derive(Debug)]
pub enum ConnectionReport {
    /// A request was received.
    RequestBegun(ConnectionKey),
    /// The response to a request was passed to the connection or given up.
    RequestEnded(ConnectionKey),
    /// The connection is closed.
    Closed(ConnectionKey),
}

/// Open connections of a server; owned by its accept loop.
#[derive(Debug)]
pub struct ConnectionRegistry {
    clock: Clock,
    table: ConnectionTable,
    /// Handles that ask connections to close.
    closers: HashMap<ConnectionKey, oneshot::Sender<()>>,
    reports: mpsc::Receiver<ConnectionReport>,
    reporter: mpsc::Sender<ConnectionReport>,
}

impl ConnectionRegistry {
    /// Creates the registry of a server with at most `max_connections`.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        let (reporter, reports) = mpsc::channel(max_connections * REPORTS_PER_CONNECTION);
        Self {
            clock: Clock::start(),
            table: ConnectionTable::default(),
            closers: HashMap::new(),
            reports,
            reporter,
        }
    }

    /// Adds a connection.
    pub fn open(&mut self) -> ConnectionEntry {
        let key = self.table.open(self.clock.now());
        let (closer, close) = oneshot::channel();
        self.closers.insert(key, closer);
        let reporter = ConnectionReporter {
            key,
            reports: self.reporter.clone(),
            has_begun: Arc::default(),
        };
        ConnectionEntry { reporter, close }
    }

    /// Waits for the next report.
    pub async fn next_report(&mut self) -> Option<ConnectionReport> {
        self.reports.recv().await
    }

    /// Applies a report.
    pub fn apply(&mut self, report: &ConnectionReport) {
        match *report {
            ConnectionReport::RequestBegun(key) => self.table.begin_request(key),
            ConnectionReport::RequestEnded(key) => self.table.end_request(self.clock.now(), key),
            ConnectionReport::Closed(key) => {
                self.table.close(key);
                self.closers.remove(&key);
            }
        }
    }

    /// Takes no further reports, so that no connection waits to send one.
    pub fn stop(&mut self) {
        self.reports.close();
    }

    /// Asks the connection that has been idle for longest to close; returns whether there is one.
    pub fn close_longest_idle(&mut self) -> bool {
        let Some(key) = self.table.take_longest_idle(self.clock.now()) else {
            return false;
        };
        let closer = self.closers.remove(&key);
        closer.is_some_and(|closer| closer.send(()).is_ok())
    }
}

/// Place of a connection in the registry.
#[derive(Debug)]
pub struct ConnectionEntry {
    /// Reports to the registry.
    pub reporter: ConnectionReporter,
    /// Resolves when the connection should close.
    pub close: oneshot::Receiver<()>,
}

/// Reports of one connection. They fail once the server is stopping, when nothing needs them.
#[derive(Debug, Clone)]
pub struct ConnectionReporter {
    key: ConnectionKey,
    reports: mpsc::Sender<ConnectionReport>,
    has_begun: Arc<AtomicBool>,
}

impl ConnectionReporter {
    /// Reports a received request; its end is reported when the returned guard is dropped.
    pub async fn begin_request(&self) -> OpenRequest {
        self.has_begun.store(true, Ordering::Relaxed);
        let report = ConnectionReport::RequestBegun(self.key);
        drop(self.reports.send(report).await);
        OpenRequest(self.clone())
    }

    /// Returns whether a request was received on the connection.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Reports that the connection is closed.
    pub async fn close(self) {
        drop(self.reports.send(ConnectionReport::Closed(self.key)).await);
    }
}

/// Request whose response is not complete; reports its end on drop.
#[derive(Debug)]
pub struct OpenRequest(ConnectionReporter);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // A lost report leaves the connection open until its idle timeout.
        let report = ConnectionReport::RequestEnded(self.0.key);
        drop(self.0.reports.try_send(report));
    }
}

/// Response body that ends the report of its request when it is dropped.
#[derive(Debug)]
pub struct ReportedBody {
    /// Body of the response.
    pub body: ResponseBody,
    /// Request that the response belongs to.
    pub request: OpenRequest,
}

impl Body for ReportedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

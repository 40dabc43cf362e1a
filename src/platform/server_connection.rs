//! Serving of one connection of the HTTP server.

use std::io;
use std::pin::pin;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, watch};

use super::bounded_stream::BoundedStream;
use super::connection_aborter::AbortSignal;
use super::connection_registry::{ConnectionEntry, ReportedBody};
use super::http_server::{CloseConnection, MAX_REQUEST_BYTES, RequestHandler};
use crate::wire::write_timeout::WriteTimeout;

/// What each connection needs to be served.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// Responds to requests.
    pub handler: RequestHandler,
    /// Largest read and write buffer, and largest request head, in bytes.
    pub buffer_bytes: usize,
    /// Time limit for a client to send its request headers, and idle timeout.
    pub header_timeout: Duration,
    /// Time without a byte read by the client after which the connection is closed.
    pub write_timeout: Duration,
    /// Whether each response closes its connection.
    pub is_leaving: watch::Receiver<bool>,
    /// Whether connections close after their open requests.
    pub is_closing: watch::Receiver<bool>,
}

impl ConnectionSettings {
    /// Serves a connection until it is closed.
    pub async fn serve(
        self,
        stream: TcpStream,
        slot: OwnedSemaphorePermit,
        entry: ConnectionEntry,
    ) {
        let reporter = entry.reporter.clone();
        self.run_connection(stream, entry).await;
        drop(slot);
        reporter.close().await;
    }

    async fn run_connection(self, stream: TcpStream, entry: ConnectionEntry) {
        // Disables Nagle's algorithm; a failure costs only latency.
        drop(stream.set_nodelay(true));
        let ConnectionEntry { reporter, close } = entry;
        let abort = AbortSignal::default();
        let service = service_fn(|mut request| {
            let (handler, reporter) = (self.handler.clone(), reporter.clone());
            request.extensions_mut().insert(abort.next_request());
            let is_leaving = self.is_leaving.clone();
            async move {
                let open_request = reporter.begin_request().await;
                let mut response = handler.respond(request).await;
                if *is_leaving.borrow() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                match response.extensions().get::<CloseConnection>() {
                    Some(_) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                    None => Ok(response.map(|body| ReportedBody {
                        body,
                        request: open_request,
                    })),
                }
            }
        });
        let stream = BoundedStream::new(stream, MAX_REQUEST_BYTES);
        let stream = WriteTimeout::new(stream, self.write_timeout);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.header_timeout)
            .max_buf_size(self.buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut is_closing = self.is_closing.clone();
        // An error on one connection affects only its client.
        tokio::select! {
            ended = connection.as_mut() => return drop(ended),
            Ok(_) = is_closing.wait_for(|is_closing| *is_closing) => {}
            // hyper would wait for the rest of a first request that has arrived in part.
            Ok(()) = close => if !reporter.has_begun() {
                return;
            },
            () = abort.received() => return,
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            ended = connection => drop(ended),
            () = abort.received() => {}
        }
    }
}

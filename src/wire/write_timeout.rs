//! Stream that fails when its peer does not read for a time.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Stream whose writes fail when no byte can be written for the time limit.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// When the waiting write fails; `None` while no write waits.
    expiry: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a stream whose writes may wait for `limit`.
    #[must_use]
    pub const fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            expiry: None,
        }
    }

    /// Passes the outcome of a write on, or fails a write that has waited for the limit.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if outcome.is_ready() {
            self.expiry = None;
            return outcome;
        }
        let limit = self.limit;
        let expiry = self
            .expiry
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(expiry.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit_write(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit_write(cx, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

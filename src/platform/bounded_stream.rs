//! TCP connection of a client that fails when the response to a request is too long, and that ends only
//! once the request is written.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest number of bytes that one read returns. A task that always has bytes to read yields to
/// others after 128 reads, and hyper parses some of these bytes one by one.
const MAX_READ_BYTES: usize = 8 * 1024;

/// TCP connection whose reads fail after a number of bytes since the last write.
///
/// The limit covers bytes that hyper discards and so does not count itself, such as interim
/// responses and leading zeros of a chunk size.
///
/// The end of the received bytes is withheld while a write is under way. If the peer has closed the
/// connection altogether, the write fails, and a response without a length does not count as complete.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    limit: usize,
    /// Bytes received since the last write.
    received: usize,
    /// Whether the last write has to wait until the peer takes more.
    is_writing: bool,
    /// Reader that waits for the end of a write.
    reader: Option<Waker>,
}

impl BoundedStream {
    /// Wraps a connection that may receive `limit` bytes in response to each write.
    #[must_use]
    pub const fn new(stream: TcpStream, limit: usize) -> Self {
        Self {
            stream,
            limit,
            received: 0,
            is_writing: false,
            reader: None,
        }
    }

    /// Records the outcome of a write.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.is_writing = written.is_pending();
        if !self.is_writing
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
        written
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.received >= self.limit {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let length = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        if count == 0 && self.is_writing {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        buf.advance(count);
        self.received += count;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.received = 0;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.received = 0;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
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

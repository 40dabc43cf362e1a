//! Stream that fails when a frame of its peer does not arrive completely in time.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Size of the length field before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Position in a sequence of frames, each with a length field in big-endian order before it.
#[derive(Debug, Default)]
struct FramePosition {
    length: [u8; LENGTH_BYTES],
    /// Bytes of the length field that were received.
    length_received: usize,
    /// Bytes of the frame that are still to be received after its length field.
    remaining: usize,
}

impl FramePosition {
    /// Returns whether a frame has begun and is incomplete.
    const fn is_mid_frame(&self) -> bool {
        self.length_received > 0
    }

    /// Advances by received bytes; returns whether they complete a frame.
    fn advance(&mut self, mut bytes: &[u8]) -> bool {
        let mut has_completed = false;
        while let Some((first, rest)) = bytes.split_first() {
            if self.length_received < LENGTH_BYTES {
                self.length[self.length_received] = *first;
                self.length_received += 1;
                bytes = rest;
                if self.length_received == LENGTH_BYTES {
                    let length = u32::from_be_bytes(self.length);
                    self.remaining = usize::try_from(length).unwrap_or(usize::MAX);
                }
            } else {
                let count = self.remaining.min(bytes.len());
                self.remaining -= count;
                bytes = &bytes[count..];
            }
            if self.length_received == LENGTH_BYTES && self.remaining == 0 {
                self.length_received = 0;
                has_completed = true;
            }
        }
        has_completed
    }
}

/// Stream whose reads fail when a frame is incomplete for longer than the time limit. The time
/// between two frames is not limited.
#[derive(Debug)]
pub struct FrameTimeout<S> {
    stream: S,
    limit: Duration,
    position: FramePosition,
    /// When the incomplete frame is late; `None` between frames.
    expiry: Option<Pin<Box<Sleep>>>,
}

impl<S> FrameTimeout<S> {
    /// Wraps a stream whose frames may take `limit` each.
    #[must_use]
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            position: FramePosition::default(),
            expiry: None,
        }
    }

    /// Starts the time limit of a frame at its first byte.
    fn record_received(&mut self, bytes: &[u8]) {
        if self.position.advance(bytes) {
            self.expiry = None;
        }
        if self.position.is_mid_frame() && self.expiry.is_none() {
            self.expiry = Some(Box::pin(sleep_until(Instant::now() + self.limit)));
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FrameTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            self.record_received(&buf.filled()[before..]);
            return read;
        }
        let Some(expiry) = &mut self.expiry else {
            return Poll::Pending;
        };
        ready!(expiry.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FrameTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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

//! Response body of a relayed stream.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::{mpsc, oneshot};

/// Response body of the caller; the task that feeds it ends when it is dropped.
///
/// A body whose frames end without completion aborts the caller's connection, so that a truncated
/// stream does not look complete.
#[derive(Debug)]
pub struct RelayBody {
    frames: mpsc::Receiver<Frame<Bytes>>,
    completion: oneshot::Receiver<()>,
    is_complete: bool,
}

impl RelayBody {
    /// Creates the body from the channel of its frames and the one that tells its completion.
    #[must_use]
    pub const fn new(
        frames: mpsc::Receiver<Frame<Bytes>>,
        completion: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            frames,
            completion,
            is_complete: false,
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(frame) = ready!(self.frames.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.is_complete |= self.completion.try_recv().is_ok();
        if self.is_complete {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}

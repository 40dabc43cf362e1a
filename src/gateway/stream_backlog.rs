//! Caller's side of a relayed stream: what was received and the caller has not read.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Frame;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::relay_body::RelayBody;
use super::request::CallerRequest;
use super::stream_source::StreamEnd;
use crate::decide::memory_budget::MemoryUse;
use crate::kernel::Moment;

/// Body frames that are handed to the caller's connection ahead of it.
const MAX_BUFFERED_FRAMES: usize = 2;

/// Size of the blocks into which unread bytes are copied, because small frames each occupy a read
/// buffer. One full block is part of the memory that each stream reserves.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes by which the reserved memory of a backlog grows.
const GROW_BYTES: usize = 4 * BLOCK_BYTES;

/// Time for which the caller may take parts of the backlog before memory is asked for.
const ASK_DELAY: Duration = Duration::from_millis(20);

/// Time after which a backlog that got no memory asks for it again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes of a stream on their way to the caller.
#[derive(Debug)]
pub struct StreamBacklog {
    frames: mpsc::Sender<Frame<Bytes>>,
    /// Receives the completion of the stream; closed when the caller's connection is.
    completion: oneshot::Sender<()>,
    blocks: VecDeque<BytesMut>,
    /// Bytes that may be buffered beyond the first block.
    granted: usize,
    /// Time before which the caller is waited for; `NEVER` without a backlog.
    next_ask: Moment,
    /// Whether the response counts as unread.
    is_marked: bool,
}

impl StreamBacklog {
    /// Creates an empty backlog and the response body that it feeds.
    #[must_use]
    pub fn new() -> (Self, RelayBody) {
        let (frames, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let (completion, completed) = oneshot::channel();
        let backlog = Self {
            frames,
            completion,
            blocks: VecDeque::new(),
            granted: 0,
            next_ask: Moment::NEVER,
            is_marked: false,
        };
        (backlog, RelayBody::new(receiver, completed))
    }

    /// Adds received bytes.
    pub fn push(&mut self, data: Bytes) {
        let data = if self.blocks.is_empty() {
            match self.frames.try_send(Frame::data(data)) {
                Err(TrySendError::Full(frame)) => frame.into_data().unwrap_or_default(),
                // A closed connection is noticed by `advance`.
                Ok(()) | Err(TrySendError::Closed(_)) => return,
            }
        } else {
            data
        };
        let mut rest = &*data;
        while !rest.is_empty() {
            let room = self
                .blocks
                .back()
                .map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (part, later) = rest.split_at(room.min(rest.len()));
            if let Some(block) = self.blocks.back_mut() {
                block.extend_from_slice(part);
            }
            rest = later;
        }
    }

    /// Returns whether more of the stream may be received; asks for memory if needed.
    pub async fn has_room(&mut self, request: &CallerRequest, now: Moment) -> bool {
        if self.blocks.is_empty() {
            self.next_ask = Moment::NEVER;
            return true;
        }
        // A caller that keeps up takes the backlog first.
        if self.next_ask == Moment::NEVER {
            self.next_ask = now.after(ASK_DELAY);
        }
        if !self.next_ask.is_due(now) {
            return false;
        }
        if self.blocks.len().saturating_sub(1) * BLOCK_BYTES <= self.granted {
            return true;
        }
        self.mark_unread(request);
        let bytes = GROW_BYTES as u64;
        if request.memory.grow(bytes, MemoryUse::Backlog).await {
            self.granted += GROW_BYTES;
            return true;
        }
        self.next_ask = now.after(RETRY_INTERVAL);
        false
    }

    /// Returns when a backlog that has no room asks for memory again.
    #[must_use]
    pub const fn next_ask(&self) -> Moment {
        self.next_ask
    }

    /// Waits until the caller has taken a part of the backlog or, without one, until it is gone.
    ///
    /// # Errors
    ///
    /// Returns [`StreamEnd::CallerGone`] once the caller's connection is closed.
    pub async fn advance(&mut self, request: &CallerRequest) -> Result<(), StreamEnd> {
        if self.blocks.is_empty() {
            self.frames.closed().await;
            return Err(StreamEnd::CallerGone);
        }
        let permit = self.frames.reserve().await;
        let permit = permit.map_err(|_gone| StreamEnd::CallerGone)?;
        if let Some(block) = self.blocks.pop_front() {
            permit.send(Frame::data(block.freeze()));
        }
        if self.blocks.is_empty() && self.is_marked {
            request.memory.release_backlog();
            self.granted = 0;
            self.is_marked = false;
        }
        Ok(())
    }

    /// Waits until the caller is gone, and hands it the backlog meanwhile.
    pub async fn gone(&mut self, request: &CallerRequest) {
        while self.advance(request).await.is_ok() {}
    }

    /// Hands the whole backlog to the caller, until the deadline of the request.
    ///
    /// # Errors
    ///
    /// Returns why the caller has not taken all of it.
    pub async fn drain(&mut self, request: &CallerRequest, now: Moment) -> Result<(), StreamEnd> {
        if self.blocks.is_empty() {
            return Ok(());
        }
        self.mark_unread(request);
        let draining = async {
            while !self.blocks.is_empty() {
                self.advance(request).await?;
            }
            Ok(())
        };
        let drained = timeout(request.deadline.remaining(now), draining).await;
        drained.unwrap_or(Err(StreamEnd::TimedOut))
    }

    /// Completes the response.
    pub fn complete(self) {
        // Fails if the caller has closed its connection.
        let _is_received = self.completion.send(());
    }

    /// Aborts the response, and waits until the caller's connection is closed.
    pub async fn abort(mut self, request: &CallerRequest) {
        self.mark_unread(request);
        self.blocks.clear();
        drop(self.frames);
        self.completion.closed().await;
    }

    fn mark_unread(&mut self, request: &CallerRequest) {
        if !self.is_marked {
            request.mark_unread();
            self.is_marked = true;
        }
    }
}

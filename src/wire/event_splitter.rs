//! Splits a byte stream of server-sent events into events without decoding their data.

use bytes::{Bytes, BytesMut};

use super::event_scanner::{EventScanner, ScanStep, StreamPosition};
use super::sse::MAX_EVENT_BYTES;

/// Complete event as received, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Bytes of the event.
    pub bytes: Bytes,
    /// Value of the last `id` field, if the event has one and it is a number.
    pub id: Option<u64>,
}

/// Buffers received bytes until they form a complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanner: EventScanner,
    /// Number of buffered bytes that were scanned and contain no end of an event.
    searched: usize,
    /// Number of bytes passed unsplit since the last end of an event.
    passed: usize,
}

/// Result of [`EventSplitter::next_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SplitStep {
    /// The next complete event.
    Event(RawEvent),
    /// The buffer holds no complete event; more bytes are needed.
    Incomplete,
    /// The event exceeds [`MAX_EVENT_BYTES`]; splitting of the stream cannot continue.
    TooLong,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it.
    ///
    /// After each [`push`](Self::push), call it until it returns [`SplitStep::Incomplete`].
    pub fn next_event(&mut self) -> SplitStep {
        let Some(end) = self.scan_to_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return SplitStep::TooLong;
            }
            return SplitStep::Incomplete;
        };
        let bytes = self.buffer.split_to(end).freeze();
        SplitStep::Event(RawEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Counts bytes that are forwarded as received, without buffering them; returns whether each
    /// event has at most [`MAX_EVENT_BYTES`] so far.
    pub fn pass(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.passed += 1;
            match self.scanner.advance(*byte) {
                ScanStep::Inside => {}
                ScanStep::EndsHere => self.passed = 0,
                ScanStep::EndedBefore => self.passed = 1,
            }
            if self.passed > MAX_EVENT_BYTES {
                return false;
            }
        }
        true
    }

    /// Removes the buffered bytes that form no complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns where the stream ends if no further byte follows.
    #[must_use]
    pub const fn position(&self) -> StreamPosition {
        self.scanner.position()
    }

    /// Scans the buffer up to the end of an event and returns the length of that event.
    fn scan_to_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched) {
            self.searched += 1;
            let end = match self.scanner.advance(*byte) {
                ScanStep::Inside => continue,
                ScanStep::EndsHere => self.searched,
                ScanStep::EndedBefore => self.searched - 1,
            };
            self.searched -= end;
            return Some(end);
        }
        None
    }
}

/// Returns the value of the last `id` field, if it is a number.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    let found = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(found).ok()?.trim().parse().ok()
}

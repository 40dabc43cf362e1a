//! Splits a byte stream of server-sent events into events without decoding their data.

use bytes::{Bytes, BytesMut};

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
    /// Number of buffered bytes that contain no end of an event.
    searched: usize,
    /// Number of bytes passed unsplit since the last end of an event.
    passed: usize,
    /// Whether the last line that was passed unsplit is still empty.
    is_line_empty: bool,
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
        let from = self.searched.saturating_sub(3);
        let Some(end) = blank_line_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return SplitStep::TooLong;
            }
            return SplitStep::Incomplete;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
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
            match byte {
                b'\n' if self.is_line_empty => self.passed = 0,
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
            if self.passed > MAX_EVENT_BYTES {
                return false;
            }
        }
        true
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the bytes up to and including the first blank line after another line.
fn blank_line_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut has_line = false;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if has_line && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        has_line = true;
        line_start = index + 1;
    }
    None
}

/// Returns the value of the last `id` field, if it is a number.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let found = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(found).ok()?.trim().parse().ok()
}

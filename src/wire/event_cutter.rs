//! Cuts a byte stream of server-sent events into whole events without decoding their data.

use bytes::{Bytes, BytesMut};

use super::sse::MAX_EVENT_BYTES;

/// One whole event as it was received, with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// The bytes.
    pub bytes: Bytes,
    /// Its identifier, if it has a numeric one.
    pub id: Option<u64>,
}

/// Holds back the bytes of an event until it is whole.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    searched: usize,
}

/// What a cutter found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CutStep {
    /// A whole event.
    Event(RawEvent),
    /// More bytes are needed.
    Incomplete,
    /// The event is longer than any that is accepted.
    TooLong,
}

impl EventCutter {
    /// Takes in received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next whole event; ask until it says incomplete.
    pub fn next_event(&mut self) -> CutStep {
        let from = self.searched.saturating_sub(3);
        let Some(end) = blank_line_end(&self.held[from..]) else {
            self.searched = self.held.len();
            if self.held.len() > MAX_EVENT_BYTES {
                return CutStep::TooLong;
            }
            return CutStep::Incomplete;
        };
        self.searched = 0;
        let bytes = self.held.split_to(from + end).freeze();
        CutStep::Event(RawEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Tells whether bytes of an unfinished event are held.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Returns the length up to and with the first blank line.
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

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let found = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(found).ok()?.trim().parse().ok()
}

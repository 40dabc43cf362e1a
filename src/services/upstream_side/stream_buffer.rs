//! Buffer for the response of one ticket: consecutive items by index, bounded in bytes.

use std::collections::VecDeque;

use crate::wire::rpc::StreamItem;

/// Maximum size in bytes of the buffered response of one ticket.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size in bytes of the items returned by one read; the first item may exceed it.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Outcome of appending an item to a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushOutcome {
    /// The item is in the buffer.
    Kept,
    /// The buffer is full; this and all further items are dropped.
    Overflow,
}

/// Items of one response from `first_index` on.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    /// Index of the first buffered item.
    pub first_index: u64,
    /// Whether items have been dropped because the buffer was full.
    pub overflowed: bool,
    items: VecDeque<StreamItem>,
    bytes: usize,
}

impl StreamBuffer {
    /// Appends the next item, unless the buffer is full or has overflowed before.
    pub fn push(&mut self, item: StreamItem) -> PushOutcome {
        let size = item_bytes(&item);
        if self.overflowed || self.bytes + size > MAX_RESPONSE_BYTES {
            self.overflowed = true;
            return PushOutcome::Overflow;
        }
        self.bytes += size;
        self.items.push_back(item);
        PushOutcome::Kept
    }

    /// Returns the index of the next item to be appended.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.first_index + self.items.len() as u64
    }

    /// Returns the size of the buffered items in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops the items below `index`, which the caller has received; returns their size in bytes.
    pub fn acknowledge(&mut self, index: u64) -> usize {
        let before = self.bytes;
        while self.first_index < index {
            let Some(item) = self.items.pop_front() else {
                break;
            };
            self.bytes -= item_bytes(&item);
            self.first_index += 1;
        }
        before - self.bytes
    }

    /// Returns the items from `from_index` on, up to about `MAX_READ_BYTES`.
    #[must_use]
    pub fn read(&self, from_index: u64) -> Vec<StreamItem> {
        let skipped = usize::try_from(from_index.saturating_sub(self.first_index));
        let mut bytes = 0;
        let mut items = Vec::new();
        for item in self.items.iter().skip(skipped.unwrap_or(usize::MAX)) {
            bytes += item_bytes(item);
            if bytes > MAX_READ_BYTES && !items.is_empty() {
                break;
            }
            items.push(item.clone());
        }
        items
    }
}

/// Returns the size of an item in bytes, as it counts towards the limits.
fn item_bytes(item: &StreamItem) -> usize {
    match item {
        StreamItem::Head { headers, .. } => headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum(),
        StreamItem::Data(bytes) => bytes.len(),
    }
}

//! Answer of one ticket: consecutive items by index, bounded in bytes.

use std::collections::VecDeque;

use crate::wire::rpc::StreamItem;

/// Largest unread answer of one ticket, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Largest reply to one read, in bytes; at least one item is always returned.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Whether an item was kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushOutcome {
    /// The item is kept.
    Kept,
    /// The answer is too large; this and all further items are dropped.
    Overflow,
}

/// Items of one answer from `first_index` on.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    /// Index of the first item that is kept.
    pub first_index: u64,
    /// Whether items have been dropped at the bound.
    pub overflowed: bool,
    items: VecDeque<StreamItem>,
    bytes: usize,
}

impl StreamBuffer {
    /// Appends the next item.
    pub fn push(&mut self, item: StreamItem) -> PushOutcome {
        let size = item_bytes(&item);
        if self.overflowed || self.bytes + size > MAX_ANSWER_BYTES {
            self.overflowed = true;
            return PushOutcome::Overflow;
        }
        self.bytes += size;
        self.items.push_back(item);
        PushOutcome::Kept
    }

    /// Returns the index that the next item will get.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.first_index + self.items.len() as u64
    }

    /// Returns the bytes that are kept.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops the items below the index, which have been received; returns their bytes.
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

    /// Returns items from the index on, at most about a megabyte.
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

fn item_bytes(item: &StreamItem) -> usize {
    match item {
        StreamItem::Head { headers, .. } => headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum(),
        StreamItem::Data(bytes) => bytes.len(),
    }
}

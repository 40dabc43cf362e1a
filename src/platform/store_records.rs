//! Binary format of the store: pages of framed records, and keyed records within them.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::decide::keyed_view::KeyedRecord;

/// Length of the frame header before each record, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

/// Length of the page header, in bytes: two offsets.
const PAGE_HEADER_BYTES: usize = 16;

/// Record of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Position of the record in the partition.
    pub offset: LogOffset,
    /// Bytes that were appended.
    pub body: Bytes,
}

/// Consecutive records of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePage {
    /// Offset of the next record that is appended.
    pub end: LogOffset,
    /// Oldest offset that the store has not deleted.
    pub first: LogOffset,
    /// Records of the page, oldest first.
    pub records: Vec<StoreRecord>,
}

impl StorePage {
    /// Decodes the response to a read from the offset `from`; returns `None` if it is truncated.
    #[must_use]
    pub fn decode(from: LogOffset, mut bytes: Bytes) -> Option<Self> {
        if bytes.len() < PAGE_HEADER_BYTES {
            return None;
        }
        let end = LogOffset(bytes.get_u64());
        let first = LogOffset(bytes.get_u64());
        let mut offset = from.0.max(first.0);
        let mut records = Vec::new();
        while bytes.has_remaining() {
            if bytes.len() < FRAME_HEADER_BYTES {
                return None;
            }
            let length = bytes.get_u32() as usize;
            if bytes.len() < length {
                return None;
            }
            records.push(StoreRecord {
                offset: LogOffset(offset),
                body: bytes.split_to(length),
            });
            offset += 1;
        }
        Some(Self {
            end,
            first,
            records,
        })
    }

    /// Returns the offset after the last record, or `from` if the page is empty.
    #[must_use]
    pub fn next(&self, from: LogOffset) -> LogOffset {
        let last = self.records.last();
        last.map_or(from, |record| LogOffset(record.offset.0 + 1))
    }
}

/// Decodes a record of a keyed topic in an era of the store; returns `None` if the key is truncated or
/// not UTF-8.
#[must_use]
pub fn decode_keyed(era: StoreEra, record: &StoreRecord) -> Option<KeyedRecord> {
    let mut body = record.body.clone();
    if body.is_empty() {
        return None;
    }
    let key_length = usize::from(body.get_u8());
    if body.len() < key_length {
        return None;
    }
    let key = String::from_utf8(body.split_to(key_length).to_vec()).ok()?;
    Some(KeyedRecord {
        key,
        value: (!body.is_empty()).then_some(body),
        position: LogPosition {
            era,
            offset: record.offset,
        },
    })
}

/// Encodes a record of a keyed topic; an empty value deletes the key.
///
/// Returns `None` for a key of more than 255 bytes, which the format cannot represent.
#[must_use]
pub fn encode_keyed(key: &str, value: &[u8]) -> Option<Bytes> {
    let key_length = u8::try_from(key.len()).ok()?;
    let mut body = BytesMut::with_capacity(1 + key.len() + value.len());
    body.put_u8(key_length);
    body.put_slice(key.as_bytes());
    body.put_slice(value);
    Some(body.freeze())
}

/// Adds the frame header to a record, as the store expects it in an append.
#[must_use]
pub fn frame(body: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(FRAME_HEADER_BYTES + body.len());
    framed.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
    framed.put_slice(body);
    framed.freeze()
}

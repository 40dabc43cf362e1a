//! Call with which a gateway reads store records from another one in pieces. It is encoded in
//! bincode, so the order of fields and variants is part of the format.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::peer_rpc::WireTopic;
use super::position::WirePosition;
use crate::decide::record_transfer::{PAGE_BYTES, RecordPage, RecordPiece, TransferCursor};

/// Request for the next records of a topic, in the order of their positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecordsCall {
    /// Hash of the caller's name.
    pub caller: u64,
    /// Topic of the records.
    pub topic: WireTopic,
    /// Position from which the caller needs all newest records.
    pub from: WirePosition,
    /// Position from which records are still to come.
    pub at: WirePosition,
    /// Bytes of the value at position `at` that the caller has.
    pub held: u64,
    /// Position below which the sources of the caller's records so far had all records.
    pub as_of: WirePosition,
}

/// Record, or part of its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecordPiece {
    /// Key of the record.
    pub key: String,
    /// Position of the record in its topic.
    pub position: WirePosition,
    /// Size of the whole value, in bytes; `None` if the record deletes the key.
    pub value_bytes: Option<u64>,
    /// Position of the part in the value, in bytes.
    pub start: u64,
    /// Size of the part, in bytes.
    pub part_bytes: u32,
}

/// Page of records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecordPage {
    /// Records in the order of their positions; the last one may be incomplete.
    pub pieces: Vec<WireRecordPiece>,
    /// Parts of the values one after another, compressed with DEFLATE.
    pub parts: Vec<u8>,
    /// Position below which the called instance has all records.
    pub next: WirePosition,
    /// Whether no record follows the last piece.
    pub is_last: bool,
}

/// Reply to a [`WireRecordsCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireRecordsReply {
    /// Records from the requested position on.
    Page(WireRecordPage),
    /// Enough others read from the called instance at present.
    Busy,
    /// The called instance is behind the caller's earlier sources.
    Behind,
}

quick_error! {
    /// Error of a page that cannot be decoded.
    #[derive(Debug)]
    pub enum PageError {
        /// The parts cannot be decompressed.
        Compression(error: std::io::Error) {
            display("the parts cannot be decompressed: {}", error)
            source(error)
            from()
        }
        /// The parts are longer than a page, or not as long as the pieces say.
        Length {
            display("the parts do not have the stated length")
        }
    }
}

impl WireRecordsCall {
    /// Creates the call of an instance for the records at a cursor.
    #[must_use]
    pub fn new(caller: u64, topic: WireTopic, cursor: TransferCursor) -> Self {
        Self {
            caller,
            topic,
            from: cursor.from.into(),
            at: cursor.at.into(),
            held: cursor.held,
            as_of: cursor.as_of.into(),
        }
    }
}

impl From<&WireRecordsCall> for TransferCursor {
    fn from(call: &WireRecordsCall) -> Self {
        Self {
            from: call.from.into(),
            at: call.at.into(),
            held: call.held,
            as_of: call.as_of.into(),
        }
    }
}

impl TryFrom<RecordPage> for WireRecordPage {
    type Error = PageError;

    fn try_from(page: RecordPage) -> Result<Self, PageError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let mut pieces = Vec::with_capacity(page.pieces.len());
        for piece in page.pieces {
            encoder.write_all(&piece.part)?;
            pieces.push(WireRecordPiece {
                key: piece.key,
                position: piece.position.into(),
                value_bytes: piece.value_bytes,
                start: piece.start,
                part_bytes: u32::try_from(piece.part.len()).map_err(|_large| PageError::Length)?,
            });
        }
        Ok(Self {
            pieces,
            parts: encoder.finish()?,
            next: page.next.into(),
            is_last: page.is_last,
        })
    }
}

impl TryFrom<WireRecordPage> for RecordPage {
    type Error = PageError;

    fn try_from(wire: WireRecordPage) -> Result<Self, PageError> {
        let mut parts = Vec::new();
        let limit = PAGE_BYTES as u64 + 1;
        DeflateDecoder::new(wire.parts.as_slice())
            .take(limit)
            .read_to_end(&mut parts)?;
        let mut parts = Bytes::from(parts);
        let mut pieces = Vec::with_capacity(wire.pieces.len());
        for piece in wire.pieces {
            let size = usize::try_from(piece.part_bytes).map_err(|_large| PageError::Length)?;
            if parts.len() < size {
                return Err(PageError::Length);
            }
            pieces.push(RecordPiece {
                key: piece.key,
                position: piece.position.into(),
                value_bytes: piece.value_bytes,
                start: piece.start,
                part: parts.split_to(size),
            });
        }
        if !parts.is_empty() {
            return Err(PageError::Length);
        }
        Ok(Self {
            pieces,
            next: wire.next.into(),
            is_last: wire.is_last,
        })
    }
}

//! Client for a text stream: a topic of the platform's store with one partition of UTF-8 records,
//! written and read only by processes of this system.

use std::net::SocketAddr;
use std::time::Duration;

use super::http_connection::ConnectionError;
use super::store_client::{StoreClient, StoreError, StoreRead};
use super::store_records::StorePage;
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};

/// Client for one stream; each call opens its own connection.
#[derive(Debug, Clone)]
pub struct LogClient {
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Name of the topic that holds the stream.
    pub stream: String,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: LogOffset,
    /// Text that was appended.
    pub body: String,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Era of the store in which the page was read.
    pub era: StoreEra,
    /// Oldest offset that the store has not deleted.
    pub first: LogOffset,
    /// Offset of the next record that is appended.
    pub next: LogOffset,
    /// Records in the order of their offsets, from the requested one or from `first` if it is
    /// higher.
    pub records: Vec<LogRecord>,
}

/// Outcome of an append to a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this position.
    Appended(LogPosition),
    /// The record was not appended; holds the reason.
    Refused(String),
    /// The record may have been appended, which only a read can determine; holds the error.
    Unknown(String),
}

/// Outcome of a read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records of the stream, possibly none.
    Page(LogPage),
    /// The stream cannot be read at present; holds the reason.
    Unavailable(String),
}

/// Range of records to read, and how long to wait for the first one.
#[derive(Debug, Clone, Copy)]
pub struct ReadWindow {
    /// Offset of the first record to read.
    pub from: LogOffset,
    /// Largest number of records to return.
    pub limit: u32,
    /// Longest time that the store delays its response while there is no record.
    pub wait: Duration,
}

impl LogPage {
    /// Decodes a page that was read in this era of the store.
    fn decode(era: StoreEra, page: StorePage) -> Self {
        let records = page.records.into_iter().map(|record| LogRecord {
            offset: record.offset,
            // Invalid UTF-8 is replaced; readers then fail to decode the record.
            body: String::from_utf8_lossy(&record.body).into_owned(),
        });
        Self {
            era,
            first: page.first,
            next: page.end,
            records: records.collect(),
        }
    }
}

impl LogClient {
    /// Creates a client for the stream in the topic `stream`.
    #[must_use]
    pub fn new(platform: SocketAddr, stream: &str) -> Self {
        Self {
            platform,
            stream: stream.to_owned(),
        }
    }

    /// Appends a record to the stream.
    pub async fn append(&self, body: String) -> AppendOutcome {
        let mut client = StoreClient::new(self.platform);
        match client.append(&self.stream, body.as_bytes()).await {
            Ok(offset) => AppendOutcome::Appended(LogPosition {
                era: client.era(),
                offset,
            }),
            Err(error) if is_not_executed(&error) => AppendOutcome::Refused(error.to_string()),
            Err(error) => AppendOutcome::Unknown(error.to_string()),
        }
    }

    /// Reads records from an offset, or from the oldest one if the store does not have that offset.
    pub async fn read(&self, window: ReadWindow) -> ReadOutcome {
        match self.read_from(window.from, window.wait).await {
            Ok(mut page) => {
                page.records.truncate(window.limit as usize);
                ReadOutcome::Page(page)
            }
            Err(error) => ReadOutcome::Unavailable(error.to_string()),
        }
    }

    async fn read_from(&self, from: LogOffset, wait: Duration) -> Result<LogPage, StoreError> {
        let mut client = StoreClient::new(self.platform);
        let first = match client.read(&self.stream, from, wait).await? {
            StoreRead::Page(page) => return Ok(LogPage::decode(client.era(), page)),
            StoreRead::Deleted { first } => first,
        };
        match client.read(&self.stream, first, Duration::ZERO).await? {
            StoreRead::Page(page) => Ok(LogPage::decode(client.era(), page)),
            // More records were deleted between the two calls; the next read starts at the new
            // oldest.
            StoreRead::Deleted { .. } => Err(StoreError::Unreadable),
        }
    }
}

/// Returns whether it is certain that the store did not execute the call: there was no connection,
/// or the store rejected the call. After other server errors it may have been executed.
fn is_not_executed(error: &StoreError) -> bool {
    match error {
        StoreError::Connection(cause) => matches!(cause, ConnectionError::Dial(_)),
        StoreError::Refused(status) => {
            status.is_client_error() || *status == hyper::StatusCode::SERVICE_UNAVAILABLE
        }
        StoreError::Unreadable | StoreError::UnknownEra | StoreError::TooManyPages => false,
    }
}

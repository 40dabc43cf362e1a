//! One stream of the product's own on the platform's store: a topic with one partition whose
//! records are texts.

use std::net::SocketAddr;
use std::time::Duration;

use super::http_link::LinkError;
use super::store_client::{ReadStep, StoreClient, StoreError};
use super::store_records::StorePage;
use crate::decide::ids::LogOffset;

/// Reaches one stream; each call has a connection of its own.
#[derive(Debug, Clone)]
pub struct LogClient {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Name of the stream.
    pub stream: String,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position on the stream.
    pub offset: LogOffset,
    /// The record as it was appended.
    pub body: String,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset that the log still keeps.
    pub first: LogOffset,
    /// Offset that the next append gets.
    pub next: LogOffset,
    /// Records from the wanted offset on, or from `first` if that is higher.
    pub records: Vec<LogRecord>,
}

/// What became of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record stands at this offset.
    Appended(LogOffset),
    /// The record was certainly not appended.
    Refused(String),
    /// The record may have been appended; only reading the stream can tell.
    Unknown(String),
}

/// What a read found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records, possibly none.
    Page(LogPage),
    /// The log cannot be read at present.
    Unavailable(String),
}

/// Which records to read, and how long to wait for the first one.
#[derive(Debug, Clone, Copy)]
pub struct ReadWindow {
    /// Lowest wanted offset.
    pub from: LogOffset,
    /// Most records in the page.
    pub limit: u32,
    /// Time that the log holds the answer back while there is no record.
    pub wait: Duration,
}

impl From<StorePage> for LogPage {
    fn from(page: StorePage) -> Self {
        let records = page.records.into_iter().map(|record| LogRecord {
            offset: record.offset,
            // A record that is no text is passed on as one that no reader can decode.
            body: String::from_utf8_lossy(&record.body).into_owned(),
        });
        Self {
            first: page.first,
            next: page.end,
            records: records.collect(),
        }
    }
}

impl LogClient {
    /// Creates a client of a stream.
    #[must_use]
    pub fn new(platform: SocketAddr, stream: &str) -> Self {
        Self {
            platform,
            stream: stream.to_owned(),
        }
    }

    /// Appends a record.
    pub async fn append(&self, body: String) -> AppendOutcome {
        let mut client = StoreClient::new(self.platform);
        match client.append(&self.stream, body.as_bytes()).await {
            Ok(offset) => AppendOutcome::Appended(offset),
            Err(error) if is_untouched(&error) => AppendOutcome::Refused(error.to_string()),
            Err(error) => AppendOutcome::Unknown(error.to_string()),
        }
    }

    /// Reads records from an offset on, or the oldest that are left.
    pub async fn read(&self, window: ReadWindow) -> ReadOutcome {
        match self.read_from(window.from, window.wait).await {
            Ok(page) => {
                let mut page = LogPage::from(page);
                page.records.truncate(window.limit as usize);
                ReadOutcome::Page(page)
            }
            Err(error) => ReadOutcome::Unavailable(error.to_string()),
        }
    }

    async fn read_from(&self, from: LogOffset, wait: Duration) -> Result<StorePage, StoreError> {
        let mut client = StoreClient::new(self.platform);
        let first = match client.read(&self.stream, from, wait).await? {
            ReadStep::Page(page) => return Ok(page),
            ReadStep::Deleted { first } => first,
        };
        match client.read(&self.stream, first, Duration::ZERO).await? {
            ReadStep::Page(page) => Ok(page),
            // More was deleted between the two calls; the next read finds what is left.
            ReadStep::Deleted { .. } => Err(StoreError::Unreadable),
        }
    }
}

/// Tells whether the store has certainly not carried the call out: no connection was made, or it
/// refused the call; other server errors say nothing about it.
fn is_untouched(error: &StoreError) -> bool {
    match error {
        StoreError::Link(link) => matches!(link, LinkError::Dial(_)),
        StoreError::Refused(status) => {
            status.is_client_error() || *status == hyper::StatusCode::SERVICE_UNAVAILABLE
        }
        StoreError::Unreadable => false,
    }
}

//! Client of the platform's store, which keeps append-only topics; some of them are keyed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use quick_error::quick_error;
use serde::Deserialize;
use tokio::time::timeout;

use super::config_document::CONFIGURATION_KEY;
use super::http_connection::{ConnectionError, HttpConnection};
use super::store_records::{StorePage, frame};
use super::topic_listing::{ListingStep, TopicListing};
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::decide::keyed_view::KeyedRecord;

/// Keyed topic to which operators write configurations and target versions of weights.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Keyed topic in which upstreams register.
pub const UPSTREAM_TOPIC: &str = "keyed.servers";

/// Topic of this system, with the claims of instances on orders to upstreams.
pub const ORDER_TOPIC: &str = "upstream-orders";

/// Topic of this system, with the software versions at which streams began.
pub const ORIGIN_TOPIC: &str = "stream-origins";

/// Header in all responses of the store with the number of its era, which rises by one each time that
/// the store comes back from an older copy.
pub const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Time for the head of a response, in addition to the wait that the request asks for, and for each
/// part of a large body.
///
/// A response takes a few milliseconds, under heavy load some hundred.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response of the store, in bytes; a read returns at most 1 MiB of records by default and
/// a page of newest records 1 MB, which base64 lengthens by a third.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Timeout for reading all pages of the newest records of a topic.
const NEWEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Characters that are encoded in a query: all but the unreserved ones (RFC 3986, section 2.3).
const QUERY_ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

quick_error! {
    /// Error of a call to the store.
    #[derive(Debug)]
    pub enum StoreError {
        /// The connection failed or no response arrived; the call may have been executed.
        Connection(error: ConnectionError) {
            display("{}", error)
            from()
        }
        /// The store responded with an unexpected status code.
        Refused(status: StatusCode) {
            display("the store responded with {}", status)
        }
        /// The response, or a record to be written, cannot be encoded or decoded.
        Unreadable {
            display("the store's response cannot be decoded")
        }
        /// The store states an earlier era than before, or none, or one that cannot be decoded.
        UnknownEra {
            display("the store's era cannot be told")
        }
        /// The pages of a topic do not end, are too long, or cannot be continued.
        TooManyPages {
            display("the store's pages do not end")
        }
    }
}

/// Outcome of a read from a topic.
#[derive(Debug)]
pub enum StoreRead {
    /// Records from the requested offset on; none if there was no record before the wait ended.
    Page(StorePage),
    /// The record at the requested offset has been deleted.
    Deleted {
        /// Oldest offset that the store has not deleted.
        first: LogOffset,
    },
}

/// Outcome of an append to a topic.
#[derive(Debug)]
pub enum StoreAppend {
    /// The record was appended at this offset.
    Appended(LogOffset),
    /// The partition does not end at the expected offset; nothing was appended.
    OffsetMismatch,
}

/// Newest records of a keyed topic.
#[derive(Debug)]
pub struct NewestRecords {
    /// Newest record of each key.
    pub records: Vec<KeyedRecord>,
    /// Position from which to read later changes; it is that of the first page, so that changes
    /// during the paging are not missed.
    pub end: LogPosition,
    /// Whether all keys are listed.
    pub is_complete: bool,
    /// Number of items that cannot be decoded.
    pub skipped: usize,
}

#[derive(Deserialize)]
struct WireDeleted {
    first: u64,
}

#[derive(Deserialize)]
struct WireAppended {
    offset: u64,
}

/// Client of the store with one connection, which is opened on demand; it makes one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    connection: HttpConnection,
    /// Highest era that the store has stated; 0 if it has stated none.
    era: StoreEra,
    /// Time for the head of a response, in addition to its wait, and for each part of its body.
    patience: Duration,
}

impl StoreClient {
    /// Creates a client without an open connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            connection: HttpConnection::new(address, MAX_RESPONSE_BYTES),
            era: StoreEra(0),
            patience: RESPONSE_TIMEOUT,
        }
    }

    /// Returns the era of the last call that succeeded; 0 if the store states none.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Sets the time for the head of a response, in addition to its wait, and for each part of its
    /// body.
    pub const fn set_patience(&mut self, patience: Duration) {
        self.patience = patience;
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(body))
            .map_err(|_invalid| StoreError::Unreadable)?;
        let call = self.connection.call_paced(request, wait, self.patience);
        let (head, body) = call.await?.into_parts();
        self.check_era(&head)?;
        Ok((head.status, body))
    }

    /// Records the era that a response states. A refusal may come from before the store and state none.
    fn check_era(&mut self, head: &Parts) -> Result<(), StoreError> {
        let stated = match head.headers.get(&STORE_ERA) {
            None if head.status.is_success() => Some(StoreEra(0)),
            None => return Ok(()),
            Some(value) => value
                .to_str()
                .ok()
                .and_then(|text| text.parse().ok())
                .map(StoreEra),
        };
        match stated {
            Some(era) if era >= self.era => self.era = era,
            _ => return Err(StoreError::UnknownEra),
        }
        Ok(())
    }

    /// Reads records of partition 0 from an offset on; the store waits up to `wait` for the first
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no valid response arrives.
    pub async fn read(
        &mut self,
        topic: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<StoreRead, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/log-read?topic={topic}&part=0&from={}&wait-ms={wait_ms}",
            from.0
        );
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        match status {
            StatusCode::OK => StorePage::decode(from, body)
                .map(StoreRead::Page)
                .ok_or(StoreError::Unreadable),
            StatusCode::GONE => serde_json::from_slice::<WireDeleted>(&body)
                .map(|deleted| StoreRead::Deleted {
                    first: LogOffset(deleted.first),
                })
                .map_err(|_unreadable| StoreError::Unreadable),
            _ => Err(StoreError::Refused(status)),
        }
    }

    /// Reads the newest record of every key of a keyed topic.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when any page cannot be read or the pages do not end.
    pub async fn newest(&mut self, topic: &str) -> Result<NewestRecords, StoreError> {
        let listed = self.list(topic).await?;
        if listed.is_complete {
            Ok(listed)
        } else {
            Err(StoreError::TooManyPages)
        }
    }

    /// Reads the newest record of every key of a keyed topic as far as the listing can be continued.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when any page cannot be read or the pages take too long.
    pub async fn list(&mut self, topic: &str) -> Result<NewestRecords, StoreError> {
        timeout(NEWEST_TIMEOUT, self.list_pages(topic))
            .await
            .unwrap_or(Err(StoreError::TooManyPages))
    }

    async fn list_pages(&mut self, topic: &str) -> Result<NewestRecords, StoreError> {
        let first_page = format!("/log-newest?topic={topic}&part=0");
        let mut listing = TopicListing::new(self.era);
        let mut path = first_page.clone();
        let step = loop {
            let call = self.call(Method::GET, &path, Bytes::new(), Duration::ZERO);
            let (status, body) = call.await?;
            if status != StatusCode::OK {
                return Err(StoreError::Refused(status));
            }
            if self.era != listing.era {
                // The pages before this one list what the store had before it came back from a copy.
                listing = TopicListing::new(self.era);
                if path != first_page {
                    path.clone_from(&first_page);
                    continue;
                }
            }
            let step = listing.add_page(&body);
            match step.map_err(|_unreadable| StoreError::Unreadable)? {
                ListingStep::Continue(key) => {
                    // Writers may choose any text as a key.
                    let after = utf8_percent_encode(&key, QUERY_ENCODED);
                    path = format!("/log-newest?topic={topic}&part=0&after={after}");
                }
                step => break step,
            }
        };
        Ok(NewestRecords {
            records: listing.records,
            end: LogPosition {
                era: listing.era,
                offset: listing.end,
            },
            is_complete: step == ListingStep::Complete,
            skipped: listing.skipped,
        })
    }

    /// Returns the offset of the oldest record of a topic that the store has not deleted.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no valid response arrives.
    pub async fn oldest(&mut self, topic: &str) -> Result<LogOffset, StoreError> {
        match self
            .read(topic, LogOffset::default(), Duration::ZERO)
            .await?
        {
            StoreRead::Page(page) => Ok(page.first),
            StoreRead::Deleted { first } => Ok(first),
        }
    }

    /// Appends a record to partition 0.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Connection`] the record may have been appended.
    pub async fn append(&mut self, topic: &str, body: &[u8]) -> Result<LogOffset, StoreError> {
        let path = format!("/log-append?topic={topic}&part=0");
        match self.append_to(&path, body).await? {
            StoreAppend::Appended(offset) => Ok(offset),
            StoreAppend::OffsetMismatch => {
                Err(StoreError::Refused(StatusCode::PRECONDITION_FAILED))
            }
        }
    }

    /// Appends a record to partition 0 if its next offset is `end`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Connection`] the record may have been appended.
    pub async fn append_at(
        &mut self,
        topic: &str,
        end: LogOffset,
        body: &[u8],
    ) -> Result<StoreAppend, StoreError> {
        let path = format!("/log-append?topic={topic}&part=0&at={}", end.0);
        self.append_to(&path, body).await
    }

    async fn append_to(&mut self, path: &str, body: &[u8]) -> Result<StoreAppend, StoreError> {
        let call = self.call(Method::POST, path, frame(body), Duration::ZERO);
        let (status, body) = call.await?;
        match status {
            StatusCode::OK => serde_json::from_slice::<WireAppended>(&body)
                .map(|appended| StoreAppend::Appended(LogOffset(appended.offset)))
                .map_err(|_unreadable| StoreError::Unreadable),
            StatusCode::PRECONDITION_FAILED => Ok(StoreAppend::OffsetMismatch),
            _ => Err(StoreError::Refused(status)),
        }
    }
}

/// Reads the configuration document in force; `None` if there is none.
///
/// # Errors
///
/// Returns [`StoreError`] when the store gives no complete listing.
pub async fn read_configuration(store: SocketAddr) -> Result<Option<Bytes>, StoreError> {
    let newest = StoreClient::new(store).newest(OPERATOR_TOPIC).await?;
    let mut records = newest.records.into_iter();
    let found = records.find(|record| record.key == CONFIGURATION_KEY);
    Ok(found.and_then(|record| record.value))
}

//! Client of one stream of the platform's append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode};
use serde::Deserialize;

use super::http_client::{HttpError, call, request};
use crate::decide::ids::LogOffset;

/// Time allowed for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed for a read on top of the wait that the log was asked for.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reaches one stream of the log.
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

#[derive(Deserialize)]
struct WireAppended {
    offset: u64,
}

#[derive(Deserialize)]
struct WireLogRecord {
    offset: u64,
    body: String,
}

#[derive(Deserialize)]
struct WireLogPage {
    first: u64,
    next: u64,
    records: Vec<WireLogRecord>,
}

impl From<WireLogPage> for LogPage {
    fn from(page: WireLogPage) -> Self {
        let records = page.records.into_iter().map(|record| LogRecord {
            offset: LogOffset(record.offset),
            body: record.body,
        });
        Self {
            first: LogOffset(page.first),
            next: LogOffset(page.next),
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
        let path = format!("/streams/{}/append", self.stream);
        let request = request(Method::POST, self.platform, &path).body(Full::from(body));
        let request = match request {
            Ok(request) => request,
            Err(error) => return AppendOutcome::Refused(error.to_string()),
        };
        match call(self.platform, request, APPEND_TIMEOUT).await {
            Ok(response) => append_outcome(response.status, &response.body),
            Err(error) if error.is_unsent() => AppendOutcome::Refused(error.to_string()),
            Err(error) => AppendOutcome::Unknown(error.to_string()),
        }
    }

    /// Reads records from an offset on.
    pub async fn read(&self, window: ReadWindow) -> ReadOutcome {
        let ReadWindow { from, limit, wait } = window;
        let wait_ms = wait.as_millis();
        let path = format!(
            "/streams/{}?from={}&limit={limit}&wait_ms={wait_ms}",
            self.stream, from.0
        );
        let request = request(Method::GET, self.platform, &path).body(Full::default());
        let response = match request {
            Ok(request) => call(self.platform, request, wait + READ_TIMEOUT).await,
            Err(error) => Err(HttpError::Build(error)),
        };
        match response {
            Ok(response) => read_outcome(response.status, &response.body),
            Err(error) => ReadOutcome::Unavailable(error.to_string()),
        }
    }
}

fn append_outcome(status: StatusCode, body: &Bytes) -> AppendOutcome {
    if status.is_success() {
        return match serde_json::from_slice::<WireAppended>(body) {
            Ok(appended) => AppendOutcome::Appended(LogOffset(appended.offset)),
            Err(error) => AppendOutcome::Unknown(error.to_string()),
        };
    }
    // The log answers 503 without having appended; other server errors say nothing about it.
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return AppendOutcome::Refused(format!("the log answered {status}"));
    }
    AppendOutcome::Unknown(format!("the log answered {status}"))
}

fn read_outcome(status: StatusCode, body: &Bytes) -> ReadOutcome {
    if !status.is_success() {
        return ReadOutcome::Unavailable(format!("the log answered {status}"));
    }
    match serde_json::from_slice::<WireLogPage>(body) {
        Ok(page) => ReadOutcome::Page(page.into()),
        Err(error) => ReadOutcome::Unavailable(error.to_string()),
    }
}

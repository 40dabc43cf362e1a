//! Listing of the newest records of a keyed topic, which the store sends in pages.

use std::collections::HashSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::decide::keyed_view::KeyedRecord;

/// Largest size of all pages of a listing, in bytes.
const MAX_LISTING_BYTES: usize = 16 * 1024 * 1024;

/// What follows a page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingStep {
    /// The next page has the keys after this one.
    Continue(String),
    /// The page was the last one.
    Complete,
    /// More keys follow, but the page ends with none after which to continue, or the listing is too
    /// long.
    Cut,
}

/// Pages of a listing so far.
#[derive(Debug)]
pub struct TopicListing {
    /// Era of the store in which all pages were read.
    pub era: StoreEra,
    /// Newest record of each listed key.
    pub records: Vec<KeyedRecord>,
    /// Number of items that cannot be decoded.
    pub skipped: usize,
    /// End of the topic at the first page.
    pub end: LogOffset,
    bytes: usize,
    /// Keys after which pages were requested.
    continued_after: HashSet<String>,
}

#[derive(Deserialize)]
struct WirePage<'a> {
    /// Items whose content other writers determine; each is decoded by itself.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct WireItem {
    key: String,
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
struct WireKey {
    key: String,
}

impl TopicListing {
    /// Creates a listing without pages in an era of the store.
    #[must_use]
    pub fn new(era: StoreEra) -> Self {
        Self {
            era,
            records: Vec::new(),
            skipped: 0,
            end: LogOffset::default(),
            bytes: 0,
            continued_after: HashSet::new(),
        }
    }

    /// Adds a page and returns what follows it.
    ///
    /// # Errors
    ///
    /// Returns an error when the page cannot be decoded; an item that cannot be decoded is skipped.
    pub fn add_page(&mut self, body: &[u8]) -> Result<ListingStep, serde_json::Error> {
        let text = String::from_utf8_lossy(body);
        let page: WirePage<'_> = serde_json::from_str(&text)?;
        if self.bytes == 0 {
            self.end = LogOffset(page.end);
        }
        self.bytes += body.len();
        for item in &page.items {
            match serde_json::from_str::<WireItem>(item.get()) {
                Ok(item) => self.records.push(item.into_record(self.era)),
                Err(_invalid) => self.skipped += 1,
            }
        }
        if !page.more {
            return Ok(ListingStep::Complete);
        }
        let last_key = page.items.last().and_then(|item| key_of(item));
        let next = last_key.filter(|key| self.continued_after.insert(key.clone()));
        let next = next.filter(|_| self.bytes <= MAX_LISTING_BYTES);
        Ok(next.map_or(ListingStep::Cut, ListingStep::Continue))
    }
}

/// Returns the key of an item; `None` if it has none.
fn key_of(item: &RawValue) -> Option<String> {
    let item: WireKey = serde_json::from_str(item.get()).ok()?;
    Some(item.key)
}

impl WireItem {
    fn into_record(self, era: StoreEra) -> KeyedRecord {
        KeyedRecord {
            key: self.key,
            // A value that is not valid base64 is treated as deleted.
            value: STANDARD.decode(self.value).ok().map(Bytes::from),
            position: LogPosition {
                era,
                offset: LogOffset(self.offset),
            },
        }
    }
}

//! Topics of the store with the product's own processes: who runs, and who is to go.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use super::store_client::{ReadStep, StoreClient, StoreError};
use super::store_records::{decode_keyed, encode_keyed};
use crate::decide::ids::LogOffset;
use crate::kernel::whole_ms;

/// Topic in which processes of the product announce themselves, by name.
pub const INSTANCE_TOPIC: &str = "keyed.instances";

/// Topic with the names of the processes that the platform wants to go.
pub const LEAVING_TOPIC: &str = "keyed.leaving";

/// Interval between two renewals of an entry.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Age from which an entry no longer counts: three renewals missed, and clocks that differ.
const ENTRY_LIFETIME: Duration = Duration::from_secs(20);

/// Whether an instance is there to stay, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireInstanceState {
    /// It takes work.
    Live,
    /// It is about to go.
    Leaving,
}

/// One instance on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireInstance {
    /// Unique name.
    pub name: String,
    /// Role: `entry` or `sidecar`.
    pub role: String,
    /// Address that other processes of the system reach it under.
    pub address: SocketAddr,
    /// Address of its operator port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is there to stay.
    pub state: WireInstanceState,
    /// Wall-clock time of the renewal, in milliseconds since 1970.
    #[serde(default)]
    pub renewed_ms: u64,
}

/// Writes and reads the two topics.
#[derive(Debug)]
pub struct InstanceTopics {
    store: StoreClient,
}

impl InstanceTopics {
    /// Creates a client without a connection.
    #[must_use]
    pub const fn new(platform: SocketAddr) -> Self {
        Self {
            store: StoreClient::new(platform),
        }
    }

    /// Announces or renews an instance.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store did not confirm it.
    pub async fn renew(&mut self, instance: &WireInstance) -> Result<(), StoreError> {
        let entry = WireInstance {
            renewed_ms: wall_clock_ms(),
            ..instance.clone()
        };
        let value = serde_json::to_vec(&entry).map_err(|_unwritable| StoreError::Unreadable)?;
        self.write(INSTANCE_TOPIC, &entry.name, &value).await
    }

    /// Takes an instance off both topics.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store did not confirm it; the entry lapses by itself.
    pub async fn remove(&mut self, name: &str) -> Result<(), StoreError> {
        self.write(INSTANCE_TOPIC, name, &[]).await?;
        self.write(LEAVING_TOPIC, name, &[]).await
    }

    /// Names an instance that is to go.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store did not confirm it.
    pub async fn mark_leaving(&mut self, name: &str) -> Result<(), StoreError> {
        self.write(LEAVING_TOPIC, name, b"leaving").await
    }

    /// Reads the instances whose entries have not lapsed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when a topic could not be read.
    pub async fn list(&mut self) -> Result<Vec<WireInstance>, StoreError> {
        let leaving = self.store.newest(LEAVING_TOPIC).await?.records;
        let leaving: HashSet<String> = leaving.into_iter().map(|record| record.key).collect();
        let newest = self.store.newest(INSTANCE_TOPIC).await?;
        let oldest_ms = wall_clock_ms().saturating_sub(whole_ms(ENTRY_LIFETIME));
        let values = newest
            .records
            .iter()
            .filter_map(|record| record.value.as_ref());
        // An entry that cannot be read was not written by this product and names no process.
        let entries = values.filter_map(|value| serde_json::from_slice(value).ok());
        let live = entries.filter(|entry: &WireInstance| entry.renewed_ms >= oldest_ms);
        let marked = live.map(|mut entry| {
            if leaving.contains(&entry.name) {
                entry.state = WireInstanceState::Leaving;
            }
            entry
        });
        Ok(marked.collect())
    }

    /// Waits for an instance to be named as one that is to go; `from` is where to read on.
    ///
    /// Returns whether it is named, as far as the records read say so.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the topic could not be read.
    pub async fn await_leaving(
        &mut self,
        name: &str,
        from: &mut Option<LogOffset>,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let Some(next) = *from else {
            let newest = self.store.newest(LEAVING_TOPIC).await?;
            *from = Some(newest.end);
            return Ok(newest.records.iter().any(|record| record.key == name));
        };
        match self.store.read(LEAVING_TOPIC, next, wait).await? {
            ReadStep::Deleted { .. } => {
                *from = None;
                Ok(false)
            }
            ReadStep::Page(page) => {
                *from = Some(page.next(next));
                let records = page.records.iter().filter_map(decode_keyed);
                let own = records.filter(|record| record.key == name).last();
                Ok(own.is_some_and(|record| record.value.is_some()))
            }
        }
    }

    async fn write(&mut self, topic: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let record = encode_keyed(key, value).ok_or(StoreError::Unreadable)?;
        self.store.append(topic, &record).await?;
        Ok(())
    }
}

/// Returns the wall-clock time in milliseconds since 1970; 0 for a clock before that.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, whole_ms)
}

//! Store topics that list the running processes of this system and those that are to shut down.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use super::store_client::{StoreClient, StoreError, StoreRead};
use super::store_records::{decode_keyed, encode_keyed};
use crate::decide::ids::LogPosition;
use crate::kernel::whole_ms;

/// Topic in which the processes of this system register, keyed by name.
pub const INSTANCE_TOPIC: &str = "keyed.instances";

/// Topic whose keys are the names of processes that the platform wants to shut down.
pub const LEAVING_TOPIC: &str = "keyed.leaving";

/// Interval at which a process renews its entry.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Age at which an entry expires: three missed renewals and a margin for clock differences.
const ENTRY_LIFETIME: Duration = Duration::from_secs(20);

/// State of a process, in the wire format of its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireInstanceState {
    /// The process accepts work.
    Live,
    /// The process is going to shut down.
    Leaving,
}

/// Entry of one process, in its wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireInstance {
    /// Name of the process, unique in the system.
    pub name: String,
    /// Role of the process: `entry` or `sidecar`.
    pub role: String,
    /// Address on which other processes reach this one.
    pub address: SocketAddr,
    /// Address of the operator port, if the process has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
    /// Data centre in which the process runs.
    pub data_centre: String,
    /// State of the process.
    pub state: WireInstanceState,
    /// Wall-clock time of the last renewal, in Unix milliseconds.
    #[serde(default)]
    pub renewed_ms: u64,
}

/// Client for the topics [`INSTANCE_TOPIC`] and [`LEAVING_TOPIC`].
#[derive(Debug)]
pub struct InstanceTopics {
    store: StoreClient,
}

impl InstanceTopics {
    /// Creates a client of the store at this address, without an open connection.
    #[must_use]
    pub const fn new(platform: SocketAddr) -> Self {
        Self {
            store: StoreClient::new(platform),
        }
    }

    /// Registers a process or renews its entry, with the present time as the renewal time.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store does not confirm the write.
    pub async fn renew(&mut self, instance: &WireInstance) -> Result<(), StoreError> {
        let entry = WireInstance {
            renewed_ms: wall_clock_ms(),
            ..instance.clone()
        };
        let value = serde_json::to_vec(&entry).map_err(|_unencodable| StoreError::Unreadable)?;
        self.write(INSTANCE_TOPIC, &entry.name, &value).await
    }

    /// Removes a process from both topics.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store does not confirm a write; the entry then expires.
    pub async fn remove(&mut self, name: &str) -> Result<(), StoreError> {
        self.write(INSTANCE_TOPIC, name, &[]).await?;
        self.write(LEAVING_TOPIC, name, &[]).await
    }

    /// Marks a process that is to shut down.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store does not confirm the write.
    pub async fn mark_leaving(&mut self, name: &str) -> Result<(), StoreError> {
        self.write(LEAVING_TOPIC, name, b"leaving").await
    }

    /// Returns the entries that have not expired, with the marked processes set to leaving.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when a topic cannot be read.
    pub async fn list(&mut self) -> Result<Vec<WireInstance>, StoreError> {
        let leaving = self.store.newest(LEAVING_TOPIC).await?.records;
        let leaving: HashSet<String> = leaving.into_iter().map(|record| record.key).collect();
        let newest = self.store.newest(INSTANCE_TOPIC).await?;
        let oldest_ms = wall_clock_ms().saturating_sub(whole_ms(ENTRY_LIFETIME));
        let values = newest
            .records
            .iter()
            .filter_map(|record| record.value.as_ref());
        // Malformed entries are skipped; they were not written by a process of this system.
        let entries = values.filter_map(|value| serde_json::from_slice(value).ok());
        let unexpired = entries.filter(|entry: &WireInstance| entry.renewed_ms >= oldest_ms);
        let marked = unexpired.map(|mut entry| {
            if leaving.contains(&entry.name) {
                entry.state = WireInstanceState::Leaving;
            }
            entry
        });
        Ok(marked.collect())
    }

    /// Waits until a process is marked as leaving, at most for `wait`.
    ///
    /// `from` is the position to continue from; the first call has `None` and returns at once.
    /// Returns whether the records that were read mark the process.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the topic cannot be read.
    pub async fn await_leaving(
        &mut self,
        name: &str,
        from: &mut Option<LogPosition>,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let Some(next) = *from else {
            let newest = self.store.newest(LEAVING_TOPIC).await?;
            *from = Some(newest.end);
            return Ok(newest.records.iter().any(|record| record.key == name));
        };
        let read = self.store.read(LEAVING_TOPIC, next.offset, wait).await?;
        let era = self.store.era();
        match read {
            StoreRead::Page(page) if era == next.era => {
                *from = Some(LogPosition {
                    era,
                    offset: page.next(next.offset),
                });
                let keyed = |record| decode_keyed(era, record);
                let records = page.records.iter().filter_map(keyed);
                let last = records.filter(|record| record.key == name).last();
                Ok(last.is_some_and(|record| record.value.is_some()))
            }
            StoreRead::Page(_) | StoreRead::Deleted { .. } => {
                *from = None;
                Ok(false)
            }
        }
    }

    async fn write(&mut self, topic: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let record = encode_keyed(key, value).ok_or(StoreError::Unreadable)?;
        self.store.append(topic, &record).await?;
        Ok(())
    }
}

/// Returns the wall-clock time in Unix milliseconds; 0 if the clock is set before 1970.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, whole_ms)
}

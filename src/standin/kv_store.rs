//! Service `kept-cache`: simulated KV store that holds values in memory and evicts the oldest.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde_json::json;

use super::mail::StandinMail;
use crate::kernel::{NextStep, ReplyTo, Service, Signal};

/// Total size in bytes of the stored values, beyond which the oldest are evicted.
const MAX_STORED_BYTES: usize = 64 * 1024 * 1024;

/// Messages to the service `kept-cache`.
#[derive(Debug)]
pub enum KvStoreMail {
    /// Store a value under a key.
    Put(String, Bytes, ReplyTo<()>),
    /// Read the value of a key.
    Get(String, ReplyTo<Option<Bytes>>),
}

#[derive(Default)]
struct StoredValues {
    values: HashMap<String, Bytes>,
    insertion_order: VecDeque<String>,
    size_bytes: usize,
}

/// Creates the service.
#[must_use]
pub fn kv_store_service() -> Service<StandinMail> {
    let mut stored = StoredValues::default();
    Service::new("kept-cache", move |_turn, signal| {
        match signal {
            Signal::Mail(StandinMail::KvStore(KvStoreMail::Put(key, value, reply))) => {
                stored.put(key, value);
                reply.send(());
            }
            Signal::Mail(StandinMail::KvStore(KvStoreMail::Get(key, reply))) => {
                reply.send(stored.values.get(&key).cloned());
            }
            Signal::Dump(reply) => {
                reply.send(json!({ "values": stored.values.len(), "bytes": stored.size_bytes }));
            }
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}

impl StoredValues {
    fn put(&mut self, key: String, value: Bytes) {
        self.size_bytes += value.len();
        match self.values.insert(key.clone(), value) {
            Some(previous) => self.size_bytes -= previous.len(),
            None => self.insertion_order.push_back(key),
        }
        while self.size_bytes > MAX_STORED_BYTES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            let dropped = self.values.remove(&oldest);
            self.size_bytes -= dropped.map_or(0, |value| value.len());
        }
    }
}

//! Service `kept-cache`: values under keys, the oldest dropped when they grow too large.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde_json::json;

use super::mail::StandinMail;
use crate::kernel::{NextStep, ReplyTo, Service, Signal};

/// Bytes of values that are kept.
const KEPT_BYTES: usize = 64 * 1024 * 1024;

/// Messages to the service `kept-cache`.
#[derive(Debug)]
pub enum KeptMail {
    /// Keep a value.
    Put(String, Bytes, ReplyTo<()>),
    /// Read a value.
    Get(String, ReplyTo<Option<Bytes>>),
}

#[derive(Default)]
struct KeptCache {
    values: HashMap<String, Bytes>,
    by_age: VecDeque<String>,
    size_bytes: usize,
}

/// Creates the service.
#[must_use]
pub fn kept_service() -> Service<StandinMail> {
    let mut cache = KeptCache::default();
    Service::new("kept-cache", move |_turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Kept(KeptMail::Put(key, value, reply))) => {
                cache.put(key, value);
                reply.send(());
            }
            Signal::Mail(StandinMail::Kept(KeptMail::Get(key, reply))) => {
                reply.send(cache.values.get(&key).cloned());
            }
            Signal::Dump(reply) => {
                reply.send(json!({ "values": cache.values.len(), "bytes": cache.size_bytes }));
            }
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}

impl KeptCache {
    fn put(&mut self, key: String, value: Bytes) {
        self.size_bytes += value.len();
        match self.values.insert(key.clone(), value) {
            Some(previous) => self.size_bytes -= previous.len(),
            None => self.by_age.push_back(key),
        }
        while self.size_bytes > KEPT_BYTES
            && let Some(oldest) = self.by_age.pop_front()
        {
            let dropped = self.values.remove(&oldest);
            self.size_bytes -= dropped.map_or(0, |value| value.len());
        }
    }
}

//! State dump of the service `config`.

use serde_json::{Value, json};

use super::config::ConfigState;
use crate::kernel::Moment;

impl ConfigState {
    pub(super) fn dump(&self, now: Moment) -> Value {
        let current = &self.replica.current;
        let skipped = self
            .skipped
            .iter()
            .map(|record| json!({"offset": record.offset.0, "reason": record.reason}));
        let upstreams = current
            .upstreams
            .iter()
            .map(|(_, upstream)| json!({"name": upstream.name, "retired": upstream.retired}));
        let evidence = self.propagation.newest_evidence();
        let age = evidence.map(|evidence| now.since(evidence.at).as_millis());
        json!({
            "era": current.era.0,
            "next_offset": current.next_offset.0,
            "customers": current.customers.len(),
            "models": current.models.len(),
            "upstreams": upstreams.collect::<Vec<_>>(),
            "services": current.services.len(),
            "rebuilding": self.replica.is_rebuilding(),
            "skipped": skipped.collect::<Vec<_>>(),
            "spread": {
                "rank": self.propagation.position,
                "reads_log": self.propagation.reads_log(now),
                "peers": self.propagation.peers.len(),
                "known_readers": self.propagation.readers.len(),
                "evidence_age_ms": age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            },
        })
    }
}

//! Encoding of what instances publish of the origins of streams.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decide::route_table::ServiceId;
use crate::decide::software::SoftwareVersion;
use crate::decide::stream_origins::{OriginRecord, PublishedVersion, StreamKey};
use crate::kernel::whole_ms;

#[derive(Debug, Serialize, Deserialize)]
struct WireOriginRecord {
    /// Hashes of services and of software versions, and the times since each was first and last listed, in
    /// milliseconds.
    listed: Vec<(u64, u64, u64, u64)>,
    /// Hashes of services, of identifiers of requests, and of software versions.
    streams: Vec<(u64, u64, u64)>,
}

impl TryFrom<&[u8]> for OriginRecord {
    type Error = serde_json::Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let wire: WireOriginRecord = serde_json::from_slice(bytes)?;
        let listed = wire.listed.into_iter();
        let streams = wire
            .streams
            .into_iter()
            .map(|(service, request, software)| {
                let service = ServiceId(service);
                (StreamKey { service, request }, SoftwareVersion(software))
            });
        Ok(Self {
            listed: listed
                .map(|(service, software, first_ms, last_ms)| PublishedVersion {
                    service: ServiceId(service),
                    software: SoftwareVersion(software),
                    first_ago: Duration::from_millis(first_ms),
                    last_ago: Duration::from_millis(last_ms),
                })
                .collect(),
            streams: streams.collect(),
        })
    }
}

impl From<&OriginRecord> for Bytes {
    fn from(record: &OriginRecord) -> Self {
        let listed = record.listed.iter();
        let streams = record.streams.iter();
        let wire = WireOriginRecord {
            listed: listed
                .map(|version| {
                    let (first_ms, last_ms) =
                        (whole_ms(version.first_ago), whole_ms(version.last_ago));
                    (version.service.0, version.software.0, first_ms, last_ms)
                })
                .collect(),
            streams: streams
                .map(|(stream, software)| (stream.service.0, stream.request, software.0))
                .collect(),
        };
        let text = serde_json::to_vec(&wire);
        Self::from(text.expect("a record of numbers can be encoded"))
    }
}

//! Encoding of what instances in touch tell each other of the origins of streams. Bincode encodes no names, so
//! the order of fields is part of the format.

use serde::{Deserialize, Serialize};

use crate::decide::route_table::ServiceId;
use crate::decide::software::SoftwareVersion;
use crate::decide::stream_origins::StreamKey;

/// Stream, and the software version that sent its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStreamOrigin {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the identifier of the request that brought the first event.
    pub request: u64,
    /// Hash of the software version.
    pub software: u64,
}

impl From<(StreamKey, SoftwareVersion)> for WireStreamOrigin {
    fn from((stream, software): (StreamKey, SoftwareVersion)) -> Self {
        Self {
            service: stream.service.0,
            request: stream.request,
            software: software.0,
        }
    }
}

impl From<WireStreamOrigin> for (StreamKey, SoftwareVersion) {
    fn from(wire: WireStreamOrigin) -> Self {
        let stream = StreamKey {
            service: ServiceId(wire.service),
            request: wire.request,
        };
        (stream, SoftwareVersion(wire.software))
    }
}

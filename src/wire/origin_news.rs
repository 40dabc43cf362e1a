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

impl WireStreamOrigin {
    /// Returns the stream.
    #[must_use]
    pub const fn stream(&self) -> WireStreamKey {
        WireStreamKey {
            service: self.service,
            request: self.request,
        }
    }
}

/// Stream whose origin is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStreamKey {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the identifier of the request that brought the first event.
    pub request: u64,
}

impl From<StreamKey> for WireStreamKey {
    fn from(stream: StreamKey) -> Self {
        Self {
            service: stream.service.0,
            request: stream.request,
        }
    }
}

impl From<WireStreamKey> for StreamKey {
    fn from(wire: WireStreamKey) -> Self {
        Self {
            service: ServiceId(wire.service),
            request: wire.request,
        }
    }
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

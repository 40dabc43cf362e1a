//! Digests of data centres: what the instances of one data centre tell those of another, through one
//! instance for all. They are encoded in bincode, so the order of fields is part of the format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::peer_rpc::{WireLoad, WireSegment};
use crate::decide::route_table::DataCentreId;

/// Instance of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSiteMember {
    /// Hash of the instance's name.
    pub id: u64,
    /// Address at which the instance serves gossip.
    pub address: SocketAddr,
    /// Time since an instance of the data centre last heard from it, in milliseconds.
    pub ago_ms: u64,
    /// Whether its latest reads of the store succeeded.
    pub reaches_store: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// State of all instances of a data centre, as one of them knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSiteDigest {
    /// Hash of the name of the data centre.
    pub place: u64,
    /// Time since the digest was built, in milliseconds.
    pub ago_ms: u64,
    /// Instances of the data centre.
    pub members: Vec<WireSiteMember>,
    /// Load from all of them together at each upstream to which they send requests now.
    pub loads: Vec<WireLoad>,
    /// Tokens that they have added to the KV cache of some other upstreams: hash of the upstream's
    /// identity and total. Each upstream has its turn within a few digests.
    pub added_tokens: Vec<(u64, u64)>,
    /// Tokens that upstreams have saved to each KV store for them: hash of the store's data centre
    /// and total.
    pub saved_tokens: Vec<(u64, u64)>,
    /// Prompt segments that were recently sent to upstreams.
    pub parts: Vec<WireSegment>,
}

impl WireSiteDigest {
    /// Returns the data centre.
    #[must_use]
    pub const fn data_centre(&self) -> DataCentreId {
        DataCentreId(self.place)
    }
}

/// Digests that one instance sends to another: that of its own data centre to an instance in another
/// one, and those that it has received lately to one in its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireDigestCall {
    /// Hash of the name of the sender's data centre.
    pub place: u64,
    /// The digests.
    pub digests: Vec<WireSiteDigest>,
}

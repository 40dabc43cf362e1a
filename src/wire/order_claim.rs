//! JSON form of the claims on orders to upstreams, on the topic of this system in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decide::ids::StoreEra;
use crate::decide::rollout::OrderClaim;

/// JSON form of an [`OrderClaim`].
#[derive(Debug, Serialize, Deserialize)]
struct WireOrderClaim {
    holder: u64,
    upstreams: Vec<String>,
    version: u64,
    /// Earlier builds state none.
    #[serde(default)]
    era: u64,
}

impl TryFrom<&[u8]> for OrderClaim {
    type Error = serde_json::Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let wire: WireOrderClaim = serde_json::from_slice(bytes)?;
        Ok(Self {
            holder: wire.holder,
            upstreams: wire.upstreams,
            version: wire.version,
            era: StoreEra(wire.era),
        })
    }
}

impl From<&OrderClaim> for Bytes {
    fn from(claim: &OrderClaim) -> Self {
        let wire = WireOrderClaim {
            holder: claim.holder,
            upstreams: claim.upstreams.clone(),
            version: claim.version,
            era: claim.era.0,
        };
        let text = serde_json::to_vec(&wire);
        Self::from(text.expect("a claim of numbers and strings can be encoded"))
    }
}

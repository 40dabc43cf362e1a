//! Exchange of news between the instances of the system.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::fleet::MemberLoad;
use crate::decide::route_table::DataCentreId;

/// Topic of a record that is handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireTopic {
    /// Written by operators.
    Operator,
    /// Written by upstreams.
    Upstream,
}

/// Newest record of one key, handed on with its position in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    /// Where it stands.
    pub topic: WireTopic,
    /// Its key.
    pub key: String,
    /// Its value; `None` when the key was dropped.
    pub value: Option<Vec<u8>>,
    /// Position in the topic.
    pub offset: u64,
}

/// How far an instance has read a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireProgress {
    /// Offset up to which all records are known.
    pub next: u64,
    /// Offset from which the records of this news are complete, if they are.
    pub from: Option<u64>,
    /// Milliseconds since the store confirmed to someone that nothing newer was there.
    pub age_ms: u64,
    /// Milliseconds since the store came back from an outage; `None` long after it.
    pub returned_ms: Option<u64>,
}

/// How far the reading of a prompt part has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartStage {
    /// It is being read, and cannot be fetched yet.
    Reading,
    /// The reading ended without a result; whoever waits for it reads the part itself.
    GivenUp,
    /// It has been read.
    Read,
    /// It has been read and saved to the kept store.
    Kept,
}

/// A prompt part that an upstream was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePart {
    /// Chain of parts up to this one.
    pub chain: u64,
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// How far its reading has come.
    pub stage: PartStage,
}

/// Work of one instance at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens still to be read.
    pub unread_tokens: u64,
    /// Tokens of prompts and answers.
    pub memory_tokens: u64,
    /// Tokens that the sender has added to the upstream's memory since the sender's start.
    pub added_tokens: u64,
}

impl From<&WireLoad> for MemberLoad {
    fn from(wire: &WireLoad) -> Self {
        Self {
            in_flight: wire.in_flight,
            unread_tokens: wire.unread_tokens,
            memory_tokens: wire.memory_tokens,
            added_tokens: wire.added_tokens,
        }
    }
}

/// A suspicion that a request crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSuspicion {
    /// Hash of what makes two requests equal.
    pub fingerprint: u64,
    /// Upstream that crashed.
    pub upstream: u64,
    /// Its life that ended.
    pub born: u64,
}

/// A version of weights and the time after which older ones may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLimit {
    /// Hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: u64,
    /// Milliseconds that are left; 0 once older ones may not be used.
    pub left_ms: u64,
}

/// What one instance tells another; all of it is state, so that a lost or doubled exchange does
/// no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Hash of the sender's name.
    pub sender: u64,
    /// Address at which the sender serves exchanges.
    pub address: Option<SocketAddr>,
    /// Hash of the sender's data centre; `None` in news that say nothing.
    pub place: Option<u64>,
    /// Whether the store answers the sender, as far as the sender knows.
    pub reaches_store: bool,
    /// Whether the sender has been told to stop and gives no more orders.
    pub is_leaving: bool,
    /// Other instances that the sender has heard of lately.
    pub peers: Vec<SocketAddr>,
    /// How far the sender has read what operators write.
    pub operator: WireProgress,
    /// How far the sender has read what upstreams write.
    pub upstream: WireProgress,
    /// The sender's work at upstreams.
    pub loads: Vec<WireLoad>,
    /// Upstream and milliseconds for which it is not to be sent work.
    pub holds: Vec<(u64, u32)>,
    /// Upstream and version of weights that it was seen to run.
    pub weights: Vec<(u64, u64)>,
    /// Limits on the use of older weights.
    pub limits: Vec<WireLimit>,
    /// Data centre of each kept store, and tokens that the sender has had saved there since its
    /// start.
    pub saved_tokens: Vec<(u64, u64)>,
    /// Parts that were sent lately.
    pub parts: Vec<WirePart>,
    /// Suspicions in force.
    pub suspicions: Vec<WireSuspicion>,
    /// Records that the receiver lacks.
    pub records: Vec<WireRecord>,
}

impl GossipMessage {
    /// Returns the sender's data centre.
    #[must_use]
    pub fn place(&self) -> Option<DataCentreId> {
        self.place.map(DataCentreId)
    }
}

/// Interface between instances.
#[tarpc::service]
pub trait PeerRpc {
    /// Takes in the caller's news and returns the callee's.
    async fn exchange(gossip: GossipMessage) -> GossipMessage;
}

//! Gossip between gateway instances. All messages are encoded in bincode, so the order of fields
//! and variants is part of the format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::origin_news::{WireStreamKey, WireStreamOrigin};
use super::pace_news::WirePace;
use super::position::WirePosition;
use super::records_call::{WireRecordsCall, WireRecordsReply};
use super::site_digest::WireDigestCall;
use super::suspect_news::WireSuspectNews;
use super::use_news::WireUseCall;
use crate::decide::fleet::MemberLoad;
use crate::decide::route_table::DataCentreId;

/// Store topic of a forwarded record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireTopic {
    /// Topic to which operators write configurations and target versions of weights.
    Operator,
    /// Topic in which upstreams register.
    Upstream,
}

/// Newest record of one key of a store topic, as forwarded to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTopicRecord {
    /// Topic of the record.
    pub topic: WireTopic,
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Position of the record in the topic.
    pub position: WirePosition,
}

/// Progress of an instance in a store topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireProgress {
    /// Position below which the sender has all records.
    pub next: WirePosition,
    /// Position from which the message contains all newest records of the topic; `None` if it
    /// contains no records of the topic.
    pub from: Option<WirePosition>,
    /// Time since the store last confirmed to any instance that there was no newer record, in
    /// milliseconds.
    pub age_ms: u64,
    /// Time since the end of the last store outage, in milliseconds; `None` if there was none or
    /// it ended long ago.
    pub returned_ms: Option<u64>,
}

/// State of the prefill of a prompt segment at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PrefillStage {
    /// The prefill is running; the KV cache of the segment cannot be fetched yet.
    Reading,
    /// The prefill ended without a result; requests that wait for it compute the segment
    /// themselves.
    GivenUp,
    /// The prefill is complete.
    Read,
    /// The prefill is complete and its KV cache is saved to the KV store.
    Kept,
}

/// Prompt segment that was sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSegment {
    /// Prefix hash: the hash of the leading segments of the prompt up to this one.
    pub chain: u64,
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// State of the segment's prefill.
    pub stage: PrefillStage,
}

/// Load from the sender at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Number of the sender's requests that have not ended.
    pub in_flight: u32,
    /// Number of prompt tokens whose prefill is outstanding.
    pub unread_tokens: u64,
    /// Number of tokens of prompts and responses of these requests.
    pub memory_tokens: u64,
    /// Number of tokens that the sender has added to the upstream's KV cache since the sender
    /// started.
    pub added_tokens: u64,
}

impl WireLoad {
    /// Returns the load at an upstream with the given hash of its identity.
    #[must_use]
    pub const fn new(upstream: u64, load: MemberLoad) -> Self {
        Self {
            upstream,
            in_flight: load.in_flight,
            unread_tokens: load.unread_tokens,
            memory_tokens: load.memory_tokens,
            added_tokens: load.added_tokens,
        }
    }
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

/// Requests of the sender that have not ended. Instances of one data centre exchange them more often
/// than their gossip messages, because they use the same upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoadCall {
    /// Hash of the sender's name.
    pub sender: u64,
    /// Load from the sender at each upstream to which it has sent some of them.
    pub loads: Vec<WireLoad>,
}

/// Suspicion that a request crashed an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSuspicion {
    /// Fingerprint of the request, equal for equal requests.
    pub fingerprint: u64,
    /// Hash of the identity of the upstream that crashed.
    pub upstream: u64,
    /// Start time that identifies the run of the upstream that crashed.
    pub born: u64,
}

/// Crash of an upstream that ran a request with a prompt segment, or that the segment is cleared of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSegmentNews {
    /// Hash of the segment and its model.
    pub segment: u64,
    /// Number of shared segments after it in the prompt.
    pub depth: u8,
    /// Hash of the identity of the upstream that crashed.
    pub upstream: u64,
    /// Start time that identifies the run of the upstream that crashed.
    pub born: u64,
    /// Whether an answer on the segment was complete since.
    pub is_cleared: bool,
    /// Time since the crash, in milliseconds.
    pub ago_ms: u64,
    /// Time for which the sender still refuses the segment, in milliseconds; `None` if it does not.
    pub refused_ms: Option<u64>,
}

/// Newest that is known of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUpstreamLimit {
    /// Hash of the identity of the upstream.
    pub upstream: u64,
    /// Start time that identifies the run of the upstream.
    pub born: u64,
    /// Requests that it takes from all instances in a thousand seconds; `None` without a limit.
    pub per_1000_s: Option<u64>,
    /// Time since the response that says so, in milliseconds.
    pub ago_ms: u64,
}

/// Deadline after which a model's weights older than a version may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVersionDeadline {
    /// Hash of the model's name.
    pub model: u64,
    /// Oldest version that may be used after the deadline.
    pub version: u64,
    /// Time until the deadline, in milliseconds; 0 once it has passed.
    pub left_ms: u64,
}

/// State that one instance sends to another.
///
/// It holds current state instead of changes, so a lost or repeated exchange does no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Hash of the sender's name.
    pub sender: u64,
    /// Address at which the sender serves [`PeerRpc`]; `None` in an empty message, which is
    /// ignored.
    pub address: Option<SocketAddr>,
    /// Hash of the name of the sender's data centre; `None` in an empty message.
    pub place: Option<u64>,
    /// Whether the sender's latest reads of the store succeeded.
    pub reaches_store: bool,
    /// Whether the sender is shutting down and sends no more orders.
    pub is_leaving: bool,
    /// Addresses of other instances of which the sender has recently received gossip.
    pub peers: Vec<SocketAddr>,
    /// Progress of the sender in the operators' topic.
    pub operator: WireProgress,
    /// Progress of the sender in the upstreams' topic.
    pub upstream: WireProgress,
    /// Load from the sender at each upstream, where it is not zero; empty in messages to other data
    /// centres, as are `saved_tokens` and `parts`.
    pub loads: Vec<WireLoad>,
    /// Upstreams excluded from placement because weights are loaded there: hash of the identity
    /// and remaining time in milliseconds.
    pub holds: Vec<(u64, u32)>,
    /// Versions of weights that upstreams were recently found to run: hash of the identity and
    /// version.
    pub weights: Vec<(u64, u64)>,
    /// Deadlines for the use of older weights.
    pub limits: Vec<WireVersionDeadline>,
    /// Tokens that upstreams have saved to each KV store for the sender since it started: hash of
    /// the store's data centre and number of tokens.
    pub saved_tokens: Vec<(u64, u64)>,
    /// Prompt segments that were recently sent to upstreams.
    pub parts: Vec<WireSegment>,
    /// Recently added suspicions.
    pub suspicions: Vec<WireSuspicion>,
    /// Records of the store that the receiver does not have.
    pub records: Vec<WireTopicRecord>,
}

impl GossipMessage {
    /// Returns the sender's data centre.
    #[must_use]
    pub fn data_centre(&self) -> Option<DataCentreId> {
        self.place.map(DataCentreId)
    }

    /// Returns the message without what instances in other data centres learn from digests.
    #[must_use]
    pub fn without_digested(self) -> Self {
        Self {
            loads: Vec::new(),
            saved_tokens: Vec::new(),
            parts: Vec::new(),
            ..self
        }
    }
}

/// RPC interface between gateway instances.
#[tarpc::service]
pub trait PeerRpc {
    /// Applies the caller's gossip message and returns the one of the called instance.
    async fn exchange(gossip: GossipMessage) -> GossipMessage;

    /// Applies news of prompt segments that were seen in crashes. Instances of builds before this
    /// call close the connection on it.
    async fn report_segments(news: Vec<WireSegmentNews>);

    /// Returns records that a gossip message has left out for their size. Instances of builds
    /// before this call close the connection on it.
    async fn read_records(call: WireRecordsCall) -> WireRecordsReply;

    /// Applies news of the limits of upstreams. Instances of builds before this call close the
    /// connection on it.
    async fn report_limits(limits: Vec<WireUpstreamLimit>);

    /// Applies the caller's digests of data centres and returns those of the called instance.
    /// Instances of builds before this call close the connection on it.
    async fn exchange_digests(call: WireDigestCall) -> WireDigestCall;

    /// Applies the load from the caller and returns that from the called instance. Instances of
    /// builds before this call close the connection on it.
    async fn exchange_loads(call: WireLoadCall) -> WireLoadCall;

    /// Applies news of the paces of upstreams. Instances of builds before this call close the
    /// connection on it.
    async fn report_paces(paces: Vec<WirePace>);

    /// Applies the caller's reports of what customers use and returns those of the called instance;
    /// `None` if it reports none. Instances of builds before this call close the connection on it.
    async fn exchange_uses(call: WireUseCall) -> Option<WireUseCall>;

    /// Applies origins of recent streams. Instances of builds before this call close the connection
    /// on it.
    async fn report_origins(origins: Vec<WireStreamOrigin>);

    /// Returns those of the given streams whose origins the called instance has recorded. Instances of
    /// builds before this call close the connection on it.
    async fn find_origins(streams: Vec<WireStreamKey>) -> Vec<WireStreamOrigin>;

    /// Applies news of requests that are refused because they crash upstreams. Instances of builds before
    /// this call close the connection on it.
    async fn report_suspects(news: Vec<WireSuspectNews>);
}

//! Messages between the parts of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::{LogOffset, Rank, Ticket};
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::{DataCentreId, RouteDecision, ServiceId};
use crate::decide::suspects::Fingerprint;
use crate::gateway::counters::RequestEnd;
use crate::gateway::dispatch::DispatchState;
use crate::kernel::{Moment, ReplyTo};
use crate::platform::http_link::OpenLink;
use crate::platform::settings_file::InstanceSettings;
use crate::wire::peer_rpc::{PeerNews, WireTopic};

/// Any message; the variant names the receiving part.
#[derive(Debug)]
pub enum GatewayMail {
    /// To the service `dispatch`.
    Dispatch(Box<DispatchMail>),
    /// To the I/O task `peers`.
    Peers(PeersMail),
    /// To the store watches and `peers`: the settings have changed.
    Settings(Arc<InstanceSettings>),
    /// To the I/O task `orders`: there may be work.
    OrdersDue,
}

/// Messages to the service `dispatch`, which owns routes, upstreams, queue and budgets.
#[derive(Debug)]
pub enum DispatchMail {
    /// Asks what the configuration allows a request; `None` while there is none.
    Route(RouteAsk, ReplyTo<Option<RouteDecision>>),
    /// Asks for an upstream; answered once there is one or none will come in time.
    Place(Box<PlaceAsk>, ReplyTo<PlaceReply>),
    /// A request has produced its first output.
    Producing(Ticket),
    /// A request has ended at its upstream.
    Released(Box<PlaceEnd>),
    /// An upstream was seen to run a version of its weights.
    SeenWeights(MemberKey, u64),
    /// An upstream is not to be sent work until the moment.
    Hold(MemberKey, Moment),
    /// Records were read from the store.
    Records(TopicRecords),
    /// All newest records of a topic were read from the store.
    Newest(TopicRecords),
    /// The store has not answered for a topic.
    StoreFailed(WireTopic, String),
    /// Asks whether a topic is to be read now.
    ReadNeed(WireTopic, ReplyTo<ReadNeed>),
    /// Another instance's news.
    News(Box<PeerNews>),
    /// Asks for this instance's news for one that has read as far as stated.
    NewsFor(PeerProgress, ReplyTo<PeerNews>),
    /// A caller's request has ended.
    Ended(RequestEnd),
    /// Asks for all counters as text.
    Metrics(ReplyTo<String>),
    /// Asks whether the instance can serve callers.
    IsReady(ReplyTo<bool>),
    /// The process has been told to stop.
    Leaving,
    /// Asks for a look at what a rollout needs.
    Rollout(RolloutAsk),
    /// The settings have changed.
    Settings(Arc<InstanceSettings>),
}

/// How far another instance has read both topics.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerProgress {
    /// What operators write; `None` when no records are to be handed on.
    pub operator: Option<LogOffset>,
    /// What upstreams write.
    pub upstream: Option<LogOffset>,
}

/// Whether an instance reads a topic of the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadNeed {
    /// Read now, from this offset on.
    Now(LogOffset),
    /// Others read for all; ask again at the moment.
    Later(Moment),
}

/// Records of one topic.
#[derive(Debug)]
pub struct TopicRecords {
    /// The topic.
    pub topic: WireTopic,
    /// The records, oldest first.
    pub records: Vec<KeyedRecord>,
    /// Offset up to which all records are known now.
    pub next: LogOffset,
}

/// What a request says of itself before it is routed.
#[derive(Debug)]
pub struct RouteAsk {
    /// Host.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Key of the customer.
    pub key: Option<String>,
}

/// A request that needs an upstream.
#[derive(Debug)]
pub struct PlaceAsk {
    /// Identity that the caller gave it, for logs.
    pub request_id: String,
    /// Service to run on.
    pub service: ServiceId,
    /// Its prompt.
    pub prompt: Option<Arc<PromptShape>>,
    /// Name of its customer; empty when it has none.
    pub customer: String,
    /// Whether the customer shares prompt memory with no other.
    pub is_isolated: bool,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Upstreams that it must not go to.
    pub excluded: Vec<MemberKey>,
    /// Whether an upstream has already been sent this request.
    pub is_retry: bool,
    /// When it was received.
    pub received: Moment,
    /// Rank.
    pub rank: Rank,
    /// When waiting for an upstream ends.
    pub start_by: Moment,
    /// Until when it may wait for a reading of its shared parts that is under way.
    pub shared_by: Moment,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
}

/// Why a request got no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceRefusal {
    /// None had room in time.
    Busy,
    /// The service has no upstream that could run it.
    NoUpstream,
    /// The retry budget is used up.
    BudgetExhausted,
    /// Equal requests have crashed several upstreams.
    Poisonous,
}

impl PlaceRefusal {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::NoUpstream => "no_upstream",
            Self::BudgetExhausted => "retry_budget",
            Self::Poisonous => "poisonous",
        }
    }
}

/// Where a request goes and what it is sent with.
#[derive(Debug)]
pub struct PlacedAt {
    /// Identifies the placement.
    pub ticket: Ticket,
    /// The upstream's key.
    pub member: MemberKey,
    /// Its identity.
    pub upstream: String,
    /// Its address.
    pub address: SocketAddr,
    /// Version of the weights that the request is meant for.
    pub weights: Option<u64>,
    /// Text under which the engine keeps prompt memory.
    pub cache_domain: Option<String>,
    /// Address from which the engine fetches prompt memory.
    pub fetch_from: Option<SocketAddr>,
    /// Address to which the engine saves prompt memory.
    pub save_to: Option<SocketAddr>,
    /// An open connection, if there was an idle one.
    pub link: Option<OpenLink>,
}

/// Answers a request for an upstream.
#[derive(Debug)]
pub enum PlaceReply {
    /// It is to be sent there.
    Placed(Box<PlacedAt>),
    /// It is not to be sent anywhere.
    Refused(PlaceRefusal),
}

/// How a request ended at its upstream.
#[derive(Debug)]
pub struct PlaceEnd {
    /// Identifies the placement.
    pub ticket: Ticket,
    /// What it tells of the upstream.
    pub outcome: MemberOutcome,
    /// Its connection and the moment until which it may be used again.
    pub link: Option<(OpenLink, Moment)>,
}

/// Looks at the state of `dispatch`.
pub type StateLook = Box<dyn FnOnce(Moment, &DispatchState) + Send>;

/// Asks for a look at a rollout; the closure sees the state and replies itself.
pub struct RolloutAsk {
    /// Looks at the state.
    pub look: StateLook,
}

impl std::fmt::Debug for RolloutAsk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RolloutAsk")
    }
}

/// Messages to the I/O task `peers`.
#[derive(Debug)]
pub enum PeersMail {
    /// Exchange news now instead of at the next interval; answered when it is over.
    ExchangeNow(ReplyTo<()>),
    /// Another instance has called from this address.
    Heard(SocketAddr, Option<DataCentreId>, Vec<SocketAddr>),
}

//! Messages between the services and I/O tasks of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::fleet::MemberKey;
use crate::decide::ids::{LogPosition, StoreEra, Ticket};
use crate::decide::keyed_view::KeyedRecord;
use crate::decide::member_notice::UpstreamNotice;
use crate::decide::memory_budget::{MemoryUse, ReservationKey};
use crate::decide::route_table::{DataCentreId, RouteDecision, ServiceId};
use crate::decide::software::SoftwareVersion;
use crate::decide::stated_weights::WeightsStatement;
use crate::decide::stream_origins::{OriginRecord, StreamKey, StreamOrigin};
use crate::gateway::counters::RequestEnd;
use crate::gateway::dispatch::{DispatchState, UnreadResponse};
pub use crate::gateway::placement::{
    Placement, PlacementEnd, PlacementRefusal, PlacementReply, PlacementRequest, SendCheck,
};
use crate::kernel::{Moment, ReplyTo};
use crate::platform::request_headers::BodyFraming;
use crate::platform::settings_file::InstanceSettings;
use crate::wire::event_scanner::StreamPosition;
use crate::wire::origin_news::{WireStreamKey, WireStreamOrigin};
use crate::wire::pace_news::WirePace;
use crate::wire::peer_rpc::{
    GossipMessage, WireLoadCall, WireSegmentNews, WireTopic, WireUpstreamLimit,
};
use crate::wire::records_call::{WireRecordsCall, WireRecordsReply};
use crate::wire::site_digest::WireDigestCall;
use crate::wire::suspect_news::WireSuspectNews;
use crate::wire::use_news::WireUseCall;

/// Message to a service or I/O task of the gateway; the variant names the receiver.
#[derive(Debug)]
pub enum GatewayMail {
    /// For the service `dispatch`.
    Dispatch(Box<DispatchMail>),
    /// For the I/O task `peers`.
    Peers(PeersMail),
    /// For the I/O task `record-reader`: an instance has records that this one lacks.
    RecordSource(RecordSource),
    /// For the store watches, `orders` and `peers`: the settings have changed.
    Settings(Arc<InstanceSettings>),
    /// For the I/O task `orders`: a rollout may need orders.
    OrdersDue,
    /// For the I/O task `origin-log`: reads what others have published of the origins of streams;
    /// the reply tells whether that succeeded.
    ReadOrigins(ReplyTo<bool>),
    /// For the I/O task `origin-search`: asks other instances for the origin of a stream; the reply comes
    /// once one has told it or all have responded.
    SearchOrigin(StreamKey, ReplyTo<()>),
    /// For the I/O task `orders`: the store states a higher era than before.
    StoreEra(StoreEra),
}

/// Message to the service `dispatch`.
#[derive(Debug)]
pub enum DispatchMail {
    /// Looks up the route of a request and reserves memory for the request.
    Route(RouteLookup, ReplyTo<RouteReply>),
    /// Adds bytes to the reserved memory of a request; the reply tells whether they fit.
    GrowMemory(ReservationKey, u64, MemoryUse, ReplyTo<bool>),
    /// Returns the reserved memory of a request.
    ReleaseMemory(ReservationKey),
    /// The caller has not read a response, which may be ended when memory is short.
    ResponseUnread(ReservationKey, UnreadResponse),
    /// The caller has read what was buffered of its stream.
    ReleaseBacklog(ReservationKey),
    /// Asks for a placement; the reply comes once the request is placed or refused.
    Place(Box<PlacementRequest>, ReplyTo<PlacementReply>),
    /// Asks whether a placed request may still be sent.
    CheckSend(Ticket, ReplyTo<SendCheck>),
    /// A request has produced its first output.
    FirstOutput(Ticket),
    /// A placement has ended.
    PlacementEnded(Box<PlacementEnd>),
    /// A response of an upstream says something of the upstream.
    UpstreamNotice(MemberKey, UpstreamNotice),
    /// A response says something of its upstream that cannot be read.
    NoticeIgnored,
    /// An upstream that has lost a request accepts no connection.
    ProbeFailed(MemberKey),
    /// An upstream is stated to run a version of its weights.
    WeightsStated(MemberKey, WeightsStatement),
    /// Excludes an upstream from placement until the given time.
    Hold(MemberKey, Moment),
    /// New records were read from a topic of the store.
    Records(TopicRecords),
    /// All current records of a topic were read from the store.
    Snapshot(TopicRecords),
    /// Some of the current records of a topic were read from the store; the others are read from the
    /// topic itself.
    PartialSnapshot(TopicRecords),
    /// A read from a topic of the store failed, for the given reason.
    StoreFailed(WireTopic, String),
    /// Asks whether this instance is to read a topic from the store now.
    ReadNeed(WireTopic, ReplyTo<ReadNeed>),
    /// Gossip message of another instance that called; it may have been in transit for any time.
    Gossip(Box<GossipMessage>),
    /// Gossip message with which another instance responded to a call that began at the given
    /// time.
    GossipResponse(Box<GossipMessage>, Moment),
    /// Asks for records at the request of another instance.
    ReadRecords(WireRecordsCall, ReplyTo<WireRecordsReply>),
    /// Records that were read from another instance; the reply is the position below which this instance
    /// has all records.
    TransferredRecords(TransferredRecords, ReplyTo<LogPosition>),
    /// A call to another instance for its gossip message has ended, with this outcome.
    ExchangeEnded(&'static str),
    /// Asks for this instance's gossip message to an instance that has made the given progress.
    BuildGossip(PeerProgress, ReplyTo<GossipMessage>),
    /// Applies the load from another instance of this data centre.
    Loads(WireLoadCall),
    /// Asks for the load from this instance.
    BuildLoads(ReplyTo<WireLoadCall>),
    /// Applies digests of data centres from another instance.
    Digests(Box<WireDigestCall>),
    /// Asks for the digests for an instance in the given data centre.
    BuildDigests(DataCentreId, ReplyTo<WireDigestCall>),
    /// Applies another instance's reports of what customers use.
    Uses(Box<WireUseCall>),
    /// Asks for the reports for an instance in the given data centre; `None` if there are none.
    BuildUses(DataCentreId, ReplyTo<Option<WireUseCall>>),
    /// Applies another instance's news of the limits of upstreams.
    LimitNews(Vec<WireUpstreamLimit>),
    /// Asks for the limits of upstreams that other instances have to know.
    BuildLimitNews(ReplyTo<Vec<WireUpstreamLimit>>),
    /// Applies another instance's news of the paces of upstreams.
    PaceNews(Vec<WirePace>),
    /// Asks for the paces of upstreams that other instances have to know.
    BuildPaceNews(ReplyTo<Vec<WirePace>>),
    /// Applies another instance's news of prompt segments that were seen in crashes.
    SegmentNews(Vec<WireSegmentNews>),
    /// Asks for the news of such segments that other instances have to know.
    BuildSegmentNews(ReplyTo<Vec<WireSegmentNews>>),
    /// Applies another instance's news of requests that are refused because they crash upstreams.
    SuspectNews(Vec<WireSuspectNews>),
    /// Asks for the news of such requests that other instances have to know.
    BuildSuspectNews(ReplyTo<Vec<WireSuspectNews>>),
    /// A stream has begun at an upstream of this software version.
    StreamBegan(StreamKey, SoftwareVersion),
    /// Asks for the software version at which a stream of a service began.
    FindOrigin(OriginQuery, ReplyTo<StreamOrigin>),
    /// Asks for what other instances have to know of the origins of streams; versions are published again
    /// after the given time.
    BuildOriginNews(Duration, ReplyTo<OriginNews>),
    /// Applies the origins of streams that another instance has sent.
    OriginNews(Vec<WireStreamOrigin>),
    /// Asks for the origins of streams that instances in touch have to know.
    BuildStreamNews(ReplyTo<Vec<WireStreamOrigin>>),
    /// Asks for those of the given streams whose origins this instance has recorded.
    RecordedOrigins(Vec<WireStreamKey>, ReplyTo<Vec<WireStreamOrigin>>),
    /// Asks for the addresses of the instances that may know the origin of a stream.
    OriginSources(ReplyTo<Vec<SocketAddr>>),
    /// A record of this instance is published.
    OriginsPublished(OriginRecord),
    /// Applies what other instances have published, and the number of gaps before the read if it is
    /// complete.
    OriginsRead(Vec<OriginRecord>, Option<u64>),
    /// The store may have lost what was published.
    OriginsLost,
    /// A request of a client has ended.
    RequestEnded(RequestEnd),
    /// The body of a stream was received to its end, with this framing and position.
    StreamBodyEnded(BodyFraming, StreamPosition),
    /// Asks for all metrics in text format.
    Metrics(ReplyTo<String>),
    /// Asks whether the instance can serve clients.
    IsReady(ReplyTo<bool>),
    /// The process is shutting down.
    Leaving,
    /// Runs a closure on the state of the service.
    Inspect(StateQuery),
    /// The settings have changed.
    Settings(Arc<InstanceSettings>),
}

/// Stream whose origin is asked for.
#[derive(Debug, Clone, Copy)]
pub struct OriginQuery {
    /// Service that the stream comes from.
    pub service: ServiceId,
    /// Identity of the stream; `None` if the caller does not tell.
    pub stream: Option<StreamKey>,
    /// Whether what others have published was read since the request came.
    pub has_read: bool,
}

/// What an instance has to publish of the origins of streams, and to read.
#[derive(Debug)]
pub struct OriginNews {
    /// Record to be published.
    pub record: OriginRecord,
    /// Whether all that others have published is to be read first.
    pub needs_read: bool,
    /// Number of times that the list of upstreams was out of date.
    pub gaps: u64,
    /// Number of instances.
    pub fleet_size: usize,
    /// Whether upstreams are listed, and their versions are published.
    pub is_published: bool,
}

/// How far another instance has read the two topics of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerProgress {
    /// Position up to which it has the operators' records; `None` if no records are to be
    /// forwarded.
    pub operator: Option<LogPosition>,
    /// Position up to which it has the upstreams' records; `None` if no records are to be
    /// forwarded.
    pub upstream: Option<LogPosition>,
}

/// Whether an instance reads a topic of the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadNeed {
    /// Read now, starting at this position.
    Now(LogPosition),
    /// Read all current records, because what is known here may lack some.
    Listing,
    /// Other instances read for all; ask again at this time.
    Later(Moment),
}

/// Records read from one topic of the store.
#[derive(Debug)]
pub struct TopicRecords {
    /// Topic of the records.
    pub topic: WireTopic,
    /// The records, oldest first.
    pub records: Vec<KeyedRecord>,
    /// Position up to which all records of the topic are known.
    pub next: LogPosition,
    /// Time at which the topic had no record after these; [`Moment::START`] if it had more.
    pub confirmed_at: Moment,
}

/// Records of one topic that were read from other instances.
#[derive(Debug)]
pub struct TransferredRecords {
    /// Topic of the records.
    pub topic: WireTopic,
    /// Position from which the transfer brings all newest records.
    pub from: LogPosition,
    /// Records of one page.
    pub records: Vec<KeyedRecord>,
    /// Position below which no record is missing, if the transfer is complete.
    pub end: Option<LogPosition>,
}

/// Properties of a request by which its route is looked up.
#[derive(Debug)]
pub struct RouteLookup {
    /// Host that the request names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key of the customer.
    pub key: Option<String>,
    /// Size of the head, in bytes.
    pub head_bytes: usize,
    /// Size of the body, as far as it is known before it is read, in bytes.
    pub body_bytes: usize,
}

/// Reply to a route lookup.
#[derive(Debug)]
pub struct RouteReply {
    /// Whether a route admits the request; `None` until a configuration is in force.
    pub decision: Option<RouteDecision>,
    /// Memory that is reserved for an admitted request; `None` if there is no room for it.
    pub reservation: Option<ReservationKey>,
}

/// Closure that reads the state of `dispatch`.
pub type StateInspection = Box<dyn FnOnce(Moment, &DispatchState) + Send>;

/// Query on the state of `dispatch`; the closure sends the reply itself.
pub struct StateQuery {
    /// Closure to run.
    pub inspect: StateInspection,
}

impl std::fmt::Debug for StateQuery {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RolloutAsk")
    }
}

/// Instance that has records of a topic which this one lacks, and which are too large for gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordSource {
    /// Topic of the records.
    pub topic: WireTopic,
    /// Position below which this instance has all records.
    pub from: LogPosition,
    /// Address of the other instance.
    pub address: SocketAddr,
    /// Whether the other instance is in the same data centre.
    pub is_local: bool,
}

/// Message to the I/O task `peers`.
#[derive(Debug)]
pub enum PeersMail {
    /// Starts an exchange with all instances at once; the reply comes when it is over.
    ExchangeNow(ReplyTo<()>),
    /// An instance has called: its address, its data centre and the addresses of the peers that
    /// it knows.
    PeerCalled(SocketAddr, Option<DataCentreId>, Vec<SocketAddr>),
    /// A long prompt was placed; instances of the own data centre are to know at once.
    LoadsChanged,
    /// An instance has sent digests of data centres.
    DigestsReceived(Box<WireDigestCall>),
}

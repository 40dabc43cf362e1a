//! State of the service `dispatch`.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::DispatchSettings;
use super::crashes::SegmentNews;
use super::digests::SiteDigests;
pub use super::health::{PeerState, TopicHealth};
use super::limits::FleetSize;
use super::memory::UnreadResponse;
use super::origins::OriginState;
pub use super::placed::{DeferredRemoval, LostRequest, RunningRequest};
use super::pool::ConnectionPool;
use super::start_deadline::UnstartedRequest;
use super::view_check::ViewCheck;
use crate::decide::customer_use::{CustomerHash, UseTable};
use crate::decide::fleet::{Fleet, MemberKey};
use crate::decide::ids::{LogPosition, Ticket};
use crate::decide::keyed_view::{KeyedView, value_hash};
use crate::decide::load_features::LoadFeatures;
use crate::decide::memory_budget::{MemoryBudget, ReservationKey};
use crate::decide::prompt_parts::PrefixIndex;
use crate::decide::queue::FairQueue;
use crate::decide::record_transfer::ReaderSeats;
use crate::decide::retry_budget::RetryBudget;
use crate::decide::route_table::{RouteTable, ServiceId};
use crate::decide::segment_entry::SegmentPolicy;
use crate::decide::segment_suspects::SegmentSuspects;
use crate::decide::suspects::{CrashId, Fingerprint, SuspectPolicy, SuspectTable};
use crate::decide::version_deadlines::VersionDeadlines;
use crate::gateway::counters::GatewayCounters;
use crate::gateway::identity::InstanceIdentity;
use crate::gateway::mail::{PlacementReply, PlacementRequest};
use crate::kernel::{Moment, ReplyTo};
use crate::log_queue::DroppedLines;
use crate::platform::config_document::document_stamp;
use crate::platform::upstream_entry::{entry_meaning, entry_stamp};
use crate::wire::peer_rpc::{WireSegment, WireSuspicion, WireTopic};

/// Time within which two crashes of upstreams count as one for a request, in milliseconds. A request that is lost at
/// one upstream is sent to the next within it.
const SAME_CRASH_MS: u64 = 1_000;

/// Version of a model's weights that operators want upstreams to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetVersion {
    /// Name of the model.
    pub name: String,
    /// Target version.
    pub version: u64,
    /// Time at which this instance received the target version.
    pub received_at: Moment,
}

/// Request that waits for an upstream.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The waiting request.
    pub request: PlacementRequest,
    /// Handle for the reply to the waiting task.
    pub reply_to: ReplyTo<PlacementReply>,
}

/// State that the service `dispatch` owns.
#[derive(Debug)]
pub struct DispatchState {
    /// Identity of this instance.
    pub identity: InstanceIdentity,
    /// Route table of the configuration in force; `None` until the first one is read.
    pub routes: Option<RouteTable>,
    /// All known upstreams.
    pub fleet: Fleet,
    /// Estimated contents of the KV caches of upstreams and KV stores.
    pub parts: PrefixIndex,
    /// Target versions by the hash of the model's name.
    pub target_versions: HashMap<u64, TargetVersion>,
    /// Deadlines of target versions by the hash of the model's name, of this instance and of others.
    pub(super) version_deadlines: HashMap<u64, VersionDeadlines>,
    /// Other instances that are alive and not shutting down, by the hash of their name.
    pub peers: HashMap<u64, PeerState>,
    pub(super) fleet_size: FleetSize,
    /// Whether a long prompt was placed or the pace of an upstream has changed, of which the other
    /// instances of the data centre have to know at once.
    pub(super) has_urgent_news: bool,
    /// What this instance has received from and passes on between data centres.
    pub(super) digests: SiteDigests,
    /// Retries allowed per first attempt, as a ratio.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make beyond `retry_ratio`.
    pub extra_retries: f64,
    /// Request counters and latency histograms.
    pub(super) counters: GatewayCounters,
    pub(super) dropped_lines: DroppedLines,
    /// Current records of the operators' topic.
    pub(super) operator: KeyedView,
    /// Current records of the upstreams' topic.
    pub(super) upstreams: KeyedView,
    /// Instances that read records from this one.
    pub(super) reader_seats: ReaderSeats,
    pub(super) operator_health: TopicHealth,
    pub(super) upstream_health: TopicHealth,
    /// Removals of upstreams that were deferred because of a store outage.
    pub(super) removals: Vec<DeferredRemoval>,
    pub(super) pool: ConnectionPool,
    /// Memory that requests hold.
    pub(super) memory: MemoryBudget,
    /// Responses that their callers have not read.
    pub(super) unread: HashMap<ReservationKey, UnreadResponse>,
    pub(super) queues: HashMap<ServiceId, FairQueue>,
    /// Requests in `queues`, by ticket.
    pub(super) waiting: HashMap<Ticket, WaitingRequest>,
    /// Requests that wait for an upstream to prefill their shared prefix.
    pub(super) parked: Vec<WaitingRequest>,
    /// Requests that were placed and have not ended, by ticket.
    pub(super) running: HashMap<Ticket, RunningRequest>,
    /// Requests in `running` whose prompts have produced no output yet.
    pub(super) unstarted: HashMap<Ticket, UnstartedRequest>,
    /// Time at which requests in `unstarted` may have to be cancelled.
    pub(super) next_cancellation: Moment,
    pub(super) budgets: HashMap<ServiceId, RetryBudget>,
    pub(super) suspects: SuspectTable,
    /// Suspicions that are sent to other instances, each with the time at which it was added.
    pub(super) recent_suspicions: VecDeque<(Moment, WireSuspicion)>,
    /// Requests that were answered after crashes in which they were running, each with the time of the answer.
    pub(super) cleared_requests: VecDeque<(Moment, Fingerprint, CrashId)>,
    /// Requests that may have been lost to a crash, oldest first.
    pub(super) lost_requests: VecDeque<LostRequest>,
    /// Longest time for which an upstream may ask to get no requests.
    pub(super) max_upstream_pause: Duration,
    /// Features that the settings ask for.
    pub(super) features: LoadFeatures,
    /// What customers use, and their quotas.
    pub(super) uses: UseTable,
    /// Time of the next log line of each customer that is over its quota.
    pub(super) quota_logs: HashMap<CustomerHash, Moment>,
    /// Prompt segments that were seen in crashes.
    pub(super) segments: SegmentSuspects,
    /// News of such segments that are sent to other instances, each with the time at which it came.
    pub(super) segment_news: VecDeque<(Moment, SegmentNews)>,
    /// Updates about prompt segments that are sent to other instances.
    pub(super) recent_parts: VecDeque<(Moment, WireSegment)>,
    /// Upstreams whose weights changed lately, each with the time of the change.
    pub(super) recent_weights: VecDeque<(Moment, MemberKey)>,
    /// Time from which new entries are those of upstreams that have started; `NEVER` before the first one.
    pub(super) paces_from: Moment,
    pub(super) view_check: ViewCheck,
    pub(super) stream_origins: OriginState,
    pub(super) next_sweep: Moment,
    /// Whether requests wait for a newer list of upstreams, and the log tells so.
    pub(super) is_outdated_logged: bool,
    /// Whether this process is shutting down.
    pub is_leaving: bool,
    /// Time at which this process ends; `NEVER` before the stop signal.
    pub(super) stop_ends_at: Moment,
    pub(super) incarnation: crate::decide::ids::Incarnation,
    /// Sequence number of the last ticket.
    sequence: u64,
    /// State of the pseudo-random number generator.
    random: u64,
}

impl DispatchState {
    /// Creates the state of an instance that has read no records yet.
    #[must_use]
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            random: settings.incarnation.0 | 1,
            incarnation: settings.incarnation,
            identity: settings.identity,
            routes: None,
            fleet: Fleet::default(),
            parts: PrefixIndex::default(),
            target_versions: HashMap::new(),
            version_deadlines: HashMap::new(),
            peers: HashMap::new(),
            fleet_size: FleetSize::default(),
            has_urgent_news: false,
            digests: SiteDigests::default(),
            retry_ratio: settings.retry_ratio,
            extra_retries: settings.extra_retries,
            counters: GatewayCounters::default(),
            dropped_lines: settings.dropped_lines,
            operator: KeyedView::new(value_hash, document_stamp),
            upstreams: KeyedView::new(entry_meaning, entry_stamp),
            reader_seats: ReaderSeats::default(),
            operator_health: TopicHealth::default(),
            upstream_health: TopicHealth::default(),
            removals: Vec::new(),
            pool: ConnectionPool::default(),
            memory: MemoryBudget::new(settings.request_memory),
            unread: HashMap::new(),
            queues: HashMap::new(),
            waiting: HashMap::new(),
            parked: Vec::new(),
            running: HashMap::new(),
            unstarted: HashMap::new(),
            next_cancellation: Moment::NEVER,
            budgets: HashMap::new(),
            suspects: SuspectTable::new(SuspectPolicy {
                same_crash_ms: SAME_CRASH_MS,
                ..SuspectPolicy::default()
            }),
            recent_suspicions: VecDeque::new(),
            cleared_requests: VecDeque::new(),
            lost_requests: VecDeque::new(),
            segments: SegmentSuspects::new(SegmentPolicy::default()),
            segment_news: VecDeque::new(),
            max_upstream_pause: settings.max_upstream_pause,
            features: settings.features,
            quota_logs: HashMap::new(),
            uses: UseTable::new(settings.quota_tolerance),
            recent_parts: VecDeque::new(),
            recent_weights: VecDeque::new(),
            paces_from: Moment::NEVER,
            view_check: ViewCheck::default(),
            stream_origins: OriginState::default(),
            next_sweep: Moment::START,
            is_outdated_logged: false,
            is_leaving: false,
            stop_ends_at: Moment::NEVER,
            sequence: 0,
        }
    }

    /// Records the time from which no request may start on weights older than a version.
    pub(super) fn record_version_deadline(
        &mut self,
        now: Moment,
        model: u64,
        version: u64,
        deadline: Moment,
    ) {
        let deadlines = self.version_deadlines.entry(model).or_default();
        if deadlines.record(version, deadline) {
            self.next_cancellation = now;
        }
    }

    /// Returns the oldest version of a model's weights to which requests may still be sent.
    #[must_use]
    pub fn oldest_allowed(&self, now: Moment, model: u64) -> u64 {
        let deadlines = self.version_deadlines.get(&model);
        deadlines.map_or(0, |deadlines| deadlines.oldest_allowed(now))
    }

    /// Reports whether the instance can serve clients: the configuration and the upstreams are
    /// known and the process is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_informed = self.routes.is_some() && self.upstreams.next > LogPosition::default();
        !self.is_leaving && is_informed && !self.may_lack_all_upstreams()
    }

    /// Returns the current records of a topic.
    #[must_use]
    pub const fn view(&self, topic: WireTopic) -> &KeyedView {
        match topic {
            WireTopic::Operator => &self.operator,
            WireTopic::Upstream => &self.upstreams,
        }
    }

    pub(super) const fn health(&self, topic: WireTopic) -> &TopicHealth {
        match topic {
            WireTopic::Operator => &self.operator_health,
            WireTopic::Upstream => &self.upstream_health,
        }
    }

    pub(super) const fn health_mut(&mut self, topic: WireTopic) -> &mut TopicHealth {
        match topic {
            WireTopic::Operator => &mut self.operator_health,
            WireTopic::Upstream => &mut self.upstream_health,
        }
    }

    /// Issues a ticket that no other placement of any instance has.
    pub(super) const fn next_ticket(&mut self) -> Ticket {
        self.sequence += 1;
        Ticket {
            entry: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Returns a pseudo-random number in [0, 1). It is drawn by xorshift: the numbers have to be
    /// evenly spread, not unpredictable.
    pub(super) fn random_fraction(&mut self) -> f64 {
        f64::from(u32::try_from(self.next_random() >> 32).unwrap_or(0))
            / (f64::from(u32::MAX) + 1.0)
    }

    pub(super) const fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

//! State of the service `dispatch`.

use std::collections::{HashMap, VecDeque};

use serde_json::{Value, json};

use super::DispatchSettings;
use super::pool::LinkPool;
use crate::decide::fleet::{Fleet, MemberKey};
use crate::decide::ids::Ticket;
use crate::decide::keyed_view::KeyedView;
use crate::decide::prompt_parts::PrefixIndex;
use crate::decide::queue::FairQueue;
use crate::decide::retry_budget::RetryBudget;
use crate::decide::route_table::{DataCentreId, RouteTable, ServiceId};
use crate::decide::suspects::{Fingerprint, SuspectPolicy, SuspectTable};
use crate::events::{METRICS_FAILED, log_event};
use crate::gateway::counters::{GatewayCounters, GatewayGauges};
use crate::gateway::identity::InstanceIdentity;
use crate::gateway::mail::{PlaceAsk, PlaceReply};
use crate::kernel::{Moment, ReplyTo};
use crate::log_queue::DroppedLines;
use crate::wire::peer_rpc::{WirePart, WireSuspicion, WireTopic};

/// Weights that operators have named for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedVersion {
    /// Name of the model.
    pub name: String,
    /// The version.
    pub version: u64,
    /// When this instance learned of it.
    pub learned: Moment,
    /// Versions and the moments from which no request is sent to older weights, oldest first.
    pub limits: Vec<(u64, Moment)>,
}

impl NamedVersion {
    /// Returns the oldest version that requests may still be sent to.
    #[must_use]
    pub fn oldest_allowed(&self, now: Moment) -> u64 {
        let due = self
            .limits
            .iter()
            .rev()
            .find(|(_, limit)| limit.is_due(now));
        due.map_or(0, |(version, _)| *version)
    }

    /// Brings a version's limit forward to what another instance knows.
    pub fn tighten(&mut self, version: u64, due: Moment) {
        let known = self
            .limits
            .iter_mut()
            .find(|(listed, _)| *listed == version);
        if let Some((_, limit)) = known {
            *limit = (*limit).min(due);
        }
    }
}

/// What is known of another instance.
#[derive(Debug, Clone, Copy)]
pub struct PeerState {
    /// When it was heard last.
    pub heard: Moment,
    /// Whether the store answers it, so that it can claim orders.
    pub reaches_store: bool,
}

/// A request that waits for an upstream.
#[derive(Debug)]
pub struct WaitingPlace {
    /// The request.
    pub ask: PlaceAsk,
    /// Whoever waits.
    pub reply_to: ReplyTo<PlaceReply>,
}

/// A request that was given an upstream and has not ended there.
#[derive(Debug, Clone)]
pub struct RunningPlace {
    /// The upstream.
    pub member: MemberKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its rank.
    pub rank: usize,
    /// Prompt tokens that it still has to read.
    pub unread_tokens: u64,
    /// Tokens that it needs in memory.
    pub memory_tokens: u64,
    /// Chains of its shared parts, until they have been read.
    pub chain: Vec<(u64, u64)>,
    /// Kept store that the parts are saved to.
    pub kept_at: Option<DataCentreId>,
    /// When it was placed.
    pub placed: Moment,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
}

/// Health of the reading of one topic.
#[derive(Debug, Clone, Copy, Default)]
pub struct TopicHealth {
    /// When the store last confirmed, to this instance or another, that nothing newer was there;
    /// `START` before it ever did.
    pub confirmed: Moment,
    /// Since when it has failed, if it fails.
    pub failing_since: Option<Moment>,
    /// When it answered again after a failure.
    pub regained: Option<Moment>,
}

/// A removal that is not in force yet.
#[derive(Debug, Clone)]
pub struct DeferredRemoval {
    /// Identity of the upstream.
    pub id: String,
    /// When it takes effect unless a newer entry comes.
    pub due: Moment,
}

/// State of the service.
#[derive(Debug)]
pub struct DispatchState {
    /// Who this instance is.
    pub identity: InstanceIdentity,
    /// Configuration in force.
    pub routes: Option<RouteTable>,
    /// All upstreams.
    pub fleet: Fleet,
    /// Believed contents of memories.
    pub parts: PrefixIndex,
    /// Named weights by hash of the model.
    pub versions: HashMap<u64, NamedVersion>,
    /// Other instances that are alive and not leaving.
    pub peers: HashMap<u64, PeerState>,
    /// Retries allowed for each fresh request.
    pub retry_ratio: f64,
    /// Retries allowed beyond that for the whole fleet.
    pub extra_retries: f64,
    pub(super) counters: GatewayCounters,
    dropped_lines: DroppedLines,
    pub(super) operator: KeyedView,
    pub(super) upstreams: KeyedView,
    pub(super) operator_health: TopicHealth,
    pub(super) upstream_health: TopicHealth,
    pub(super) removals: Vec<DeferredRemoval>,
    pub(super) pool: LinkPool,
    pub(super) queues: HashMap<ServiceId, FairQueue>,
    pub(super) waiting: HashMap<Ticket, WaitingPlace>,
    pub(super) parked: Vec<WaitingPlace>,
    pub(super) running: HashMap<Ticket, RunningPlace>,
    pub(super) budgets: HashMap<ServiceId, RetryBudget>,
    pub(super) suspects: SuspectTable,
    pub(super) recent_suspicions: VecDeque<(Moment, WireSuspicion)>,
    pub(super) broken_runs: VecDeque<(Moment, MemberKey, Fingerprint)>,
    pub(super) recent_parts: VecDeque<(Moment, WirePart)>,
    pub(super) recent_weights: VecDeque<(Moment, MemberKey)>,
    pub(super) next_sweep: Moment,
    /// Whether the process has been told to stop.
    pub is_leaving: bool,
    incarnation: crate::decide::ids::Incarnation,
    sequence: u64,
    random: u64,
}

impl DispatchState {
    /// Creates the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            random: settings.incarnation.0 | 1,
            incarnation: settings.incarnation,
            identity: settings.identity,
            routes: None,
            fleet: Fleet::default(),
            parts: PrefixIndex::default(),
            versions: HashMap::new(),
            peers: HashMap::new(),
            retry_ratio: settings.retry_ratio,
            extra_retries: settings.extra_retries,
            counters: GatewayCounters::default(),
            dropped_lines: settings.dropped_lines,
            operator: KeyedView::default(),
            upstreams: KeyedView::default(),
            operator_health: TopicHealth::default(),
            upstream_health: TopicHealth::default(),
            removals: Vec::new(),
            pool: LinkPool::default(),
            queues: HashMap::new(),
            waiting: HashMap::new(),
            parked: Vec::new(),
            running: HashMap::new(),
            budgets: HashMap::new(),
            suspects: SuspectTable::new(SuspectPolicy::default()),
            recent_suspicions: VecDeque::new(),
            broken_runs: VecDeque::new(),
            recent_parts: VecDeque::new(),
            recent_weights: VecDeque::new(),
            next_sweep: Moment::START,
            is_leaving: false,
            sequence: 0,
        }
    }

    /// Tells whether callers can be served: the configuration and the upstreams are known.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.is_leaving && self.routes.is_some() && self.upstreams.next.0 > 0
    }

    /// Returns what is known of a topic.
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

    pub(super) const fn next_ticket(&mut self) -> Ticket {
        self.sequence += 1;
        Ticket {
            entry: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Returns a draw between 0 and 1 (xorshift; the draws need to be spread, not secret).
    pub(super) fn draw(&mut self) -> f64 {
        f64::from(u32::try_from(self.draw_word() >> 32).unwrap_or(0)) / (f64::from(u32::MAX) + 1.0)
    }

    pub(super) const fn draw_word(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Returns counters and gauges as text; empty if they cannot be written as text.
    pub(super) fn metrics_text(&self, now: Moment) -> String {
        let open = self.fleet.iter().filter(|(_, member)| member.is_open(now));
        let gauges = GatewayGauges {
            configuration: self.routes.as_ref().map_or(0, |routes| routes.version),
            open_upstreams: open.count(),
            waiting: self.waiting.len() + self.parked.len(),
            running: self.running.len(),
            peers: self.peers.len(),
            dropped_lines: self.dropped_lines.count(),
        };
        self.counters.text(gauges).unwrap_or_else(|error| {
            log_event(&METRICS_FAILED, &[("reason", &error)]);
            String::new()
        })
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Value {
        let members = self.fleet.iter().map(|(_, member)| {
            json!({
                "id": member.entry.id,
                "address": member.entry.address,
                "version": member.version(),
                "open": member.is_open(now),
                "own_in_flight": member.own.in_flight,
                "in_flight": member.load(now).in_flight,
                "failure_share": member.failure_share,
            })
        });
        json!({
            "configuration": self.routes.as_ref().map(|routes| routes.version),
            "operator_offset": self.operator.next.0,
            "upstream_offset": self.upstreams.next.0,
            "members": members.collect::<Vec<_>>(),
            "waiting": self.waiting.len(),
            "parked": self.parked.len(),
            "running": self.running.len(),
            "parts": self.parts.len(),
            "suspects": self.suspects.len(),
            "peers": self.peers.len(),
        })
    }
}

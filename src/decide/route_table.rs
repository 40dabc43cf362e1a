//! Routes, customers and limits of one configuration, and what they allow a request.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::hashing::name_hash;
use crate::kernel::{Arena, Key};

/// Ranks of routes that are told apart within one priority of customers.
const ROUTE_RANKS: u32 = 3;

/// Lowest rank that an engine knows.
const LOWEST_ENGINE_RANK: u32 = 9;

/// Identifies a service across configurations: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Returns the identifier of a service by its name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name_hash(name))
    }
}

/// Identifies a data centre: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlaceId(pub u64);

impl PlaceId {
    /// Returns the identifier of a data centre by its name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name_hash(name))
    }
}

/// What kind of answer a route has and what of it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A whole answer; may run more than once.
    Idempotent,
    /// A whole answer; may run at most once.
    NonIdempotent,
    /// An event stream that may be resumed at another upstream.
    ResumableStream,
    /// An event stream that may run at most once.
    OnceStream,
}

impl RouteKind {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// One service that a route sends to, with its share of the requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Weight among the targets of the route.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Host that the route belongs to.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Kind of answer.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is on time.
    pub objective_ms: u64,
    /// Upstreams that one request may run on at most.
    pub max_attempts: u32,
    /// Rank; 0 is served first.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests carry prompts with shared parts.
    pub has_prompts: bool,
    /// Services that it sends to; not empty.
    pub targets: Vec<RouteTarget>,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Identity of the service.
    pub id: ServiceId,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: usize,
    /// What is known of its engines, for services of model engines.
    pub engine: Option<EngineRule>,
}

/// Bounds of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRule {
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Time that one token of prompt memory takes on an engine's link.
    pub token_move_us: f64,
}

/// A store of kept prompt memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: PlaceId,
    /// Tokens that it holds.
    pub memory_tokens: u64,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name, as upstreams are told it.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// Whether it shares prompt memory with no other customer.
    pub is_isolated: bool,
    /// Keys that authenticate it.
    pub keys: Vec<String>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
}

/// One configuration, as it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfiguration {
    /// Version; only grows.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Store of kept prompt memory, if there is one.
    pub kept_stores: Vec<KeptStore>,
    /// Customers; `None` when requests carry no keys.
    pub customers: Option<Vec<CustomerRule>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// A request that the configuration allows.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmittedRoute {
    /// Version of the configuration that allowed it.
    pub version: u64,
    /// Service to send to.
    pub service: ServiceId,
    /// Kind of answer.
    pub kind: RouteKind,
    /// Longest time that it is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is on time.
    pub objective_ms: u64,
    /// Upstreams that it may run on at most.
    pub max_attempts: u32,
    /// Rank at an engine, 0 first: the customer's priority and, among equal ones, the route's.
    pub engine_rank: u32,
    /// Whether no other route of its service goes before its own.
    pub is_urgent: bool,
    /// Whether it carries a prompt with shared parts.
    pub has_prompts: bool,
    /// Name of its customer, if it has one.
    pub customer: Option<String>,
    /// Whether its customer shares prompt memory with no other.
    pub is_isolated: bool,
    /// Bounds on the request.
    pub limits: CallerLimits,
}

/// What the configuration says of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteStep {
    /// It may go on.
    Admit(AdmittedRoute),
    /// No route matches.
    Unrouted,
    /// Its key belongs to no customer.
    Unauthorized,
}

/// What a request says of itself before it is routed.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuestion<'a> {
    /// Host, without regard to its port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key of the customer.
    pub key: Option<&'a str>,
    /// Draw between 0 and 1 that decides between targets.
    pub draw: f64,
}

/// Index over one configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version in force.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Store of kept prompt memory.
    pub kept_stores: Vec<KeptStore>,
    /// Services by identity.
    pub services: HashMap<ServiceId, ServiceRule>,
    /// Lowest priority number among the routes of a service.
    first_priority: HashMap<ServiceId, u32>,
    routes: Arena<RouteRule>,
    by_host: HashMap<String, Vec<Key<RouteRule>>>,
    customers: Arena<CustomerRule>,
    by_key: Option<HashMap<String, Key<CustomerRule>>>,
}

impl RouteTable {
    /// Builds the index; longer prefixes of a host go first.
    #[must_use]
    pub fn new(configuration: RouteConfiguration) -> Self {
        let mut routes = Arena::new();
        let mut by_host: HashMap<String, Vec<Key<RouteRule>>> = HashMap::new();
        let mut rules = configuration.routes;
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        let mut first_priority = HashMap::new();
        for rule in rules {
            for target in &rule.targets {
                let first = first_priority.entry(target.service).or_insert(u32::MAX);
                *first = rule.priority.min(*first);
            }
            let host = rule.host.clone();
            by_host.entry(host).or_default().push(routes.insert(rule));
        }
        let mut customers = Arena::new();
        let by_key = configuration.customers.map(|rules| {
            let mut by_key = HashMap::new();
            for rule in rules {
                let keys = rule.keys.clone();
                let customer = customers.insert(rule);
                by_key.extend(keys.into_iter().map(|key| (key, customer)));
            }
            by_key
        });
        let services = configuration.services.into_iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            kept_stores: configuration.kept_stores,
            services: services.map(|service| (service.id, service)).collect(),
            first_priority,
            routes,
            by_host,
            customers,
            by_key,
        }
    }

    /// Says what the configuration allows a request.
    #[must_use]
    pub fn find(&self, question: RouteQuestion<'_>) -> RouteStep {
        let Some(rule) = self.route(question.host, question.path) else {
            return RouteStep::Unrouted;
        };
        let customer = match &self.by_key {
            None => None,
            Some(by_key) => {
                let found = question.key.and_then(|key| by_key.get(key));
                match found.and_then(|key| self.customers.get(*key)) {
                    Some(customer) => Some(customer),
                    None if rule.is_public => None,
                    None => return RouteStep::Unauthorized,
                }
            }
        };
        let Some(service) = pick_target(&rule.targets, question.draw) else {
            return RouteStep::Unrouted;
        };
        RouteStep::Admit(AdmittedRoute {
            version: self.version,
            service,
            kind: rule.kind,
            timeout_ms: rule.timeout_ms,
            objective_ms: rule.objective_ms,
            max_attempts: rule.max_attempts,
            engine_rank: engine_rank(customer, rule),
            is_urgent: self
                .first_priority
                .get(&service)
                .is_none_or(|first| rule.priority <= *first),
            has_prompts: rule.has_prompts,
            customer: customer.map(|customer| customer.name.clone()),
            is_isolated: customer.is_some_and(|customer| customer.is_isolated),
            limits: self.limits,
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or(host);
        let keys = self.by_host.get(host).or_else(|| self.by_host.get(name))?;
        let rules = keys.iter().filter_map(|key| self.routes.get(*key));
        let mut matching = rules.filter(|rule| path.starts_with(rule.prefix.as_str()));
        matching.next()
    }
}

/// Combines the priorities of customer and route; the customer's goes first.
fn engine_rank(customer: Option<&CustomerRule>, rule: &RouteRule) -> u32 {
    let route = rule.priority.min(ROUTE_RANKS - 1);
    let customer = customer.and_then(|customer| customer.priority);
    let rank = customer.map_or(route, |priority| {
        priority.saturating_mul(ROUTE_RANKS).saturating_add(route)
    });
    rank.min(LOWEST_ENGINE_RANK)
}

fn pick_target(targets: &[RouteTarget], draw: f64) -> Option<ServiceId> {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    let mut left = draw * total;
    for target in targets {
        left -= target.weight;
        if left < 0.0 {
            return Some(target.service);
        }
    }
    targets.last().map(|target| target.service)
}

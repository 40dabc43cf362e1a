//! Route table of one configuration: routes, customers and limits, and the lookup for a request.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::cache_scope::CacheScopes;
use super::customer_quota::QuotaRule;
use super::hashing::name_hash;
use super::ids::Rank;
use crate::kernel::{Arena, Key};

/// Number of route priorities that are distinguished within one customer priority.
const ROUTE_PRIORITIES: u32 = 3;

/// Time to the first output that callers of model engines usually want, in milliseconds.
const USUAL_TARGET_MS: u64 = 1_000;

/// Largest rank number that engines accept, which is their lowest priority.
const MAX_ENGINE_RANK: u32 = 9;

/// Hash of a service's name, the same in every configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Returns the identifier of the service with a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name_hash(name))
    }
}

/// Hash of a data centre's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DataCentreId(pub u64);

impl DataCentreId {
    /// Returns the identifier of the data centre with a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name_hash(name))
    }
}

/// Kind of response of a route, and whether its requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A complete response; the request may run more than once.
    Idempotent,
    /// A complete response; the request may run at most once.
    NonIdempotent,
    /// An event stream that may be resumed at another upstream.
    ResumableStream,
    /// An event stream whose request may run at most once.
    OnceStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// Service to which a route sends a share of its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteTarget {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Weight of the service relative to the other targets of the route.
    pub weight: f64,
}

/// Route for requests to a host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Host that the route belongs to.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Kind of response.
    pub kind: RouteKind,
    /// Maximum time that a request waits in this instance, in milliseconds.
    pub timeout_ms: u64,
    /// Latency up to which a response meets the target, in milliseconds.
    pub target_latency_ms: u64,
    /// Maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Priority among routes; 0 is served first.
    pub priority: u32,
    /// Whether requests are accepted without a customer key.
    pub is_public: bool,
    /// Whether requests carry prompts with shared segments.
    pub has_prompts: bool,
    /// Services to choose from by weight; not empty.
    pub targets: Vec<RouteTarget>,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Identifier of the service.
    pub id: ServiceId,
    /// Maximum number of connections to one upstream from all callers.
    pub max_connections: usize,
    /// Properties of the model engines; `None` for services that are not model engines.
    pub engine: Option<EngineRule>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRule {
    /// Tokens that the KV cache of one engine holds.
    pub memory_tokens: u64,
    /// Time to transfer the KV cache of one token over an engine's link, in microseconds.
    pub token_move_us: f64,
}

/// Store to which engines save KV cache and from which they fetch it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvStore {
    /// Address of the store.
    pub address: SocketAddr,
    /// Data centre of the store.
    pub data_centre: DataCentreId,
    /// Tokens that the store holds.
    pub memory_tokens: u64,
}

/// Customer that sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name of the customer, as sent to upstreams.
    pub name: String,
    /// Priority that takes precedence over the route's; 0 is served first.
    pub priority: Option<u32>,
    /// Whether the customer shares KV cache with no other customer.
    pub is_isolated: bool,
    /// Keys that authenticate the customer.
    pub keys: Vec<String>,
    /// Limit on what the customer uses; `None` without a limit.
    pub quota: Option<QuotaRule>,
}

/// Size limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// Parsed configuration document, before it is indexed.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfiguration {
    /// Version of the configuration; only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// KV stores; empty if there is none.
    pub kv_stores: Vec<KvStore>,
    /// Customers; `None` if requests carry no keys.
    pub customers: Option<Vec<CustomerRule>>,
    /// Size limits of requests.
    pub limits: CallerLimits,
}

/// Settings that apply to a request accepted by the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmittedRoute {
    /// Version of the configuration that accepted the request.
    pub version: u64,
    /// Service to send the request to.
    pub service: ServiceId,
    /// Kind of response.
    pub kind: RouteKind,
    /// Maximum time that the request waits in this instance, in milliseconds.
    pub timeout_ms: u64,
    /// Latency up to which the response meets the target, in milliseconds.
    pub target_latency_ms: u64,
    /// Maximum number of upstreams on which the request may run.
    pub max_attempts: u32,
    /// Rank sent to engines, 0 first; ordered by customer priority, then by route priority.
    pub engine_rank: u32,
    /// Whether no route to the same service has a higher priority.
    pub is_urgent: bool,
    /// Whether the request carries a prompt with shared segments.
    pub has_prompts: bool,
    /// Name of the customer; `None` for requests without one.
    pub customer: Option<String>,
    /// Size limits of the request.
    pub limits: CallerLimits,
}

impl AdmittedRoute {
    /// Returns the rank (priority class) of the request.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        if self.is_urgent {
            Rank::Urgent
        } else {
            Rank::Routine
        }
    }
}

/// Result of a route lookup.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteDecision {
    /// The request is accepted.
    Admit(AdmittedRoute),
    /// No route matches host and path.
    Unrouted,
    /// The request has no key of a customer, and the route is not public.
    Unauthorized,
}

/// Properties of a request that select its route.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Value of the `host` header, with or without a port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Customer key of the request.
    pub key: Option<&'a str>,
    /// Random number from 0 to 1 that selects one of the route's targets.
    pub draw: f64,
}

/// Index over the routes, customers and services of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Size limits of requests.
    pub limits: CallerLimits,
    /// KV stores; empty if there is none.
    pub kv_stores: Vec<KvStore>,
    /// Which customers may share KV cache.
    pub cache_scopes: CacheScopes,
    /// Services by identifier.
    pub services: HashMap<ServiceId, ServiceRule>,
    /// Lowest `priority` value among the routes of each service.
    top_priority: HashMap<ServiceId, u32>,
    routes: Arena<RouteRule>,
    by_host: HashMap<String, Vec<Key<RouteRule>>>,
    customers: Arena<CustomerRule>,
    by_api_key: Option<HashMap<String, Key<CustomerRule>>>,
}

impl RouteTable {
    /// Builds the index; among the routes of a host, longer prefixes match first.
    #[must_use]
    pub fn new(configuration: RouteConfiguration) -> Self {
        let mut routes = Arena::new();
        let mut by_host: HashMap<String, Vec<Key<RouteRule>>> = HashMap::new();
        let mut rules = configuration.routes;
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        let mut top_priority = HashMap::new();
        for rule in rules {
            for target in &rule.targets {
                let top = top_priority.entry(target.service).or_insert(u32::MAX);
                *top = rule.priority.min(*top);
            }
            let host = rule.host.clone();
            by_host.entry(host).or_default().push(routes.insert(rule));
        }
        let mut customers = Arena::new();
        let rules = configuration.customers.as_deref();
        let cache_scopes = CacheScopes::new(rules.unwrap_or_default());
        let by_api_key = configuration.customers.map(|rules| {
            let mut by_api_key = HashMap::new();
            for rule in rules {
                let keys = rule.keys.clone();
                let customer = customers.insert(rule);
                by_api_key.extend(keys.into_iter().map(|key| (key, customer)));
            }
            by_api_key
        });
        let services = configuration.services.into_iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            kv_stores: configuration.kv_stores,
            cache_scopes,
            services: services.map(|service| (service.id, service)).collect(),
            top_priority,
            routes,
            by_host,
            customers,
            by_api_key,
        }
    }

    /// Returns the settings that apply to a request, or the reason for its refusal.
    #[must_use]
    pub fn find(&self, query: RouteQuery<'_>) -> RouteDecision {
        let Some(rule) = self.matching_route(query.host, query.path) else {
            return RouteDecision::Unrouted;
        };
        let customer = match &self.by_api_key {
            None => None,
            Some(by_api_key) => {
                let found = query.key.and_then(|key| by_api_key.get(key));
                match found.and_then(|key| self.customers.get(*key)) {
                    Some(customer) => Some(customer),
                    None if rule.is_public => None,
                    None => return RouteDecision::Unauthorized,
                }
            }
        };
        let Some(service) = pick_target(&rule.targets, query.draw) else {
            return RouteDecision::Unrouted;
        };
        RouteDecision::Admit(AdmittedRoute {
            version: self.version,
            service,
            kind: rule.kind,
            timeout_ms: rule.timeout_ms,
            target_latency_ms: rule.target_latency_ms,
            max_attempts: rule.max_attempts,
            engine_rank: engine_rank(customer, rule),
            is_urgent: self
                .top_priority
                .get(&service)
                .is_none_or(|top| rule.priority <= *top),
            has_prompts: rule.has_prompts,
            customer: customer.map(|customer| customer.name.clone()),
            limits: self.limits,
        })
    }

    /// Reports whether all routes with prompts want their first output sooner than usual, so that no
    /// prompt can wait until another one is read.
    #[must_use]
    pub fn has_tight_prompts(&self) -> bool {
        let rules = self.routes.iter().map(|(_, rule)| rule);
        let mut prompts = rules.filter(|rule| rule.has_prompts).peekable();
        prompts.peek().is_some() && prompts.all(|rule| rule.target_latency_ms < USUAL_TARGET_MS)
    }

    /// Iterates over the customers that have a quota.
    pub fn quotas(&self) -> impl Iterator<Item = (&str, QuotaRule)> {
        let customers = self.customers.iter();
        customers.filter_map(|(_, customer)| Some((customer.name.as_str(), customer.quota?)))
    }

    fn matching_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or(host);
        let keys = self.by_host.get(host).or_else(|| self.by_host.get(name))?;
        let rules = keys.iter().filter_map(|key| self.routes.get(*key));
        let mut matching = rules.filter(|rule| path.starts_with(rule.prefix.as_str()));
        matching.next()
    }
}

/// Combines customer and route priority into an engine rank; the customer's takes precedence.
fn engine_rank(customer: Option<&CustomerRule>, rule: &RouteRule) -> u32 {
    let route = rule.priority.min(ROUTE_PRIORITIES - 1);
    let customer = customer.and_then(|customer| customer.priority);
    let rank = customer.map_or(route, |priority| {
        priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route)
    });
    rank.min(MAX_ENGINE_RANK)
}

fn pick_target(targets: &[RouteTarget], draw: f64) -> Option<ServiceId> {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    let mut remainder = draw * total;
    for target in targets {
        remainder -= target.weight;
        if remainder < 0.0 {
            return Some(target.service);
        }
    }
    targets.last().map(|target| target.service)
}

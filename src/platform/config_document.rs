//! Decoder of the configuration documents that operators write to the platform's store.

pub mod draft;

use std::net::SocketAddr;

use serde::Deserialize;

use crate::decide::customer_quota::{QuotaRule, QuotaUnit};
use crate::decide::keyed_view::WriterStamp;
use crate::decide::route_table::{
    CallerLimits, CustomerRule, DataCentreId, EngineRule, KvStore, RouteConfiguration, RouteKind,
    RouteRule, RouteTarget, ServiceId, ServiceRule,
};

/// Key of the configuration document in the operators' topic.
pub const CONFIGURATION_KEY: &str = "config";

/// Prefix of the keys of target versions; the rest of such a key is the model's name.
pub const TARGET_VERSION_PREFIX: &str = "version/";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireConfiguration {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    /// Target latency, for the complete response or for the first event of a stream.
    target_latency_ms: f64,
    /// Number of upstreams on which one request may run; attempts that did not run do not count.
    max_attempts: u32,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    /// Set on routes whose requests have prompts; it does not request session affinity.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
    service: Option<String>,
    traffic_split: Option<Vec<WireSplit>>,
}

#[derive(Debug, Deserialize)]
struct WireSplit {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: String,
    max_connections: Option<usize>,
    engine: Option<WireEngine>,
    kv_store_addr: Option<SocketAddr>,
    /// Capacity of the KV store at `kv_store_addr`, in tokens; that of an engine is in `engine`.
    kv_capacity_tokens: Option<u64>,
    zone: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEngine {
    kv_capacity_tokens: u64,
    token_kv_bytes: f64,
    link_mbps: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    #[serde(default)]
    isolated: bool,
    /// What the limit counts: `tokens`, or requests if it is anything else.
    unit: Option<String>,
    /// Tokens of a request that states none.
    #[serde(default)]
    plain_tokens: f64,
    /// Limit in units per second; 0 stands for no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Target version of a model: the version of its weights that all its upstreams are to run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TargetVersionRecord {
    /// Name of the model.
    pub model: String,
    /// Version of the weights; it starts at 1 for each model and only increases.
    pub version: u64,
}

/// Version of any document of the operators.
#[derive(Debug, Deserialize)]
struct WireVersion {
    version: u64,
}

/// Connection limit of an upstream whose service does not specify one.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Decodes a configuration document.
///
/// # Errors
///
/// Returns an error when the document is not a valid configuration.
pub fn decode_configuration(bytes: &[u8]) -> Result<RouteConfiguration, serde_json::Error> {
    serde_json::from_slice::<WireConfiguration>(bytes).map(RouteConfiguration::from)
}

/// Returns the version of a configuration or of a target as the count of its writer; `None` if the document
/// states none.
#[must_use]
pub fn document_stamp(bytes: &[u8]) -> Option<WriterStamp> {
    let document: WireVersion = serde_json::from_slice(bytes).ok()?;
    Some(WriterStamp {
        started_unix_ms: 0,
        sequence: document.version,
    })
}

/// Decodes a document with the target version of a model.
///
/// # Errors
///
/// Returns an error when the document does not name a model and a version.
pub fn decode_target_version(bytes: &[u8]) -> Result<TargetVersionRecord, serde_json::Error> {
    serde_json::from_slice(bytes)
}

impl From<WireConfiguration> for RouteConfiguration {
    fn from(wire: WireConfiguration) -> Self {
        let services = wire.services.iter();
        let kv_stores = services.clone().filter_map(|service| {
            Some(KvStore {
                address: service.kv_store_addr?,
                data_centre: DataCentreId::of(service.zone.as_deref().unwrap_or_default()),
                memory_tokens: service.kv_capacity_tokens.unwrap_or_default(),
            })
        });
        let kv_stores = kv_stores.collect();
        Self {
            version: wire.version,
            routes: wire.routes.into_iter().map(RouteRule::from).collect(),
            services: services.map(ServiceRule::from).collect(),
            kv_stores,
            customers: wire
                .tenants
                .map(|tenants| tenants.into_iter().map(CustomerRule::from).collect()),
            limits: CallerLimits {
                head_bytes: wire.limits.max_header_bytes,
                body_bytes: wire.limits.max_body_bytes,
            },
        }
    }
}

impl From<WireRoute> for RouteRule {
    fn from(wire: WireRoute) -> Self {
        let kind = match (wire.kind.as_str(), wire.resumable) {
            ("idempotent", _) => RouteKind::Idempotent,
            ("streaming", true) => RouteKind::ResumableStream,
            ("streaming", false) => RouteKind::OnceStream,
            // Requests of an unknown kind are never retried after they may have run.
            _ => RouteKind::NonIdempotent,
        };
        let single = wire.service.map(|service| WireSplit {
            service,
            weight: 1.0,
        });
        let splits = wire.traffic_split.unwrap_or_default();
        let targets = splits.into_iter().chain(single).map(|split| RouteTarget {
            service: ServiceId::of(&split.service),
            weight: split.weight,
        });
        Self {
            host: wire.host,
            prefix: wire.path_prefix,
            kind,
            timeout_ms: whole(wire.timeout_ms),
            target_latency_ms: whole(wire.target_latency_ms),
            max_attempts: wire.max_attempts.max(1),
            priority: wire.priority,
            is_public: wire.public,
            has_prompts: wire.sticky,
            targets: targets.collect(),
        }
    }
}

impl From<&WireService> for ServiceRule {
    fn from(wire: &WireService) -> Self {
        Self {
            id: ServiceId::of(&wire.name),
            max_connections: wire.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            engine: wire.engine.as_ref().map(|engine| EngineRule {
                memory_tokens: engine.kv_capacity_tokens,
                // Bits divided by megabits per second give microseconds.
                token_move_us: engine.token_kv_bytes * 8.0 / engine.link_mbps.max(1.0),
            }),
        }
    }
}

impl From<&WireTenant> for Option<QuotaRule> {
    fn from(wire: &WireTenant) -> Self {
        let unit = match wire.unit.as_deref() {
            Some("tokens") => QuotaUnit::Tokens {
                plain: whole(wire.plain_tokens),
            },
            _ => QuotaUnit::Requests,
        };
        let rule = QuotaRule {
            unit,
            per_s: whole(wire.rate_per_s),
            burst: whole(wire.burst),
        };
        (rule.per_s > 0).then_some(rule)
    }
}

impl From<WireTenant> for CustomerRule {
    fn from(wire: WireTenant) -> Self {
        Self {
            quota: Option::from(&wire),
            name: wire.name,
            priority: wire.priority,
            is_isolated: wire.isolated,
            keys: wire.api_keys,
        }
    }
}

/// Rounds a time or an amount; those in documents are positive and far below 2^63.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn whole(amount: f64) -> u64 {
    amount.clamp(0.0, 1e12).round() as u64
}

//! The configuration as operators write it to the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::decide::route_table::{
    CallerLimits, CustomerRule, DataCentreId, EngineRule, KvStore, RouteConfiguration, RouteKind,
    RouteRule, RouteTarget, ServiceId, ServiceRule,
};

/// Key of the configuration in the operators' topic.
pub const CONFIGURATION_KEY: &str = "config";

/// Prefix of the keys that name new weights, followed by the model.
pub const WEIGHTS_PREFIX: &str = "version/";

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
    /// Objective for the whole answer, or for the first event of a stream.
    target_latency_ms: f64,
    /// Upstreams that one request may run on, not sends.
    max_attempts: u32,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    /// Set on routes whose requests carry prompts; says nothing of affinity.
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
    /// Tokens that such a store holds; an engine states its own beside its slots.
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
}

/// A version of weights that upstreams of a model are to run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NamedWeights {
    /// The model.
    pub model: String,
    /// The version; counts up from 1 for each model.
    pub version: u64,
}

/// Connections accepted by an upstream whose service states no bound.
const DEFAULT_CONNECTIONS: usize = 64;

/// Decodes a configuration.
///
/// # Errors
///
/// Returns the reason when the document is not a configuration.
pub fn decode_configuration(bytes: &[u8]) -> Result<RouteConfiguration, serde_json::Error> {
    serde_json::from_slice::<WireConfiguration>(bytes).map(RouteConfiguration::from)
}

/// Decodes a version of weights.
///
/// # Errors
///
/// Returns the reason when the document is not one.
pub fn decode_weights(bytes: &[u8]) -> Result<NamedWeights, serde_json::Error> {
    serde_json::from_slice(bytes)
}

impl From<WireConfiguration> for RouteConfiguration {
    fn from(wire: WireConfiguration) -> Self {
        let stores = wire.services.iter();
        let kv_stores = stores.clone().filter_map(|service| {
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
            services: stores.map(ServiceRule::from).collect(),
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
            // A kind that is not known is never repeated.
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
            timeout_ms: whole_ms(wire.timeout_ms),
            target_latency_ms: whole_ms(wire.target_latency_ms),
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
            max_connections: wire.max_connections.unwrap_or(DEFAULT_CONNECTIONS),
            engine: wire.engine.as_ref().map(|engine| EngineRule {
                memory_tokens: engine.kv_capacity_tokens,
                // Bits over megabits a second are microseconds.
                token_move_us: engine.token_kv_bytes * 8.0 / engine.link_mbps.max(1.0),
            }),
        }
    }
}

impl From<WireTenant> for CustomerRule {
    fn from(wire: WireTenant) -> Self {
        Self {
            name: wire.name,
            priority: wire.priority,
            is_isolated: wire.isolated,
            keys: wire.api_keys,
        }
    }
}

/// Rounds a time in milliseconds; times are positive and far below 2^63.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range first"
)]
fn whole_ms(ms: f64) -> u64 {
    ms.clamp(0.0, 1e12).round() as u64
}

//! Declared configuration: customers, models, upstreams, services and ranks.

use std::collections::{BTreeMap, HashMap};

use super::config_change::ObjectName;
use super::ids::{LogOffset, LogPosition, Rank, StoreEra};
use crate::kernel::{Arena, Key};

/// Arena key of a declared customer.
pub type CustomerKey = Key<Customer>;

/// Arena key of a declared model.
pub type ModelKey = Key<Model>;

/// Arena key of a declared upstream.
pub type UpstreamKey = Key<Upstream>;

/// Arena key of a declared plain service.
pub type ServiceKey = Key<PlainService>;

/// Default minimum share of an upstream's capacity for urgent work, in percent.
const URGENT_FLOOR_PERCENT: u8 = 50;

/// Default minimum share of an upstream's capacity for routine work, in percent.
const ROUTINE_FLOOR_PERCENT: u8 = 20;

/// Default start timeout of urgent work, in milliseconds.
const URGENT_START_TIMEOUT_MS: u32 = 5_000;

/// Default start timeout of routine work, in milliseconds.
const ROUTINE_START_TIMEOUT_MS: u32 = 60_000;

/// BLAKE3 hash of a bearer key; configuration never holds the key itself.
pub type BearerHash = [u8; 32];

/// Declared customer with its credentials, limits and weights versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Unique name of the customer.
    pub name: String,
    /// BLAKE3 hashes of the bearer keys that authenticate the customer.
    pub bearer_hashes: Vec<BearerHash>,
    /// Ranks that the customer may request; the first is its default.
    pub ranks: Vec<Rank>,
    /// Weight of the customer's share among customers of the same rank, at least 1.
    pub weight: u32,
    /// Maximum number of the customer's requests that run or wait at one upstream.
    pub max_in_flight: u32,
    /// Number of leading prompt pieces that determine the placement of a request.
    pub placement_pieces: u32,
    /// Weights version by model name, for models whose default the customer does not use.
    pub versions: BTreeMap<String, String>,
}

/// Declared model with its default weights version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Unique name, as callers send it in requests.
    pub name: String,
    /// Weights version for customers that have none of their own.
    pub version: String,
    /// Number of bytes of prompt text in one cache piece.
    pub piece_bytes: u32,
}

/// What an upstream runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine and the target version of its weights.
    Engine {
        /// Name of the model.
        model: String,
        /// Target version of the model's weights.
        version: String,
        /// Whether the engine rejects orders with an old fencing number.
        checks_fence: bool,
    },
    /// A plain service.
    Plain {
        /// Name of the declared service.
        service: String,
    },
}

/// Declared upstream and the address of its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Unique name of the upstream.
    pub name: String,
    /// Name of the data centre in which the upstream runs.
    pub data_centre: String,
    /// IP address and port of the upstream's sidecar.
    pub sidecar: std::net::SocketAddr,
    /// What the upstream runs.
    pub kind: UpstreamKind,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Whether the upstream accepts no new requests.
    pub retired: bool,
}

impl Upstream {
    /// Returns the model that the upstream serves; `None` for plain services.
    #[must_use]
    pub fn model(&self) -> Option<&str> {
        match &self.kind {
            UpstreamKind::Engine { model, .. } => Some(model),
            UpstreamKind::Plain { .. } => None,
        }
    }

    /// Returns whether the upstream accepts requests for this weights version of a model.
    #[must_use]
    pub fn serves(&self, model: &str, version: &str) -> bool {
        match &self.kind {
            UpstreamKind::Engine {
                model: own_model,
                version: own_version,
                ..
            } => !self.retired && own_model == model && own_version == version,
            UpstreamKind::Plain { .. } => false,
        }
    }

    /// Returns whether the upstream accepts requests for a plain service.
    #[must_use]
    pub fn runs_service(&self, service: &str) -> bool {
        let runs = matches!(&self.kind, UpstreamKind::Plain { service: own } if own == service);
        runs && !self.retired
    }
}

/// Declared plain service, reached under the path `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainService {
    /// Unique name of the service.
    pub name: String,
    /// HTTP methods other than GET whose requests may be repeated.
    pub idempotent_methods: Vec<String>,
}

/// Service targets of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPolicy {
    /// The rank to which the targets apply.
    pub rank: Rank,
    /// Minimum share of an upstream's capacity while the other rank is overloaded, in percent.
    pub floor_percent: u8,
    /// Maximum time from the arrival of a request to its start, in milliseconds.
    pub start_timeout_ms: u32,
}

impl RankPolicy {
    /// Returns the default targets of a rank.
    #[must_use]
    pub const fn default_for(rank: Rank) -> Self {
        let (floor_percent, start_timeout_ms) = match rank {
            Rank::Urgent => (URGENT_FLOOR_PERCENT, URGENT_START_TIMEOUT_MS),
            Rank::Routine => (ROUTINE_FLOOR_PERCENT, ROUTINE_START_TIMEOUT_MS),
        };
        Self {
            rank,
            floor_percent,
            start_timeout_ms,
        }
    }
}

/// Configuration in force: the state after replaying the configuration stream up to an offset.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Era of the log from which all records were replayed.
    pub era: StoreEra,
    /// Offset below which all records of the era have been replayed; never decreases.
    pub next_offset: LogOffset,
    /// Declared customers.
    pub customers: Arena<Customer>,
    /// Declared models.
    pub models: Arena<Model>,
    /// Declared upstreams.
    pub upstreams: Arena<Upstream>,
    /// Declared plain services.
    pub services: Arena<PlainService>,
    /// Declared targets, at most one for each rank.
    pub ranks: Vec<RankPolicy>,
    /// Offset of the last change of each object, including removed objects.
    pub last_changed: BTreeMap<ObjectName, LogOffset>,
    /// Customers by the hash of a bearer key.
    pub customers_by_bearer: HashMap<BearerHash, CustomerKey>,
}

impl Configuration {
    /// Returns the position of the next record to replay, by which configurations are ordered.
    #[must_use]
    pub const fn next(&self) -> LogPosition {
        LogPosition {
            era: self.era,
            offset: self.next_offset,
        }
    }

    /// Returns how many upstreams of the same model have a name before that of `own`.
    #[must_use]
    pub fn position_in_model(&self, own: &Upstream) -> usize {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(|(_, upstream)| upstream.model() == own.model() && upstream.name < own.name)
            .count()
    }

    /// Returns the customer that a bearer key authenticates.
    #[must_use]
    pub fn customer_by_bearer(&self, hash: &BearerHash) -> Option<(CustomerKey, &Customer)> {
        let key = *self.customers_by_bearer.get(hash)?;
        Some((key, self.customers.get(key)?))
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<(CustomerKey, &Customer)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.name == name)
    }

    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<(ModelKey, &Model)> {
        self.models.iter().find(|(_, model)| model.name == name)
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<(UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .find(|(_, upstream)| upstream.name == name)
    }

    /// Returns the plain service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &PlainService)> {
        self.services
            .iter()
            .find(|(_, service)| service.name == name)
    }

    /// Returns the declared targets of a rank, or the default ones.
    #[must_use]
    pub fn rank_policy(&self, rank: Rank) -> RankPolicy {
        let declared = self.ranks.iter().find(|policy| policy.rank == rank);
        declared
            .copied()
            .unwrap_or_else(|| RankPolicy::default_for(rank))
    }

    /// Returns the weights version of a model for a customer's new requests.
    #[must_use]
    pub fn version_for<'a>(&'a self, customer: &'a Customer, model: &str) -> Option<&'a str> {
        let (_, declared) = self.model(model)?;
        Some(customer.versions.get(model).unwrap_or(&declared.version))
    }

    /// Iterates over the upstreams that accept requests for this weights version of a model.
    pub fn engines(
        &self,
        model: &str,
        version: &str,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .filter(move |(_, upstream)| upstream.serves(model, version))
    }
}

//! Declared configuration: customers, models, upstreams, services and ranks.

use std::collections::{BTreeMap, HashMap};

use super::config_change::ObjectName;
use super::ids::{LogOffset, Rank};
use crate::kernel::{Arena, Key};

/// Addresses one declared customer.
pub type CustomerKey = Key<Customer>;

/// Addresses one declared model.
pub type ModelKey = Key<Model>;

/// Addresses one declared upstream.
pub type UpstreamKey = Key<Upstream>;

/// Addresses one declared plain service.
pub type ServiceKey = Key<PlainService>;

/// Share of slots that urgent work keeps unless declared otherwise, in percent.
const URGENT_FLOOR_PERCENT: u8 = 50;

/// Share of slots that routine work keeps unless declared otherwise, in percent.
const ROUTINE_FLOOR_PERCENT: u8 = 20;

/// Milliseconds within which urgent work must start unless declared otherwise.
const URGENT_START_TIMEOUT_MS: u32 = 5_000;

/// Milliseconds within which routine work must start unless declared otherwise.
const ROUTINE_START_TIMEOUT_MS: u32 = 60_000;

/// BLAKE3 hash of a bearer key; configuration never holds the key itself.
pub type BearerHash = [u8; 32];

/// A customer and what it may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Hashes (BLAKE3) of the bearer keys that authenticate the customer.
    pub bearer_hashes: Vec<BearerHash>,
    /// Ranks that the customer may ask for; the first is its default.
    pub ranks: Vec<Rank>,
    /// Share relative to other customers of the same rank, at least 1.
    pub weight: u32,
    /// Requests that may run or wait at one upstream at the same time.
    pub max_in_flight: u32,
    /// Prompt pieces whose prefix decides the placement.
    pub placement_pieces: u32,
    /// Weights version by model name, where it differs from the model's default.
    pub versions: BTreeMap<String, String>,
}

/// A model and the version that customers get unless they are moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Unique name, as callers state it.
    pub name: String,
    /// Weights version by default.
    pub version: String,
    /// Bytes of prompt text in one cache piece.
    pub piece_bytes: u32,
}

/// What an upstream runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine with the version of the weights that it shall serve.
    Engine {
        /// Name of the model.
        model: String,
        /// Target version of the weights.
        version: String,
        /// Whether the engine refuses orders with an old fencing number.
        checks_fence: bool,
    },
    /// A plain service.
    Plain {
        /// Name of the service.
        service: String,
    },
}

/// An upstream and the address of the sidecar before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// IP address and port of its sidecar.
    pub sidecar: std::net::SocketAddr,
    /// What it runs.
    pub kind: UpstreamKind,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is to take no more work.
    pub retired: bool,
}

impl Upstream {
    /// Tells whether the upstream takes work for this version of a model.
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

    /// Tells whether the upstream takes work for a plain service.
    #[must_use]
    pub fn runs_service(&self, service: &str) -> bool {
        let runs = matches!(&self.kind, UpstreamKind::Plain { service: own } if own == service);
        runs && !self.retired
    }
}

/// A plain service behind `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainService {
    /// Unique name.
    pub name: String,
    /// HTTP methods that may be repeated, besides GET.
    pub idempotent_methods: Vec<String>,
}

/// Targets of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPolicy {
    /// Which rank this describes.
    pub rank: Rank,
    /// Share of an upstream's slots that the rank keeps when the other one floods, in percent.
    pub floor_percent: u8,
    /// Milliseconds after arrival by which a request must have started.
    pub start_timeout_ms: u32,
}

impl RankPolicy {
    /// Returns the targets of a rank that none have been declared for.
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

/// The configuration in force: the outcome of replaying the log up to an offset.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// All records below this offset have been applied; it never steps back.
    pub next_offset: LogOffset,
    /// Declared customers.
    pub customers: Arena<Customer>,
    /// Declared models.
    pub models: Arena<Model>,
    /// Declared upstreams.
    pub upstreams: Arena<Upstream>,
    /// Declared plain services.
    pub services: Arena<PlainService>,
    /// Targets by rank, at most one for each.
    pub ranks: Vec<RankPolicy>,
    /// Offset of the last change of each object, also of removed ones.
    pub changed: BTreeMap<ObjectName, LogOffset>,
    /// Customers by the hashes of their bearer keys.
    pub bearers: HashMap<BearerHash, CustomerKey>,
}

impl Configuration {
    /// Returns the customer that a bearer key authenticates.
    #[must_use]
    pub fn customer_by_bearer(&self, hash: &BearerHash) -> Option<(CustomerKey, &Customer)> {
        let key = *self.bearers.get(hash)?;
        Some((key, self.customers.get(key)?))
    }

    /// Returns the customer of this name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<(CustomerKey, &Customer)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.name == name)
    }

    /// Returns the model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<(ModelKey, &Model)> {
        self.models.iter().find(|(_, model)| model.name == name)
    }

    /// Returns the upstream of this name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<(UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .find(|(_, upstream)| upstream.name == name)
    }

    /// Returns the plain service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &PlainService)> {
        self.services
            .iter()
            .find(|(_, service)| service.name == name)
    }

    /// Returns the targets of a rank, by default if none are declared.
    #[must_use]
    pub fn rank_policy(&self, rank: Rank) -> RankPolicy {
        let declared = self.ranks.iter().find(|policy| policy.rank == rank);
        declared
            .copied()
            .unwrap_or_else(|| RankPolicy::default_for(rank))
    }

    /// Returns the version of a model's weights that a customer's new requests run on.
    #[must_use]
    pub fn version_for<'a>(&'a self, customer: &'a Customer, model: &str) -> Option<&'a str> {
        let (_, declared) = self.model(model)?;
        Some(customer.versions.get(model).unwrap_or(&declared.version))
    }

    /// Iterates over the upstreams that take work for this version of a model.
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

//! Declared configuration: customers, models, upstreams, services and ranks.

use std::collections::BTreeMap;

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
}

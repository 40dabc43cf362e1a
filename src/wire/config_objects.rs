//! JSON form of the objects that the configuration declares.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::decide::config::{
    BearerHash, Customer, Model, PlainService, RankPolicy, Upstream, UpstreamKind,
};
use crate::decide::ids::Rank;
use crate::decide::prefix::DEFAULT_PIECE_BYTES;

quick_error! {
    /// Error in a record of the configuration stream, which is then ignored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// The record is not valid JSON or not of a known kind.
        Malformed(message: String) {
            display("malformed record: {}", message)
        }
        /// A field holds a value that its type does not allow.
        Field(field: &'static str, value: String) {
            display("field {} cannot be {:?}", field, value)
        }
    }
}

/// JSON form of a [`Customer`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireCustomer {
    /// Unique name of the customer.
    pub name: String,
    /// BLAKE3 hashes of the customer's bearer keys, in hexadecimal.
    #[serde(default)]
    pub bearer_hashes: Vec<String>,
    /// Names of the ranks that the customer may request; the first is its default.
    pub ranks: Vec<String>,
    /// Weight of the customer's share among customers of the same rank.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of the customer's requests that run or wait at one upstream.
    pub max_in_flight: u32,
    /// Number of leading prompt pieces that determine the placement of a request.
    #[serde(default = "default_placement_pieces")]
    pub placement_pieces: u32,
    /// Weights version by model name, for models whose default the customer does not use.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
}

/// JSON form of a [`Model`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireModel {
    /// Unique name of the model.
    pub name: String,
    /// Weights version for customers that have none of their own.
    pub version: String,
    /// Number of bytes of prompt text in one cache piece.
    #[serde(default = "default_piece_bytes")]
    pub piece_bytes: u32,
}

/// JSON form of an [`UpstreamKind`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireUpstreamKind {
    /// A model engine.
    Engine {
        /// Name of the model.
        model: String,
        /// Target version of the model's weights.
        version: String,
        /// Whether the engine rejects orders with an old fencing number.
        #[serde(default)]
        checks_fence: bool,
    },
    /// A plain service.
    Plain {
        /// Name of the declared service.
        service: String,
    },
}

/// JSON form of an [`Upstream`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireUpstream {
    /// Unique name of the upstream.
    pub name: String,
    /// Name of the data centre in which the upstream runs.
    pub data_centre: String,
    /// IP address and port of the upstream's sidecar.
    pub sidecar: String,
    /// What the upstream runs.
    pub kind: WireUpstreamKind,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Whether the upstream accepts no new requests.
    #[serde(default)]
    pub retired: bool,
}

/// JSON form of a [`PlainService`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireService {
    /// Unique name of the service.
    pub name: String,
    /// HTTP methods other than GET whose requests may be repeated.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
}

/// JSON form of a [`RankPolicy`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireRankPolicy {
    /// Name of the rank to which the targets apply.
    pub rank: String,
    /// Minimum share of an upstream's capacity while the other rank is overloaded, in percent.
    pub floor_percent: u8,
    /// Maximum time from the arrival of a request to its start, in milliseconds.
    pub start_timeout_ms: u32,
}

impl From<Customer> for WireCustomer {
    fn from(customer: Customer) -> Self {
        Self {
            name: customer.name,
            bearer_hashes: customer.bearer_hashes.iter().map(encode_hash).collect(),
            ranks: customer
                .ranks
                .iter()
                .map(|rank| rank.name().to_owned())
                .collect(),
            weight: customer.weight,
            max_in_flight: customer.max_in_flight,
            placement_pieces: customer.placement_pieces,
            versions: customer.versions,
        }
    }
}

impl TryFrom<WireCustomer> for Customer {
    type Error = RecordError;

    fn try_from(customer: WireCustomer) -> Result<Self, Self::Error> {
        let hashes: Result<_, _> = customer
            .bearer_hashes
            .iter()
            .map(|h| decode_hash(h))
            .collect();
        let ranks: Result<_, _> = customer
            .ranks
            .iter()
            .map(|rank| parse_rank("ranks", rank))
            .collect();
        Ok(Self {
            name: customer.name,
            bearer_hashes: hashes?,
            ranks: ranks?,
            weight: customer.weight,
            max_in_flight: customer.max_in_flight,
            placement_pieces: customer.placement_pieces,
            versions: customer.versions,
        })
    }
}

impl From<Model> for WireModel {
    fn from(model: Model) -> Self {
        Self {
            name: model.name,
            version: model.version,
            piece_bytes: model.piece_bytes,
        }
    }
}

impl From<WireModel> for Model {
    fn from(model: WireModel) -> Self {
        Self {
            name: model.name,
            version: model.version,
            piece_bytes: model.piece_bytes,
        }
    }
}

impl From<UpstreamKind> for WireUpstreamKind {
    fn from(kind: UpstreamKind) -> Self {
        match kind {
            UpstreamKind::Engine {
                model,
                version,
                checks_fence,
            } => Self::Engine {
                model,
                version,
                checks_fence,
            },
            UpstreamKind::Plain { service } => Self::Plain { service },
        }
    }
}

impl From<WireUpstreamKind> for UpstreamKind {
    fn from(kind: WireUpstreamKind) -> Self {
        match kind {
            WireUpstreamKind::Engine {
                model,
                version,
                checks_fence,
            } => Self::Engine {
                model,
                version,
                checks_fence,
            },
            WireUpstreamKind::Plain { service } => Self::Plain { service },
        }
    }
}

impl From<Upstream> for WireUpstream {
    fn from(upstream: Upstream) -> Self {
        Self {
            name: upstream.name,
            data_centre: upstream.data_centre,
            sidecar: upstream.sidecar.to_string(),
            kind: upstream.kind.into(),
            slots: upstream.slots,
            retired: upstream.retired,
        }
    }
}

impl TryFrom<WireUpstream> for Upstream {
    type Error = RecordError;

    fn try_from(upstream: WireUpstream) -> Result<Self, Self::Error> {
        let sidecar: SocketAddr = upstream
            .sidecar
            .parse()
            .map_err(|_not_address| RecordError::Field("sidecar", upstream.sidecar))?;
        Ok(Self {
            name: upstream.name,
            data_centre: upstream.data_centre,
            sidecar,
            kind: upstream.kind.into(),
            slots: upstream.slots,
            retired: upstream.retired,
        })
    }
}

impl From<PlainService> for WireService {
    fn from(service: PlainService) -> Self {
        Self {
            name: service.name,
            idempotent_methods: service.idempotent_methods,
        }
    }
}

impl From<WireService> for PlainService {
    fn from(service: WireService) -> Self {
        Self {
            name: service.name,
            idempotent_methods: service.idempotent_methods,
        }
    }
}

impl From<RankPolicy> for WireRankPolicy {
    fn from(policy: RankPolicy) -> Self {
        Self {
            rank: policy.rank.name().to_owned(),
            floor_percent: policy.floor_percent,
            start_timeout_ms: policy.start_timeout_ms,
        }
    }
}

impl TryFrom<WireRankPolicy> for RankPolicy {
    type Error = RecordError;

    fn try_from(policy: WireRankPolicy) -> Result<Self, Self::Error> {
        Ok(Self {
            rank: parse_rank("rank", &policy.rank)?,
            floor_percent: policy.floor_percent,
            start_timeout_ms: policy.start_timeout_ms,
        })
    }
}

fn parse_rank(field: &'static str, text: &str) -> Result<Rank, RecordError> {
    Rank::parse(text).ok_or_else(|| RecordError::Field(field, text.to_owned()))
}

fn decode_hash(text: &str) -> Result<BearerHash, RecordError> {
    let hash = blake3::Hash::from_hex(text);
    let hash = hash.map_err(|_not_hex| RecordError::Field("bearer_hashes", text.to_owned()))?;
    Ok(*hash.as_bytes())
}

fn encode_hash(hash: &BearerHash) -> String {
    blake3::Hash::from_bytes(*hash).to_string()
}

const fn default_weight() -> u32 {
    1
}

const fn default_placement_pieces() -> u32 {
    2
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the constant is far below u32::MAX"
)]
const fn default_piece_bytes() -> u32 {
    DEFAULT_PIECE_BYTES as u32
}

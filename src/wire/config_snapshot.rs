//! JSON form of all records on the configuration stream: plans and snapshot parts.

use serde::{Deserialize, Serialize};

use super::config_objects::RecordError;
use super::config_record::{WireChange, WirePlan};
use crate::decide::config_change::{ConfigChange, ObjectName, PlanRecord};
use crate::decide::config_replica::StreamRecord;
use crate::decide::ids::{LogOffset, Rank};
use crate::decide::snapshot::{SnapshotObject, SnapshotPart};

/// JSON form of an [`ObjectName`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireObjectName {
    /// Name of a customer.
    Customer(String),
    /// Name of a model.
    Model(String),
    /// Name of an upstream.
    Upstream(String),
    /// Name of a plain service.
    Service(String),
    /// Name of a rank.
    Rank(String),
}

/// JSON form of a [`SnapshotObject`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireSnapshotObject {
    /// A declared object.
    Declared {
        /// Offset of the object's last change.
        changed_at: u64,
        /// Change that declares the object in its current state; one of the `Put` variants.
        declaration: Box<WireChange>,
    },
    /// An object that was removed.
    Removed {
        /// Offset of the object's removal.
        changed_at: u64,
        /// The removed object.
        object: WireObjectName,
    },
}

/// JSON form of a [`SnapshotPart`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireSnapshotPart {
    /// Offset below which the snapshot covers all records.
    pub next_offset: u64,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the whole snapshot.
    pub count: u32,
    /// Objects in this part.
    pub objects: Vec<WireSnapshotObject>,
}

/// JSON form of a record on the configuration stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireStreamRecord {
    /// Confirmed plan.
    Plan(WirePlan),
    /// Part of a snapshot of the configuration.
    SnapshotPart(WireSnapshotPart),
}

/// Decodes the body of a log record.
///
/// The result depends on the body only, so all processes agree on which records are malformed.
#[must_use]
pub fn decode_stream_record(body: &str) -> StreamRecord {
    let decoded = serde_json::from_str::<WireStreamRecord>(body)
        .map_err(|error| RecordError::Malformed(error.to_string()))
        .and_then(StreamRecord::try_from);
    decoded.unwrap_or_else(|error| StreamRecord::Malformed(error.to_string()))
}

/// Encodes a plan as the body of a log record.
#[must_use]
pub fn encode_record(record: &PlanRecord) -> String {
    to_json(&WireStreamRecord::Plan(record.clone().into()))
}

/// Encodes a snapshot part as the body of a log record.
#[must_use]
pub fn encode_part(part: &SnapshotPart) -> String {
    to_json(&WireStreamRecord::SnapshotPart(part.clone().into()))
}

fn to_json(record: &WireStreamRecord) -> String {
    serde_json::to_string(record).expect("a record contains no map with keys other than strings")
}

impl TryFrom<WireStreamRecord> for StreamRecord {
    type Error = RecordError;

    fn try_from(record: WireStreamRecord) -> Result<Self, Self::Error> {
        Ok(match record {
            WireStreamRecord::Plan(plan) => Self::Plan(plan.try_into()?),
            WireStreamRecord::SnapshotPart(part) => Self::Part(part.try_into()?),
        })
    }
}

impl From<SnapshotPart> for WireSnapshotPart {
    fn from(part: SnapshotPart) -> Self {
        Self {
            next_offset: part.next_offset.0,
            index: part.index,
            count: part.count,
            objects: part.objects.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireSnapshotPart> for SnapshotPart {
    type Error = RecordError;

    fn try_from(part: WireSnapshotPart) -> Result<Self, Self::Error> {
        if part.index >= part.count {
            return Err(RecordError::Field("index", part.index.to_string()));
        }
        let objects: Result<_, _> = part.objects.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            next_offset: LogOffset(part.next_offset),
            index: part.index,
            count: part.count,
            objects: objects?,
        })
    }
}

impl From<SnapshotObject> for WireSnapshotObject {
    fn from(object: SnapshotObject) -> Self {
        match object {
            SnapshotObject::Declared {
                changed_at,
                declaration,
            } => Self::Declared {
                changed_at: changed_at.0,
                declaration: Box::new(declaration.into()),
            },
            SnapshotObject::Removed { changed_at, object } => Self::Removed {
                changed_at: changed_at.0,
                object: object.into(),
            },
        }
    }
}

impl TryFrom<WireSnapshotObject> for SnapshotObject {
    type Error = RecordError;

    fn try_from(object: WireSnapshotObject) -> Result<Self, Self::Error> {
        Ok(match object {
            WireSnapshotObject::Declared {
                changed_at,
                declaration,
            } => Self::Declared {
                changed_at: LogOffset(changed_at),
                declaration: decode_declaration(*declaration)?,
            },
            WireSnapshotObject::Removed { changed_at, object } => Self::Removed {
                changed_at: LogOffset(changed_at),
                object: object.try_into()?,
            },
        })
    }
}

impl From<ObjectName> for WireObjectName {
    fn from(object: ObjectName) -> Self {
        match object {
            ObjectName::Customer(name) => Self::Customer(name),
            ObjectName::Model(name) => Self::Model(name),
            ObjectName::Upstream(name) => Self::Upstream(name),
            ObjectName::Service(name) => Self::Service(name),
            ObjectName::Rank(rank) => Self::Rank(rank.name().to_owned()),
        }
    }
}

impl TryFrom<WireObjectName> for ObjectName {
    type Error = RecordError;

    fn try_from(object: WireObjectName) -> Result<Self, Self::Error> {
        Ok(match object {
            WireObjectName::Customer(name) => Self::Customer(name),
            WireObjectName::Model(name) => Self::Model(name),
            WireObjectName::Upstream(name) => Self::Upstream(name),
            WireObjectName::Service(name) => Self::Service(name),
            WireObjectName::Rank(name) => match Rank::parse(&name) {
                Some(rank) => Self::Rank(rank),
                None => return Err(RecordError::Field("rank", name)),
            },
        })
    }
}

/// Decodes the declaration of a snapshot object, which must be one of the `Put` variants.
fn decode_declaration(change: WireChange) -> Result<ConfigChange, RecordError> {
    let change = ConfigChange::try_from(change)?;
    match change {
        ConfigChange::PutCustomer(_)
        | ConfigChange::PutModel(_)
        | ConfigChange::PutUpstream(_)
        | ConfigChange::PutService(_)
        | ConfigChange::PutRank(_) => Ok(change),
        ConfigChange::RemoveCustomer { .. }
        | ConfigChange::RetireUpstream { .. }
        | ConfigChange::RemoveUpstream { .. }
        | ConfigChange::MoveCustomer { .. } => Err(RecordError::Field(
            "declaration",
            change.object().to_string(),
        )),
    }
}

//! JSON form of confirmed plans on the log stream [`CONFIG_STREAM`].

use serde::{Deserialize, Serialize};

use super::config_objects::{
    RecordError, WireCustomer, WireModel, WireRankPolicy, WireService, WireUpstream,
};
use crate::decide::config_change::{ConfigChange, PlanId, PlanRecord};
use crate::decide::ids::LogOffset;

/// Name of the log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "config";

/// Change on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireChange {
    /// Declares a customer.
    PutCustomer(WireCustomer),
    /// Removes a customer.
    RemoveCustomer {
        /// Name of the customer.
        name: String,
    },
    /// Declares a model.
    PutModel(WireModel),
    /// Declares an upstream.
    PutUpstream(WireUpstream),
    /// Retires an upstream.
    RetireUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Removes a retired upstream.
    RemoveUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Moves a customer to another version of a model's weights.
    MoveCustomer {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
    },
    /// Declares a plain service.
    PutService(WireService),
    /// Sets the targets of a rank.
    PutRank(WireRankPolicy),
}

/// Record on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireRecord {
    /// Identifies the plan, in hexadecimal.
    pub plan_id: String,
    /// Offset that the plan rests on.
    pub planned_at: u64,
    /// Whether customers may lose their upstreams.
    #[serde(default)]
    pub forced: bool,
    /// The changes, in order.
    pub changes: Vec<WireChange>,
}

impl From<PlanRecord> for WireRecord {
    fn from(record: PlanRecord) -> Self {
        Self {
            plan_id: format!("{:016x}", record.plan_id.0),
            planned_at: record.planned_at.0,
            forced: record.forced,
            changes: record.changes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireRecord> for PlanRecord {
    type Error = RecordError;

    fn try_from(record: WireRecord) -> Result<Self, Self::Error> {
        let plan_id = u64::from_str_radix(&record.plan_id, 16)
            .map_err(|_not_hex| RecordError::Field("plan_id", record.plan_id))?;
        let changes: Result<_, _> = record.changes.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            plan_id: PlanId(plan_id),
            planned_at: LogOffset(record.planned_at),
            forced: record.forced,
            changes: changes?,
        })
    }
}

impl From<ConfigChange> for WireChange {
    fn from(change: ConfigChange) -> Self {
        match change {
            ConfigChange::PutCustomer(customer) => Self::PutCustomer(customer.into()),
            ConfigChange::RemoveCustomer { name } => Self::RemoveCustomer { name },
            ConfigChange::PutModel(model) => Self::PutModel(model.into()),
            ConfigChange::PutUpstream(upstream) => Self::PutUpstream(upstream.into()),
            ConfigChange::RetireUpstream { name } => Self::RetireUpstream { name },
            ConfigChange::RemoveUpstream { name } => Self::RemoveUpstream { name },
            ConfigChange::MoveCustomer {
                customer,
                model,
                version,
            } => Self::MoveCustomer {
                customer,
                model,
                version,
            },
            ConfigChange::PutService(service) => Self::PutService(service.into()),
            ConfigChange::PutRank(policy) => Self::PutRank(policy.into()),
        }
    }
}

impl TryFrom<WireChange> for ConfigChange {
    type Error = RecordError;

    fn try_from(change: WireChange) -> Result<Self, Self::Error> {
        Ok(match change {
            WireChange::PutCustomer(customer) => Self::PutCustomer(customer.try_into()?),
            WireChange::RemoveCustomer { name } => Self::RemoveCustomer { name },
            WireChange::PutModel(model) => Self::PutModel(model.into()),
            WireChange::PutUpstream(upstream) => Self::PutUpstream(upstream.try_into()?),
            WireChange::RetireUpstream { name } => Self::RetireUpstream { name },
            WireChange::RemoveUpstream { name } => Self::RemoveUpstream { name },
            WireChange::MoveCustomer {
                customer,
                model,
                version,
            } => Self::MoveCustomer {
                customer,
                model,
                version,
            },
            WireChange::PutService(service) => Self::PutService(service.into()),
            WireChange::PutRank(policy) => Self::PutRank(policy.try_into()?),
        })
    }
}

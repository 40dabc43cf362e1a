//! JSON form of the confirmed plans and their changes on the log stream [`CONFIG_STREAM`].

use serde::{Deserialize, Serialize};

use super::config_objects::{
    RecordError, WireCustomer, WireModel, WireRankPolicy, WireService, WireUpstream,
};
use crate::decide::config_change::{ConfigChange, PlanId, PlanRecord};
use crate::decide::ids::LogOffset;

/// Name of the log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "config";

/// JSON form of a [`ConfigChange`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WireChange {
    /// Declares a customer or replaces its declaration.
    PutCustomer(WireCustomer),
    /// Removes a customer; its requests are no longer authenticated.
    RemoveCustomer {
        /// Name of the customer.
        name: String,
    },
    /// Declares a model or replaces its declaration.
    PutModel(WireModel),
    /// Declares an upstream or replaces its declaration.
    PutUpstream(WireUpstream),
    /// Marks an upstream as accepting no new requests.
    RetireUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Removes a retired upstream.
    RemoveUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Sets the weights version of a model for one customer.
    MoveCustomer {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
        /// New version of the weights.
        version: String,
    },
    /// Declares a plain service or replaces its declaration.
    PutService(WireService),
    /// Sets the targets of a rank.
    PutRank(WireRankPolicy),
}

/// JSON form of a [`PlanRecord`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WirePlan {
    /// Identifier of the plan, in hexadecimal.
    pub plan_id: String,
    /// Offset below which all records had been replayed when the plan was made.
    pub planned_at: u64,
    /// Whether the plan may leave customers without an upstream for a model.
    #[serde(default)]
    pub forced: bool,
    /// Changes of the plan, in the order in which they are applied.
    pub changes: Vec<WireChange>,
}

impl From<PlanRecord> for WirePlan {
    fn from(record: PlanRecord) -> Self {
        Self {
            plan_id: format!("{:016x}", record.plan_id.0),
            planned_at: record.planned_at.0,
            forced: record.forced,
            changes: record.changes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WirePlan> for PlanRecord {
    type Error = RecordError;

    fn try_from(record: WirePlan) -> Result<Self, Self::Error> {
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

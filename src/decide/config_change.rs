//! Changes of the configuration, as recorded on the configuration stream.

use std::fmt;

use super::config::{Customer, Model, PlainService, RankPolicy, Upstream};
use super::ids::{LogOffset, Rank};

/// Change of one declared object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// Declares a customer or replaces its declaration.
    PutCustomer(Customer),
    /// Removes a customer; its requests are no longer authenticated.
    RemoveCustomer {
        /// Name of the customer.
        name: String,
    },
    /// Declares a model or replaces its declaration.
    PutModel(Model),
    /// Declares an upstream or replaces its declaration.
    PutUpstream(Upstream),
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
    PutService(PlainService),
    /// Sets the targets of a rank.
    PutRank(RankPolicy),
}

impl ConfigChange {
    /// Returns the object that the change replaces or removes.
    #[must_use]
    pub fn object(&self) -> ObjectName {
        match self {
            Self::PutCustomer(customer) => ObjectName::Customer(customer.name.clone()),
            Self::RemoveCustomer { name } => ObjectName::Customer(name.clone()),
            Self::PutModel(model) => ObjectName::Model(model.name.clone()),
            Self::PutUpstream(upstream) => ObjectName::Upstream(upstream.name.clone()),
            Self::RetireUpstream { name } | Self::RemoveUpstream { name } => {
                ObjectName::Upstream(name.clone())
            }
            Self::MoveCustomer { customer, .. } => ObjectName::Customer(customer.clone()),
            Self::PutService(service) => ObjectName::Service(service.name.clone()),
            Self::PutRank(policy) => ObjectName::Rank(policy.rank),
        }
    }
}

/// Kind and name of a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectName {
    /// A customer.
    Customer(String),
    /// A model.
    Model(String),
    /// An upstream.
    Upstream(String),
    /// A plain service.
    Service(String),
    /// A rank.
    Rank(Rank),
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(name) => write!(f, "customer {name}"),
            Self::Model(name) => write!(f, "model {name}"),
            Self::Upstream(name) => write!(f, "upstream {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Rank(rank) => write!(f, "rank {}", rank.name()),
        }
    }
}

/// Random identifier of a plan, by which its author finds the plan's record on the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

/// Record of a confirmed plan; its changes take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanRecord {
    /// Identifier of the plan.
    pub plan_id: PlanId,
    /// Offset below which all records had been replayed when the plan was made.
    pub planned_at: LogOffset,
    /// Whether the plan may leave a customer without an upstream for a model.
    pub forced: bool,
    /// Changes in the order in which they are applied.
    pub changes: Vec<ConfigChange>,
}

/// Reason why a record has no effect; every process finds the same one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyRefusal {
    /// An object of the record has been changed since the plan was made.
    Conflict {
        /// The changed object.
        object: ObjectName,
        /// Offset of the object's last change.
        changed_at: LogOffset,
    },
    /// The record refers to an object that is not declared.
    UnknownObject(ObjectName),
    /// A declaration is invalid by itself or in conflict with another one.
    Invalid {
        /// The declared object.
        object: ObjectName,
        /// What is wrong with the declaration.
        problem: &'static str,
    },
    /// The record would leave a customer without an upstream for a model that is served now.
    Unserved {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
    },
}

impl fmt::Display for ApplyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { object, changed_at } => {
                write!(f, "{object} was changed at offset {}", changed_at.0)
            }
            Self::UnknownObject(object) => write!(f, "{object} is not declared"),
            Self::Invalid { object, problem } => write!(f, "{object}: {problem}"),
            Self::Unserved { customer, model } => {
                write!(
                    f,
                    "customer {customer} would have no upstream for model {model}"
                )
            }
        }
    }
}

/// Result of replaying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The changes of the record are in force.
    Applied,
    /// The record has no effect; its offset counts as replayed.
    Refused(ApplyRefusal),
    /// The offset was replayed before; nothing was changed.
    Stale,
    /// Earlier offsets are missing; nothing was changed.
    Gap,
}

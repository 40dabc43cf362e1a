//! Changes of configuration as they stand on the log.

use std::fmt;

use super::config::{Customer, Model, PlainService, RankPolicy, Upstream};
use super::ids::{LogOffset, Rank};

/// One change of one declared object.
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
    /// Tells an upstream to take no more work.
    RetireUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Forgets a retired upstream.
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
        /// Version of the weights from now on.
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

/// Names one declared object.
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

/// Identifies one confirmed plan; drawn at random, so that its author finds it on the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

/// A confirmed plan on the log; its changes take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// Identifies the plan.
    pub plan_id: PlanId,
    /// Offset below which the author had seen every record when the plan was made.
    pub planned_at: LogOffset,
    /// Whether the plan may leave a customer without an upstream for its model.
    pub forced: bool,
    /// The changes, in order.
    pub changes: Vec<ConfigChange>,
}

/// Why a record has no effect; the same at every process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyRefusal {
    /// An object of the record was changed after the plan was made.
    GroundMoved {
        /// The object.
        object: ObjectName,
        /// Offset of its last change.
        changed_at: LogOffset,
    },
    /// The record needs an object that is not declared.
    UnknownObject(ObjectName),
    /// A declaration contradicts itself or others.
    Invalid {
        /// The object.
        object: ObjectName,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// The record would leave a customer without an upstream that serves it now.
    Stranded {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
    },
}

impl fmt::Display for ApplyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GroundMoved { object, changed_at } => {
                write!(f, "{object} was changed at offset {}", changed_at.0)
            }
            Self::UnknownObject(object) => write!(f, "{object} is not declared"),
            Self::Invalid { object, problem } => write!(f, "{object}: {problem}"),
            Self::Stranded { customer, model } => {
                write!(
                    f,
                    "customer {customer} would have no upstream for model {model}"
                )
            }
        }
    }
}

/// What became of a record during replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force.
    Applied,
    /// It has no effect; the offset counts as replayed.
    Refused(ApplyRefusal),
    /// Its offset was replayed before.
    Stale,
    /// Earlier offsets are missing; nothing was changed.
    Gap,
}

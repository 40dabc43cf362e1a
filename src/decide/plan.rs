//! Plans: the changes that carry out an intent, their effects and the outages they would cause.

use std::collections::BTreeMap;
use std::fmt;

use super::config::{Configuration, Customer, Upstream, UpstreamKind};
use super::config_change::{ApplyRefusal, ConfigChange, ObjectName, PlanId, PlanRecord};
use super::config_check::newly_unserved_pairs;
use super::ids::LogOffset;

/// Change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Declare objects or apply other changes.
    Declare(Vec<ConfigChange>),
    /// Send no new requests to an upstream.
    Retire {
        /// Name of the upstream.
        upstream: String,
    },
    /// Serve a customer with another version of a model's weights.
    Move {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
    },
    /// Load another version of the weights into an upstream's engine.
    Load {
        /// Name of the upstream.
        upstream: String,
        /// Version of the weights.
        version: String,
    },
}

/// Effect of a plan once it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanEffect {
    /// New requests of a customer run on another version of the weights.
    Moved {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
        /// Version before the plan.
        from: String,
        /// Version after the plan.
        to: String,
    },
    /// The number of slots for a version of the weights changes.
    Capacity {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
        /// Slots before the plan.
        from: u32,
        /// Slots after the plan.
        to: u32,
    },
    /// A customer loses its last upstream for a model.
    Unserved {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
    },
}

impl fmt::Display for PlanEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Moved {
                customer,
                model,
                from,
                to,
            } => write!(f, "customer {customer}: model {model} from {from} to {to}"),
            Self::Capacity {
                model,
                version,
                from,
                to,
            } => write!(
                f,
                "model {model} version {version}: slots from {from} to {to}"
            ),
            Self::Unserved { customer, model } => {
                write!(f, "customer {customer} has no upstream for model {model}")
            }
        }
    }
}

/// Object that a plan changes, and its last change at the time of planning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanPrecondition {
    /// Object that the plan changes.
    pub object: ObjectName,
    /// Offset of the object's last change; `None` if it was never declared.
    pub changed_at: Option<LogOffset>,
}

/// Plan that can be confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Record that is appended to the log when the plan is confirmed.
    pub record: PlanRecord,
    /// Effects on versions and capacity.
    pub effects: Vec<PlanEffect>,
    /// Customers and models that would no longer be served.
    pub breaks: Vec<PlanEffect>,
    /// Objects that must not be changed before the plan is confirmed.
    pub preconditions: Vec<PlanPrecondition>,
    /// Reason why the plan would be refused now; `None` if it would be accepted.
    pub refusal: Option<ApplyRefusal>,
}

/// Makes the plan that carries out an intent in a configuration.
///
/// # Errors
///
/// Returns the reason why the intent cannot be carried out, even with `forced` set.
pub fn make_plan(
    configuration: &Configuration,
    intent: Intent,
    plan_id: PlanId,
    forced: bool,
) -> Result<Plan, ApplyRefusal> {
    let record = PlanRecord {
        plan_id,
        planned_at: configuration.next_offset,
        forced,
        changes: changes_for(configuration, intent)?,
    };
    let forced_record = PlanRecord {
        forced: true,
        ..record.clone()
    };
    let after = configuration.preview(configuration.next_offset, &forced_record)?;
    let refusal = configuration.preview(configuration.next_offset, &record);
    let unserved = newly_unserved_pairs(configuration, &after).into_iter();
    let breaks = unserved.map(|(customer, model)| PlanEffect::Unserved { customer, model });
    let preconditions = record.changes.iter().map(|change| {
        let object = change.object();
        let changed_at = configuration.last_changed.get(&object).copied();
        PlanPrecondition { object, changed_at }
    });
    Ok(Plan {
        effects: effects(configuration, &after),
        breaks: breaks.collect(),
        preconditions: preconditions.collect(),
        refusal: refusal.err(),
        record,
    })
}

/// Returns a readable description of one change.
#[must_use]
pub fn describe(change: &ConfigChange) -> String {
    match change {
        ConfigChange::PutCustomer(_)
        | ConfigChange::PutModel(_)
        | ConfigChange::PutService(_)
        | ConfigChange::PutRank(_) => format!("declare {}", change.object()),
        ConfigChange::PutUpstream(upstream) => match &upstream.kind {
            UpstreamKind::Engine { model, version, .. } => {
                format!("declare {} with {model} {version}", change.object())
            }
            UpstreamKind::Plain { service } => {
                format!("declare {} for service {service}", change.object())
            }
        },
        ConfigChange::RemoveCustomer { .. } | ConfigChange::RemoveUpstream { .. } => {
            format!("remove {}", change.object())
        }
        ConfigChange::RetireUpstream { .. } => format!("retire {}", change.object()),
        ConfigChange::MoveCustomer { model, version, .. } => {
            format!("move {} to {model} {version}", change.object())
        }
    }
}

fn changes_for(
    configuration: &Configuration,
    intent: Intent,
) -> Result<Vec<ConfigChange>, ApplyRefusal> {
    Ok(match intent {
        Intent::Declare(changes) => changes,
        Intent::Retire { upstream } => vec![ConfigChange::RetireUpstream { name: upstream }],
        Intent::Move {
            customer,
            model,
            version,
        } => vec![ConfigChange::MoveCustomer {
            customer,
            model,
            version,
        }],
        Intent::Load { upstream, version } => {
            vec![ConfigChange::PutUpstream(with_version(
                configuration,
                &upstream,
                version,
            )?)]
        }
    })
}

fn with_version(
    configuration: &Configuration,
    name: &str,
    wanted: String,
) -> Result<Upstream, ApplyRefusal> {
    let object = ObjectName::Upstream(name.to_owned());
    let Some((_, declared)) = configuration.upstream(name) else {
        return Err(ApplyRefusal::UnknownObject(object));
    };
    let mut upstream = declared.clone();
    match &mut upstream.kind {
        UpstreamKind::Engine { version, .. } => *version = wanted,
        UpstreamKind::Plain { .. } => {
            return Err(ApplyRefusal::Invalid {
                object,
                problem: "a plain service has no weights",
            });
        }
    }
    Ok(upstream)
}

fn effects(before: &Configuration, after: &Configuration) -> Vec<PlanEffect> {
    let (slots_before, slots_after) = (slots_by_version(before), slots_by_version(after));
    let targets = slots_before.keys().chain(slots_after.keys());
    let targets: std::collections::BTreeSet<_> = targets.collect();
    let mut effects = Vec::new();
    for target in targets {
        let from = slots_before.get(target).copied().unwrap_or(0);
        let to = slots_after.get(target).copied().unwrap_or(0);
        if from != to {
            let (model, version) = target.clone();
            effects.push(PlanEffect::Capacity {
                model,
                version,
                from,
                to,
            });
        }
    }
    for (_, customer) in after.customers.iter() {
        if let Some((_, old)) = before.customer(&customer.name) {
            effects.extend(version_moves(before, old, after, customer));
        }
    }
    effects
}

/// Number of slots by model and weights version.
type SlotTable = BTreeMap<(String, String), u32>;

fn slots_by_version(configuration: &Configuration) -> SlotTable {
    let mut slots = SlotTable::new();
    for (_, upstream) in configuration.upstreams.iter() {
        if let UpstreamKind::Engine { model, version, .. } = &upstream.kind
            && !upstream.retired
        {
            *slots.entry((model.clone(), version.clone())).or_default() += upstream.slots;
        }
    }
    slots
}

fn version_moves(
    before: &Configuration,
    customer_before: &Customer,
    after: &Configuration,
    customer_after: &Customer,
) -> Vec<PlanEffect> {
    let models = after.models.iter().map(|(_, model)| model);
    let moves = models.filter_map(|model| {
        let from = before.version_for(customer_before, &model.name)?;
        let to = after.version_for(customer_after, &model.name)?;
        (from != to).then(|| PlanEffect::Moved {
            customer: customer_after.name.clone(),
            model: model.name.clone(),
            from: from.to_owned(),
            to: to.to_owned(),
        })
    });
    moves.collect()
}

//! Plans: what an intent changes, what that affects and what it would break.

use std::collections::BTreeMap;
use std::fmt;

use super::config::{Configuration, Customer, Upstream, UpstreamKind};
use super::config_change::{ApplyRefusal, ConfigChange, ConfigRecord, ObjectName, PlanId};
use super::config_check::stranded_pairs;
use super::ids::LogOffset;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Declare or change objects.
    Declare(Vec<ConfigChange>),
    /// Give an upstream no more work.
    Retire {
        /// Name of the upstream.
        upstream: String,
    },
    /// Serve a customer from another version of a model's weights.
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

/// Something that is different once a plan is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanEffect {
    /// New requests of a customer run on another version.
    Moved {
        /// Name of the customer.
        customer: String,
        /// Name of the model.
        model: String,
        /// Version up to now.
        from: String,
        /// Version from now on.
        to: String,
    },
    /// Requests that can run at the same time.
    Capacity {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
        /// Slots up to now.
        from: u32,
        /// Slots from now on.
        to: u32,
    },
    /// A customer loses its last upstream for a model.
    Stranded {
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
            Self::Stranded { customer, model } => {
                write!(f, "customer {customer} has no upstream for model {model}")
            }
        }
    }
}

/// An object that a plan changes, and its last change when the plan was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanGround {
    /// The object.
    pub object: ObjectName,
    /// Offset of its last change; `None` if it was never declared.
    pub changed_at: Option<LogOffset>,
}

/// A plan to be confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What goes to the log on confirmation.
    pub record: ConfigRecord,
    /// What will be different, nothing broken among it.
    pub effects: Vec<PlanEffect>,
    /// What would break.
    pub breaks: Vec<PlanEffect>,
    /// What the plan rests on.
    pub grounds: Vec<PlanGround>,
    /// Why the plan would be refused as it is.
    pub refusal: Option<ApplyRefusal>,
}

/// Makes a plan for an intent against a configuration.
///
/// # Errors
///
/// Returns why the intent has no meaning there.
pub fn make_plan(
    configuration: &Configuration,
    intent: Intent,
    plan_id: PlanId,
    forced: bool,
) -> Result<Plan, ApplyRefusal> {
    let record = ConfigRecord {
        plan_id,
        planned_at: configuration.next_offset,
        forced,
        changes: changes(configuration, intent)?,
    };
    let all_allowed = ConfigRecord {
        forced: true,
        ..record.clone()
    };
    let after = configuration.preview(configuration.next_offset, &all_allowed)?;
    let refusal = configuration.preview(configuration.next_offset, &record);
    let stranded = stranded_pairs(configuration, &after).into_iter();
    let breaks = stranded.map(|(customer, model)| PlanEffect::Stranded { customer, model });
    let grounds = record.changes.iter().map(|change| {
        let object = change.object();
        let changed_at = configuration.changed.get(&object).copied();
        PlanGround { object, changed_at }
    });
    Ok(Plan {
        effects: effects(configuration, &after),
        breaks: breaks.collect(),
        grounds: grounds.collect(),
        refusal: refusal.err(),
        record,
    })
}

/// Describes one change as a step for people.
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

fn changes(
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
    let (slots_before, slots_after) = (slots(before), slots(after));
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
            effects.extend(moves(before, old, after, customer));
        }
    }
    effects
}

/// Slots by model and version.
type SlotTable = BTreeMap<(String, String), u32>;

fn slots(configuration: &Configuration) -> SlotTable {
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

fn moves(
    before: &Configuration,
    old: &Customer,
    after: &Configuration,
    new: &Customer,
) -> Vec<PlanEffect> {
    let models = after.models.iter().map(|(_, model)| model);
    let moved = models.filter_map(|model| {
        let from = before.version_for(old, &model.name)?;
        let to = after.version_for(new, &model.name)?;
        (from != to).then(|| PlanEffect::Moved {
            customer: new.name.clone(),
            model: model.name.clone(),
            from: from.to_owned(),
            to: to.to_owned(),
        })
    });
    moved.collect()
}

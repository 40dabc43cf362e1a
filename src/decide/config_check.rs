//! Validation of configuration changes against the configuration they apply to.

use std::collections::{BTreeSet, HashSet};

use super::config::{Configuration, Customer, Model, RankPolicy, Upstream, UpstreamKind};
use super::config_change::{ApplyRefusal, ConfigChange, ObjectName};
use super::ids::Rank;

/// Maximum length of the name of a declared object, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of bearer hashes or of versions in one declaration.
pub const MAX_LIST_LENGTH: usize = 16;

/// Checks that a change is valid in a configuration.
///
/// # Errors
///
/// Returns the reason why the change is invalid.
pub fn check_change(
    configuration: &Configuration,
    change: &ConfigChange,
) -> Result<(), ApplyRefusal> {
    match change {
        ConfigChange::PutCustomer(customer) => check_customer(configuration, customer),
        ConfigChange::PutModel(model) => check_model(model),
        ConfigChange::PutUpstream(upstream) => check_upstream(configuration, upstream),
        ConfigChange::PutService(service) => check_name(&change.object(), &service.name),
        ConfigChange::PutRank(policy) => check_rank(configuration, *policy),
        ConfigChange::RemoveCustomer { name } => {
            require_declared(configuration.customer(name).is_some(), &change.object())
        }
        ConfigChange::RetireUpstream { name } => {
            require_declared(configuration.upstream(name).is_some(), &change.object())
        }
        ConfigChange::RemoveUpstream { name } => {
            let declared = configuration.upstream(name);
            require_declared(declared.is_some(), &change.object())?;
            let retired = declared.is_some_and(|(_, upstream)| upstream.retired);
            ensure(retired, &change.object(), "must be retired first")
        }
        ConfigChange::MoveCustomer {
            customer,
            model,
            version,
        } => {
            require_declared(configuration.customer(customer).is_some(), &change.object())?;
            require_model(configuration, model)?;
            ensure(!version.is_empty(), &change.object(), "empty version")
        }
    }
}

/// Names of a customer and of a model that at least one upstream serves for it.
pub type ServedPair = (String, String);

/// Returns the pairs of customer and model that at least one upstream accepts requests for.
#[must_use]
pub fn served_pairs(configuration: &Configuration) -> BTreeSet<ServedPair> {
    let targets: HashSet<(&str, &str)> = configuration
        .upstreams
        .iter()
        .filter(|(_, upstream)| !upstream.retired)
        .filter_map(|(_, upstream)| match &upstream.kind {
            UpstreamKind::Engine { model, version, .. } => Some((model.as_str(), version.as_str())),
            UpstreamKind::Plain { .. } => None,
        })
        .collect();
    let mut pairs = BTreeSet::new();
    for (_, customer) in configuration.customers.iter() {
        for (_, model) in configuration.models.iter() {
            let version = customer.versions.get(&model.name).unwrap_or(&model.version);
            if targets.contains(&(model.name.as_str(), version.as_str())) {
                pairs.insert((customer.name.clone(), model.name.clone()));
            }
        }
    }
    pairs
}

/// Returns the pairs that are served before a change but not after it.
///
/// Customers that are no longer declared after the change are left out.
#[must_use]
pub fn newly_unserved_pairs(before: &Configuration, after: &Configuration) -> Vec<ServedPair> {
    let served_after = served_pairs(after);
    served_pairs(before)
        .into_iter()
        .filter(|pair| !served_after.contains(pair))
        .filter(|(customer, _)| after.customer(customer).is_some())
        .collect()
}

fn check_customer(configuration: &Configuration, customer: &Customer) -> Result<(), ApplyRefusal> {
    let object = ObjectName::Customer(customer.name.clone());
    check_name(&object, &customer.name)?;
    ensure(!customer.ranks.is_empty(), &object, "no rank")?;
    ensure(customer.weight > 0, &object, "weight below 1")?;
    ensure(customer.max_in_flight > 0, &object, "max_in_flight below 1")?;
    let hashes = customer.bearer_hashes.len();
    ensure(hashes <= MAX_LIST_LENGTH, &object, "too many bearer hashes")?;
    let versions = customer.versions.len();
    ensure(versions <= MAX_LIST_LENGTH, &object, "too many versions")?;
    for model in customer.versions.keys() {
        require_model(configuration, model)?;
    }
    let taken = customer.bearer_hashes.iter().any(|hash| {
        let owner = configuration.customer_by_bearer(hash);
        owner.is_some_and(|(_, owner)| owner.name != customer.name)
    });
    ensure(!taken, &object, "a bearer hash belongs to another customer")
}

fn check_model(model: &Model) -> Result<(), ApplyRefusal> {
    let object = ObjectName::Model(model.name.clone());
    check_name(&object, &model.name)?;
    ensure(!model.version.is_empty(), &object, "empty version")?;
    ensure(model.piece_bytes > 0, &object, "piece_bytes below 1")
}

fn check_upstream(configuration: &Configuration, upstream: &Upstream) -> Result<(), ApplyRefusal> {
    let object = ObjectName::Upstream(upstream.name.clone());
    check_name(&object, &upstream.name)?;
    ensure(upstream.slots > 0, &object, "slots below 1")?;
    match &upstream.kind {
        UpstreamKind::Engine { model, version, .. } => {
            require_model(configuration, model)?;
            ensure(!version.is_empty(), &object, "empty version")?;
        }
        UpstreamKind::Plain { service } => {
            let declared = configuration.service(service).is_some();
            require_declared(declared, &ObjectName::Service(service.clone()))?;
        }
    }
    let taken = configuration.upstreams.iter().any(|(_, other)| {
        other.sidecar == upstream.sidecar && other.name != upstream.name && !other.retired
    });
    ensure(!taken, &object, "another upstream has this sidecar address")
}

fn check_rank(configuration: &Configuration, policy: RankPolicy) -> Result<(), ApplyRefusal> {
    let object = ObjectName::Rank(policy.rank);
    ensure(
        policy.start_timeout_ms > 0,
        &object,
        "start_timeout_ms below 1",
    )?;
    let others = Rank::ALL.into_iter().filter(|rank| *rank != policy.rank);
    let other_floors: u32 = others
        .map(|rank| u32::from(configuration.rank_policy(rank).floor_percent))
        .sum();
    let floors = other_floors + u32::from(policy.floor_percent);
    ensure(
        floors <= 100,
        &object,
        "the sum of floor_percent exceeds 100",
    )
}

fn check_name(object: &ObjectName, name: &str) -> Result<(), ApplyRefusal> {
    let is_allowed = name
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    ensure(
        !name.is_empty() && is_allowed,
        object,
        "name must use [A-Za-z0-9._-]",
    )?;
    ensure(name.len() <= MAX_NAME_BYTES, object, "name too long")
}

fn require_model(configuration: &Configuration, name: &str) -> Result<(), ApplyRefusal> {
    let declared = configuration.model(name).is_some();
    require_declared(declared, &ObjectName::Model(name.to_owned()))
}

fn require_declared(declared: bool, object: &ObjectName) -> Result<(), ApplyRefusal> {
    if declared {
        return Ok(());
    }
    Err(ApplyRefusal::UnknownObject(object.clone()))
}

fn ensure(holds: bool, object: &ObjectName, problem: &'static str) -> Result<(), ApplyRefusal> {
    if holds {
        return Ok(());
    }
    Err(ApplyRefusal::Invalid {
        object: object.clone(),
        problem,
    })
}

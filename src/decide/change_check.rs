//! Check of configuration changes before they are sent: what replay would refuse, and declared objects
//! that no request can use afterwards.

use std::collections::{BTreeMap, HashMap};

use super::config::{Configuration, UpstreamKind};
use super::config_change::{ApplyRefusal, ConfigChange, ObjectName, PlanRecord};
use super::config_check::check_change;
use super::finding::{DocumentPart, Finding, FindingCode};
use super::ids::LogOffset;

/// Result of a check of changes.
#[derive(Debug, Clone)]
pub struct ChangeReport {
    /// What is wrong with the changes.
    pub findings: Vec<Finding>,
    /// Configuration after the changes, including those that would be refused.
    pub after: Configuration,
}

/// Returns what is wrong with the changes of a record, and the configuration after them.
#[must_use]
pub fn check_changes(base: &Configuration, record: &PlanRecord) -> ChangeReport {
    let mut findings = Vec::new();
    let mut after = base.clone();
    let mut last_parts: HashMap<ObjectName, usize> = HashMap::new();
    for (index, change) in record.changes.iter().enumerate() {
        let object = change.object();
        if let Err(refusal) = check_change(&after, change) {
            let (code, part) = (refusal_code(&refusal), DocumentPart::Change(index));
            let text = refusal.to_string();
            findings.push(Finding { code, part, text });
        }
        let earlier = last_parts.insert(object.clone(), index);
        let replaced = earlier.filter(|earlier| is_replaced(&record.changes[*earlier], change));
        if let Some(earlier) = replaced {
            findings.push(Finding {
                code: FindingCode::Replaced,
                part: DocumentPart::Change(earlier),
                text: format!("{object} is declared again later, which replaces this"),
            });
        }
        after.apply_change(change);
        after.last_changed.insert(object, base.next_offset);
    }
    after.next_offset = LogOffset(base.next_offset.0 + 1);
    if findings
        .iter()
        .all(|finding| finding.code == FindingCode::Replaced)
        && let Err(refusal) = base.preview(base.next_offset, record)
    {
        findings.push(Finding {
            code: FindingCode::Refused,
            part: DocumentPart::Whole,
            text: refusal.to_string(),
        });
    }
    let known = unusable_objects(base);
    for (object, problem) in unusable_objects(&after) {
        if known.get(&object) == Some(&problem) {
            continue;
        }
        let (code, text) = problem;
        let index = last_parts.get(&object);
        findings.push(Finding {
            code,
            part: index.map_or(DocumentPart::Whole, |index| DocumentPart::Change(*index)),
            text,
        });
    }
    ChangeReport { findings, after }
}

const fn refusal_code(refusal: &ApplyRefusal) -> FindingCode {
    match refusal {
        ApplyRefusal::UnknownObject(_) => FindingCode::UnknownObject,
        ApplyRefusal::Invalid { .. } => FindingCode::InvalidDeclaration,
        ApplyRefusal::Conflict { .. } | ApplyRefusal::Unserved { .. } => FindingCode::Refused,
    }
}

/// Returns whether a declaration loses its effect by a later one of the same object.
const fn is_replaced(earlier: &ConfigChange, later: &ConfigChange) -> bool {
    matches!(
        (earlier, later),
        (ConfigChange::PutCustomer(_), ConfigChange::PutCustomer(_))
            | (ConfigChange::PutModel(_), ConfigChange::PutModel(_))
            | (ConfigChange::PutUpstream(_), ConfigChange::PutUpstream(_))
            | (ConfigChange::PutService(_), ConfigChange::PutService(_))
            | (ConfigChange::PutRank(_), ConfigChange::PutRank(_))
    )
}

/// Returns the objects that no request can use, with the reason.
fn unusable_objects(configuration: &Configuration) -> BTreeMap<ObjectName, (FindingCode, String)> {
    let mut unusable = BTreeMap::new();
    for (_, customer) in configuration.customers.iter() {
        let unserved = customer
            .versions
            .iter()
            .find(|(model, version)| configuration.engines(model, version).next().is_none());
        let object = ObjectName::Customer(customer.name.clone());
        if customer.bearer_hashes.is_empty() {
            let text = format!("{object} has no key, so it can send no request");
            unusable.insert(object, (FindingCode::NoKey, text));
        } else if let Some((model, version)) = unserved {
            let text = format!("{object}: no upstream serves model {model} version {version}");
            unusable.insert(object, (FindingCode::Unreachable, text));
        }
    }
    for (_, model) in configuration.models.iter() {
        let (name, version) = (&model.name, &model.version);
        let object = ObjectName::Model(name.clone());
        if configuration.engines(name, version).next().is_none() {
            let text = format!("{object}: no upstream serves its version {version}");
            unusable.insert(object, (FindingCode::Unreachable, text));
        }
    }
    for (_, service) in configuration.services.iter() {
        let object = ObjectName::Service(service.name.clone());
        let mut upstreams = configuration.upstreams.iter();
        if !upstreams.any(|(_, upstream)| upstream.runs_service(&service.name)) {
            let text = format!("{object}: no upstream runs it");
            unusable.insert(object, (FindingCode::Unreachable, text));
        }
    }
    for (_, upstream) in configuration.upstreams.iter() {
        let UpstreamKind::Engine { model, version, .. } = &upstream.kind else {
            continue;
        };
        let mut customers = configuration.customers.iter();
        let is_used = customers.any(|(_, customer)| {
            configuration.version_for(customer, model) == Some(version.as_str())
        });
        let object = ObjectName::Upstream(upstream.name.clone());
        if !upstream.retired && !is_used {
            let text = format!("{object}: no customer uses model {model} version {version}");
            unusable.insert(object, (FindingCode::Unreachable, text));
        }
    }
    unusable
}

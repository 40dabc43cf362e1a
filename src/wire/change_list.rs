//! Decoder of files of changes and of plans for their check: each change by itself, with its place.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::config_record::WireChange;
use super::config_snapshot::decode_stream_record;
use super::located_json::{LocatedText, PlacedFinding, item_fields};
use crate::decide::config::Configuration;
use crate::decide::config_change::{ConfigChange, PlanId, PlanRecord};
use crate::decide::config_replica::StreamRecord;
use crate::decide::document_difference::DocumentItems;
use crate::decide::finding::{DocumentPart, Finding, FindingCode, TextPlace};
use crate::decide::ids::LogOffset;
use crate::decide::snapshot::{Snapshot, SnapshotObject};

#[derive(Deserialize)]
struct LocatedFile<'a> {
    #[serde(borrow)]
    plan: LocatedPlan<'a>,
}

#[derive(Deserialize)]
struct LocatedPlan<'a> {
    planned_at: u64,
    #[serde(default)]
    forced: bool,
    #[serde(borrow)]
    changes: Vec<&'a RawValue>,
}

/// Changes of a file, with their places.
#[derive(Debug, Clone)]
pub struct LocatedChanges {
    /// Changes in the order of the file.
    pub changes: Vec<ConfigChange>,
    /// Offset at which the plan was made; `None` for a file of changes.
    pub planned_at: Option<LogOffset>,
    /// Whether the plan may leave customers unserved.
    pub forced: bool,
    places: Vec<TextPlace>,
}

impl LocatedChanges {
    /// Returns the place at which a part of the file starts.
    #[must_use]
    pub fn place(&self, part: DocumentPart) -> TextPlace {
        let place = match part {
            DocumentPart::Change(index) => self.places.get(index),
            _ => None,
        };
        place.copied().unwrap_or(LocatedText::START)
    }

    /// Returns the record that would be appended to a configuration.
    #[must_use]
    pub fn record(&self, base: &Configuration) -> PlanRecord {
        PlanRecord {
            plan_id: PlanId::default(),
            planned_at: self.planned_at.unwrap_or(base.next_offset),
            forced: self.forced,
            changes: self.changes.clone(),
        }
    }
}

/// Returns whether a text is a plan; the other files of changes are arrays.
#[must_use]
pub fn is_plan(text: LocatedText<'_>) -> bool {
    #[derive(Deserialize)]
    struct Probe<'a> {
        #[serde(borrow)]
        plan: Option<&'a RawValue>,
    }
    let probe = text.whole::<Probe<'_>>();
    probe.is_ok_and(|probe| probe.plan.is_some())
}

/// Decodes a plan or an array of changes.
///
/// # Errors
///
/// Returns all errors of the changes, or the first error in the syntax of the file.
pub fn decode_changes(text: LocatedText<'_>) -> Result<LocatedChanges, Vec<PlacedFinding>> {
    let plan = if text.first_char() == Some('[') {
        text.whole().map(|changes| (None, false, changes))
    } else {
        text.whole().map(|LocatedFile { plan }| {
            (Some(LogOffset(plan.planned_at)), plan.forced, plan.changes)
        })
    };
    let (planned_at, forced, raw) = plan.map_err(|finding| vec![finding])?;
    let mut findings = Vec::new();
    let mut changes = Vec::new();
    for (index, raw) in raw.iter().enumerate() {
        let part = DocumentPart::Change(index);
        let decoded = text.decode::<WireChange>(raw, part, &mut findings);
        match decoded.map(ConfigChange::try_from) {
            None => {}
            Some(Ok(change)) => changes.push(change),
            Some(Err(error)) => {
                findings.push(field_finding(text.place(raw), part, error.to_string()));
            }
        }
    }
    // The remaining fields of a plan are decoded as they are when it is confirmed.
    if findings.is_empty()
        && planned_at.is_some()
        && let StreamRecord::Malformed(reason) = decode_stream_record(text.as_str())
    {
        findings.push(field_finding(
            LocatedText::START,
            DocumentPart::Whole,
            reason,
        ));
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    Ok(LocatedChanges {
        changes,
        planned_at,
        forced,
        places: text.places(&raw),
    })
}

fn field_finding(place: TextPlace, part: DocumentPart, text: String) -> PlacedFinding {
    PlacedFinding {
        place,
        finding: Finding {
            code: FindingCode::Field,
            part,
            text,
        },
    }
}

/// Returns the declared objects of a configuration with their fields, to be compared.
#[must_use]
pub fn declared_items(configuration: &Configuration) -> DocumentItems {
    let objects = Snapshot::of(configuration).objects.into_iter();
    objects
        .filter_map(|object| match object {
            SnapshotObject::Removed { .. } => None,
            SnapshotObject::Declared { declaration, .. } => {
                let name = declaration.object().to_string();
                let value = serde_json::to_value(WireChange::from(declaration)).ok()?;
                // A declaration is an object with its kind as the only key.
                let fields = value.as_object()?.values().next().map(item_fields)?;
                Some((name, fields))
            }
        })
        .collect()
}

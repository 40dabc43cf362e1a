//! Differences between two configurations, item by item and field by field.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Fields of one item, as text by name.
pub type ItemFields = BTreeMap<String, String>;

/// Items of a configuration by kind and name.
pub type DocumentItems = BTreeMap<String, ItemFields>;

/// Field that differs between two versions of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldDifference {
    /// Name of the field.
    pub name: String,
    /// Value in force; `None` if the field is new.
    pub before: Option<String>,
    /// New value; `None` if the field is dropped.
    pub after: Option<String>,
}

/// Item that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemDifference {
    /// The item is new.
    Added(String),
    /// The item is dropped.
    Removed(String),
    /// The item has other values.
    Changed(String, Vec<FieldDifference>),
}

impl fmt::Display for ItemDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(item) => write!(f, "added {item}"),
            Self::Removed(item) => write!(f, "removed {item}"),
            Self::Changed(item, fields) => {
                write!(f, "changed {item}")?;
                for (index, field) in fields.iter().enumerate() {
                    let before = field.before.as_deref().unwrap_or("unset");
                    let after = field.after.as_deref().unwrap_or("unset");
                    let separator = if index == 0 { ':' } else { ',' };
                    write!(f, "{separator} {} {before} -> {after}", field.name)?;
                }
                Ok(())
            }
        }
    }
}

/// Returns what differs between the items in force and new ones.
#[must_use]
pub fn differences(before: &DocumentItems, after: &DocumentItems) -> Vec<ItemDifference> {
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let found = names
        .into_iter()
        .filter_map(|name| match (before.get(name), after.get(name)) {
            (None, _) => Some(ItemDifference::Added(name.clone())),
            (_, None) => Some(ItemDifference::Removed(name.clone())),
            (Some(old), Some(new)) => {
                let fields = field_differences(old, new);
                (!fields.is_empty()).then(|| ItemDifference::Changed(name.clone(), fields))
            }
        });
    found.collect()
}

fn field_differences(before: &ItemFields, after: &ItemFields) -> Vec<FieldDifference> {
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let differing = names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name));
    differing
        .map(|name| FieldDifference {
            name: name.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        })
        .collect()
}

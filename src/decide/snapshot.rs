//! Snapshots of the whole configuration, split into parts that fit into log records.

use std::collections::BTreeMap;

use super::config::Configuration;
use super::config_change::{ConfigChange, ObjectName};
use super::ids::LogOffset;

/// Maximum number of objects in one part; with the size limits of an object, a part stays below
/// 1 MiB.
pub const PART_OBJECTS: usize = 128;

/// Object of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotObject {
    /// A declared object.
    Declared {
        /// Offset of the object's last change.
        changed_at: LogOffset,
        /// Change that declares the object in its current state; one of the `Put` variants.
        declaration: ConfigChange,
    },
    /// An object that was removed.
    Removed {
        /// Offset of the object's removal.
        changed_at: LogOffset,
        /// The removed object.
        object: ObjectName,
    },
}

/// The whole configuration in canonical order; equal configurations have equal snapshots.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset below which the snapshot covers all records.
    pub next_offset: LogOffset,
    /// All objects that were ever declared, sorted by kind and name.
    pub objects: Vec<SnapshotObject>,
}

/// Part of a snapshot.
///
/// All processes write equal parts for the same offset, so parts of different writers can be
/// combined. For this, [`PART_OBJECTS`] must be the same in all processes of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotPart {
    /// Offset below which the snapshot covers all records.
    pub next_offset: LogOffset,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the whole snapshot, at least 1.
    pub count: u32,
    /// Objects in this part.
    pub objects: Vec<SnapshotObject>,
}

impl Snapshot {
    /// Creates a snapshot of a configuration.
    #[must_use]
    pub fn of(configuration: &Configuration) -> Self {
        let objects = configuration
            .last_changed
            .iter()
            .map(|(object, changed_at)| {
                let changed_at = *changed_at;
                match declaration(configuration, object) {
                    Some(declaration) => SnapshotObject::Declared {
                        changed_at,
                        declaration,
                    },
                    None => SnapshotObject::Removed {
                        changed_at,
                        object: object.clone(),
                    },
                }
            });
        Self {
            next_offset: configuration.next_offset,
            objects: objects.collect(),
        }
    }

    /// Returns the configuration that the snapshot was made of.
    #[must_use]
    pub fn restore(&self) -> Configuration {
        let mut configuration = Configuration::default();
        for object in &self.objects {
            let (object, changed_at) = match object {
                SnapshotObject::Declared {
                    changed_at,
                    declaration,
                } => {
                    configuration.apply_change(declaration);
                    (declaration.object(), *changed_at)
                }
                SnapshotObject::Removed { changed_at, object } => (object.clone(), *changed_at),
            };
            configuration.last_changed.insert(object, changed_at);
        }
        configuration.next_offset = self.next_offset;
        configuration
    }

    /// Splits the snapshot into parts.
    ///
    /// # Panics
    ///
    /// Panics if there are more than `u32::MAX` parts.
    #[must_use]
    pub fn parts(&self) -> Vec<SnapshotPart> {
        let count = self.objects.len().div_ceil(PART_OBJECTS).max(1);
        let count = u32::try_from(count).expect("the objects of a configuration fit into memory");
        let mut chunks = self.objects.chunks(PART_OBJECTS);
        (0..count)
            .map(|index| SnapshotPart {
                next_offset: self.next_offset,
                index,
                count,
                objects: chunks.next().unwrap_or_default().to_vec(),
            })
            .collect()
    }
}

/// Collects the parts of the newest snapshot.
#[derive(Debug, Default)]
pub struct PartCollector {
    next_offset: LogOffset,
    parts: BTreeMap<u32, SnapshotPart>,
}

impl PartCollector {
    /// Adds a part and returns the snapshot once it is complete.
    ///
    /// Parts of a snapshot older than the newest one seen are ignored, since the log may have
    /// dropped its other parts.
    pub fn add(&mut self, part: SnapshotPart) -> Option<Snapshot> {
        if part.next_offset < self.next_offset {
            return None;
        }
        if part.next_offset > self.next_offset {
            self.next_offset = part.next_offset;
            self.parts.clear();
        }
        let count = part.count as usize;
        self.parts.insert(part.index, part);
        if self.parts.len() < count {
            return None;
        }
        let parts = std::mem::take(&mut self.parts);
        Some(Snapshot {
            next_offset: self.next_offset,
            objects: parts.into_values().flat_map(|part| part.objects).collect(),
        })
    }
}

fn declaration(configuration: &Configuration, object: &ObjectName) -> Option<ConfigChange> {
    match object {
        ObjectName::Customer(name) => {
            let (_, customer) = configuration.customer(name)?;
            Some(ConfigChange::PutCustomer(customer.clone()))
        }
        ObjectName::Model(name) => {
            let (_, model) = configuration.model(name)?;
            Some(ConfigChange::PutModel(model.clone()))
        }
        ObjectName::Upstream(name) => {
            let (_, upstream) = configuration.upstream(name)?;
            Some(ConfigChange::PutUpstream(upstream.clone()))
        }
        ObjectName::Service(name) => {
            let (_, service) = configuration.service(name)?;
            Some(ConfigChange::PutService(service.clone()))
        }
        ObjectName::Rank(rank) => {
            let mut ranks = configuration.ranks.iter();
            let policy = ranks.find(|policy| policy.rank == *rank)?;
            Some(ConfigChange::PutRank(*policy))
        }
    }
}

//! List of instances: what is registered, and the lagging view that readers get.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::kernel::Moment;

/// Time after which an instance that has not been renewed drops out.
const RENEWAL_TIME: Duration = Duration::from_secs(10);

/// Whether an instance is there to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// It takes work.
    Live,
    /// It is about to go.
    Leaving,
}

/// One registered instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Name.
    pub name: String,
    /// Role, such as `sidecar`.
    pub role: String,
    /// Address as IP and port.
    pub address: String,
    /// Address of its operator port as IP and port.
    pub operator: Option<String>,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is there to stay.
    pub state: InstanceState,
}

/// Registered instances and the changes that readers do not see yet.
#[derive(Debug, Clone)]
pub struct InstanceList {
    /// Time in milliseconds after which readers see a change.
    pub lag_ms: u64,
    registered: BTreeMap<String, (InstanceEntry, Moment)>,
    pending: BTreeMap<(Moment, u64), (String, Option<InstanceEntry>)>,
    changes: u64,
    shown: BTreeMap<String, InstanceEntry>,
}

impl InstanceList {
    /// Creates an empty list.
    #[must_use]
    pub const fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            registered: BTreeMap::new(),
            pending: BTreeMap::new(),
            changes: 0,
            shown: BTreeMap::new(),
        }
    }

    /// Registers or renews an instance and returns what is registered now.
    ///
    /// An instance that is leaving stays so until it is removed.
    pub fn put(&mut self, now: Moment, mut entry: InstanceEntry) -> InstanceEntry {
        self.expire(now);
        let known = self
            .registered
            .get(&entry.name)
            .map(|(known, _)| known.state);
        if known == Some(InstanceState::Leaving) {
            entry.state = InstanceState::Leaving;
        }
        let renew_by = now.after(RENEWAL_TIME);
        let name = entry.name.clone();
        let previous = self
            .registered
            .insert(name.clone(), (entry.clone(), renew_by));
        if previous.is_none_or(|(known, _)| known != entry) {
            self.change(now, name, Some(entry.clone()));
        }
        entry
    }

    /// Marks an instance as leaving.
    pub fn leave(&mut self, now: Moment, name: &str) {
        self.expire(now);
        let Some((entry, _)) = self.registered.get_mut(name) else {
            return;
        };
        entry.state = InstanceState::Leaving;
        let entry = entry.clone();
        self.change(now, name.to_owned(), Some(entry));
    }

    /// Deregisters an instance; tells whether it was there.
    pub fn remove(&mut self, now: Moment, name: &str) -> bool {
        self.expire(now);
        let removed = self.registered.remove(name).is_some();
        if removed {
            self.change(now, name.to_owned(), None);
        }
        removed
    }

    /// Returns the instances as they were a lag ago, by name.
    pub fn list(&mut self, now: Moment) -> Vec<InstanceEntry> {
        self.expire(now);
        while let Some(pending) = self.pending.first_entry()
            && pending.key().0.is_due(now)
        {
            match pending.remove() {
                (name, Some(entry)) => drop(self.shown.insert(name, entry)),
                (name, None) => drop(self.shown.remove(&name)),
            }
        }
        self.shown.values().cloned().collect()
    }

    fn expire(&mut self, now: Moment) {
        let registered = self.registered.iter();
        let expired: Vec<(String, Moment)> = registered
            .filter(|(_, (_, renew_by))| renew_by.is_due(now))
            .map(|(name, (_, renew_by))| (name.clone(), *renew_by))
            .collect();
        for (name, renew_by) in expired {
            self.registered.remove(&name);
            self.change(renew_by, name, None);
        }
    }

    fn change(&mut self, at: Moment, name: String, entry: Option<InstanceEntry>) {
        let visible_at = at.after(Duration::from_millis(self.lag_ms));
        self.changes += 1;
        self.pending
            .insert((visible_at, self.changes), (name, entry));
    }
}

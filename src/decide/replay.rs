//! Deterministic replay of the configuration stream.

use super::config::{Configuration, Customer};
use super::config_change::{ApplyOutcome, ApplyRefusal, ConfigChange, PlanRecord};
use super::config_check::{check_change, newly_unserved_pairs};
use super::ids::LogOffset;
use crate::kernel::{Arena, Key};

impl Configuration {
    /// Replays the record at an offset; the outcome depends only on the records before it.
    ///
    /// A record takes effect as a whole or not at all. It is refused if one of its objects was
    /// changed at or after its `planned_at` offset, so of two concurrent plans that change the
    /// same object, the first one on the log wins.
    pub fn apply(&mut self, offset: LogOffset, record: &PlanRecord) -> ApplyOutcome {
        match self.position(offset) {
            Position::Stale => return ApplyOutcome::Stale,
            Position::Gap => return ApplyOutcome::Gap,
            Position::Next => {}
        }
        let outcome = self.preview(offset, record);
        self.next_offset = after(offset);
        match outcome {
            Ok(changed) => {
                *self = changed;
                ApplyOutcome::Applied
            }
            Err(refusal) => ApplyOutcome::Refused(refusal),
        }
    }

    /// Skips the offset of a record that changes nothing, such as a malformed one.
    pub fn skip(&mut self, offset: LogOffset) {
        if self.position(offset) == Position::Next {
            self.next_offset = after(offset);
        }
    }

    /// Returns the configuration as it would be with the record applied at this offset.
    ///
    /// # Errors
    ///
    /// Returns the reason why the record would be refused.
    pub fn preview(&self, offset: LogOffset, record: &PlanRecord) -> Result<Self, ApplyRefusal> {
        for change in &record.changes {
            self.check_conflict(record.planned_at, change)?;
        }
        let mut changed = self.clone();
        for change in &record.changes {
            check_change(&changed, change)?;
            changed.apply_change(change);
            changed.last_changed.insert(change.object(), offset);
        }
        changed.next_offset = after(offset);
        if !record.forced
            && let Some((customer, model)) = newly_unserved_pairs(self, &changed).pop()
        {
            return Err(ApplyRefusal::Unserved { customer, model });
        }
        Ok(changed)
    }

    fn position(&self, offset: LogOffset) -> Position {
        match offset.cmp(&self.next_offset) {
            std::cmp::Ordering::Less => Position::Stale,
            std::cmp::Ordering::Equal => Position::Next,
            std::cmp::Ordering::Greater => Position::Gap,
        }
    }

    fn check_conflict(
        &self,
        planned_at: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ApplyRefusal> {
        let object = change.object();
        match self.last_changed.get(&object) {
            Some(&changed_at) if changed_at >= planned_at => {
                Err(ApplyRefusal::Conflict { object, changed_at })
            }
            _ => Ok(()),
        }
    }

    pub(super) fn apply_change(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::PutCustomer(customer) => self.put_customer(customer),
            ConfigChange::RemoveCustomer { name } => self.remove_customer(name),
            ConfigChange::PutModel(model) => {
                let declared = self.model(&model.name).map(|(key, _)| key);
                put(&mut self.models, declared, model);
            }
            ConfigChange::PutUpstream(upstream) => {
                let declared = self.upstream(&upstream.name).map(|(key, _)| key);
                put(&mut self.upstreams, declared, upstream);
            }
            ConfigChange::RetireUpstream { name } => self.retire_upstream(name),
            ConfigChange::RemoveUpstream { name } => self.remove_upstream(name),
            ConfigChange::MoveCustomer {
                customer,
                model,
                version,
            } => self.move_customer(customer, model, version),
            ConfigChange::PutService(service) => {
                let declared = self.service(&service.name).map(|(key, _)| key);
                put(&mut self.services, declared, service);
            }
            ConfigChange::PutRank(policy) => {
                self.ranks.retain(|declared| declared.rank != policy.rank);
                self.ranks.push(*policy);
                self.ranks.sort_by_key(|declared| declared.rank);
            }
        }
    }

    fn put_customer(&mut self, customer: &Customer) {
        self.customers_by_bearer.retain(|_, owner| {
            let owner = self.customers.get(*owner);
            owner.is_some_and(|owner| owner.name != customer.name)
        });
        let declared = self.customer(&customer.name).map(|(key, _)| key);
        let key = put(&mut self.customers, declared, customer);
        for hash in &customer.bearer_hashes {
            self.customers_by_bearer.insert(*hash, key);
        }
    }

    fn remove_customer(&mut self, name: &str) {
        let Some((key, _)) = self.customer(name) else {
            return;
        };
        self.customers_by_bearer.retain(|_, owner| *owner != key);
        self.customers.remove(key);
    }

    fn retire_upstream(&mut self, name: &str) {
        let declared = self.upstream(name).map(|(key, _)| key);
        if let Some(upstream) = declared.and_then(|key| self.upstreams.get_mut(key)) {
            upstream.retired = true;
        }
    }

    fn remove_upstream(&mut self, name: &str) {
        if let Some((key, _)) = self.upstream(name) {
            self.upstreams.remove(key);
        }
    }

    fn move_customer(&mut self, customer: &str, model: &str, version: &str) {
        let declared = self.customer(customer).map(|(key, _)| key);
        if let Some(customer) = declared.and_then(|key| self.customers.get_mut(key)) {
            customer
                .versions
                .insert(model.to_owned(), version.to_owned());
        }
    }
}

/// Replaces the value of an existing key, or inserts the value if there is no key.
fn put<T: Clone>(arena: &mut Arena<T>, declared: Option<Key<T>>, value: &T) -> Key<T> {
    let Some(key) = declared else {
        return arena.insert(value.clone());
    };
    if let Some(current) = arena.get_mut(key) {
        current.clone_from(value);
    }
    key
}

/// Position of an offset relative to the next one to replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Stale,
    Next,
    Gap,
}

const fn after(offset: LogOffset) -> LogOffset {
    LogOffset(offset.0 + 1)
}

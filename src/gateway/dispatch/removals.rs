//! Removals of upstreams from the list, at once or deferred.

use std::time::Duration;

use super::send_check::SEND_TIME;
use super::state::{DeferredRemoval, DispatchState};
use crate::events::{UPSTREAM_CHANGED, log_event};
use crate::kernel::Moment;

/// Time after a store outage for which removals of upstreams are deferred, because entries that
/// expired during the outage may be written again.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_100);

/// Age of the last confirmation from which the store counts as away.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// Time after which a removal is looked at again that was due while the store was away.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl DispatchState {
    /// Removes an upstream whose entry was removed: at once, or deferred if the entry may merely
    /// have expired during an outage.
    pub(super) fn remove_entry(&mut self, now: Moment, id: &str) {
        let health = self.upstream_health;
        let returned = health
            .recovered_at
            .filter(|at| now.since(*at) < REMOVAL_DELAY);
        match returned {
            Some(at) => self.defer_removal(DeferredRemoval {
                id: id.to_owned(),
                due: self.removal_due(now, at),
                is_lost: false,
            }),
            None => self.remove_member(id, "removed"),
        }
    }

    /// Removes an upstream at a time unless its entry is written again before.
    fn defer_removal(&mut self, removal: DeferredRemoval) {
        self.removals.retain(|known| known.id != removal.id);
        self.removals.push(removal);
    }

    /// Removes an upstream that the store has lost unless its entry is written again in time.
    pub(super) fn defer_lost_removal(&mut self, now: Moment, id: &str) {
        self.defer_removal(DeferredRemoval {
            id: id.to_owned(),
            due: now.after(REMOVAL_DELAY),
            is_lost: true,
        });
    }

    /// Gives upstreams that the store has lost the whole time once more if it was away before this
    /// confirmation.
    pub(super) fn renew_after_silence(&mut self, confirmed_at: Moment) {
        let known = self.upstream_health.confirmed_at;
        if known.after(MAX_SILENCE).is_due(confirmed_at) {
            self.renew_lost_removals(confirmed_at);
        }
    }

    /// Gives upstreams that the store has lost the whole time once more, as they could not write before.
    pub(super) fn renew_lost_removals(&mut self, now: Moment) {
        let lost = self.removals.iter_mut().filter(|removal| removal.is_lost);
        for removal in lost {
            removal.due = now.after(REMOVAL_DELAY);
        }
    }

    /// Returns when a removal takes effect that is read after an outage which ended at
    /// `recovered_at`.
    fn removal_due(&self, now: Moment, recovered_at: Moment) -> Moment {
        let due = recovered_at.after(REMOVAL_DELAY);
        // The removal was written after the last confirmation. If that is older than the limit,
        // the outage lies between, and the entry may have expired in it.
        let limit = self.identity.drain_limit.saturating_sub(SEND_TIME);
        let written_limit = self.upstream_health.confirmed_at.after(limit);
        if written_limit.is_due(now) {
            due
        } else {
            due.min(written_limit)
        }
    }

    fn remove_member(&mut self, id: &str, change: &str) {
        let Some(key) = self.fleet.find(id) else {
            return;
        };
        self.fleet.remove(key);
        self.parts.remove_member(key);
        self.pool.close_all(key);
        log_event(&UPSTREAM_CHANGED, &[("upstream", &id), ("change", &change)]);
    }

    /// Removes upstreams whose entries were not written again in time.
    pub(super) fn apply_due_removals(&mut self, now: Moment) {
        // Upstreams that the store has lost cannot write again while it is away.
        let is_away = self
            .upstream_health
            .confirmed_at
            .after(MAX_SILENCE)
            .is_due(now);
        let due: Vec<DeferredRemoval> = self
            .removals
            .extract_if(.., |removal| {
                let is_due = removal.due.is_due(now);
                if is_due && removal.is_lost && is_away {
                    removal.due = now.after(RETRY_DELAY);
                    return false;
                }
                is_due
            })
            .collect();
        for removal in due {
            self.remove_member(&removal.id, "lapsed");
        }
    }

    /// Returns the time of the next deferred removal.
    pub(super) fn next_removal(&self) -> Moment {
        let due = self.removals.iter().map(|removal| removal.due);
        due.min().unwrap_or(Moment::NEVER)
    }
}

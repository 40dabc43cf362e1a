//! Promises on versions of weights and on orders, checked on the whole record.

use std::time::{Duration, Instant};

use super::ledger::{Disturbance, Ledger, Run, SETTLING, Scope};
use super::{END_LIMIT, STOP_GRACE};

/// Time within which two gateways must not order one upstream in turn (`lease-ms`).
const LEASE: Duration = Duration::from_secs(3);

/// Time after a gateway was thawed or a link healed in which orders that were held up may come
/// (`thaw-slack-ms`).
const THAW_SLACK: Duration = Duration::from_millis(300);

/// Time for which a request that goes on at another upstream may still run at the one before, as the
/// operators state it.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

/// Time by which the end of a disturbance may be noted too late.
const NOTE_DELAY: Duration = Duration::from_millis(100);

impl Ledger {
    /// Notes the cache domain of a run, which must not have been used under another version.
    pub fn note_cache(&mut self, id: &str, domain: &str, version: u64) {
        let first = *self.caches.entry(domain.to_owned()).or_insert(version);
        if first != version {
            let what = format!("cache of version {first} used under version {version}");
            self.breach("cache", id, &what);
        }
    }

    /// No request begins on weights older than a version that was confirmed longer ago than the
    /// limit, counted in one stretch without disturbance.
    pub(super) fn check_versions(&mut self, limit: Duration) {
        let mut late = Vec::new();
        for (id, runs) in &self.runs {
            let Some(sent) = self.sent.get(id) else {
                continue;
            };
            for run in runs {
                let Some(weights) = run.weights else {
                    continue;
                };
                let newer = self.named.iter().filter(|named| named.version > weights);
                let confirmed = newer.filter_map(|named| named.confirmed).min();
                let Some(confirmed) = confirmed else {
                    continue;
                };
                let calm = self.calm_since(sent.gateway, run.at);
                let since = calm.map_or(confirmed, |calm| calm.max(confirmed));
                if run.at > since + limit {
                    let arrived = run.arrived.saturating_duration_since(confirmed);
                    late.push((id.clone(), weights, arrived, run.at - confirmed));
                }
            }
        }
        for (id, weights, arrived, begun) in late {
            let what = format!(
                "began on version {weights} {begun:?} after a newer one was confirmed, \
                 arrived {arrived:?} after it"
            );
            self.breach("version", &id, &what);
        }
    }

    /// A request that begins at another upstream ends soon at the one before, without disturbance of
    /// its gateway or of a link to an upstream.
    pub(super) fn check_overlaps(&mut self) {
        let mut overlaps = Vec::new();
        for (id, runs) in &self.runs {
            let Some(sent) = self.sent.get(id) else {
                continue;
            };
            let in_scope = |scope: Scope| {
                matches!(scope, Scope::UpstreamLink(_)) || scope.is_gateway(sent.gateway)
            };
            for (index, run) in runs.iter().enumerate() {
                let limit = run.at + OVERLAP_LIMIT;
                let goes_on = |before: &Run| {
                    let is_late = before.ended.is_none_or(|ended| ended > limit);
                    before.upstream != run.upstream && is_late
                };
                if runs[..index].iter().any(goes_on) && !self.is_disturbed(sent.at, limit, in_scope)
                {
                    overlaps.push(id.clone());
                }
            }
        }
        for id in overlaps {
            self.breach("overlap", &id, "runs at two upstreams at once");
        }
    }

    /// Returns since when the store, all links and a gateway are without disturbance; `None` if
    /// they always were.
    fn calm_since(&self, gateway: usize, at: Instant) -> Option<Instant> {
        let disturbed = self.disturbances.iter().filter_map(|disturbance| {
            let settling = match disturbance.scope {
                Scope::Store => SETTLING,
                scope if scope.is_gateway(gateway) => SETTLING,
                Scope::StoreLink(_) | Scope::UpstreamLink(_) => Duration::ZERO,
                Scope::Process(_) | Scope::Upstream(_) => return None,
            };
            let ended = disturbance.until.map_or(at, |until| until + settling);
            (disturbance.from <= at).then_some(ended)
        });
        // From its signal on, a gateway that is told to stop counts as disturbed.
        let stops = self.stops.iter().filter_map(|(stopped, told)| {
            let ended = *told + STOP_GRACE + END_LIMIT;
            (*stopped == gateway && *told <= at).then_some(ended)
        });
        disturbed.chain(stops).max()
    }

    /// Orders of two gateways to one upstream are a lease apart, and fencing tokens never fall.
    pub(super) fn check_orders(&mut self) {
        let orders = std::mem::take(&mut self.orders);
        for (index, order) in orders.iter().enumerate() {
            let before = orders[..index]
                .iter()
                .rfind(|other| other.upstream == order.upstream);
            let Some(before) = before else {
                continue;
            };
            let is_turn = order.holder != before.holder
                && (order.fence == before.fence || order.at < before.at + LEASE);
            let is_excused = self
                .disturbances
                .iter()
                .any(|disturbance| may_hold_up(disturbance, order.at));
            if (is_turn || order.fence < before.fence) && !is_excused {
                let what = format!("{order:?} after {before:?}");
                self.breach_at("orders", "-", &what, order.at);
            }
        }
    }
}

/// Tells whether an order that comes at a time may have been held up until the end of a
/// disturbance.
fn may_hold_up(disturbance: &Disturbance, at: Instant) -> bool {
    let has_healed = |until: Instant| until <= at + NOTE_DELAY && until + THAW_SLACK >= at;
    !matches!(disturbance.scope, Scope::Upstream(_)) && disturbance.until.is_some_and(has_healed)
}

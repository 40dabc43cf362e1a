//! Requests that were running in crashes of upstreams: what instances tell each other of them.

use std::time::Duration;

use super::state::DispatchState;
use crate::decide::ids::{EngineEpoch, Incarnation};
use crate::decide::suspects::{CrashId, Fingerprint, MergeOutcome};
use crate::kernel::{Moment, whole_ms};
use crate::wire::peer_rpc::WireSuspicion;
use crate::wire::suspect_news::WireSuspectNews;

/// Maximum number of suspicions that are kept for gossip.
const MAX_SUSPICIONS: usize = 256;

/// Maximum number of refused requests of which instances tell each other as long as they refuse them.
const MAX_REFUSED_NEWS: usize = 32;

/// Time for which news is sent to others; it reaches all instances within a few exchanges.
pub(super) const NEWS_REPEAT_TIME: Duration = Duration::from_millis(1_500);

impl DispatchState {
    /// Records that a request was running in a crash, and queues what is new for the other instances.
    pub(super) fn record_suspicion(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) {
        if !self.suspects.report(now, fingerprint, crash) {
            return;
        }
        let suspicion = WireSuspicion {
            fingerprint: fingerprint.0,
            upstream: crash.sidecar.0,
            born: crash.epoch.0,
        };
        self.recent_suspicions.push_back((now, suspicion));
        if self.recent_suspicions.len() > MAX_SUSPICIONS {
            self.recent_suspicions.pop_front();
        }
    }

    /// Clears a request that was answered of all crashes that it was running in, here and at the others.
    pub(super) fn clear_request(&mut self, now: Moment, fingerprint: Fingerprint) {
        let crashes = self.suspects.crashes(now, fingerprint).to_vec();
        self.suspects.clear(now, fingerprint, &crashes);
        for crash in crashes {
            self.queue_cleared(now, fingerprint, crash);
        }
    }

    fn queue_cleared(&mut self, now: Moment, fingerprint: Fingerprint, crash: CrashId) {
        let is_same =
            |known: &(Moment, Fingerprint, CrashId)| (known.1, known.2) == (fingerprint, crash);
        self.cleared_requests.retain(|known| !is_same(known));
        self.cleared_requests.push_back((now, fingerprint, crash));
        if self.cleared_requests.len() > MAX_SUSPICIONS {
            self.cleared_requests.pop_front();
        }
    }

    /// Drops suspicions that have expired and news that all instances have received.
    pub(super) fn expire_suspicions(&mut self, now: Moment) {
        self.suspects.expire(now);
        self.segments.expire(now);
        let is_old = |at: &Moment| now.since(*at) >= NEWS_REPEAT_TIME;
        self.recent_suspicions.retain(|(at, _)| !is_old(at));
        self.cleared_requests.retain(|(at, ..)| !is_old(at));
        self.segment_news.retain(|(at, _)| !is_old(at));
    }

    /// Returns what other instances have to know of refused requests, also those that start or come back
    /// later.
    pub(super) fn suspect_news(&self, now: Moment) -> Vec<WireSuspectNews> {
        let refused = self.suspects.poisonous(now).take(MAX_REFUSED_NEWS);
        let refused = refused.flat_map(|entry| {
            let left = whole_ms(entry.expires.remaining(now));
            let crashes = entry.crashes.iter().zip(&entry.times);
            crashes.map(move |(crash, at)| WireSuspectNews {
                ago_ms: whole_ms(now.since(*at)),
                ..wire_news(entry.fingerprint, *crash, Some(left))
            })
        });
        let fresh = self.cleared_requests.iter();
        let fresh = fresh.filter(|(at, ..)| now.since(*at) < NEWS_REPEAT_TIME);
        let cleared = fresh.map(|(_, fingerprint, crash)| wire_news(*fingerprint, *crash, None));
        refused.chain(cleared).collect()
    }

    /// Applies another instance's news of refused requests.
    pub(super) fn apply_suspect_news(&mut self, now: Moment, news: &[WireSuspectNews]) {
        for news in news {
            let fingerprint = Fingerprint(news.fingerprint);
            let crash = CrashId {
                sidecar: Incarnation(news.upstream),
                epoch: EngineEpoch(news.born),
            };
            let Some(refused_ms) = news.refused_ms else {
                if self.suspects.crashes(now, fingerprint).contains(&crash) {
                    self.suspects.clear(now, fingerprint, &[crash]);
                    self.queue_cleared(now, fingerprint, crash);
                }
                continue;
            };
            let left = Duration::from_millis(refused_ms);
            let at = now.before(Duration::from_millis(news.ago_ms));
            let merged = self.suspects.merge(now, fingerprint, (crash, at), left);
            if merged == MergeOutcome::Cleared {
                self.queue_cleared(now, fingerprint, crash);
            }
        }
    }
}

const fn wire_news(
    fingerprint: Fingerprint,
    crash: CrashId,
    refused_ms: Option<u64>,
) -> WireSuspectNews {
    WireSuspectNews {
        fingerprint: fingerprint.0,
        upstream: crash.sidecar.0,
        born: crash.epoch.0,
        ago_ms: 0,
        refused_ms,
    }
}

//! Upstreams that ask for no requests for some time, and what reaches them then.

use std::time::{Duration, Instant};

use super::ledger::{Ledger, Scope};

/// Time for which an upstream asks for no requests, in seconds.
pub const PAUSE_S: u64 = 2;

/// Time after which a gateway heeds that, as the operators state it.
const EFFECT_TIME: Duration = Duration::from_millis(500);

/// Requests that may reach the upstream from one gateway in the rest of that time.
const MAX_ARRIVALS: usize = 2;

/// Arrival of a request at an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Index of the upstream.
    pub upstream: usize,
    /// Identifier of the request.
    pub id: String,
    /// When it had arrived.
    pub at: Instant,
    /// Whether it was rejected with the wish for a pause.
    pub is_rejected: bool,
}

impl Ledger {
    /// Checks that few requests reach an upstream from a gateway that it has asked for none.
    pub(super) fn check_pauses(&mut self) {
        let gateway_of = |arrival: &Arrival| self.sent.get(&arrival.id).map(|sent| sent.gateway);
        let rejections = self.arrivals.iter().filter(|arrival| arrival.is_rejected);
        let mut broken = Vec::new();
        for rejection in rejections {
            let Some(gateway) = gateway_of(rejection) else {
                continue;
            };
            let from = rejection.at + EFFECT_TIME;
            let until = rejection.at + Duration::from_secs(PAUSE_S);
            let later = self.arrivals.iter().filter(|arrival| {
                arrival.upstream == rejection.upstream
                    && (from..until).contains(&arrival.at)
                    && gateway_of(arrival) == Some(gateway)
            });
            let count = later.count();
            let is_excused = self.is_disturbed(rejection.at, until, |scope| {
                scope.is_gateway(gateway) || scope == Scope::UpstreamLink(rejection.upstream)
            });
            if count > MAX_ARRIVALS && !is_excused {
                broken.push((rejection.id.clone(), rejection.at, count));
            }
        }
        for (id, at, count) in broken {
            self.breach_at("pause", &id, &format!("{count} requests in the pause"), at);
        }
    }
}

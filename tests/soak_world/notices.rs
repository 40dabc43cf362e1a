//! What upstreams say of themselves in their answers, and what reaches them then.

use std::time::{Duration, Instant};

use super::ledger::{DRAIN_LIMIT, Got, Ledger, Scope};

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
    /// Whether the answer says that the upstream leaves.
    pub says_leaving: bool,
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

    /// Checks that nothing reaches an upstream from a gateway that has passed on an answer by which it
    /// leaves, until it returns; requests may be sent to the gateway for `DRAIN_LIMIT` more.
    pub(super) fn check_said_leaving(&mut self) {
        let mut broken = Vec::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.says_leaving) {
            let Some((gateway, passed_on)) = self.passed_on(arrival) else {
                continue;
            };
            let leaves = self.leaves.iter();
            let mut returns = leaves
                .filter(|leave| leave.upstream == arrival.upstream)
                .filter_map(|leave| leave.returned);
            let returned = returns.find(|returned| *returned > arrival.at);
            let late = self.arrivals.iter().find(|later| {
                later.upstream == arrival.upstream
                    && returned.is_none_or(|returned| later.at < returned)
                    && self.sent.get(&later.id).is_some_and(|sent| {
                        sent.gateway == gateway && sent.at > passed_on + DRAIN_LIMIT
                    })
            });
            let Some(late) = late else { continue };
            let process = |scope| scope == Scope::Process(gateway);
            if !self.is_disturbed(passed_on, late.at, process) {
                broken.push((late.id.clone(), late.at, late.at - passed_on));
            }
        }
        for (id, at, late) in broken {
            self.breach_at("drain", &id, &format!("{late:?} after the answer"), at);
        }
    }

    /// Returns the gateway that passed on the answer to an arrival, and when.
    fn passed_on(&self, arrival: &Arrival) -> Option<(usize, Instant)> {
        let sent = self.sent.get(&arrival.id)?;
        let runs = self.runs.get(&arrival.id)?;
        let is_only = runs.iter().all(|run| run.upstream == arrival.upstream);
        match sent.got {
            Some((Got::Success | Got::UpstreamFailure(_), at)) if is_only => {
                Some((sent.gateway, at))
            }
            _ => None,
        }
    }
}

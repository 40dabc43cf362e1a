//! Route lookup, with the reservation of memory for the request.

use super::state::DispatchState;
use crate::decide::memory_budget::MemoryClaim;
use crate::decide::memory_plan::request_bytes;
use crate::decide::route_table::{RouteDecision, RouteQuery};
use crate::gateway::mail::{RouteLookup, RouteReply};
use crate::kernel::Moment;

impl DispatchState {
    /// Looks up the route of a request and reserves memory for it.
    pub(super) fn find_route(&mut self, now: Moment, lookup: &RouteLookup) -> RouteReply {
        let draw = self.random_fraction();
        let question = RouteQuery {
            host: &lookup.host,
            path: &lookup.path,
            key: lookup.key.as_deref(),
            draw,
        };
        let decision = self.routes.as_ref().map(|routes| routes.find(question));
        let reservation = match &decision {
            Some(RouteDecision::Admit(route)) => {
                // Longer bodies are rejected unread.
                let body_bytes = lookup.body_bytes.min(route.limits.body_bytes);
                let claim = MemoryClaim {
                    customer: route.customer.as_deref().unwrap_or_default(),
                    rank: route.rank(),
                    bytes: request_bytes(lookup.head_bytes, body_bytes),
                };
                self.reserve_memory(now, claim)
            }
            Some(RouteDecision::Unrouted | RouteDecision::Unauthorized) | None => None,
        };
        RouteReply {
            decision,
            reservation,
        }
    }
}

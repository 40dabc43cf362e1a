//! Route lookup, with the reservation of memory for the request.

use super::state::DispatchState;
use crate::decide::memory_budget::{MemoryClaim, ReservationKey};
use crate::decide::memory_plan::request_bytes;
use crate::decide::route_table::{AdmittedRoute, RouteDecision, RouteQuery};
use crate::gateway::mail::{RouteLookup, RouteReply};

impl DispatchState {
    /// Looks up the route of a request and reserves memory for it.
    pub(super) fn find_route(&mut self, lookup: &RouteLookup) -> RouteReply {
        let draw = self.random_fraction();
        let question = RouteQuery {
            host: &lookup.host,
            path: &lookup.path,
            key: lookup.key.as_deref(),
            draw,
        };
        let decision = self.routes.as_ref().map(|routes| routes.find(question));
        let reservation = match &decision {
            Some(RouteDecision::Admit(route)) => self.reserve_memory(lookup, route),
            Some(RouteDecision::Unrouted | RouteDecision::Unauthorized) | None => None,
        };
        RouteReply {
            decision,
            reservation,
        }
    }

    fn reserve_memory(
        &mut self,
        lookup: &RouteLookup,
        route: &AdmittedRoute,
    ) -> Option<ReservationKey> {
        // Longer bodies are rejected unread.
        let body_bytes = lookup.body_bytes.min(route.limits.body_bytes);
        self.memory.reserve(MemoryClaim {
            customer: route.customer.as_deref().unwrap_or_default(),
            rank: route.rank(),
            bytes: request_bytes(lookup.head_bytes, body_bytes),
        })
    }
}

//! Guard that ends the placement of a request when it is dropped.

use std::fmt;

use super::dispatch;
use super::mail::{
    DispatchMail, GatewayMail, Placement, PlacementEnd, PlacementRefusal, PlacementReply,
    PlacementRequest,
};
use crate::decide::fleet::MemberOutcome;
use crate::decide::ids::Ticket;
use crate::kernel::{Directory, Moment, ReplyTo};
use crate::platform::http_connection::OpenConnection;

/// Placement of a request with the guard that ends it.
#[derive(Debug)]
pub struct GuardedPlacement {
    /// Upstream and data of the placement.
    pub at: Placement,
    /// Ends the placement on drop.
    pub guard: PlacementGuard,
}

/// Asks `dispatch` to place a request. The guard is created as soon as the reply is sent, so a
/// request that is dropped before it receives the reply ends its placement too.
///
/// # Errors
///
/// Returns the reason if the request was refused. A full mailbox and a stopped service count as
/// `Busy`.
pub async fn place(
    directory: &Directory<GatewayMail>,
    request: PlacementRequest,
) -> Result<GuardedPlacement, PlacementRefusal> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let for_guard = directory.clone();
    let reply_to = ReplyTo::new(move |reply| {
        let outcome = match reply {
            PlacementReply::Placed(at) => Ok(GuardedPlacement {
                guard: PlacementGuard::new(for_guard, at.ticket),
                at: *at,
            }),
            PlacementReply::Refused(refusal) => Err(refusal),
        };
        // If the waiting task has gone, this drops the guard and so ends the placement.
        drop(sender.send(outcome));
    });
    let mail = DispatchMail::Place(Box::new(request), reply_to);
    dispatch::tell(directory, mail);
    // The reply handle is dropped without a reply only if the mailbox is full or the process
    // stops.
    receiver.await.unwrap_or(Err(PlacementRefusal::Busy))
}

/// Ends a placement on drop, with the outcome `Abandoned` unless another one was set.
pub struct PlacementGuard {
    directory: Directory<GatewayMail>,
    /// Ticket that identifies the placement.
    pub ticket: Ticket,
    outcome: MemberOutcome,
    connection: Option<(OpenConnection, Moment)>,
}

impl fmt::Debug for PlacementGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlaceGuard")
            .field("ticket", &self.ticket)
            .finish_non_exhaustive()
    }
}

impl PlacementGuard {
    /// Creates the guard of a placement.
    #[must_use]
    pub const fn new(directory: Directory<GatewayMail>, ticket: Ticket) -> Self {
        Self {
            directory,
            ticket,
            outcome: MemberOutcome::Abandoned,
            connection: None,
        }
    }

    /// Reports that the request has produced its first output.
    pub fn record_first_output(&self) {
        self.send(DispatchMail::FirstOutput(self.ticket));
    }

    /// Ends the placement with an outcome.
    pub fn end(mut self, outcome: MemberOutcome) {
        self.outcome = outcome;
    }

    /// Ends the placement with an outcome and keeps the connection for reuse until
    /// `usable_until`.
    pub fn end_with_connection(
        mut self,
        outcome: MemberOutcome,
        connection: OpenConnection,
        usable_until: Moment,
    ) {
        self.outcome = outcome;
        self.connection = Some((connection, usable_until));
    }

    /// Sends a message to `dispatch`.
    fn send(&self, mail: DispatchMail) {
        dispatch::tell(&self.directory, mail);
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        let end = PlacementEnd {
            ticket: self.ticket,
            outcome: self.outcome,
            connection: self.connection.take(),
        };
        self.send(DispatchMail::PlacementEnded(Box::new(end)));
    }
}

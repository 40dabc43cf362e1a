//! A request's place at an upstream, given back on drop.

use std::fmt;

use super::dispatch;
use super::mail::{
    DispatchMail, GatewayMail, PlaceAsk, PlaceEnd, PlaceRefusal, PlaceReply, PlacedAt,
};
use crate::decide::fleet::MemberOutcome;
use crate::decide::ids::Ticket;
use crate::kernel::{Directory, Moment, ReplyTo};
use crate::platform::http_connection::OpenConnection;

/// A place at an upstream and the guard that gives it back.
#[derive(Debug)]
pub struct Placement {
    /// The place.
    pub at: PlacedAt,
    /// Gives the place back.
    pub guard: PlaceGuard,
}

/// Asks for a place; the guard exists from the moment at which the place is given, so that a
/// request that is dropped while the reply is on its way gives it back too.
///
/// # Errors
///
/// Returns why the request got no place.
pub async fn place(
    directory: &Directory<GatewayMail>,
    ask: PlaceAsk,
) -> Result<Placement, PlaceRefusal> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let guarded = directory.clone();
    let reply_to = ReplyTo::new(move |reply| {
        let outcome = match reply {
            PlaceReply::Placed(at) => Ok(Placement {
                guard: PlaceGuard::new(guarded, at.ticket),
                at: *at,
            }),
            PlaceReply::Refused(refusal) => Err(refusal),
        };
        // An asker that has gone away drops the guard here.
        drop(sender.send(outcome));
    });
    let mail = DispatchMail::Place(Box::new(ask), reply_to);
    dispatch::tell(directory, mail);
    // The reply handle is dropped unanswered only when the mailbox is full or the process stops.
    receiver.await.unwrap_or(Err(PlaceRefusal::Busy))
}

/// Gives a place back on drop; as abandoned unless an outcome was noted.
pub struct PlaceGuard {
    directory: Directory<GatewayMail>,
    /// Identifies the placement.
    pub ticket: Ticket,
    outcome: MemberOutcome,
    connection: Option<(OpenConnection, Moment)>,
}

impl fmt::Debug for PlaceGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlaceGuard")
            .field("ticket", &self.ticket)
            .finish_non_exhaustive()
    }
}

impl PlaceGuard {
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

    /// Notes that the first output has come.
    pub fn note_producing(&self) {
        self.send(DispatchMail::Producing(self.ticket));
    }

    /// Gives the place back with what it tells of the upstream.
    pub fn end(mut self, outcome: MemberOutcome) {
        self.outcome = outcome;
    }

    /// Gives the place back with a connection that may be used again until the moment.
    pub fn end_with_connection(
        mut self,
        outcome: MemberOutcome,
        connection: OpenConnection,
        usable: Moment,
    ) {
        self.outcome = outcome;
        self.connection = Some((connection, usable));
    }

    fn send(&self, mail: DispatchMail) {
        dispatch::tell(&self.directory, mail);
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let end = PlaceEnd {
            ticket: self.ticket,
            outcome: self.outcome,
            connection: self.connection.take(),
        };
        self.send(DispatchMail::Released(Box::new(end)));
    }
}

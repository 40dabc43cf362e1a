//! Guard that returns the reserved memory of a request when it is dropped.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::dispatch;
use super::dispatch::UnreadResponse;
use super::mail::{DispatchMail, GatewayMail, RouteLookup, RouteReply};
use crate::decide::memory_budget::{MemoryUse, ReservationKey};
use crate::decide::route_table::RouteDecision;
use crate::kernel::{Directory, ReplyTo};

/// Interval at which a response asks again for memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Reserved memory of a request, which is returned on drop.
#[derive(Debug)]
pub struct MemoryGuard {
    directory: Directory<GatewayMail>,
    reservation: ReservationKey,
}

impl MemoryGuard {
    /// Creates the guard of a reservation that `dispatch` has made.
    #[must_use]
    pub const fn new(directory: Directory<GatewayMail>, reservation: ReservationKey) -> Self {
        Self {
            directory,
            reservation,
        }
    }

    /// Reserves further bytes; returns whether they fit.
    pub async fn grow(&self, bytes: u64, purpose: MemoryUse) -> bool {
        let reservation = self.reservation;
        let granted = dispatch::ask(&self.directory, |reply_to| {
            DispatchMail::GrowMemory(reservation, bytes, purpose, reply_to)
        });
        granted.await.unwrap_or(false)
    }

    /// Reserves further bytes for a response, and waits until they fit.
    pub async fn grow_for_response(&self, bytes: u64) {
        while !self.grow(bytes, MemoryUse::Response).await {
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Tells `dispatch` that the caller has not read the response.
    pub fn mark_unread(&self, response: UnreadResponse) {
        let mail = DispatchMail::ResponseUnread(self.reservation, response);
        dispatch::tell(&self.directory, mail);
    }

    /// Returns the memory of the backlog of a stream, which the caller has read.
    pub fn release_backlog(&self) {
        let mail = DispatchMail::ReleaseBacklog(self.reservation);
        dispatch::tell(&self.directory, mail);
    }

    /// Ties the reserved memory to the bytes of a response, which hyper drops once they are sent.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _memory: self,
        })
    }
}

/// Bytes together with the memory that is reserved for them.
struct HeldBytes {
    bytes: Bytes,
    _memory: MemoryGuard,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        // The mailbox has room: `dispatch` empties it at each turn, and the bound on connections
        // keeps the messages between two turns far below its capacity.
        dispatch::tell(
            &self.directory,
            DispatchMail::ReleaseMemory(self.reservation),
        );
    }
}

/// Asks `dispatch` for the route of a request and for memory to hold it. The guard is created as
/// soon as the reply is sent, so a request that is dropped before it receives the reply returns
/// its memory too.
pub async fn find_route(
    directory: &Directory<GatewayMail>,
    lookup: RouteLookup,
) -> Option<(Option<RouteDecision>, Option<MemoryGuard>)> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let for_guard = directory.clone();
    let reply_to = ReplyTo::new(move |reply: RouteReply| {
        let reservation = reply.reservation;
        let guard = reservation.map(|reservation| MemoryGuard::new(for_guard, reservation));
        // If the waiting task has gone, this drops the guard and so returns the memory.
        drop(sender.send((reply.decision, guard)));
    });
    dispatch::tell(directory, DispatchMail::Route(lookup, reply_to));
    receiver.await.ok()
}

//! Waiting for an upstream that makes no progress: a request is given up in favour of another
//! upstream only if one can take it, since a slow upstream may still respond.

use std::time::Duration;

use tokio::time::sleep_until;

use super::dispatch;
use super::dispatch::DispatchState;
use super::mail::{DispatchMail, GatewayMail, PlacementRequest, StateQuery};
use crate::kernel::{Directory, Moment, ReplyTo};

/// Time between two checks whether another upstream can take a request without progress.
pub const ALTERNATIVE_INTERVAL: Duration = Duration::from_millis(250);

/// How long to wait for a response.
#[derive(Debug, Clone)]
pub struct Patience {
    /// Time from which the request is given up if another upstream can take it.
    pub until: Moment,
    /// Time at which it is given up in any case.
    pub deadline: Moment,
    /// Request for a placement at another upstream.
    pub retry: PlacementRequest,
}

impl Patience {
    /// Awaits a response; `None` once the request is given up.
    pub async fn wait<T>(
        &self,
        directory: &Directory<GatewayMail>,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let mut response = std::pin::pin!(response);
        let mut until = self.until.min(self.deadline);
        loop {
            tokio::select! {
                biased;
                response = &mut response => return Some(response),
                () = sleep_until(directory.clock().instant(until).into()) => {}
            }
            let now = directory.now();
            if self.deadline.is_due(now) || has_alternative(directory, &self.retry).await {
                return None;
            }
            until = now.after(ALTERNATIVE_INTERVAL).min(self.deadline);
        }
    }
}

/// Returns whether another upstream could take a request now.
pub async fn has_alternative(
    directory: &Directory<GatewayMail>,
    request: &PlacementRequest,
) -> bool {
    let (reply_to, reply) = ReplyTo::channel();
    let request = request.clone();
    let inspect = Box::new(move |now: Moment, state: &DispatchState| {
        reply_to.send(state.could_retry(now, &request));
    });
    dispatch::tell(directory, DispatchMail::Inspect(StateQuery { inspect }));
    // `dispatch` does not reply while the process shuts down; then no upstream can.
    reply.await.unwrap_or(false)
}

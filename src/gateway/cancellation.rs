//! Signal with which `dispatch` cancels a request that has not started at its upstream.

use std::future::pending;

use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

/// Sending side of the signal; dropping it means that the request is never cancelled.
#[derive(Debug)]
pub struct CancelSender(oneshot::Sender<()>);

/// Receiving side of the signal.
#[derive(Debug)]
pub struct CancelSignal(Option<oneshot::Receiver<()>>);

/// Creates both sides of the signal for one placement.
#[must_use]
pub fn cancellation() -> (CancelSender, CancelSignal) {
    let (sender, receiver) = oneshot::channel();
    (CancelSender(sender), CancelSignal(Some(receiver)))
}

impl CancelSender {
    /// Cancels the request.
    pub fn send(self) {
        // Fails if the request has ended meanwhile.
        let _is_received = self.0.send(());
    }
}

impl CancelSignal {
    /// Returns the signal of a request that is never cancelled.
    #[must_use]
    pub const fn never() -> Self {
        Self(None)
    }

    /// Reports whether the request has been cancelled and not yet been told so.
    pub fn is_due(&mut self) -> bool {
        let Some(receiver) = &mut self.0 else {
            return false;
        };
        let outcome = receiver.try_recv();
        if outcome != Err(TryRecvError::Empty) {
            // A channel may not be polled again once it has completed.
            self.0 = None;
        }
        outcome.is_ok()
    }

    /// Waits until the request is cancelled.
    pub async fn received(&mut self) {
        if let Some(receiver) = &mut self.0 {
            let is_cancelled = receiver.await.is_ok();
            self.0 = None;
            if is_cancelled {
                return;
            }
        }
        pending::<()>().await;
    }
}

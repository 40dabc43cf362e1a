//! Signal with which `dispatch` withdraws a request that has not started at its upstream.

use std::future::pending;

use tokio::sync::oneshot;

/// Sending side of the signal; dropping it means that the request is never withdrawn.
#[derive(Debug)]
pub struct WithdrawalSender(oneshot::Sender<()>);

/// Receiving side of the signal.
#[derive(Debug)]
pub struct WithdrawalSignal(Option<oneshot::Receiver<()>>);

/// Creates both sides of the signal for one placement.
#[must_use]
pub fn withdrawal() -> (WithdrawalSender, WithdrawalSignal) {
    let (sender, receiver) = oneshot::channel();
    (WithdrawalSender(sender), WithdrawalSignal(Some(receiver)))
}

impl WithdrawalSender {
    /// Withdraws the request.
    pub fn send(self) {
        // Fails if the request has ended meanwhile.
        let _is_received = self.0.send(());
    }
}

impl WithdrawalSignal {
    /// Returns the signal of a request that is never withdrawn.
    #[must_use]
    pub const fn never() -> Self {
        Self(None)
    }

    /// Reports whether the request has been withdrawn and not yet been told so.
    pub fn is_due(&mut self) -> bool {
        let receiver = self.0.as_mut();
        receiver.is_some_and(|receiver| receiver.try_recv().is_ok())
    }

    /// Waits until the request is withdrawn.
    pub async fn received(&mut self) {
        if let Some(receiver) = &mut self.0 {
            let is_withdrawn = receiver.await.is_ok();
            // A channel may not be polled again once it has completed.
            self.0 = None;
            if is_withdrawn {
                return;
            }
        }
        pending::<()>().await;
    }
}

//! Reply handles carried inside messages.

use std::fmt;

use tokio::sync::oneshot;

/// Receives one reply; fails when the other side dropped its [`ReplyTo`] unanswered.
pub type Reply<T> = oneshot::Receiver<T>;

/// Delivers one reply to whoever sent the message; dropping it tells the asker that none comes.
pub struct ReplyTo<T> {
    deliver: Box<dyn FnOnce(T) + Send>,
}

impl<T> fmt::Debug for ReplyTo<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ReplyTo")
    }
}

impl<T: Send + 'static> ReplyTo<T> {
    /// Creates a handle that hands the reply to a closure.
    #[must_use]
    pub fn new(deliver: impl FnOnce(T) + Send + 'static) -> Self {
        Self {
            deliver: Box::new(deliver),
        }
    }

    /// Creates a handle and the receiver that waits for its reply.
    #[must_use]
    pub fn channel() -> (Self, Reply<T>) {
        let (sender, receiver) = oneshot::channel();
        // An asker that has gone away needs no reply.
        (Self::new(move |value| drop(sender.send(value))), receiver)
    }

    /// Delivers the reply.
    pub fn send(self, value: T) {
        (self.deliver)(value);
    }
}

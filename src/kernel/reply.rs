//! Reply handles, carried in messages that expect a reply.

use std::fmt;

use tokio::sync::oneshot;

/// Receives one reply; fails if the [`ReplyTo`] is dropped without a reply.
pub type Reply<T> = oneshot::Receiver<T>;

/// Sends one reply to the sender of a message; dropping it signals that no reply follows.
pub struct ReplyTo<T> {
    deliver: Box<dyn FnOnce(T) + Send>,
}

impl<T> fmt::Debug for ReplyTo<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ReplyTo")
    }
}

impl<T: Send + 'static> ReplyTo<T> {
    /// Creates a handle that passes the reply to a closure.
    #[must_use]
    pub fn new(deliver: impl FnOnce(T) + Send + 'static) -> Self {
        Self {
            deliver: Box::new(deliver),
        }
    }

    /// Creates a handle and the receiver of its reply.
    #[must_use]
    pub fn channel() -> (Self, Reply<T>) {
        let (sender, receiver) = oneshot::channel();
        // The send fails if the receiver was dropped; the reply is not needed then.
        (Self::new(move |value| drop(sender.send(value))), receiver)
    }

    /// Sends the reply.
    pub fn send(self, value: T) {
        (self.deliver)(value);
    }
}

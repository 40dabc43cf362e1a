//! Services: state behind a closure that handles one signal at a time.

use std::fmt;

use super::moment::Moment;
use super::names::{MailboxKey, NameTable};
use super::reply::ReplyTo;

/// What a driver hands to a service.
#[derive(Debug)]
pub enum Signal<M> {
    /// The kernel has started; comes once and first.
    Start,
    /// A message from another service or I/O task.
    Mail(M),
    /// The deadline of the last [`NextStep::WaitUntil`] has come.
    Due,
    /// Asks for the service's state as JSON.
    Dump(ReplyTo<serde_json::Value>),
    /// Asks the service to finish; it answers [`NextStep::Stopped`] now or later.
    Stop,
}

/// What a service wants next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for mail only.
    Wait,
    /// Wait for mail, at most until the deadline.
    WaitUntil(Moment),
    /// The service has ended.
    Stopped,
}

/// One call of a service: the time, the name table, and the messages that the call sends.
#[derive(Debug)]
pub struct Turn<'a, M> {
    /// The present moment.
    pub now: Moment,
    /// The service's own mailbox.
    pub own: MailboxKey,
    /// All mailboxes of the process.
    pub names: &'a NameTable,
    /// Messages to deliver after the call.
    pub outbox: Vec<(MailboxKey, M)>,
}

impl<M> Turn<'_, M> {
    /// Sends a message to the service under the name.
    ///
    /// # Panics
    ///
    /// Panics when no service has the name: the binary was put together wrongly.
    pub fn send(&mut self, name: &str, mail: M) {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        self.outbox.push((key, mail));
    }
}

/// Handles one signal and says what the service waits for next.
pub type Handler<M> = Box<dyn FnMut(&mut Turn<'_, M>, Signal<M>) -> NextStep + Send>;

/// A service: a name and a closure that owns the state.
///
/// ```
/// use bulrushslip::kernel::{NextStep, Service, Signal};
/// let mut count = 0_u32;
/// let service = Service::new("counter", move |_turn, signal: Signal<u32>| match signal {
///     Signal::Mail(step) => {
///         count += step;
///         NextStep::Wait
///     }
///     Signal::Stop => NextStep::Stopped,
///     _ => NextStep::Wait,
/// });
/// assert_eq!(service.name, "counter");
/// ```
pub struct Service<M> {
    /// Name under which others find the service.
    pub name: &'static str,
    /// The behaviour, which owns the state.
    pub handle: Handler<M>,
}

impl<M> fmt::Debug for Service<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl<M> Service<M> {
    /// Creates a service from its name and its handler.
    #[must_use]
    pub fn new(
        name: &'static str,
        handle: impl FnMut(&mut Turn<'_, M>, Signal<M>) -> NextStep + Send + 'static,
    ) -> Self {
        Self {
            name,
            handle: Box::new(handle),
        }
    }
}

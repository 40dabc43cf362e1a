//! Services: named closures that own their state and handle one signal at a time.

use std::fmt;

use super::moment::Moment;
use super::names::{MailboxKey, NameTable};
use super::reply::ReplyTo;

/// Input of a service or I/O task: a message or an event of the kernel.
#[derive(Debug)]
pub enum Signal<M> {
    /// The kernel has started; delivered once, before any other signal.
    Start,
    /// A message of a service or I/O task.
    Mail(M),
    /// The deadline of the last [`NextStep::WaitUntil`] is reached.
    Due,
    /// Asks for the state of the service as JSON, for a dump.
    Dump(ReplyTo<serde_json::Value>),
    /// Asks the service to stop; it returns [`NextStep::Stopped`] now or from a later call.
    Stop,
}

/// What the kernel does after a handler call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the next message, without a deadline.
    Wait,
    /// Wait for the next message, at most until the deadline.
    WaitUntil(Moment),
    /// End the service.
    Stopped,
}

/// Context of one handler call: the time, the name table, and the messages that the call sends.
#[derive(Debug)]
pub struct Turn<'a, M> {
    /// Time at which the call started.
    pub now: Moment,
    /// Mailbox of the service that is called.
    pub own: MailboxKey,
    /// All mailboxes of the process.
    pub names: &'a NameTable,
    /// Messages that the kernel delivers after the call.
    pub outbox: Vec<(MailboxKey, M)>,
}

impl<M> Turn<'_, M> {
    /// Sends a message to the service or I/O task with the given name, after the call.
    ///
    /// # Panics
    ///
    /// Panics if the name is not registered, which is a programming error.
    pub fn send(&mut self, name: &str, mail: M) {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        self.outbox.push((key, mail));
    }
}

/// Closure that handles one signal and returns what the kernel does next.
pub type Handler<M> = Box<dyn FnMut(&mut Turn<'_, M>, Signal<M>) -> NextStep + Send>;

/// A service: a name and a handler that owns the state.
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
    /// Name under which the mailbox of the service is registered.
    pub name: &'static str,
    /// Closure that handles the signals and owns the state.
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
    /// Creates a service from a name and a handler.
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

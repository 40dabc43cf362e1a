//! Tokio driver: runs each service and each I/O task as a tokio task of its own.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout};

use super::moment::{Clock, Moment};
use super::names::{MailboxKey, NameTable};
use super::reply::ReplyTo;
use super::service::{NextStep, Service, Signal, Turn};

/// Number of signals that one mailbox holds; further ones are refused.
const MAILBOX_CAPACITY: usize = 16_384;

/// Time for which a dump waits for the state of one service or I/O task.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of sending a message; an undelivered message is dropped with its reply handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message is queued in the mailbox.
    Delivered,
    /// The mailbox has no room for the message.
    Full,
    /// The service or I/O task that owns the mailbox has ended.
    Closed,
}

/// Sends messages to the services and I/O tasks of the process by name; cheap to clone.
pub struct Directory<M> {
    names: Arc<NameTable>,
    senders: Arc<[mpsc::Sender<Signal<M>>]>,
    clock: Clock,
}

impl<M> Clone for Directory<M> {
    fn clone(&self) -> Self {
        Self {
            names: Arc::clone(&self.names),
            senders: Arc::clone(&self.senders),
            clock: self.clock,
        }
    }
}

impl<M> fmt::Debug for Directory<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("names", &self.names)
            .finish_non_exhaustive()
    }
}

impl<M: Send + 'static> Directory<M> {
    /// Returns the key of the mailbox with the given name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<MailboxKey> {
        self.names.find(name)
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the clock of the process.
    #[must_use]
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Queues a signal in a mailbox without waiting for room.
    pub fn post(&self, key: MailboxKey, signal: Signal<M>) -> SendOutcome {
        match self.senders[key.index()].try_send(signal) {
            Ok(()) => SendOutcome::Delivered,
            Err(mpsc::error::TrySendError::Full(_)) => SendOutcome::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => SendOutcome::Closed,
        }
    }

    /// Sends a message to the service or I/O task with the given name, without waiting for room.
    ///
    /// # Panics
    ///
    /// Panics if the name is not registered, which is a programming error.
    pub fn send(&self, name: &str, mail: M) -> SendOutcome {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        self.post(key, Signal::Mail(mail))
    }

    /// Sends a message and waits for room in the mailbox; only I/O tasks may wait.
    ///
    /// # Panics
    ///
    /// Panics if the name is not registered, which is a programming error.
    pub async fn send_waiting(&self, name: &str, mail: M) -> SendOutcome {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        match self.senders[key.index()].send(Signal::Mail(mail)).await {
            Ok(()) => SendOutcome::Delivered,
            Err(_) => SendOutcome::Closed,
        }
    }

    /// Sends a message and waits for its reply; returns `None` if the mailbox is full or closed or
    /// the reply handle is dropped.
    pub async fn ask<T: Send + 'static>(
        &self,
        name: &str,
        message: impl FnOnce(ReplyTo<T>) -> M,
    ) -> Option<T> {
        let (reply_to, reply) = ReplyTo::channel();
        match self.send(name, message(reply_to)) {
            SendOutcome::Delivered => reply.await.ok(),
            SendOutcome::Full | SendOutcome::Closed => None,
        }
    }

    /// Returns the state of each service and I/O task by name; null if it does not reply in time.
    pub async fn dump(&self) -> serde_json::Value {
        let mut states = serde_json::Map::new();
        for (key, mailbox) in self.names.iter() {
            let (reply_to, reply) = ReplyTo::channel();
            self.post(key, Signal::Dump(reply_to));
            let state = timeout(DUMP_TIMEOUT, reply).await.ok().and_then(Result::ok);
            states.insert(
                mailbox.name.to_owned(),
                state.unwrap_or(serde_json::Value::Null),
            );
        }
        serde_json::Value::Object(states)
    }
}

/// Receiving end of the mailbox of an I/O task or a service.
#[derive(Debug)]
pub struct Inbox<M> {
    receiver: mpsc::Receiver<Signal<M>>,
}

impl<M> Inbox<M> {
    /// Waits for the next signal; returns `None` once all senders are dropped.
    pub async fn receive(&mut self) -> Option<Signal<M>> {
        self.receiver.recv().await
    }
}

type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Closure that runs an I/O task until the task ends.
pub type TaskRunner<M> = Box<dyn FnOnce(Inbox<M>, Directory<M>) -> TaskFuture + Send>;

/// A tokio task with a mailbox that owns sockets; unlike a service it can wait for I/O.
pub struct IoTask<M> {
    /// Name under which the mailbox of the task is registered.
    pub name: &'static str,
    /// Closure that runs the task and owns its sockets and state.
    pub run: TaskRunner<M>,
}

impl<M> fmt::Debug for IoTask<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IoTask")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl<M> IoTask<M> {
    /// Creates an I/O task from a name and an async closure.
    #[must_use]
    pub fn new<F: Future<Output = ()> + Send + 'static>(
        name: &'static str,
        run: impl FnOnce(Inbox<M>, Directory<M>) -> F + Send + 'static,
    ) -> Self {
        Self {
            name,
            run: Box::new(move |inbox, directory| Box::pin(run(inbox, directory))),
        }
    }
}

enum Component<M> {
    Service(Service<M>),
    Task(IoTask<M>),
}

/// Collects the services and I/O tasks of a process and starts them in registration order.
pub struct TokioKernel<M> {
    names: NameTable,
    components: Vec<Component<M>>,
}

impl<M> fmt::Debug for TokioKernel<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokioKernel")
            .field("names", &self.names)
            .finish_non_exhaustive()
    }
}

impl<M> Default for TokioKernel<M> {
    fn default() -> Self {
        Self {
            names: NameTable::default(),
            components: Vec::new(),
        }
    }
}

impl<M: Send + 'static> TokioKernel<M> {
    /// Creates a kernel without services and I/O tasks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service and returns the key of its mailbox.
    pub fn add(&mut self, service: Service<M>) -> MailboxKey {
        let key = self.names.register(service.name);
        self.components.push(Component::Service(service));
        key
    }

    /// Adds an I/O task and returns the key of its mailbox.
    pub fn add_task(&mut self, task: IoTask<M>) -> MailboxKey {
        let key = self.names.register(task.name);
        self.components.push(Component::Task(task));
        key
    }

    /// Starts all services and I/O tasks; must be called inside a tokio runtime.
    #[must_use]
    pub fn launch(self, clock: Clock) -> RunningKernel<M> {
        let (senders, receivers): (Vec<_>, Vec<_>) = self
            .components
            .iter()
            .map(|_| mpsc::channel(MAILBOX_CAPACITY))
            .unzip();
        let directory = Directory {
            names: Arc::new(self.names),
            senders: senders.into(),
            clock,
        };
        let keys: Vec<MailboxKey> = directory.names.iter().map(|(key, _)| key).collect();
        let mut handles = Vec::new();
        for ((component, receiver), key) in self.components.into_iter().zip(receivers).zip(keys) {
            directory.post(key, Signal::Start);
            let inbox = Inbox { receiver };
            let handle = match component {
                Component::Service(service) => {
                    tokio::spawn(run_service(service, key, inbox, directory.clone()))
                }
                Component::Task(task) => tokio::spawn((task.run)(inbox, directory.clone())),
            };
            handles.push((key, handle));
        }
        RunningKernel { directory, handles }
    }
}

/// The running services and I/O tasks of a process.
#[derive(Debug)]
pub struct RunningKernel<M> {
    /// Sends messages to the services and I/O tasks.
    pub directory: Directory<M>,
    handles: Vec<(MailboxKey, JoinHandle<()>)>,
}

impl<M: Send + 'static> RunningKernel<M> {
    /// Stops the services and I/O tasks one after another, in reverse registration order; those
    /// that have not ended by the deadline are aborted.
    pub async fn stop(self, deadline: Moment) {
        for (key, mut handle) in self.handles.into_iter().rev() {
            self.directory.post(key, Signal::Stop);
            let remaining = deadline.remaining(self.directory.now());
            if timeout(remaining, &mut handle).await.is_err() {
                handle.abort();
            }
        }
    }
}

async fn run_service<M: Send + 'static>(
    mut service: Service<M>,
    own: MailboxKey,
    mut inbox: Inbox<M>,
    directory: Directory<M>,
) {
    let mut deadline = Moment::NEVER;
    let mut outbox = Vec::new();
    loop {
        let signal = tokio::select! {
            biased;
            signal = inbox.receive() => signal,
            () = sleep_until(directory.clock.instant(deadline).into()) => Some(Signal::Due),
        };
        let Some(signal) = signal else { return };
        let mut turn = Turn {
            now: directory.now(),
            own,
            names: &directory.names,
            outbox,
        };
        let step = (service.handle)(&mut turn, signal);
        outbox = turn.outbox;
        for (key, mail) in outbox.drain(..) {
            directory.post(key, Signal::Mail(mail));
        }
        match step {
            NextStep::Wait => deadline = Moment::NEVER,
            NextStep::WaitUntil(next) => deadline = next,
            NextStep::Stopped => return,
        }
    }
}

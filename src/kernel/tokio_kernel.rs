//! Tokio driver: one task for each service and each I/O task.

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

/// Signals that one mailbox holds before further mail is refused.
const MAILBOX_CAPACITY: usize = 16_384;

/// How long a dump waits for one service.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);

/// What became of a message; a refused message is dropped with its reply handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message is in the mailbox.
    Delivered,
    /// The mailbox is full.
    Full,
    /// The owner has ended.
    Gone,
}

/// Sends mail to the services of the process; cheap to clone.
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
    /// Returns the mailbox registered under the name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<MailboxKey> {
        self.names.find(name)
    }

    /// Returns the present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the clock of the process.
    #[must_use]
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Puts a signal into a mailbox without waiting.
    pub fn post(&self, key: MailboxKey, signal: Signal<M>) -> SendOutcome {
        match self.senders[key.index()].try_send(signal) {
            Ok(()) => SendOutcome::Delivered,
            Err(mpsc::error::TrySendError::Full(_)) => SendOutcome::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => SendOutcome::Gone,
        }
    }

    /// Sends a message to the service under the name.
    ///
    /// # Panics
    ///
    /// Panics when no service has the name: the binary was put together wrongly.
    pub fn send(&self, name: &str, mail: M) -> SendOutcome {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        self.post(key, Signal::Mail(mail))
    }

    /// Sends a message, waiting for room in the mailbox; for I/O tasks, which may wait.
    ///
    /// # Panics
    ///
    /// Panics when no service has the name: the binary was put together wrongly.
    pub async fn deliver(&self, name: &str, mail: M) -> SendOutcome {
        let Some(key) = self.names.find(name) else {
            panic!("no service is registered under the name {name}");
        };
        match self.senders[key.index()].send(Signal::Mail(mail)).await {
            Ok(()) => SendOutcome::Delivered,
            Err(_) => SendOutcome::Gone,
        }
    }

    /// Sends a question and waits for its reply; `None` when the service is gone or overloaded.
    pub async fn ask<T: Send + 'static>(
        &self,
        name: &str,
        question: impl FnOnce(ReplyTo<T>) -> M,
    ) -> Option<T> {
        let (reply_to, reply) = ReplyTo::channel();
        match self.send(name, question(reply_to)) {
            SendOutcome::Delivered => reply.await.ok(),
            SendOutcome::Full | SendOutcome::Gone => None,
        }
    }

    /// Asks every service for its state; a service that does not answer in time is shown as null.
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

/// The receiving end of an I/O task's mailbox.
#[derive(Debug)]
pub struct Inbox<M> {
    receiver: mpsc::Receiver<Signal<M>>,
}

impl<M> Inbox<M> {
    /// Waits for the next signal; `None` once the kernel is gone.
    pub async fn receive(&mut self) -> Option<Signal<M>> {
        self.receiver.recv().await
    }
}

type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs an I/O task until it has ended.
pub type TaskRunner<M> = Box<dyn FnOnce(Inbox<M>, Directory<M>) -> TaskFuture + Send>;

/// A task that owns sockets; it has a mailbox like a service but runs only on tokio.
pub struct IoTask<M> {
    /// Name under which others find the task.
    pub name: &'static str,
    /// The behaviour, which owns sockets and state.
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
    /// Creates an I/O task from its name and an async closure.
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

enum Part<M> {
    Service(Service<M>),
    Task(IoTask<M>),
}

/// Collects the parts of a process and starts them in the order of their registration.
pub struct TokioKernel<M> {
    names: NameTable,
    parts: Vec<Part<M>>,
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
            parts: Vec::new(),
        }
    }
}

impl<M: Send + 'static> TokioKernel<M> {
    /// Creates a kernel without parts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service.
    pub fn add(&mut self, service: Service<M>) -> MailboxKey {
        let key = self.names.register(service.name);
        self.parts.push(Part::Service(service));
        key
    }

    /// Adds an I/O task.
    pub fn add_task(&mut self, task: IoTask<M>) -> MailboxKey {
        let key = self.names.register(task.name);
        self.parts.push(Part::Task(task));
        key
    }

    /// Starts all parts; must be called inside a tokio runtime.
    #[must_use]
    pub fn launch(self, clock: Clock) -> RunningKernel<M> {
        let (senders, receivers): (Vec<_>, Vec<_>) = self
            .parts
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
        for ((part, receiver), key) in self.parts.into_iter().zip(receivers).zip(keys) {
            directory.post(key, Signal::Start);
            let inbox = Inbox { receiver };
            let handle = match part {
                Part::Service(service) => {
                    tokio::spawn(run_service(service, key, inbox, directory.clone()))
                }
                Part::Task(task) => tokio::spawn((task.run)(inbox, directory.clone())),
            };
            handles.push((key, handle));
        }
        RunningKernel { directory, handles }
    }
}

/// The running parts of a process.
#[derive(Debug)]
pub struct RunningKernel<M> {
    /// Sends mail to the parts.
    pub directory: Directory<M>,
    handles: Vec<(MailboxKey, JoinHandle<()>)>,
}

impl<M: Send + 'static> RunningKernel<M> {
    /// Stops the parts in the reverse order of their registration, each at most until the deadline.
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

//! I/O task `engine` of a sidecar: one child task for each running ticket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::{AbortHandle, Id, JoinSet};

use super::engine_notice::{call_reported, open_reported};
use super::engine_requests::{cancel_request, resume_request};
use super::engine_stream::{EngineStream, StreamOrigin};
use crate::decide::ids::{Repeatability, Ticket};
use crate::decide::ledger::TicketKey;
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::services::common::mail::{EngineMail, LedgerMail, Mail};
use crate::wire::rpc::AttachVerdict;

/// Timeout of a cancellation or a lookup at the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Kind of the upstream of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineKind {
    /// Model engine: streams events; resumes and cancels requests by id.
    Model,
    /// Plain service: one HTTP exchange for each request.
    Plain,
}

/// Address and kind of the upstream.
#[derive(Debug, Clone, Copy)]
pub struct EngineTarget {
    /// IP address and port of the upstream.
    pub address: SocketAddr,
    /// Kind of the upstream.
    pub kind: EngineKind,
}

/// Time limits of a response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseLimits {
    /// Time without a new event after which a model engine counts as lost, though it sends bytes.
    pub progress: Duration,
    /// Time after which a response that still goes on is broken off.
    pub total: Duration,
}

impl Default for ResponseLimits {
    fn default() -> Self {
        Self {
            progress: Duration::from_mins(1),
            total: Duration::from_mins(30),
        }
    }
}

/// Creates the I/O task `engine` for an upstream.
#[must_use]
pub fn engine_task(target: EngineTarget, limits: ResponseLimits) -> IoTask<Mail> {
    IoTask::new("engine", move |inbox, directory| {
        run(target, limits, inbox, directory)
    })
}

/// Child tasks of the running tickets.
struct RunningStreams {
    target: EngineTarget,
    limits: ResponseLimits,
    directory: Directory<Mail>,
    tasks: JoinSet<()>,
    by_key: HashMap<TicketKey, AbortHandle>,
    by_task: HashMap<Id, TicketKey>,
}

async fn run(
    target: EngineTarget,
    limits: ResponseLimits,
    mut inbox: Inbox<Mail>,
    directory: Directory<Mail>,
) {
    let mut streams = RunningStreams {
        target,
        limits,
        directory,
        tasks: JoinSet::new(),
        by_key: HashMap::new(),
        by_task: HashMap::new(),
    };
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Mail(Mail::Engine(mail))) => streams.handle(mail),
                Some(Signal::Dump(reply_to)) => reply_to.send(streams.dump()),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            Some(ended) = streams.tasks.join_next_with_id() => streams.remove(ended),
        }
    }
}

impl RunningStreams {
    fn handle(&mut self, mail: EngineMail) {
        match mail {
            EngineMail::Start(key, call) => {
                let stream = self.new_stream(key, Ticket::from(call.ticket), call.repeatability());
                let task = self.tasks.spawn(stream.run(StreamOrigin::Submit(call)));
                self.insert(key, task);
            }
            EngineMail::Cancel(key, ticket) => {
                if let Some(task) = self.by_key.remove(&key) {
                    task.abort();
                }
                if self.target.kind == EngineKind::Model {
                    let directory = self.directory.clone();
                    let target = self.target;
                    tokio::spawn(async move { cancel(&directory, target, ticket).await });
                }
            }
            EngineMail::Attach(key, ticket, repeatability, reply_to) => {
                let stream = self.new_stream(key, ticket, repeatability);
                let target = self.target;
                let directory = self.directory.clone();
                let task = self.tasks.spawn(async move {
                    let verdict = look_up(&directory, target, ticket).await;
                    let mail = LedgerMail::LookupResult(key, verdict, reply_to);
                    directory.send_waiting("ledger", Mail::Ledger(mail)).await;
                    if verdict == AttachVerdict::Attached {
                        stream.run(StreamOrigin::Resume).await;
                    }
                });
                self.insert(key, task);
            }
        }
    }

    /// Creates the response stream of a ticket.
    fn new_stream(
        &self,
        key: TicketKey,
        ticket: Ticket,
        repeatability: Repeatability,
    ) -> EngineStream {
        let directory = self.directory.clone();
        EngineStream::new(
            self.target,
            self.limits,
            directory,
            key,
            ticket,
            repeatability,
        )
    }

    /// Records the child task of a ticket.
    fn insert(&mut self, key: TicketKey, task: AbortHandle) {
        self.by_task.insert(task.id(), key);
        self.by_key.insert(key, task);
    }

    /// Removes the entries of a child task that has ended.
    fn remove(&mut self, ended: Result<(Id, ()), tokio::task::JoinError>) {
        let id = match ended {
            Ok((id, ())) => id,
            Err(error) => error.id(),
        };
        if let Some(key) = self.by_task.remove(&id) {
            self.by_key.remove(&key);
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "address": self.target.address.to_string(),
            "streams": self.by_key.len(),
        })
    }
}

/// Cancels a ticket at a model engine.
async fn cancel(directory: &Directory<Mail>, target: EngineTarget, ticket: Ticket) {
    let Ok(request) = cancel_request(target, ticket) else {
        return;
    };
    // If the cancellation is lost, the engine only finishes a response that nobody reads.
    drop(call_reported(directory, target.address, request, CALL_TIMEOUT).await);
}

/// Looks up a ticket at the engine after a restart of the sidecar; plain services know none.
async fn look_up(
    directory: &Directory<Mail>,
    target: EngineTarget,
    ticket: Ticket,
) -> AttachVerdict {
    if target.kind == EngineKind::Plain {
        return AttachVerdict::NotFound;
    }
    let Ok(request) = resume_request(target, ticket, 0) else {
        return AttachVerdict::NotFound;
    };
    match open_reported(directory, target.address, request, CALL_TIMEOUT).await {
        Ok(open) if open.response.status().is_success() => AttachVerdict::Attached,
        Ok(_) => AttachVerdict::NotFound,
        Err(_) => AttachVerdict::EngineDown,
    }
}

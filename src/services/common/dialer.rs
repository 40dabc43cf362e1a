//! I/O task `dialer`: keeps one connection to each sidecar, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::mail::{DialOutcome, DialerMail, Mail};
use crate::kernel::{Directory, Inbox, IoTask, ReplyTo, Signal};
use crate::services::common::sidecar_calls::{CALL_TIMEOUT, SidecarCalls};
use crate::wire::rpc::SidecarRpcClient;
use crate::wire::transport;

/// Timeout for opening a connection; the round trip to the farthest sidecar takes a few
/// milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates the I/O task that owns the connections to sidecars.
#[must_use]
pub fn dialer_task() -> IoTask<Mail> {
    IoTask::new("dialer", run)
}

/// Connection to one sidecar.
#[derive(Debug)]
enum SidecarConnection {
    /// Being opened; each waiting caller gets the outcome.
    Dialling(Vec<ReplyTo<DialOutcome>>),
    /// Open, with its number.
    Connected(SidecarRpcClient, u64),
}

/// State of the I/O task `dialer`.
#[derive(Debug, Default)]
struct SidecarConnections {
    connections: HashMap<SocketAddr, SidecarConnection>,
    dials: JoinSet<(SocketAddr, Option<SidecarRpcClient>)>,
    /// Calls for requests that have ended; a stop waits for them.
    closing_calls: JoinSet<()>,
    /// Completed dials, which also number the connections.
    dialled: u64,
}

async fn run(mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut state = SidecarConnections::default();
    let mut stopping = false;
    while !stopping || !state.closing_calls.is_empty() {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Mail(Mail::Dialer(mail))) => state.handle(&directory, mail),
                Some(Signal::Dump(reply_to)) => reply_to.send(state.dump()),
                Some(Signal::Stop) => stopping = true,
                None => return,
                Some(_) => {}
            },
            Some(_ended) = state.closing_calls.join_next() => {}
            Some(Ok((peer, client))) = state.dials.join_next() => state.on_dialled(peer, client),
        }
    }
}

impl SidecarConnections {
    fn handle(&mut self, directory: &Directory<Mail>, mail: DialerMail) {
        match mail {
            DialerMail::Connect(address, reply_to) => match self.connections.get_mut(&address) {
                Some(SidecarConnection::Connected(client, number)) => {
                    reply_to.send(DialOutcome::Connected(client.clone(), *number));
                }
                Some(SidecarConnection::Dialling(replies)) => replies.push(reply_to),
                None => {
                    self.connections
                        .insert(address, SidecarConnection::Dialling(vec![reply_to]));
                    self.dials
                        .spawn(async move { (address, dial(address).await) });
                }
            },
            DialerMail::Abandon(address, ticket, incarnation) => {
                let calls = sidecar_calls(directory, address);
                self.closing_calls.spawn(async move {
                    calls.withdraw(ticket, incarnation, CALL_TIMEOUT).await;
                });
            }
            DialerMail::Acknowledge(address, ticket, incarnation, end_index) => {
                let calls = sidecar_calls(directory, address);
                self.closing_calls.spawn(async move {
                    calls.acknowledge_end(ticket, incarnation, end_index).await;
                });
            }
            DialerMail::Broken(address, number) => {
                let connection = self.connections.get(&address);
                if matches!(
                    connection,
                    Some(SidecarConnection::Connected(_, current)) if *current == number
                ) {
                    self.connections.remove(&address);
                }
            }
        }
    }

    fn on_dialled(&mut self, address: SocketAddr, client: Option<SidecarRpcClient>) {
        self.dialled += 1;
        let number = self.dialled;
        let Some(SidecarConnection::Dialling(replies)) = self.connections.remove(&address) else {
            return;
        };
        let outcome = match client {
            Some(client) => {
                self.connections.insert(
                    address,
                    SidecarConnection::Connected(client.clone(), number),
                );
                DialOutcome::Connected(client, number)
            }
            None => DialOutcome::Unreachable,
        };
        for reply_to in replies {
            reply_to.send(outcome.clone());
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({"links": self.connections.len(), "dialled": self.dialled})
    }
}

fn sidecar_calls(directory: &Directory<Mail>, address: SocketAddr) -> SidecarCalls {
    SidecarCalls {
        directory: directory.clone(),
        address,
    }
}

async fn dial(address: SocketAddr) -> Option<SidecarRpcClient> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(SidecarRpcClient::new(Config::default(), transport::framed(stream)).spawn())
}

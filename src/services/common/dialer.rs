//! I/O task `dialer` of an entry: one connection to each sidecar, dialled on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::mail::{DialOutcome, DialerMail, Mail};
use crate::kernel::{Directory, Inbox, IoTask, ReplyTo, Signal};
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::wire::rpc::SidecarRpcClient;
use crate::wire::transport;

/// Longest time for a dial; the farthest sidecar is a few milliseconds away.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates the I/O task `dialer`.
#[must_use]
pub fn dialer_task() -> IoTask<Mail> {
    IoTask::new("dialer", run)
}

#[derive(Debug)]
enum SidecarLink {
    Dialling(Vec<ReplyTo<DialOutcome>>),
    Connected(SidecarRpcClient, u64),
}

#[derive(Debug, Default)]
struct SidecarLinks {
    links: HashMap<SocketAddr, SidecarLink>,
    dials: JoinSet<(SocketAddr, Option<SidecarRpcClient>)>,
    dialled: u64,
}

async fn run(mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut links = SidecarLinks::default();
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Mail(Mail::Dialer(mail))) => links.handle(&directory, mail),
                Some(Signal::Dump(reply_to)) => reply_to.send(links.dump()),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            Some(Ok((address, client))) = links.dials.join_next() => links.dialled(address, client),
        }
    }
}

impl SidecarLinks {
    fn handle(&mut self, directory: &Directory<Mail>, mail: DialerMail) {
        match mail {
            DialerMail::Connect(address, reply_to) => match self.links.get_mut(&address) {
                Some(SidecarLink::Connected(client, number)) => {
                    reply_to.send(DialOutcome::Connected(client.clone(), *number));
                }
                Some(SidecarLink::Dialling(askers)) => askers.push(reply_to),
                None => {
                    self.links
                        .insert(address, SidecarLink::Dialling(vec![reply_to]));
                    self.dials
                        .spawn(async move { (address, dial(address).await) });
                }
            },
            DialerMail::Abandon(address, ticket, incarnation) => {
                let calls = SidecarCalls {
                    directory: directory.clone(),
                    address,
                };
                tokio::spawn(async move { calls.withdraw(ticket, incarnation).await });
            }
            DialerMail::Broken(address, number) => {
                let link = self.links.get(&address);
                if matches!(link, Some(SidecarLink::Connected(_, current)) if *current == number) {
                    self.links.remove(&address);
                }
            }
        }
    }

    fn dialled(&mut self, address: SocketAddr, client: Option<SidecarRpcClient>) {
        self.dialled += 1;
        let number = self.dialled;
        let Some(SidecarLink::Dialling(askers)) = self.links.remove(&address) else {
            return;
        };
        let outcome = match client {
            Some(client) => {
                self.links
                    .insert(address, SidecarLink::Connected(client.clone(), number));
                DialOutcome::Connected(client, number)
            }
            None => DialOutcome::Unreachable,
        };
        for asker in askers {
            asker.send(outcome.clone());
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({"links": self.links.len(), "dialled": self.dialled})
    }
}

async fn dial(address: SocketAddr) -> Option<SidecarRpcClient> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(SidecarRpcClient::new(Config::default(), transport::framed(stream)).spawn())
}

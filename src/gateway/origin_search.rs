//! I/O task `origin-search`: asks other instances for the origins of streams that are taken up here.

use std::collections::HashMap;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::peer_connection::find_origins;
use crate::decide::stream_origins::StreamKey;
use crate::kernel::Arena;
use crate::kernel::{Directory, Inbox, IoTask, Key, Moment, ReplyTo, Signal};
use crate::wire::origin_news::{WireStreamKey, WireStreamOrigin};
use crate::wire::peer_rpc::PeerRpcClient;

/// Name under which the task is registered.
pub const NAME: &str = "origin-search";

/// Maximum number of streams in one call.
const MAX_STREAMS: usize = 256;

/// Time for which the streams of a call are collected.
const COLLECT_TIME: Duration = Duration::from_millis(5);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Creates the I/O task `origin-search`.
#[must_use]
pub fn origin_search_task() -> IoTask<GatewayMail> {
    IoTask::new(NAME, move |inbox, directory| {
        let search = OriginSearch {
            directory,
            clients: HashMap::new(),
            calls: JoinSet::new(),
            waiting: Vec::new(),
            due: Moment::NEVER,
            rounds: Arena::default(),
        };
        search.run(inbox)
    })
}

/// Request that waits for the origin of a stream.
#[derive(Debug)]
struct OriginWaiter {
    stream: StreamKey,
    reply_to: ReplyTo<()>,
}

/// Calls to several instances for the same streams.
#[derive(Debug)]
struct SearchRound {
    /// Requests for whose streams no instance has responded with an origin.
    waiters: Vec<OriginWaiter>,
    open_calls: usize,
}

/// Result of one call.
#[derive(Debug)]
struct CallEnd {
    round: Key<SearchRound>,
    address: SocketAddr,
    /// Connection and recorded origins; `None` if the call failed.
    found: Option<(PeerRpcClient, Vec<WireStreamOrigin>)>,
}

/// State of the I/O task.
#[derive(Debug)]
struct OriginSearch {
    directory: Directory<GatewayMail>,
    /// Connections, each of which carries any number of calls.
    clients: HashMap<SocketAddr, PeerRpcClient>,
    calls: JoinSet<CallEnd>,
    /// Requests whose streams the next round asks for.
    waiting: Vec<OriginWaiter>,
    /// Time of the next round; `NEVER` while no request waits.
    due: Moment,
    rounds: Arena<SearchRound>,
}

impl OriginSearch {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>) {
        loop {
            tokio::select! {
                Some(ended) = self.calls.join_next() => {
                    if let Ok(end) = ended {
                        self.finish_call(end);
                    }
                }
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::SearchOrigin(stream, reply_to))) => {
                        self.waiting.push(OriginWaiter { stream, reply_to });
                        self.due = self.due.min(self.directory.now().after(COLLECT_TIME));
                    }
                    Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::json!({
                        "waiting": self.waiting.len(),
                        "calls": self.calls.len(),
                        "connections": self.clients.len(),
                    })),
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
                () = sleep_until(self.directory.clock().instant(self.due).into()), if self.due != Moment::NEVER => {
                    self.begin_round().await;
                }
            }
        }
    }

    /// Asks all sources for the streams that wait.
    async fn begin_round(&mut self) {
        let sources = dispatch::ask(&self.directory, DispatchMail::OriginSources).await;
        let sources = sources.unwrap_or_default();
        self.clients.retain(|address, _| sources.contains(address));
        let rest = self.waiting.split_off(self.waiting.len().min(MAX_STREAMS));
        let waiters = mem::replace(&mut self.waiting, rest);
        if self.waiting.is_empty() {
            self.due = Moment::NEVER;
        }
        if sources.is_empty() {
            reply_to_all(waiters);
            return;
        }
        let streams = waiters.iter().map(|waiter| waiter.stream.into());
        let streams: Vec<WireStreamKey> = streams.collect();
        let round = self.rounds.insert(SearchRound {
            waiters,
            open_calls: sources.len(),
        });
        for address in sources {
            let call = find_origins(
                self.clients.get(&address).cloned(),
                address,
                streams.clone(),
            );
            self.calls.spawn(async move {
                let found = timeout(CALL_TIMEOUT, call).await;
                CallEnd {
                    round,
                    address,
                    found: found.ok().and_then(Result::ok),
                }
            });
        }
    }

    /// Forwards what an instance has recorded, and replies to the requests that waited for it. The last call
    /// of a round ends the wait for all.
    fn finish_call(&mut self, end: CallEnd) {
        let Some(round) = self.rounds.get_mut(end.round) else {
            return;
        };
        round.open_calls -= 1;
        let mut answered = Vec::new();
        if let Some((client, found)) = end.found {
            self.clients.insert(end.address, client);
            let is_found = |waiter: &mut OriginWaiter| {
                let stream = WireStreamKey::from(waiter.stream);
                found.iter().any(|origin| origin.stream() == stream)
            };
            answered.extend(round.waiters.extract_if(.., is_found));
            if !found.is_empty() {
                dispatch::tell(&self.directory, DispatchMail::OriginNews(found));
            }
        } else {
            self.clients.remove(&end.address);
        }
        if round.open_calls == 0
            && let Some(round) = self.rounds.remove(end.round)
        {
            answered.extend(round.waiters);
        }
        reply_to_all(answered);
    }
}

fn reply_to_all(waiters: Vec<OriginWaiter>) {
    for waiter in waiters {
        waiter.reply_to.send(());
    }
}

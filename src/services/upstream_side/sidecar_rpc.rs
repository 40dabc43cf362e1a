//! I/O task `rpc` of a sidecar: server of the calls from entries and other sidecars.

use std::time::Duration;

use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::claims::CLAIMS;
use crate::decide::claims::{ClaimRecord, ClaimVerdict};
use crate::decide::ids::{Incarnation, Repeatability, Ticket};
use crate::decide::outcome::RefusalReason;
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::{Directory, Inbox, IoTask, Moment, ReplyTo, Signal};
use crate::services::common::mail::{ClaimsMail, ConfigMail, LedgerMail, Mail};
use crate::services::configuration::config::CONFIG;
use crate::wire::claim_rpc::{ClaimCall, ClaimReply};
use crate::wire::config_page::{ConfigPage, ConfigSinceCall};
use crate::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    SidecarRpc, SubmitCall, SubmitReply, SubmitVerdict, WireTicket, WithdrawReply, WithdrawVerdict,
};
use crate::wire::suspect_rpc::WireSuspectUpdate;
use crate::wire::transport;

/// Maximum number of open connections; further ones wait in the listen queue.
const MAX_CONNECTIONS: usize = 4_096;

/// Maximum long-poll wait of a call for configuration.
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(5);

/// Time that a stopping sidecar keeps serving after the ledger has stopped, so that submissions that
/// follow an earlier quote are refused instead of losing their connection.
const STOP_LINGER: Duration = Duration::from_millis(1_500);

/// Creates the I/O task `rpc`, which serves connections of the listener.
#[must_use]
pub fn rpc_task(listener: TcpListener) -> IoTask<Mail> {
    IoTask::new("rpc", move |inbox, directory| {
        run(listener, inbox, directory)
    })
}

async fn run(listener: TcpListener, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut connections = JoinSet::new();
    let mut stop_at = Moment::NEVER;
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                if let Ok((stream, _peer)) = accepted {
                    connections.spawn(serve(stream, directory.clone()));
                }
            }
            Some(_ended) = connections.join_next() => {}
            () = tokio::time::sleep_until(directory.clock().instant(stop_at).into()) => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"connections": connections.len()}));
                }
                Some(Signal::Stop) => stop_at = directory.now().after(STOP_LINGER),
                None => return,
                Some(_) => {}
            },
        }
    }
}

/// Serves the calls on one connection.
async fn serve(stream: TcpStream, directory: Directory<Mail>) {
    let channel = BaseChannel::with_defaults(transport::framed(stream));
    let calls = CallHandler { directory };
    transport::run_calls(channel.execute(calls.serve())).await;
}

/// Forwards each call to the service concerned and returns its reply.
#[derive(Debug, Clone)]
struct CallHandler {
    directory: Directory<Mail>,
}

impl CallHandler {
    /// Sends a request to the service `ledger`; `None` if the process stops before the reply.
    async fn ask<T: Send + 'static>(
        &self,
        request: impl FnOnce(ReplyTo<T>) -> LedgerMail,
    ) -> Option<T> {
        self.directory
            .ask("ledger", |reply_to| Mail::Ledger(request(reply_to)))
            .await
    }
}

impl SidecarRpc for CallHandler {
    async fn quote(self, _: Context, call: QuoteCall) -> QuoteReply {
        let reply = self.ask(|reply_to| LedgerMail::Quote(call, reply_to)).await;
        reply.unwrap_or_else(|| QuoteReply {
            head: ReplyHead::default(),
            open: false,
            wait_us: u32::MAX,
            missing_pieces: u32::MAX,
            piece_us: 0,
        })
    }

    async fn submit(self, _: Context, call: SubmitCall) -> SubmitReply {
        let reply = self
            .ask(|reply_to| LedgerMail::Submit(call, reply_to))
            .await;
        // Without a reply, the ledger has not accepted the submission.
        reply.unwrap_or_else(|| SubmitReply {
            head: ReplyHead::default(),
            verdict: SubmitVerdict::NotRun {
                reason: RefusalReason::Leaving.into(),
                retry_after_ms: 0,
            },
        })
    }

    async fn read(self, _: Context, call: ReadCall) -> ReadReply {
        let reply = self.ask(|reply_to| LedgerMail::Read(call, reply_to)).await;
        reply.unwrap_or_else(|| ReadReply {
            head: ReplyHead::default(),
            from_index: call.from_index,
            verdict: ReadVerdict::Items {
                items: Vec::new(),
                end: None,
            },
        })
    }

    async fn withdraw(self, _: Context, ticket: WireTicket, incarnation: u64) -> WithdrawReply {
        let incarnation = Incarnation(incarnation);
        let ticket = Ticket::from(ticket);
        let reply = self
            .ask(|reply_to| LedgerMail::Withdraw(ticket, incarnation, reply_to))
            .await;
        reply.unwrap_or_else(|| WithdrawReply {
            head: ReplyHead::default(),
            verdict: WithdrawVerdict::Forgotten,
        })
    }

    async fn suspect(self, _: Context, updates: Vec<WireSuspectUpdate>) {
        let updates = updates.into_iter().map(SuspectUpdate::from).collect();
        let applied = self.ask(|reply_to| LedgerMail::Suspects(updates, reply_to));
        // There is no reply if this sidecar stops; it needs no updates then.
        let _applied = applied.await;
    }

    async fn claim(self, _: Context, call: ClaimCall) -> ClaimReply {
        let Ok(record) = ClaimRecord::try_from(call.claim) else {
            return ClaimReply::Unavailable;
        };
        let budget = Duration::from_micros(call.budget_us);
        let deadline = self.directory.now().after(budget);
        let request = |reply_to| {
            Mail::Claims(ClaimsMail::Claim {
                record,
                deadline,
                reply_to,
            })
        };
        let verdict = self.directory.ask(CLAIMS, request).await;
        verdict.unwrap_or(ClaimVerdict::Unavailable).into()
    }

    async fn attach(self, _: Context, ticket: WireTicket, idempotent: bool) -> AttachReply {
        let ticket = Ticket::from(ticket);
        let repeatability = if idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::NonIdempotent
        };
        let reply = self
            .ask(|reply_to| LedgerMail::Attach(ticket, repeatability, reply_to))
            .await;
        reply.unwrap_or_else(|| AttachReply {
            head: ReplyHead::default(),
            verdict: AttachVerdict::EngineDown,
        })
    }

    async fn config_since(self, _: Context, call: ConfigSinceCall) -> ConfigPage {
        let wait = Duration::from_micros(call.wait_us).min(MAX_CONFIG_WAIT);
        let from = call.from();
        let until = self.directory.now().after(wait);
        let request = |reply_to| {
            Mail::Config(ConfigMail::Since {
                from,
                until,
                reply_to,
            })
        };
        self.directory
            .ask(CONFIG, request)
            .await
            .unwrap_or_default()
    }
}

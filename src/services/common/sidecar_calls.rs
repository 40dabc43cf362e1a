//! Calls from an entry to sidecars, each with a deadline, and what they mean for an attempt.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::decide::claims::{ClaimRecord, ClaimVerdict};
use crate::decide::ids::{Incarnation, Repeatability, Ticket};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::propagation::PeerOffset;
use crate::decide::request_step::RequestEvent;
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::Directory;
use crate::services::common::mail::{ConfigMail, DialOutcome, DialerMail, Mail};
use crate::wire::claim_rpc::ClaimCall;
use crate::wire::config_page::{ConfigPage, ConfigSinceCall};
use crate::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    SidecarRpcClient, StreamItem, SubmitCall, SubmitReply, SubmitVerdict, WithdrawReply,
    WithdrawVerdict,
};
use crate::wire::suspect_rpc::WireSuspectUpdate;

/// Longest time for a call that the sidecar answers at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unanswered quote shows that its connection is dead.
const QUOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that a sidecar may hold back a read without items.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Longest time for a read, its wait included; a silent connection is noticed after that.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond its deadline that a call is waited for; the client itself ends it before.
const CALL_SLACK: Duration = Duration::from_millis(100);

/// Longest time for an attachment, the lookup at the engine included.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What a read brought.
#[derive(Debug)]
pub struct ReadOutcome {
    /// What it means for the attempt.
    pub event: RequestEvent,
    /// The items that the event counts.
    pub items: Vec<StreamItem>,
}

/// A sidecar as seen by one request.
#[derive(Debug, Clone)]
pub struct SidecarCalls {
    /// Mailboxes of the entry.
    pub directory: Directory<Mail>,
    /// Address of the sidecar.
    pub address: SocketAddr,
}

struct OpenLink {
    client: SidecarRpcClient,
    number: u64,
}

impl SidecarCalls {
    /// Asks for a quote, on a task of its own.
    ///
    /// An asker that no longer waits leaves the task running: a late answer still shows that the
    /// connection works, and a missing one that it has gone silent.
    #[must_use]
    pub fn start_quote(&self, call: QuoteCall) -> JoinHandle<Option<QuoteReply>> {
        let calls = self.clone();
        tokio::spawn(async move {
            let link = calls.connect().await?;
            let reply = link.client.quote(deadline(QUOTE_TIMEOUT), call);
            let reply = answered(QUOTE_TIMEOUT, reply).await;
            calls.check(&link, reply, |reply| reply.head)
        })
    }

    /// Submits a request.
    pub async fn submit(&self, call: SubmitCall) -> RequestEvent {
        let Some(link) = self.connect().await else {
            return RequestEvent::Unsent;
        };
        let reply = link.client.submit(deadline(CALL_TIMEOUT), call);
        let reply = answered(CALL_TIMEOUT, reply).await;
        let Some(reply) = self.check(&link, reply, |reply| reply.head) else {
            return RequestEvent::Lost;
        };
        submit_event(&reply)
    }

    /// Reads from an index.
    pub async fn read(
        &self,
        ticket: Ticket,
        incarnation: Incarnation,
        from_index: u64,
    ) -> ReadOutcome {
        let event = |event| ReadOutcome {
            event,
            items: Vec::new(),
        };
        let Some(link) = self.connect().await else {
            return event(RequestEvent::Unsent);
        };
        let wait_us = u64::try_from(READ_WAIT.as_micros()).unwrap_or(0);
        let call = ReadCall {
            ticket: ticket.into(),
            incarnation: incarnation.0,
            from_index,
            wait_us,
        };
        let reply = link.client.read(deadline(READ_TIMEOUT), call);
        let reply = answered(READ_TIMEOUT, reply).await;
        let Some(reply) = self.check(&link, reply, |reply| reply.head) else {
            return event(RequestEvent::Lost);
        };
        read_outcome(reply)
    }

    /// Withdraws a ticket.
    pub async fn withdraw(&self, ticket: Ticket, incarnation: Incarnation) -> RequestEvent {
        let Some(link) = self.connect().await else {
            return RequestEvent::Unsent;
        };
        let reply = link
            .client
            .withdraw(deadline(CALL_TIMEOUT), ticket.into(), incarnation.0);
        let reply = answered(CALL_TIMEOUT, reply).await;
        let Some(reply) = self.check(&link, reply, |reply| reply.head) else {
            return RequestEvent::Lost;
        };
        withdraw_event(&reply)
    }

    /// Tells another sidecar about suspects; `false` when it has not answered in time.
    pub async fn suspect(&self, news: &[SuspectUpdate], limit: Duration) -> bool {
        let news = news.iter().map(WireSuspectUpdate::from).collect();
        let told = async {
            let link = self.connect().await?;
            link.client.suspect(deadline(limit), news).await.ok()
        };
        matches!(tokio::time::timeout(limit, told).await, Ok(Some(())))
    }

    /// Claims or releases an idempotency key; `None` when no verdict came within the limit.
    pub async fn claim(&self, record: &ClaimRecord, limit: Duration) -> Option<ClaimVerdict> {
        let call = ClaimCall {
            claim: record.into(),
            budget_us: u64::try_from(limit.as_micros()).unwrap_or(u64::MAX),
        };
        let asked = async {
            let link = self.connect().await?;
            let reply = link.client.claim(deadline(limit), call).await;
            reply.ok().map(ClaimVerdict::from)
        };
        timeout(limit, asked).await.ok()?
    }

    /// Looks a ticket up at the engine.
    pub async fn attach(&self, ticket: Ticket, repeatability: Repeatability) -> RequestEvent {
        let Some(link) = self.connect().await else {
            return RequestEvent::Unsent;
        };
        let idempotent = repeatability == Repeatability::Idempotent;
        let call = link
            .client
            .attach(deadline(ATTACH_TIMEOUT), ticket.into(), idempotent);
        let reply = answered(ATTACH_TIMEOUT, call).await;
        let Some(reply) = self.check(&link, reply, |reply| reply.head) else {
            return RequestEvent::Lost;
        };
        attach_event(&reply)
    }

    /// Fetches configuration; `None` when no answer came within the limit.
    pub async fn config_since(&self, call: ConfigSinceCall, limit: Duration) -> Option<ConfigPage> {
        let link = self.connect().await?;
        let reply = link.client.config_since(deadline(limit), call);
        let reply = answered(limit, reply).await;
        self.check(&link, reply, |page| ReplyHead {
            next_offset: page.next_offset,
            ..ReplyHead::default()
        })
    }

    async fn connect(&self) -> Option<OpenLink> {
        let address = self.address;
        let question = |reply_to| Mail::Dialer(DialerMail::Connect(address, reply_to));
        match self.directory.ask("dialer", question).await? {
            DialOutcome::Connected(client, number) => Some(OpenLink { client, number }),
            DialOutcome::Unreachable => None,
        }
    }

    /// Passes on what a reply tells of its sender; an unanswered call retires the connection.
    fn check<T, E>(
        &self,
        link: &OpenLink,
        reply: Result<T, E>,
        head: impl FnOnce(&T) -> ReplyHead,
    ) -> Option<T> {
        let Ok(reply) = reply else {
            let mail = DialerMail::Broken(self.address, link.number);
            self.directory.send("dialer", Mail::Dialer(mail));
            return None;
        };
        let offset = PeerOffset {
            peer: self.address,
            next_offset: head(&reply).next_offset(),
        };
        self.directory
            .send("config", Mail::Config(ConfigMail::Heard(offset)));
        Some(reply)
    }
}

/// Returns what a reply to a submission means for the attempt.
#[must_use]
pub fn submit_event(reply: &SubmitReply) -> RequestEvent {
    match reply.verdict {
        SubmitVerdict::Accepted => RequestEvent::Accepted,
        SubmitVerdict::NotRun { reason, .. } => {
            // A reason from a newer sidecar still means that nothing runs.
            let reason = RefusalReason::try_from(reason).unwrap_or(RefusalReason::Busy);
            RequestEvent::Refused(reason, reply.head.incarnation())
        }
    }
}

/// Returns what a reply to a read means for the attempt, and its items.
#[must_use]
pub fn read_outcome(reply: ReadReply) -> ReadOutcome {
    match reply.verdict {
        ReadVerdict::UnknownTicket => ReadOutcome {
            event: RequestEvent::UnknownTicket(reply.head.incarnation()),
            items: Vec::new(),
        },
        ReadVerdict::Items { items, end } => {
            let end = end.map(|end| StreamEnd::try_from(end).unwrap_or(StreamEnd::Uncertain));
            let event = RequestEvent::Items {
                from_index: reply.from_index,
                count: items.len() as u64,
                end,
            };
            ReadOutcome { event, items }
        }
    }
}

/// Returns what a reply to a withdrawal means for the attempt.
#[must_use]
pub const fn withdraw_event(reply: &WithdrawReply) -> RequestEvent {
    match reply.verdict {
        WithdrawVerdict::NotRun => RequestEvent::WithdrawnUnrun,
        WithdrawVerdict::Running | WithdrawVerdict::Done | WithdrawVerdict::Cancelled => {
            RequestEvent::WithdrawnLate
        }
        WithdrawVerdict::Forgotten => RequestEvent::WithdrawnForgotten,
        WithdrawVerdict::WrongIncarnation => RequestEvent::UnknownTicket(reply.head.incarnation()),
    }
}

/// Returns what a reply to an attachment means for the attempt.
#[must_use]
pub const fn attach_event(reply: &AttachReply) -> RequestEvent {
    match reply.verdict {
        AttachVerdict::Attached => RequestEvent::Attached(reply.head.incarnation()),
        AttachVerdict::NotFound => RequestEvent::NotAttached,
        AttachVerdict::EngineDown => RequestEvent::Lost,
    }
}

/// Waits for a reply at most a little longer than its deadline.
///
/// A call that is handed over while its connection ends may be lost inside the client, which then
/// keeps it open beyond its deadline; its request would wait for ever.
async fn answered<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, RpcError>>,
) -> Result<T, RpcError> {
    let reply = timeout(limit + CALL_SLACK, call).await;
    reply.unwrap_or(Err(RpcError::DeadlineExceeded))
}

fn deadline(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

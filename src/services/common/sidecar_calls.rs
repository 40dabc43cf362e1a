//! RPC calls to sidecars, each with a deadline, and the mapping of their replies to events of a
//! request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::decide::claims::{ClaimRecord, ClaimVerdict};
use crate::decide::ids::{Incarnation, Repeatability, Ticket};
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::propagation::PeerPosition;
use crate::decide::request_step::RequestEvent;
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::{Directory, whole_us};
use crate::services::common::call_outcome::{QuoteOutcome, SubmitOutcome, TicketRead};
use crate::services::common::mail::{ConfigMail, DialOutcome, DialerMail, Mail};
use crate::wire::claim_rpc::ClaimCall;
use crate::wire::config_page::{ConfigPage, ConfigSinceCall};
use crate::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    SidecarRpcClient, SubmitCall, SubmitReply, SubmitVerdict, WithdrawReply, WithdrawVerdict,
};
use crate::wire::suspect_rpc::WireSuspectUpdate;

/// Timeout of a call to which the sidecar replies immediately, or of a read with [`READ_WAIT`]
/// included; the connection counts as broken after that.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a quote; the connection counts as broken after that.
const QUOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a sidecar may hold a read open until there are items (long polling).
const READ_WAIT: Duration = Duration::from_millis(500);

/// Time beyond its deadline for which a call is awaited; the RPC client normally ends the call at
/// the deadline.
const CALL_SLACK: Duration = Duration::from_millis(100);

/// Timeout of an attachment, the lookup at the engine included.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Client for calls to one sidecar.
#[derive(Debug, Clone)]
pub struct SidecarCalls {
    /// Directory of the calling process, for the dialer and the service `config`.
    pub directory: Directory<Mail>,
    /// Address of the sidecar.
    pub address: SocketAddr,
}

/// Open connection with its number at the dialer.
struct NumberedConnection {
    client: SidecarRpcClient,
    number: u64,
}

impl SidecarCalls {
    /// Requests a quote on a separate task.
    ///
    /// The task continues when the caller no longer waits for it, because a late reply shows that
    /// the connection works, and a timeout shows that it is broken.
    #[must_use]
    pub fn start_quote(&self, call: QuoteCall) -> JoinHandle<QuoteOutcome> {
        let calls = self.clone();
        tokio::spawn(async move {
            let Some(connection) = calls.connect().await else {
                return QuoteOutcome::Unreachable;
            };
            let reply = connection.client.quote(deadline(QUOTE_TIMEOUT), call);
            let reply = await_reply(QUOTE_TIMEOUT, reply).await;
            let reply = calls.handle_reply(&connection, reply, |reply| reply.head);
            reply.map_or(QuoteOutcome::Silent, QuoteOutcome::Quote)
        })
    }

    /// Submits a request.
    pub async fn submit(&self, call: SubmitCall, limit: Duration) -> SubmitOutcome {
        let Some(connection) = self.connect().await else {
            return SubmitOutcome::without_reply(RequestEvent::Unsent);
        };
        let reply = connection.client.submit(deadline(limit), call);
        let reply = await_reply(limit, reply).await;
        let Some(reply) = self.handle_reply(&connection, reply, |reply| reply.head) else {
            return SubmitOutcome::without_reply(RequestEvent::Lost);
        };
        SubmitOutcome {
            event: submit_event(&reply),
            crash: reply.head.crash(),
            pause: reply.head.pause(),
        }
    }

    /// Reads items of a ticket's response from an index on.
    pub async fn read(
        &self,
        ticket: Ticket,
        incarnation: Incarnation,
        from_index: u64,
        limit: Duration,
    ) -> TicketRead {
        let event = |event| TicketRead {
            event,
            items: Vec::new(),
            crash: None,
            pause: None,
        };
        let Some(connection) = self.connect().await else {
            return event(RequestEvent::Unsent);
        };
        let wait_us = whole_us(READ_WAIT);
        let call = ReadCall {
            ticket: ticket.into(),
            incarnation: incarnation.0,
            from_index,
            wait_us,
        };
        let reply = connection.client.read(deadline(limit), call);
        let reply = await_reply(limit, reply).await;
        let Some(reply) = self.handle_reply(&connection, reply, |reply| reply.head) else {
            return event(RequestEvent::Lost);
        };
        ticket_read(reply)
    }

    /// Acknowledges the end of a ticket's response, which has the given index.
    ///
    /// If the call is lost, the sidecar keeps the response for longer than needed.
    pub async fn acknowledge_end(&self, ticket: Ticket, incarnation: Incarnation, end_index: u64) {
        let Some(connection) = self.connect().await else {
            return;
        };
        let call = ReadCall {
            ticket: ticket.into(),
            incarnation: incarnation.0,
            from_index: end_index + 1,
            wait_us: 0,
        };
        let reply = connection.client.read(deadline(CALL_TIMEOUT), call);
        let reply = await_reply(CALL_TIMEOUT, reply).await;
        self.handle_reply(&connection, reply, |reply| reply.head);
    }

    /// Withdraws a ticket that was submitted to the given incarnation of the sidecar.
    pub async fn withdraw(
        &self,
        ticket: Ticket,
        incarnation: Incarnation,
        limit: Duration,
    ) -> RequestEvent {
        let Some(connection) = self.connect().await else {
            return RequestEvent::Unsent;
        };
        let reply = connection
            .client
            .withdraw(deadline(limit), ticket.into(), incarnation.0);
        let reply = await_reply(limit, reply).await;
        let Some(reply) = self.handle_reply(&connection, reply, |reply| reply.head) else {
            return RequestEvent::Lost;
        };
        withdraw_event(&reply)
    }

    /// Sends updates about suspects to the sidecar.
    ///
    /// # Errors
    ///
    /// Returns the event of the failed call if the sidecar does not reply in time.
    pub async fn suspect(
        &self,
        updates: &[SuspectUpdate],
        limit: Duration,
    ) -> Result<(), RequestEvent> {
        let connection = self.connect().await.ok_or(RequestEvent::Unsent)?;
        let updates = updates.iter().map(WireSuspectUpdate::from).collect();
        let reply = connection.client.suspect(deadline(limit), updates);
        let reply = await_reply(limit, reply).await;
        if reply.is_err() {
            self.report_broken(&connection);
        }
        reply.map_err(|_unanswered| RequestEvent::Lost)
    }

    /// Claims or releases an idempotency key; returns `None` when there is no verdict within the
    /// limit.
    pub async fn claim(&self, record: &ClaimRecord, limit: Duration) -> Option<ClaimVerdict> {
        let call = ClaimCall {
            claim: record.into(),
            budget_us: whole_us(limit),
        };
        let verdict = async {
            let connection = self.connect().await?;
            let reply = connection.client.claim(deadline(limit), call).await;
            reply.ok().map(ClaimVerdict::from)
        };
        timeout(limit, verdict).await.ok()?
    }

    /// Attaches the restarted sidecar to a ticket that its engine may still run.
    pub async fn attach(&self, ticket: Ticket, repeatability: Repeatability) -> RequestEvent {
        let Some(connection) = self.connect().await else {
            return RequestEvent::Unsent;
        };
        let idempotent = repeatability == Repeatability::Idempotent;
        let call = connection
            .client
            .attach(deadline(ATTACH_TIMEOUT), ticket.into(), idempotent);
        let reply = await_reply(ATTACH_TIMEOUT, call).await;
        let Some(reply) = self.handle_reply(&connection, reply, |reply| reply.head) else {
            return RequestEvent::Lost;
        };
        attach_event(&reply)
    }

    /// Fetches configuration records; returns `None` when there is no reply within the limit.
    pub async fn config_since(&self, call: ConfigSinceCall, limit: Duration) -> Option<ConfigPage> {
        let connection = self.connect().await?;
        let reply = connection.client.config_since(deadline(limit), call);
        let reply = await_reply(limit, reply).await;
        self.handle_reply(&connection, reply, |page| ReplyHead {
            next_offset: page.next_offset,
            ..ReplyHead::default()
        })
    }

    async fn connect(&self) -> Option<NumberedConnection> {
        let address = self.address;
        let message = |reply_to| Mail::Dialer(DialerMail::Connect(address, reply_to));
        match self.directory.ask("dialer", message).await? {
            DialOutcome::Connected(client, number) => Some(NumberedConnection { client, number }),
            DialOutcome::Unreachable => None,
        }
    }

    fn report_broken(&self, connection: &NumberedConnection) {
        let mail = DialerMail::Broken(self.address, connection.number);
        self.directory.send("dialer", Mail::Dialer(mail));
    }

    /// Reports the position of the sidecar's configuration from a reply to the service `config`; reports the
    /// connection of a failed call to the dialer as broken.
    fn handle_reply<T, E>(
        &self,
        connection: &NumberedConnection,
        reply: Result<T, E>,
        head: impl FnOnce(&T) -> ReplyHead,
    ) -> Option<T> {
        let Ok(reply) = reply else {
            self.report_broken(connection);
            return None;
        };
        let position = PeerPosition {
            peer: self.address,
            next: head(&reply).next(),
        };
        self.directory.send(
            "config",
            Mail::Config(ConfigMail::SidecarPosition(position)),
        );
        Some(reply)
    }
}

/// Converts a reply to a submission into an event of the request.
#[must_use]
pub fn submit_event(reply: &SubmitReply) -> RequestEvent {
    match reply.verdict {
        SubmitVerdict::Accepted => RequestEvent::Accepted,
        SubmitVerdict::NotRun { reason, .. } => {
            // A newer sidecar may send an unknown reason; the request is not run in this case
            // either.
            let reason = RefusalReason::try_from(reason).unwrap_or(RefusalReason::Busy);
            RequestEvent::Refused(reason, reply.head.incarnation())
        }
    }
}

/// Converts a reply to a read into an event of the request and its items.
#[must_use]
pub fn ticket_read(reply: ReadReply) -> TicketRead {
    let crash = reply.head.crash();
    let pause = reply.head.pause();
    match reply.verdict {
        ReadVerdict::UnknownTicket => TicketRead {
            event: RequestEvent::UnknownTicket(reply.head.incarnation()),
            items: Vec::new(),
            crash,
            pause,
        },
        ReadVerdict::Items { items, end } => {
            let end = end.map(|end| StreamEnd::try_from(end).unwrap_or(StreamEnd::Uncertain));
            let event = RequestEvent::Items {
                from_index: reply.from_index,
                count: items.len() as u64,
                end,
            };
            TicketRead {
                event,
                items,
                crash,
                pause,
            }
        }
    }
}

/// Converts a reply to a withdrawal into an event of the request.
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

/// Converts a reply to an attachment into an event of the request.
#[must_use]
pub const fn attach_event(reply: &AttachReply) -> RequestEvent {
    match reply.verdict {
        AttachVerdict::Attached => RequestEvent::Attached(reply.head.incarnation()),
        AttachVerdict::NotFound => RequestEvent::NotAttached,
        AttachVerdict::EngineDown => RequestEvent::Lost,
    }
}

/// Awaits a reply for at most [`CALL_SLACK`] longer than the limit.
///
/// A call that starts while its connection closes can be lost inside the RPC client, which then
/// never ends it; without this timeout the request would wait forever.
async fn await_reply<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, RpcError>>,
) -> Result<T, RpcError> {
    let reply = timeout(limit + CALL_SLACK, call).await;
    reply.unwrap_or(Err(RpcError::DeadlineExceeded))
}

/// Creates an RPC context whose deadline is `limit` from now.
fn deadline(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

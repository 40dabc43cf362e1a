//! Runs one admitted request: chooses upstreams, calls sidecars, yields the answer in order.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::journal::{self, ReportStep, RequestReport};
use super::key_claim::KeyClaim;
use super::request_meter;
use super::upstream_choice::{UpstreamChoice, UpstreamChooser};
use crate::decide::admission::Admission;
use crate::decide::claims::{ClaimTarget, ClaimVerdict};
use crate::decide::config::Configuration;
use crate::decide::ids::{Incarnation, Repeatability, Ticket};
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::decide::request_state::RequestState;
use crate::decide::request_step::{RequestEvent, RequestPolicy, RequestStep, SidecarCall};
use crate::decide::suspects::Fingerprint;
use crate::kernel::{Directory, Moment};
use crate::services::common::mail::{DialerMail, JournalMail, Mail, MintOutcome, TicketsMail};
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::wire::rpc::{StreamItem, SubmitCall};

/// Time that a request which has lost its answer waits for an upstream to come back.
const COMEBACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two looks for an upstream that is back.
const COMEBACK_PAUSE: Duration = Duration::from_millis(100);

/// What is sent to the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Output tokens that the request may take; 0 when not stated.
    pub output_tokens: u32,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
}

/// What a runner has for its caller.
#[derive(Debug)]
pub enum RunnerOutput {
    /// The next item of the answer.
    Item(StreamItem),
    /// The answer was cut; a body that asks for the rest is needed before it can go on.
    NeedsContinuation,
    /// Nothing further comes.
    Finished(RunStatus, Option<RefusalReason>),
}

/// One running request; dropping it unfinished withdraws its ticket.
#[derive(Debug)]
pub struct RequestRunner {
    directory: Directory<Mail>,
    configuration: Arc<Configuration>,
    admission: Admission,
    chooser: UpstreamChooser,
    request: UpstreamRequest,
    state: RequestState,
    step: RequestStep,
    address: Option<SocketAddr>,
    wait_limit_us: u64,
    items: VecDeque<StreamItem>,
    continued: u32,
    finished: bool,
    has_answered: bool,
    report: RequestReport,
    key_claim: Option<KeyClaim>,
}

impl RequestRunner {
    /// Creates a runner for an admitted request.
    #[must_use]
    pub fn new(
        directory: Directory<Mail>,
        configuration: Arc<Configuration>,
        admission: Admission,
        chooser: UpstreamChooser,
        request: UpstreamRequest,
        policy: RequestPolicy,
    ) -> Self {
        let report = RequestReport {
            id: rand::random(),
            customer: admission.customer.clone(),
            rank: admission.rank.name(),
            target: chooser.scope.describe(&admission.version),
            arrived: directory.now(),
            steps: Vec::new(),
            dropped_steps: 0,
            told: None,
        };
        Self {
            report,
            directory,
            configuration,
            admission,
            chooser,
            request,
            state: RequestState::new(policy),
            step: RequestStep::Choose,
            address: None,
            wait_limit_us: u64::MAX,
            items: VecDeque::new(),
            continued: 0,
            finished: false,
            key_claim: None,
            has_answered: false,
        }
    }

    /// Makes the request run at most once for its idempotency key.
    #[must_use]
    pub fn with_key(mut self, key_claim: Option<KeyClaim>) -> Self {
        if key_claim.is_some() {
            self.admission.repeatability = Repeatability::NonIdempotent;
            self.state.policy.repeatability = Repeatability::NonIdempotent;
        }
        self.key_claim = key_claim;
        self
    }

    /// Returns the next output; after [`RunnerOutput::Finished`] there is none.
    pub async fn next(&mut self) -> RunnerOutput {
        loop {
            if let Some(item) = self.items.pop_front() {
                self.note_first(&item);
                return RunnerOutput::Item(item);
            }
            let event = match self.step {
                RequestStep::Finish(status, reason) => {
                    self.finished = true;
                    self.report.told = Some((status, reason));
                    self.release_key(status);
                    return RunnerOutput::Finished(status, reason);
                }
                RequestStep::Choose if self.needs_continuation() => {
                    return RunnerOutput::NeedsContinuation;
                }
                RequestStep::Choose => self.choose().await,
                RequestStep::Call {
                    incarnation,
                    call,
                    not_before,
                    ..
                } => {
                    self.wait_until(not_before).await;
                    self.call(incarnation, call).await
                }
            };
            self.note(&event);
            self.step = self.state.handle(self.directory.now(), event);
        }
    }

    /// Returns the id under which the request is remembered.
    #[must_use]
    pub const fn id(&self) -> u64 {
        self.report.id
    }

    /// Sets the body that asks for the rest of the answer.
    pub fn continue_with(&mut self, body: Vec<u8>) {
        self.request.body = body;
        self.continued = self.state.submissions;
    }

    /// Gives up on an answer that cannot be continued.
    pub fn abandon_rest(&mut self) {
        let event = RequestEvent::NoChoice(RefusalReason::NoUpstream);
        self.step = self.state.handle(self.directory.now(), event);
    }

    fn note_first(&mut self, item: &StreamItem) {
        if self.has_answered || matches!(item, StreamItem::Head { .. }) {
            return;
        }
        self.has_answered = true;
        request_meter::record_first_token(&self.directory, &self.report);
    }

    fn note(&mut self, event: &RequestEvent) {
        let is_routine = matches!(event, RequestEvent::Items { from_index, end: None, .. }
            if *from_index > 0);
        if is_routine {
            return;
        }
        let upstream = self.state.upstream().or(match event {
            RequestEvent::Chosen(upstream, ..) => Some(*upstream),
            _ => None,
        });
        let upstream = upstream.and_then(|key| self.configuration.upstreams.get(key));
        self.report.add(ReportStep {
            at: self.directory.now(),
            upstream: upstream.map_or_else(String::new, |upstream| upstream.name.clone()),
            ticket: self.state.target().map(|(ticket, _)| ticket),
            event: format!("{event:?}"),
        });
    }

    fn needs_continuation(&self) -> bool {
        self.state.has_partial_answer && self.continued != self.state.submissions
    }

    async fn wait_until(&self, moment: Moment) {
        if !moment.is_due(self.directory.now()) {
            tokio::time::sleep_until(self.directory.clock().instant(moment).into()).await;
        }
    }

    /// Returns the next choice; a request that has lost its answer everywhere waits a bounded time
    /// for one of the upstreams to come back.
    async fn next_choice(&mut self) -> Option<UpstreamChoice> {
        let mut excluded = self.state.tried.excluded.clone();
        let give_up = self.directory.now().after(COMEBACK_TIMEOUT);
        loop {
            let next = self
                .chooser
                .next(&self.configuration, &self.admission, &excluded);
            let choice = next.await;
            let now = self.directory.now();
            if choice.is_some() || !self.state.may_have_run() || give_up.is_due(now) {
                return choice;
            }
            self.wait_until(now.after(COMEBACK_PAUSE)).await;
            excluded.clear();
        }
    }

    async fn choose(&mut self) -> RequestEvent {
        let Some(choice) = self.next_choice().await else {
            return RequestEvent::NoChoice(RefusalReason::NoUpstream);
        };
        let cause = self.state.cause();
        let question = |reply_to| Mail::Tickets(TicketsMail::Mint(cause, reply_to));
        match self.directory.ask("tickets", question).await {
            Some(MintOutcome::Minted(ticket)) => {
                self.address = Some(choice.address);
                self.wait_limit_us = choice.wait_limit_us;
                self.claim_key(&choice, ticket).await
            }
            Some(MintOutcome::OverBudget) | None => {
                RequestEvent::NoChoice(RefusalReason::RetryBudget)
            }
        }
    }

    /// Claims the request's key, if it has one, before the ticket is submitted.
    async fn claim_key(&mut self, choice: &UpstreamChoice, ticket: Ticket) -> RequestEvent {
        let chosen = RequestEvent::Chosen(choice.upstream, choice.incarnation, ticket);
        let Some(key_claim) = &mut self.key_claim else {
            return chosen;
        };
        let Some(upstream) = self.configuration.upstreams.get(choice.upstream) else {
            return RequestEvent::NoChoice(RefusalReason::NoUpstream);
        };
        let fingerprint = self.request.fingerprint;
        let target = ClaimTarget {
            ticket,
            upstream: upstream.name.clone(),
            sidecar: choice.incarnation,
            fingerprint,
        };
        match key_claim.claim(&self.configuration, target).await {
            ClaimVerdict::Won => {
                key_claim.ticket = Some(ticket);
                chosen
            }
            ClaimVerdict::Held(holder) if holder.fingerprint != fingerprint => {
                RequestEvent::NoChoice(RefusalReason::KeyConflict)
            }
            ClaimVerdict::Held(holder) => self.follow(&holder),
            ClaimVerdict::Released | ClaimVerdict::Unavailable => {
                // The ticket is never sent, whatever becomes of the record.
                key_claim.ticket = Some(ticket);
                RequestEvent::NoChoice(RefusalReason::ClaimUnavailable)
            }
        }
    }

    /// Turns to the ticket that holds the key.
    fn follow(&mut self, holder: &ClaimTarget) -> RequestEvent {
        let mut upstreams = self.configuration.upstreams.iter();
        let found = upstreams.find(|(_, upstream)| upstream.name == holder.upstream);
        let Some((key, upstream)) = found else {
            return RequestEvent::HolderGone;
        };
        self.address = Some(upstream.sidecar);
        if let Some(key_claim) = &mut self.key_claim {
            key_claim.ticket = Some(holder.ticket);
        }
        RequestEvent::Held(key, holder.sidecar, holder.ticket)
    }

    fn release_key(&mut self, status: RunStatus) {
        if let (RunStatus::NotRun, Some(key_claim)) = (status, &mut self.key_claim) {
            key_claim.release(&self.configuration);
        }
    }

    async fn call(&mut self, incarnation: Incarnation, call: SidecarCall) -> RequestEvent {
        let Some(address) = self.address else {
            return RequestEvent::NoChoice(RefusalReason::NoUpstream);
        };
        let calls = SidecarCalls {
            directory: self.directory.clone(),
            address,
        };
        match call {
            SidecarCall::Submit(ticket) => calls.submit(self.submission(ticket, incarnation)).await,
            SidecarCall::Read(ticket, from_index) => {
                let outcome = calls.read(ticket, incarnation, from_index).await;
                if from_index == self.state.next_index() && is_from(&outcome.event, from_index) {
                    self.items.extend(outcome.items);
                }
                outcome.event
            }
            SidecarCall::Withdraw(ticket) => calls.withdraw(ticket, incarnation).await,
            SidecarCall::Attach(ticket) => calls.attach(ticket, self.admission.repeatability).await,
        }
    }

    fn submission(&self, ticket: Ticket, incarnation: Incarnation) -> SubmitCall {
        let now = self.directory.now();
        let budget = self.state.policy.start_by.remaining(now);
        let request = &self.request;
        SubmitCall {
            ticket: ticket.into(),
            incarnation: incarnation.0,
            customer: self.admission.customer.clone(),
            rank: self.admission.rank.into(),
            idempotent: self.admission.repeatability == Repeatability::Idempotent,
            version: self.admission.version.clone(),
            fingerprint: request.fingerprint.0,
            prefix_keys: self.chooser.keys.iter().map(|key| key.0).collect(),
            start_budget_us: u64::try_from(budget.as_micros()).unwrap_or(u64::MAX),
            wait_limit_us: self.wait_limit_us,
            output_tokens: request.output_tokens,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
        }
    }
}

impl Drop for RequestRunner {
    fn drop(&mut self) {
        request_meter::record_end(&self.directory, &self.report, self.state.submissions);
        let mail = Mail::Journal(JournalMail::Report(self.report.clone()));
        self.directory.send(journal::NAME, mail);
        if self.finished {
            return;
        }
        if let (Some(address), Some((ticket, incarnation))) = (self.address, self.state.target()) {
            let mail = Mail::Dialer(DialerMail::Abandon(address, ticket, incarnation));
            self.directory.send("dialer", mail);
        }
    }
}

fn is_from(event: &RequestEvent, wanted: u64) -> bool {
    matches!(event, RequestEvent::Items { from_index, .. } if *from_index == wanted)
}

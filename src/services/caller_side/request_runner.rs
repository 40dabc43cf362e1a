//! Runs one admitted request: chooses upstreams, calls their sidecars, returns response items.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::journal::{self, ReportStep, RequestReport};
use super::key_claim::KeyClaim;
use super::request_metrics;
use super::retry_hint::RetryHint;
use super::upstream_choice::{UpstreamChoice, UpstreamChooser};
use super::upstream_request::{SubmitAttempt, UpstreamRequest};
use crate::decide::admission::Admission;
use crate::decide::call_patience::CallPatience;
use crate::decide::claims::{ClaimTarget, ClaimVerdict};
use crate::decide::config::Configuration;
use crate::decide::ids::{Incarnation, Repeatability, Ticket};
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::decide::request_state::RequestState;
use crate::decide::request_step::{RequestEvent, RequestPolicy, RequestStep, SidecarCall};
use crate::decide::seen_crashes::SeenCrashes;
use crate::kernel::{Directory, Moment};
use crate::services::common::call_outcome::SubmitOutcome;
use crate::services::common::mail::{DialerMail, JournalMail, Mail, MintOutcome, TicketsMail};
use crate::services::common::sidecar_calls::{CALL_TIMEOUT, SidecarCalls};
use crate::wire::rpc::StreamItem;

/// Time for which a request that may have run waits for an upstream to become available again.
const UPSTREAM_RETURN_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a waiting request checks whether an upstream is available again.
const UPSTREAM_RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// Output of a [`RequestRunner`].
#[derive(Debug)]
pub enum RunnerOutput {
    /// The next item of the response.
    Item(StreamItem),
    /// The response was interrupted; the runner needs a request body for the rest of it, see
    /// [`RequestRunner::continue_with`].
    NeedsContinuation,
    /// The request has ended with a run status and, if it was refused, a reason.
    Finished(RunStatus, Option<RefusalReason>),
}

/// State of one running request; dropping it before the end withdraws the ticket.
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
    continued_submission: u32,
    finished: bool,
    has_data: bool,
    report: RequestReport,
    key_claim: Option<KeyClaim>,
    patience: CallPatience,
    crashes: SeenCrashes,
    retry_hint: RetryHint,
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
            admitted_at: directory.now(),
            steps: Vec::new(),
            dropped_steps: 0,
            reported: None,
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
            continued_submission: 0,
            finished: false,
            key_claim: None,
            has_data: false,
            patience: CallPatience::default(),
            crashes: SeenCrashes::default(),
            retry_hint: RetryHint::default(),
        }
    }

    /// Sets the claim on an idempotency key; a request with a key runs at most once.
    #[must_use]
    pub fn with_key_claim(mut self, key_claim: Option<KeyClaim>) -> Self {
        if key_claim.is_some() {
            self.admission.repeatability = Repeatability::NonIdempotent;
            self.state.policy.repeatability = Repeatability::NonIdempotent;
        }
        self.key_claim = key_claim;
        self
    }

    /// Returns the next output; [`RunnerOutput::Finished`] is the last one.
    pub async fn next(&mut self) -> RunnerOutput {
        loop {
            if let Some(item) = self.items.pop_front() {
                self.record_first_data(&item);
                return RunnerOutput::Item(item);
            }
            let event = match self.step {
                RequestStep::Finish(status, reason) => {
                    self.finished = true;
                    self.report.reported = Some((status, reason));
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
            self.record_event(&event);
            let now = self.directory.now();
            let recovery_time = self.state.policy.recovery_time();
            self.patience.record(now, &event, recovery_time);
            self.step = self.state.handle(now, event);
        }
    }

    /// Returns the identifier of the request in its report.
    #[must_use]
    pub const fn id(&self) -> u64 {
        self.report.id
    }

    /// Returns when the caller of a refused request is to return, if the upstreams have said so.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_hint
            .retry_after(self.directory.now(), self.report.id)
    }

    /// Sets a request body that continues the interrupted response.
    pub fn continue_with(&mut self, body: Vec<u8>) {
        self.request.body = body;
        self.continued_submission = self.state.submissions;
    }

    /// Ends a request whose interrupted response cannot be continued.
    pub fn fail_continuation(&mut self) {
        let event = RequestEvent::NoChoice(RefusalReason::NoUpstream);
        self.step = self.state.handle(self.directory.now(), event);
    }

    fn record_first_data(&mut self, item: &StreamItem) {
        if self.has_data || matches!(item, StreamItem::Head { .. }) {
            return;
        }
        self.has_data = true;
        request_metrics::record_first_token(&self.directory, &self.report);
    }

    fn record_event(&mut self, event: &RequestEvent) {
        let is_intermediate = matches!(event, RequestEvent::Items { from_index, end: None, .. }
            if *from_index > 0);
        if is_intermediate {
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
            repeats: 0,
        });
    }

    fn needs_continuation(&self) -> bool {
        self.state.has_partial_answer && self.continued_submission != self.state.submissions
    }

    async fn wait_until(&self, moment: Moment) {
        if !moment.is_due(self.directory.now()) {
            tokio::time::sleep_until(self.directory.clock().instant(moment).into()).await;
        }
    }

    /// Returns the next choice; if none is left and the request may have run, waits a bounded time
    /// for an upstream, including those that were tried before.
    async fn next_choice(&mut self) -> Option<UpstreamChoice> {
        let mut excluded = self.state.tried.excluded.clone();
        let deadline = self.directory.now().after(UPSTREAM_RETURN_TIMEOUT);
        loop {
            let next = self
                .chooser
                .next(&self.configuration, &self.admission, &excluded);
            let choice = next.await;
            let now = self.directory.now();
            // A submission to a sidecar that is down would use up tries while it restarts.
            let is_worth_a_try = choice.is_some_and(|choice| !choice.is_unreachable);
            if is_worth_a_try || !self.state.may_have_run() || deadline.is_due(now) {
                return choice;
            }
            self.wait_until(now.after(UPSTREAM_RETURN_INTERVAL)).await;
            excluded.clear();
        }
    }

    async fn choose(&mut self) -> RequestEvent {
        let Some(choice) = self.next_choice().await else {
            return RequestEvent::NoChoice(RefusalReason::NoUpstream);
        };
        let cause = self.state.cause();
        let message = |reply_to| Mail::Tickets(TicketsMail::Mint(cause, reply_to));
        match self.directory.ask("tickets", message).await {
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

    /// Claims the idempotency key of the request, if it has one, before the ticket is submitted.
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
            ClaimVerdict::Held(holder) => self.follow_holder(&holder),
            ClaimVerdict::Released | ClaimVerdict::Unavailable => {
                // The ticket is not submitted, so a claim that was recorded can be released.
                key_claim.ticket = Some(ticket);
                RequestEvent::NoChoice(RefusalReason::ClaimUnavailable)
            }
        }
    }

    /// Continues with the ticket that holds the key.
    fn follow_holder(&mut self, holder: &ClaimTarget) -> RequestEvent {
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
        let limit = self.patience.limit(self.directory.now(), CALL_TIMEOUT);
        match call {
            SidecarCall::Submit(ticket) => {
                let outcome = self.submit(&calls, ticket, incarnation, limit).await;
                self.crashes
                    .record_submission(ticket, &outcome.event, outcome.crash);
                let now = self.directory.now();
                self.retry_hint.record(now, &outcome.event, outcome.pause);
                outcome.event
            }
            SidecarCall::Read(ticket, from_index) => {
                let outcome = calls.read(ticket, incarnation, from_index, limit).await;
                self.crashes
                    .record_read(ticket, &outcome.event, outcome.crash);
                let now = self.directory.now();
                self.retry_hint.record(now, &outcome.event, outcome.pause);
                if from_index == self.state.next_index() && starts_at(&outcome.event, from_index) {
                    if let Some(end_index) = outcome.end_index() {
                        let mail = DialerMail::Acknowledge(address, ticket, incarnation, end_index);
                        self.directory.send("dialer", Mail::Dialer(mail));
                    }
                    self.items.extend(outcome.items);
                }
                outcome.event
            }
            SidecarCall::Withdraw(ticket) => calls.withdraw(ticket, incarnation, limit).await,
            SidecarCall::Attach(ticket) => calls.attach(ticket, self.admission.repeatability).await,
        }
    }

    /// Sends the crashes of earlier attempts, if there are any, and then the submission.
    async fn submit(
        &self,
        calls: &SidecarCalls,
        ticket: Ticket,
        incarnation: Incarnation,
        limit: Duration,
    ) -> SubmitOutcome {
        let updates = self.crashes.updates(self.request.fingerprint);
        if !updates.is_empty()
            && let Err(event) = calls.suspect(&updates, limit).await
        {
            return SubmitOutcome::without_reply(event);
        }
        let attempt = SubmitAttempt {
            ticket,
            incarnation,
            start_budget: self.state.policy.start_by.remaining(self.directory.now()),
            wait_limit_us: self.wait_limit_us,
        };
        let request = &self.request;
        let call = request.submit_call(&self.admission, &self.chooser.keys, attempt);
        calls.submit(call, limit).await
    }
}

impl Drop for RequestRunner {
    fn drop(&mut self) {
        request_metrics::record_end(&self.directory, &self.report, self.state.submissions);
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

fn starts_at(event: &RequestEvent, index: u64) -> bool {
    matches!(event, RequestEvent::Items { from_index, .. } if *from_index == index)
}

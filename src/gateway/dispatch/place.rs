//! Placement of requests on upstreams: decides whether a request starts now and on which upstream,
//! and collects the data that is sent along.

use std::time::Duration;

use super::state::{DispatchState, RunningRequest, WaitingRequest};
use crate::decide::cache_scope::CacheScope;
use crate::decide::fleet::FleetMember;
use crate::decide::ids::{Rank, Ticket};
use crate::decide::member_choice::{
    ChoiceContext, ChoiceOutcome, ChoiceRequest, LONG_PROMPT_TOKENS, MemberChoice, NewestWeights,
    choose,
};
use crate::decide::prompt_parts::CacheDomain;
use crate::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
use crate::decide::segment_suspects::shared_segments;
use crate::decide::software::{SoftwareChoice, SoftwareFilter};
use crate::events::{REQUEST_PLACED, log_event};
use crate::gateway::mail::{Placement, PlacementRefusal, PlacementReply, PlacementRequest};
use crate::kernel::{Moment, ReplyTo};

/// Delay after the arrival of a new target version from which upstreams with older weights are
/// penalised, since their responses are worth less from then on.
const PREFERRED_AFTER: Duration = Duration::from_millis(1_300);

/// Share of the fleet's retry budget that the instances use together, in percent; the rest covers
/// differences between their counts of instances.
const BUDGET_USE_PERCENT: f64 = 70.0;

/// Share of the time from the stop signal to the end of the process in which requests are accepted
/// that may outlast the process, in percent.
const STOP_ACCEPT_PERCENT: u32 = 40;

/// Maximum number of retries of one request.
const MAX_RETRIES: u32 = 4;

impl DispatchState {
    /// Places a request on an upstream, queues it, or refuses it.
    pub(super) fn place(
        &mut self,
        now: Moment,
        request: PlacementRequest,
        reply_to: ReplyTo<PlacementReply>,
    ) {
        if self.is_poisonous(now, &request) {
            reply_to.send(PlacementReply::Refused(PlacementRefusal::Poisonous));
            return;
        }
        if !request.is_retry && self.may_be_cut(now, request.deadline) {
            reply_to.send(PlacementReply::Refused(PlacementRefusal::Leaving));
            return;
        }
        if let Some(refusal) = self.charge_retry_budget(&request) {
            reply_to.send(PlacementReply::Refused(refusal));
            return;
        }
        if !request.is_retry
            && let Some(refusal) = self.check_new_request(now, &request)
        {
            reply_to.send(PlacementReply::Refused(refusal));
            return;
        }
        self.place_or_queue(now, request, reply_to);
    }

    /// Marks the process as shutting down.
    pub(super) fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        self.stop_ends_at = now.after(self.identity.stop_time);
    }

    /// Reports whether the end of the process would probably cut off a request with this deadline.
    fn may_be_cut(&self, now: Moment, deadline: Moment) -> bool {
        let accepts_for = self.identity.stop_time * STOP_ACCEPT_PERCENT / 100;
        let left = self.stop_ends_at.remaining(now);
        deadline > self.stop_ends_at && left < self.identity.stop_time.saturating_sub(accepts_for)
    }

    /// Places or queues a request that the retry budget already accounts for.
    pub(super) fn place_or_queue(
        &mut self,
        now: Moment,
        request: PlacementRequest,
        reply_to: ReplyTo<PlacementReply>,
    ) {
        let rank = request.rank;
        // Few streams are taken up, and others cannot use what they wait for.
        let is_resumed = matches!(request.software, SoftwareChoice::Only(_));
        let is_first = is_resumed
            || self
                .queues
                .get(&request.service)
                .is_none_or(|queue| match rank {
                    Rank::Urgent => queue.waiting(Rank::Urgent) == 0,
                    Rank::Routine => queue.is_empty(),
                });
        let step = if is_first {
            self.choose_upstream(now, &request)
        } else {
            ChoiceOutcome::Full
        };
        match step {
            ChoiceOutcome::Send(choice) => {
                // Others of its customer may have run since a parked request was checked.
                if let Some(refusal) = self.over_quota(now, &request) {
                    reply_to.send(PlacementReply::Refused(refusal));
                    return;
                }
                let ticket = self.next_ticket();
                let placement = self.start_placement(now, ticket, &request, choice);
                reply_to.send(PlacementReply::Placed(Box::new(placement)));
            }
            ChoiceOutcome::NoUpstream if is_resumed => {
                reply_to.send(PlacementReply::Refused(PlacementRefusal::VersionGone));
            }
            ChoiceOutcome::NoUpstream => {
                self.check_missing_service(now, request.service);
                reply_to.send(PlacementReply::Refused(PlacementRefusal::NoUpstream));
            }
            ChoiceOutcome::WaitForPrefill(_) => {
                self.parked.push(WaitingRequest { request, reply_to });
            }
            ChoiceOutcome::Paused(until) if until > request.start_by => {
                reply_to.send(PlacementReply::Refused(PlacementRefusal::Paused(until)));
            }
            ChoiceOutcome::Full | ChoiceOutcome::Paused(_) if is_resumed => {
                if request.start_by.is_due(now) {
                    reply_to.send(PlacementReply::Refused(PlacementRefusal::Busy));
                } else {
                    self.parked.push(WaitingRequest { request, reply_to });
                }
            }
            ChoiceOutcome::Full | ChoiceOutcome::Paused(_) => {
                match self.limited_turn(now, request.service, rank) {
                    Some(turn) if turn > request.start_by => {
                        reply_to.send(PlacementReply::Refused(PlacementRefusal::Paused(turn)));
                    }
                    _ => self.enqueue(now, request, reply_to),
                }
            }
        }
    }

    /// Charges a retry to the service's retry budget, or credits the budget with a first attempt.
    fn charge_retry_budget(&mut self, request: &PlacementRequest) -> Option<PlacementRefusal> {
        let policy = self.retry_policy();
        let budget = self
            .budgets
            .entry(request.service)
            .or_insert_with(|| RetryBudget::new(policy));
        budget.policy = policy;
        if !request.is_retry {
            budget.record_new_request();
            return None;
        }
        match budget.try_retry(0) {
            RetryStep::Retry => None,
            RetryStep::RequestExhausted | RetryStep::BudgetExhausted => {
                Some(PlacementRefusal::BudgetExhausted)
            }
        }
    }

    /// Returns the share of the fleet's retry budget that belongs to this instance.
    fn retry_policy(&self) -> RetryPolicy {
        let instances = f64::from(u32::try_from(self.peers.len()).unwrap_or(u32::MAX)) + 1.0;
        let share = self.retry_ratio * BUDGET_USE_PERCENT;
        let burst = self.extra_retries * BUDGET_USE_PERCENT / 100.0 / instances;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small positive numbers"
        )]
        RetryPolicy {
            max_per_request: MAX_RETRIES,
            share_percent: share.max(0.0) as u32,
            burst: burst.max(1.0) as u32,
        }
    }

    /// Reports whether a retry could be placed now.
    #[must_use]
    pub fn could_retry(&self, now: Moment, request: &PlacementRequest) -> bool {
        let budget = self.budgets.get(&request.service);
        budget.is_none_or(RetryBudget::has_credit)
            && matches!(
                self.choose_upstream(now, request),
                ChoiceOutcome::Send(_) | ChoiceOutcome::WaitForPrefill(_)
            )
    }

    /// Chooses the upstream for a request without placing it.
    pub(super) fn choose_upstream(&self, now: Moment, request: &PlacementRequest) -> ChoiceOutcome {
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.services.get(&request.service));
        let prompt = request.prompt.as_deref();
        let view = ChoiceContext {
            now,
            data_centre: self.identity.data_centre,
            fleet: &self.fleet,
            prefix_index: &self.parts,
            engine: service.and_then(|service| service.engine),
            kv_stores: routes.map_or(&[], |routes| &routes.kv_stores),
            newest: prompt.and_then(|prompt| self.newest_weights(now, prompt.model)),
        };
        let unsettled = self.unsettled_software(now, request);
        let question = ChoiceRequest {
            service: request.service,
            prompt,
            cache_scope: routes.map_or(CacheScope::Own(&request.customer), |routes| {
                routes.cache_scopes.of(&request.customer)
            }),
            body_bytes: request.body_bytes,
            excluded: &request.excluded,
            software: match request.software {
                SoftwareChoice::Only(software) => SoftwareFilter::Only(software),
                SoftwareChoice::Any | SoftwareChoice::Settled => SoftwareFilter::Except(&unsettled),
            },
            prefill_deadline: request.prefill_deadline,
            request_hash: request.fingerprint.0,
        };
        match choose(view, question) {
            ChoiceOutcome::Send(_) if !self.is_sendable(now) => ChoiceOutcome::Full,
            ChoiceOutcome::NoUpstream if !unsettled.is_empty() => ChoiceOutcome::Full,
            choice => choice,
        }
    }

    /// Returns the newest version of a model and the oldest one still allowed; `None` if this
    /// instance knows of no version.
    fn newest_weights(&self, now: Moment, model: u64) -> Option<NewestWeights> {
        let target = self.target_versions.get(&model);
        self.version_deadlines.get(&model)?;
        Some(NewestWeights {
            version: self.newest_named(model),
            is_preferred: target
                .is_some_and(|target| now.since(target.received_at) >= PREFERRED_AFTER),
            oldest_allowed: self.oldest_allowed(now, model),
        })
    }

    fn log_placement(
        &self,
        now: Moment,
        request: &PlacementRequest,
        choice: &MemberChoice,
        weights: Option<u64>,
    ) {
        let data_centre = self
            .fleet
            .get(choice.member)
            .map(|member| member.entry.data_centre);
        let is_remote =
            data_centre.is_some_and(|data_centre| data_centre != self.identity.data_centre);
        let target = request.prompt.as_ref();
        let target = target.and_then(|prompt| self.target_versions.get(&prompt.model));
        log_event(
            &REQUEST_PLACED,
            &[
                ("request", &request.request_id),
                ("member", &format_args!("{:?}", choice.member)),
                ("waited_ms", &now.since(request.received).as_millis()),
                (
                    "answer_tokens",
                    &request
                        .prompt
                        .as_ref()
                        .map_or(0, |prompt| prompt.answer_tokens),
                ),
                ("missing", &choice.missing_tokens),
                ("unread", &choice.unread_tokens),
                ("known", &choice.is_known),
                (
                    "part",
                    &choice.prefixes.last().map_or(0, |(chain, _)| *chain),
                ),
                ("bytes", &request.body_bytes),
                ("far", &is_remote),
                ("fetch", &format_args!("{:?}", choice.fetch_from)),
                ("save", &choice.save_to.is_some()),
                ("retry", &request.is_retry),
                ("weights", &weights.unwrap_or(0)),
                ("target", &target.map_or(0, |target| target.version)),
                (
                    "list_age_ms",
                    &now.since(self.upstream_health.confirmed_at).as_millis(),
                ),
            ],
        );
    }

    /// Assigns a request to the chosen upstream and adds its load there.
    ///
    /// # Panics
    ///
    /// Panics if the chosen upstream is not in the fleet.
    pub(super) fn start_placement(
        &mut self,
        now: Moment,
        ticket: Ticket,
        request: &PlacementRequest,
        choice: MemberChoice,
    ) -> Placement {
        let weights = self.fleet.get(choice.member).and_then(FleetMember::version);
        let weights = request.prompt.as_ref().and(weights);
        self.log_placement(now, request, &choice, weights);
        let cancellation = self.expect_start(ticket, request, weights);
        self.record_prefill_start(now, request, &choice);
        let valid_until = self.placement_end(now);
        let quota_use = self.charge_quota(now, request);
        let member = self
            .fleet
            .get_mut(choice.member)
            .expect("a chosen upstream is listed");
        member.own.in_flight += 1;
        member.notice.record_sent(now);
        let has_limit = member.notice.limit.rate.is_some();
        self.has_urgent_news |= choice.unread_tokens >= LONG_PROMPT_TOKENS;
        member.own.unread_tokens += choice.unread_tokens;
        member.own.memory_tokens += choice.memory_tokens;
        let running = RunningRequest {
            has_begun: false,
            request_id: request.request_id.clone(),
            member: choice.member,
            service: request.service,
            quota_use,
            rank: request.rank.index(),
            unread_tokens: choice.unread_tokens,
            memory_tokens: choice.memory_tokens,
            chain: choice.prefixes,
            kv_store: choice.save_to.map(|store| store.data_centre),
            asked: member.asked(now),
            placed_at: now,
            fingerprint: request.fingerprint,
            prompt: request.prompt.clone(),
        };
        if let Some(prompt) = &request.prompt {
            self.segments.record_send(now, shared_segments(prompt));
        }
        let placement = Placement {
            ticket,
            member: choice.member,
            upstream: member.entry.id.clone(),
            address: member.entry.address,
            software: member.entry.software,
            weights,
            cancellation,
            cache_domain: choice.domain.map(CacheDomain::text),
            fetch_from: choice.fetch_from,
            save_to: choice.save_to.map(|store| store.address),
            connection: self.pool.take(now, choice.member),
            valid_until,
            has_limit,
        };
        self.running.insert(ticket, running);
        placement
    }
}

//! Places: who gets one now, and with what the request is sent.

use std::time::Duration;

use super::state::{DispatchState, RunningPlace, WaitingPlace};
use crate::decide::ids::{Rank, Ticket};
use crate::decide::member_choice::{
    ChoiceContext, ChoiceOutcome, ChoiceRequest, MemberChoice, NewestWeights, choose,
};
use crate::decide::prompt_parts::CacheDomain;
use crate::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
use crate::decide::suspects::SuspectVerdict;
use crate::events::{REQUEST_PLACED, log_event};
use crate::gateway::mail::{PlaceAsk, PlaceRefusal, PlaceReply, PlacedAt};
use crate::kernel::{Moment, ReplyTo};

/// Time after new weights are named from which answers made on older ones are worth less.
const PREFERRED_AFTER: Duration = Duration::from_millis(1_300);

/// Share of the fleet's retry budget that instances use together, in percent; the rest covers
/// counts that differ between them.
const BUDGET_USE_PERCENT: f64 = 70.0;

/// Retries of one request at most.
const MAX_RETRIES: u32 = 4;

impl DispatchState {
    /// Gives a request an upstream, lets it wait for one, or refuses it.
    pub(super) fn place(&mut self, now: Moment, ask: PlaceAsk, reply_to: ReplyTo<PlaceReply>) {
        if self.suspects.verdict(now, ask.fingerprint) == SuspectVerdict::Poisonous {
            reply_to.send(PlaceReply::Refused(PlaceRefusal::Poisonous));
            return;
        }
        if let Some(refusal) = self.charge(&ask) {
            reply_to.send(PlaceReply::Refused(refusal));
            return;
        }
        self.place_charged(now, ask, reply_to);
    }

    /// Places a request whose sends have been counted.
    pub(super) fn place_charged(
        &mut self,
        now: Moment,
        ask: PlaceAsk,
        reply_to: ReplyTo<PlaceReply>,
    ) {
        let rank = ask.rank;
        let is_first = self
            .queues
            .get(&ask.service)
            .is_none_or(|queue| match rank {
                Rank::Urgent => queue.waiting(Rank::Urgent) == 0,
                Rank::Routine => queue.is_empty(),
            });
        let step = if is_first {
            self.choose_for(now, &ask)
        } else {
            ChoiceOutcome::Full
        };
        match step {
            ChoiceOutcome::Send(choice) => {
                let ticket = self.next_ticket();
                let at = self.start(now, ticket, &ask, choice);
                reply_to.send(PlaceReply::Placed(Box::new(at)));
            }
            ChoiceOutcome::NoUpstream => {
                reply_to.send(PlaceReply::Refused(PlaceRefusal::NoUpstream));
            }
            ChoiceOutcome::WaitForPrefill(_) => self.parked.push(WaitingPlace { ask, reply_to }),
            ChoiceOutcome::Full => self.enqueue(now, ask, reply_to),
        }
    }

    /// Charges a retry to the service's budget, or counts a fresh request.
    fn charge(&mut self, ask: &PlaceAsk) -> Option<PlaceRefusal> {
        let policy = self.retry_policy();
        let budget = self
            .budgets
            .entry(ask.service)
            .or_insert_with(|| RetryBudget::new(policy));
        budget.policy = policy;
        if !ask.is_retry {
            budget.record_fresh();
            return None;
        }
        match budget.try_retry(0) {
            RetryStep::Retry => None,
            RetryStep::RequestExhausted | RetryStep::BudgetExhausted => {
                Some(PlaceRefusal::BudgetExhausted)
            }
        }
    }

    /// Returns this instance's part of the fleet's retry budget.
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

    pub(super) fn choose_for(&self, now: Moment, ask: &PlaceAsk) -> ChoiceOutcome {
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.services.get(&ask.service));
        let prompt = ask.prompt.as_deref();
        let newest = prompt.and_then(|prompt| self.versions.get(&prompt.model));
        let view = ChoiceContext {
            now,
            data_centre: self.identity.data_centre,
            fleet: &self.fleet,
            prefix_index: &self.parts,
            engine: service.and_then(|service| service.engine),
            kv_stores: routes.map_or(&[], |routes| &routes.kv_stores),
            newest: newest.map(|named| NewestWeights {
                version: named.version,
                is_preferred: now.since(named.learned) >= PREFERRED_AFTER,
                oldest_allowed: named.oldest_allowed(now),
            }),
        };
        let question = ChoiceRequest {
            service: ask.service,
            prompt,
            isolation_key: wall(ask),
            body_bytes: ask.body_bytes,
            excluded: &ask.excluded,
            prefill_deadline: ask.shared_by,
            request_hash: ask.fingerprint.0,
        };
        choose(view, question)
    }

    pub(super) fn start(
        &mut self,
        now: Moment,
        ticket: Ticket,
        ask: &PlaceAsk,
        choice: MemberChoice,
    ) -> PlacedAt {
        let place = self
            .fleet
            .get(choice.member)
            .map(|member| member.entry.data_centre);
        let is_far = place.is_some_and(|place| place != self.identity.data_centre);
        log_event(
            &REQUEST_PLACED,
            &[
                ("request", &ask.request_id),
                ("member", &format_args!("{:?}", choice.member)),
                ("waited_ms", &now.since(ask.received).as_millis()),
                (
                    "answer_tokens",
                    &ask.prompt.as_ref().map_or(0, |prompt| prompt.answer_tokens),
                ),
                ("missing", &choice.missing_tokens),
                ("unread", &choice.unread_tokens),
                ("known", &choice.is_known),
                (
                    "part",
                    &choice.prefixes.last().map_or(0, |(chain, _)| *chain),
                ),
                ("bytes", &ask.body_bytes),
                ("far", &is_far),
                ("fetch", &format_args!("{:?}", choice.fetch_from)),
                ("save", &choice.save_to.is_some()),
                ("retry", &ask.is_retry),
            ],
        );
        self.note_reading(now, ask, &choice);
        let member = self
            .fleet
            .get_mut(choice.member)
            .expect("a chosen upstream is listed");
        member.own.in_flight += 1;
        member.own.unread_tokens += choice.unread_tokens;
        member.own.memory_tokens += choice.memory_tokens;
        let place = RunningPlace {
            member: choice.member,
            service: ask.service,
            rank: ask.rank.index(),
            unread_tokens: choice.unread_tokens,
            memory_tokens: choice.memory_tokens,
            chain: choice.prefixes,
            kept_at: choice.save_to.map(|store| store.data_centre),
            placed: now,
            fingerprint: ask.fingerprint,
        };
        let at = PlacedAt {
            ticket,
            member: choice.member,
            upstream: member.entry.id.clone(),
            address: member.entry.address,
            weights: ask.prompt.as_ref().and(member.version()),
            cache_domain: choice.domain.map(CacheDomain::text),
            fetch_from: choice.fetch_from,
            save_to: choice.save_to.map(|store| store.address),
            link: self.pool.take(now, choice.member),
        };
        self.running.insert(ticket, place);
        at
    }
}

fn wall(ask: &PlaceAsk) -> &str {
    if ask.is_isolated { &ask.customer } else { "" }
}

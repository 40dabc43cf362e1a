//! Places: who gets one, who waits, and what their ends teach.

use std::time::Duration;

use super::state::{DispatchState, RunningPlace, WaitingPlace};
use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::hashing::name_hash;
use crate::decide::ids::{EngineEpoch, Incarnation, Rank, Ticket};
use crate::decide::member_choice::{
    MemberChoice, NewestWeights, PlaceQuestion, PlaceStep, PlaceView, choose, room,
};
use crate::decide::prompt_parts::CacheDomain;
use crate::decide::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use crate::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
use crate::decide::route_table::ServiceId;
use crate::decide::suspects::{CrashId, SuspectVerdict};
use crate::events::{REQUEST_PLACED, log_event};
use crate::gateway::mail::{PlaceAsk, PlaceEnd, PlaceRefusal, PlaceReply, PlacedAt};
use crate::kernel::{Moment, ReplyTo};
use crate::wire::peer_rpc::{WirePart, WireSuspicion};

/// Requests that may wait in each rank of a service.
const QUEUE_CAPACITY: usize = 512;

/// Share of the service that each rank keeps while the other floods, in percent.
const FLOOR_PERCENT: [u8; 2] = [10, 10];

/// Requests of one customer that may wait or run at the same time.
const CUSTOMER_IN_FLIGHT: u32 = 256;

/// Estimated time of a request at a plain service, in microseconds.
const PLAIN_COST_US: u64 = 30_000;

/// Estimated time of one prompt token and of one answer token, in microseconds of an engine.
const PROMPT_TOKEN_US: u64 = 20;

/// Estimated time of one answer token in a batch, in microseconds of an engine.
const ANSWER_TOKEN_US: u64 = 200;

/// Time within which a failed dial shows that a lost run was lost to a crash.
const CRASH_EVIDENCE: Duration = Duration::from_millis(1_500);

/// Time for which parts are told to other instances; covers several exchanges.
const PART_NEWS: Duration = Duration::from_millis(900);

/// Time between two looks at a queue whose upstreams may open without mail.
const QUEUE_LOOK: Duration = Duration::from_millis(20);

/// Time between two looks at requests that wait for a reading.
const PARKED_LOOK: Duration = Duration::from_millis(50);

/// Time after new weights are named from which answers made on older ones are worth less.
const PREFERRED_AFTER: Duration = Duration::from_millis(1_300);

/// Suspicions that are kept to be told.
const MAX_SUSPICIONS: usize = 256;

/// Shared tokens from which other instances are told of a prompt's parts.
const MIN_TOLD_TOKENS: u64 = 512;

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
    fn place_charged(&mut self, now: Moment, ask: PlaceAsk, reply_to: ReplyTo<PlaceReply>) {
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
            PlaceStep::Full
        };
        match step {
            PlaceStep::Send(choice) => {
                let ticket = self.next_ticket();
                let at = self.start(now, ticket, &ask, choice);
                reply_to.send(PlaceReply::Placed(Box::new(at)));
            }
            PlaceStep::Nowhere => {
                reply_to.send(PlaceReply::Refused(PlaceRefusal::NoUpstream));
            }
            PlaceStep::Await(_) => self.parked.push(WaitingPlace { ask, reply_to }),
            PlaceStep::Full => self.enqueue(now, ask, reply_to),
        }
    }

    /// Looks again at requests that wait for a reading of their shared parts; returns when to
    /// look again at the latest.
    pub(super) fn pump_parked(&mut self, now: Moment) -> Moment {
        if self.parked.is_empty() {
            return Moment::NEVER;
        }
        for WaitingPlace { ask, reply_to } in std::mem::take(&mut self.parked) {
            self.place_charged(now, ask, reply_to);
        }
        if self.parked.is_empty() {
            return Moment::NEVER;
        }
        now.after(PARKED_LOOK)
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

    fn choose_for(&self, now: Moment, ask: &PlaceAsk) -> PlaceStep {
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.services.get(&ask.service));
        let prompt = ask.prompt.as_deref();
        let newest = prompt.and_then(|prompt| self.versions.get(&prompt.model));
        let view = PlaceView {
            now,
            place: self.identity.place,
            fleet: &self.fleet,
            parts: &self.parts,
            engine: service.and_then(|service| service.engine),
            kept_store: routes.and_then(|routes| routes.kept_store),
            newest: newest.map(|named| NewestWeights {
                version: named.version,
                is_preferred: now.since(named.learned) >= PREFERRED_AFTER,
                oldest_allowed: named.oldest_allowed(now),
            }),
        };
        let question = PlaceQuestion {
            service: ask.service,
            prompt,
            wall: wall(ask),
            body_bytes: ask.body_bytes,
            excluded: &ask.excluded,
            patience: ask.start_by,
            draw: ask.fingerprint.0,
        };
        choose(view, question)
    }

    fn enqueue(&mut self, now: Moment, ask: PlaceAsk, reply_to: ReplyTo<PlaceReply>) {
        let ticket = self.next_ticket();
        let slots = self.slots(now, ask.service);
        let item = QueueItem {
            ticket,
            customer: CustomerId(customer_number(&ask.customer)),
            share: CustomerShare {
                weight: 1,
                max_in_flight: CUSTOMER_IN_FLIGHT,
            },
            rank: ask.rank,
            cost_us: cost_us(&ask),
            start_by: ask.start_by,
        };
        let wait_us = u64::try_from(ask.start_by.remaining(now).as_micros()).unwrap_or(u64::MAX);
        let queue = self.queues.entry(ask.service).or_insert_with(|| {
            FairQueue::new(QueuePolicy {
                discipline: QueueDiscipline::RankedFair,
                rank_capacity: QUEUE_CAPACITY,
                floor_percent: FLOOR_PERCENT,
            })
        });
        match queue.offer(now, item, wait_us, &slots) {
            OfferOutcome::Queued => {
                let waiting = WaitingPlace { ask, reply_to };
                self.waiting.insert(ticket, waiting);
            }
            OfferOutcome::Refused(_reason) => {
                reply_to.send(PlaceReply::Refused(PlaceRefusal::Busy));
            }
        }
    }

    /// Starts waiting requests that have room now and refuses those whose time is up; returns
    /// when to look again.
    pub(super) fn pump_queues(&mut self, now: Moment) -> Moment {
        let services: Vec<ServiceId> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| *service)
            .collect();
        let mut due = Moment::NEVER;
        for service in services {
            due = due.min(self.pump(now, service));
        }
        due
    }

    fn pump(&mut self, now: Moment, service: ServiceId) -> Moment {
        loop {
            let mut slots = self.slots(now, service);
            if !self.head_fits(now, service, Rank::Urgent) {
                slots.openings = 0;
            } else if !self.head_fits(now, service, Rank::Routine) {
                // Only urgent requests may start now.
                slots.running[Rank::Routine.index()] = slots.slots;
                slots.slots *= 2;
            }
            let Some(queue) = self.queues.get_mut(&service) else {
                return Moment::NEVER;
            };
            match queue.next(now, &slots) {
                QueueStep::Start(item) => self.start_waiting(now, item.ticket),
                QueueStep::Expired(item) => {
                    if let Some(waiting) = self.waiting.remove(&item.ticket) {
                        let refusal = PlaceReply::Refused(PlaceRefusal::Busy);
                        waiting.reply_to.send(refusal);
                    }
                }
                QueueStep::Wait => return Moment::NEVER,
                // A pause of an upstream ends without mail, so the queue looks again soon.
                QueueStep::WaitUntil(due) => return due.min(now.after(QUEUE_LOOK)),
            }
        }
    }

    /// Tells whether the next request of a rank has an upstream now, or none waits.
    fn head_fits(&self, now: Moment, service: ServiceId, rank: Rank) -> bool {
        let head = self.queues.get(&service).and_then(|queue| queue.head(rank));
        let Some(waiting) = head.and_then(|ticket| self.waiting.get(&ticket)) else {
            return true;
        };
        !matches!(self.choose_for(now, &waiting.ask), PlaceStep::Full)
    }

    fn start_waiting(&mut self, now: Moment, ticket: Ticket) {
        let Some(WaitingPlace { ask, reply_to }) = self.waiting.remove(&ticket) else {
            return;
        };
        match self.choose_for(now, &ask) {
            PlaceStep::Send(choice) => {
                let at = self.start(now, ticket, &ask, choice);
                reply_to.send(PlaceReply::Placed(Box::new(at)));
            }
            PlaceStep::Await(_) => {
                if let Some(queue) = self.queues.get_mut(&ask.service) {
                    queue.finished(ticket, 0);
                }
                self.parked.push(WaitingPlace { ask, reply_to });
            }
            PlaceStep::Full | PlaceStep::Nowhere => {
                if let Some(queue) = self.queues.get_mut(&ask.service) {
                    queue.finished(ticket, 0);
                }
                reply_to.send(PlaceReply::Refused(PlaceRefusal::Busy));
            }
        }
    }

    /// Returns how many requests of this instance the open upstreams of a service can take.
    fn slots(&self, now: Moment, service: ServiceId) -> RunningSlots {
        let routes = self.routes.as_ref();
        let rule = routes.and_then(|routes| routes.services.get(&service));
        let is_engine = rule.is_some_and(|rule| rule.engine.is_some());
        let mut slots = 0;
        let mut openings = 0;
        for (_, member) in self.fleet.of_service(service) {
            slots += room(member, is_engine);
            if member.is_open(now) {
                openings += room(member, is_engine).saturating_sub(member.load(now).in_flight);
            }
        }
        let mut running = [0, 0];
        for place in self.running.values() {
            if place.service == service {
                running[place.rank] += 1;
            }
        }
        RunningSlots {
            slots,
            running,
            openings,
        }
    }

    fn start(
        &mut self,
        now: Moment,
        ticket: Ticket,
        ask: &PlaceAsk,
        choice: MemberChoice,
    ) -> PlacedAt {
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
                ("fetch", &format_args!("{:?}", choice.fetch_from)),
                ("save", &choice.save_to.is_some()),
                ("retry", &ask.is_retry),
            ],
        );
        let read_tokens = self.note_reading(now, ask, &choice);
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
            chain: choice.chain,
            read_tokens,
            is_kept: choice.save_to.is_some(),
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
            save_to: choice.save_to,
            link: self.pool.take(now, choice.member),
        };
        self.running.insert(ticket, place);
        at
    }

    /// Notes that an upstream is about to read a prompt; returns the tokens that it adds to the
    /// upstream's memory.
    fn note_reading(&mut self, now: Moment, ask: &PlaceAsk, choice: &MemberChoice) -> u64 {
        let Some(prompt) = ask.prompt.as_deref() else {
            return 0;
        };
        let added = choice.memory_tokens;
        if let Some(member) = self.fleet.get_mut(choice.member) {
            member.read_mark += added;
        }
        if choice.missing_tokens > 0 {
            self.parts.note_reading(now, &choice.chain);
            if prompt.shared_tokens() >= MIN_TOLD_TOKENS {
                self.tell_parts(now, choice.member, &choice.chain, 0, false, false);
            }
        }
        added
    }

    /// Notes that the shared parts of a request have been read.
    fn note_read(&mut self, now: Moment, place: &RunningPlace) {
        let Some(member) = self.fleet.get(place.member) else {
            return;
        };
        let mark = member.read_mark;
        self.parts.note_used(now, &place.chain, place.member, mark);
        if place.is_kept {
            self.parts.note_kept(now, &place.chain);
        }
        let shared: u64 = place.chain.iter().map(|(_, tokens)| tokens).sum();
        if shared >= MIN_TOLD_TOKENS {
            let (added, is_kept) = (place.read_tokens, place.is_kept);
            self.tell_parts(now, place.member, &place.chain, added, true, is_kept);
        }
    }

    /// Gathers news of parts for other instances.
    fn tell_parts(
        &mut self,
        now: Moment,
        member: MemberKey,
        chain: &[(u64, u64)],
        read_tokens: u64,
        is_read: bool,
        is_kept: bool,
    ) {
        let Some(upstream) = self.fleet.get(member).map(|member| member.id_hash) else {
            return;
        };
        while let Some((told, _)) = self.recent_parts.front() {
            if now.since(*told) < PART_NEWS {
                break;
            }
            self.recent_parts.pop_front();
        }
        let news = chain.iter().map(|(part, _)| WirePart {
            chain: *part,
            upstream,
            read_tokens,
            is_read,
            is_kept,
        });
        self.recent_parts.extend(news.map(|part| (now, part)));
    }

    /// Notes that a request has produced its first output.
    pub(super) fn note_producing(&mut self, now: Moment, ticket: Ticket) {
        let Some(place) = self.running.get_mut(&ticket) else {
            return;
        };
        let read = std::mem::take(&mut place.unread_tokens);
        let place = place.clone();
        if let Some(member) = self.fleet.get_mut(place.member) {
            member.own.unread_tokens = member.own.unread_tokens.saturating_sub(read);
        }
        if let Some(queue) = self.queues.get_mut(&place.service) {
            queue.producing(ticket);
        }
        self.note_read(now, &place);
    }

    /// Takes a place back.
    pub(super) fn release(&mut self, now: Moment, end: PlaceEnd) {
        let Some(place) = self.running.remove(&end.ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&place.service) {
            let ran = now.since(place.placed).as_micros();
            queue.finished(end.ticket, u64::try_from(ran).unwrap_or(u64::MAX));
        }
        let Some(member) = self.fleet.get_mut(place.member) else {
            return;
        };
        let load = &mut member.own;
        load.in_flight = load.in_flight.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(place.unread_tokens);
        load.memory_tokens = load.memory_tokens.saturating_sub(place.memory_tokens);
        member.note_outcome(now, end.outcome);
        if let Some((link, usable)) = end.link {
            self.pool.put(place.member, link, usable);
        }
        // A run that ended before its first output has read nothing that others may wait for.
        if place.unread_tokens > 0 {
            self.parts.note_given_up(&place.chain);
        }
        self.note_run_end(now, &place, end.outcome);
    }

    fn note_run_end(&mut self, now: Moment, place: &RunningPlace, outcome: MemberOutcome) {
        match outcome {
            MemberOutcome::Lost => {
                let run = (now, place.member, place.fingerprint);
                self.broken_runs.push_back(run);
                while self.broken_runs.len() > QUEUE_CAPACITY {
                    self.broken_runs.pop_front();
                }
            }
            MemberOutcome::Unreachable => {
                self.pool.forget(place.member);
                self.note_crash(now, place.member);
            }
            MemberOutcome::Answered if !self.suspects.is_empty() => {
                let crashes = self.suspects.crashes(now, place.fingerprint).to_vec();
                self.suspects.clear(now, place.fingerprint, &crashes);
            }
            _ => {}
        }
    }

    /// Suspects the requests whose runs broke shortly before an upstream was found to be down.
    pub(super) fn note_crash(&mut self, now: Moment, member: MemberKey) {
        let Some(crashed) = self.fleet.get(member) else {
            return;
        };
        let crash = CrashId {
            sidecar: Incarnation(crashed.id_hash),
            epoch: EngineEpoch(crashed.entry.born),
        };
        let broken = self
            .broken_runs
            .iter()
            .filter(|(lost, key, _)| *key == member && now.since(*lost) < CRASH_EVIDENCE);
        for (_, _, fingerprint) in broken {
            self.suspects.report(now, *fingerprint, crash);
            let suspicion = WireSuspicion {
                fingerprint: fingerprint.0,
                upstream: crash.sidecar.0,
                born: crash.epoch.0,
            };
            self.recent_suspicions.push_back((now, suspicion));
        }
        let excess = self.recent_suspicions.len().saturating_sub(MAX_SUSPICIONS);
        self.recent_suspicions.drain(..excess);
        self.broken_runs.retain(|(_, key, _)| *key != member);
    }

    /// Closes idle connections whose time is up.
    pub(super) fn sweep_links(&mut self, now: Moment) {
        self.pool.sweep(now);
    }

    /// Leaves an upstream out until the moment.
    pub(super) fn hold(&mut self, member: MemberKey, until: Moment) {
        if let Some(member) = self.fleet.get_mut(member) {
            member.held_until = until;
            member.is_own_hold = true;
        }
    }
}

fn wall(ask: &PlaceAsk) -> &str {
    if ask.is_isolated { &ask.customer } else { "" }
}

fn customer_number(customer: &str) -> u32 {
    u32::try_from(name_hash(customer) >> 32).unwrap_or(0)
}

fn cost_us(ask: &PlaceAsk) -> u64 {
    match ask.prompt.as_deref() {
        None => PLAIN_COST_US,
        Some(prompt) => {
            let own = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
            own * PROMPT_TOKEN_US + prompt.answer_tokens * ANSWER_TOKEN_US
        }
    }
}

//! Requests that wait: in the queue of their service, or for a reading of their shared parts.

use std::time::Duration;

use super::state::{DispatchState, WaitingPlace};
use crate::decide::hashing::name_hash;
use crate::decide::ids::{Rank, Ticket};
use crate::decide::member_choice::{ChoiceOutcome, capacity};
use crate::decide::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use crate::decide::route_table::ServiceId;
use crate::gateway::mail::{PlaceAsk, PlaceRefusal, PlaceReply};
use crate::kernel::{Moment, ReplyTo};

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

/// Time between two looks at a queue whose upstreams may open without mail.
const QUEUE_LOOK: Duration = Duration::from_millis(20);

/// Time between two looks at requests that wait for a reading.
const PARKED_LOOK: Duration = Duration::from_millis(50);

impl DispatchState {
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

    pub(super) fn enqueue(&mut self, now: Moment, ask: PlaceAsk, reply_to: ReplyTo<PlaceReply>) {
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
        !matches!(self.choose_for(now, &waiting.ask), ChoiceOutcome::Full)
    }

    fn start_waiting(&mut self, now: Moment, ticket: Ticket) {
        let Some(WaitingPlace { ask, reply_to }) = self.waiting.remove(&ticket) else {
            return;
        };
        match self.choose_for(now, &ask) {
            ChoiceOutcome::Send(choice) => {
                let at = self.start(now, ticket, &ask, choice);
                reply_to.send(PlaceReply::Placed(Box::new(at)));
            }
            ChoiceOutcome::WaitForPrefill(_) => {
                if let Some(queue) = self.queues.get_mut(&ask.service) {
                    queue.finished(ticket, 0);
                }
                self.parked.push(WaitingPlace { ask, reply_to });
            }
            ChoiceOutcome::Full | ChoiceOutcome::NoUpstream => {
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
            slots += capacity(member, is_engine);
            if member.is_open(now) {
                openings += capacity(member, is_engine).saturating_sub(member.load(now).in_flight);
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

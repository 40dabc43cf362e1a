//! Waiting requests: those in the queue of their service and those parked until an upstream has
//! prefilled their shared prefix.

use std::time::Duration;

use super::state::{DispatchState, WaitingRequest};
use crate::decide::hashing::name_hash;
use crate::decide::ids::{Rank, Ticket};
use crate::decide::member_choice::ChoiceOutcome;
use crate::decide::queue::{
    CustomerId, CustomerShare, FairQueue, OfferOutcome, QueueDiscipline, QueueItem, QueuePolicy,
    QueueStep, RunningSlots,
};
use crate::decide::route_table::ServiceId;
use crate::gateway::mail::{PlacementRefusal, PlacementReply, PlacementRequest};
use crate::kernel::{Moment, ReplyTo, whole_us};

/// Maximum number of waiting requests per rank of a service.
const QUEUE_CAPACITY: usize = 512;

/// Minimum share of a service's time for each rank while the other rank is overloaded, in
/// percent.
const FLOOR_PERCENT: [u8; 2] = [10, 10];

/// Maximum number of waiting and running requests of one customer.
const MAX_CUSTOMER_IN_FLIGHT: u32 = 256;

/// Estimated service time of a request to a plain service, in microseconds.
const PLAIN_COST_US: u64 = 30_000;

/// Estimated prefill time per prompt token, in microseconds of engine time.
const PROMPT_TOKEN_US: u64 = 20;

/// Estimated decode time per answer token in a batch, in microseconds of engine time.
const ANSWER_TOKEN_US: u64 = 200;

/// Interval at which a queue is checked while its upstreams may become available without a
/// message.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which parked requests are checked.
const PARKED_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl DispatchState {
    /// Tries again to place requests that wait for the prefill of their shared prefix. Returns
    /// the time of the next check.
    pub(super) fn retry_parked(&mut self, now: Moment) -> Moment {
        if self.parked.is_empty() {
            return Moment::NEVER;
        }
        for WaitingRequest { request, reply_to } in std::mem::take(&mut self.parked) {
            if self.is_poisonous(now, &request) {
                reply_to.send(PlacementReply::Refused(PlacementRefusal::Poisonous));
                continue;
            }
            self.place_or_queue(now, request, reply_to);
        }
        if self.parked.is_empty() {
            return Moment::NEVER;
        }
        now.after(PARKED_POLL_INTERVAL)
    }

    /// Adds a request to the queue of its service, or refuses it if the queue does.
    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        request: PlacementRequest,
        reply_to: ReplyTo<PlacementReply>,
    ) {
        let ticket = self.next_ticket();
        let slots = self.slots(now, request.service);
        let item = QueueItem {
            ticket,
            customer: CustomerId(customer_hash(&request.customer)),
            share: CustomerShare {
                weight: 1,
                max_in_flight: MAX_CUSTOMER_IN_FLIGHT,
            },
            rank: request.rank,
            cost_us: cost_us(&request),
            start_by: request.start_by,
        };
        let wait_us = whole_us(request.start_by.remaining(now));
        let queue = self.queues.entry(request.service).or_insert_with(|| {
            FairQueue::new(QueuePolicy {
                discipline: QueueDiscipline::RankedFair,
                rank_capacity: QUEUE_CAPACITY,
                floor_percent: FLOOR_PERCENT,
            })
        });
        match queue.offer(now, item, wait_us, &slots) {
            OfferOutcome::Queued => {
                let waiting = WaitingRequest { request, reply_to };
                self.waiting.insert(ticket, waiting);
            }
            OfferOutcome::Refused(_reason) => {
                reply_to.send(PlacementReply::Refused(PlacementRefusal::Busy));
            }
        }
    }

    /// Starts queued requests for which an upstream has capacity and refuses expired ones.
    /// Returns the time of the next check.
    pub(super) fn serve_queues(&mut self, now: Moment) -> Moment {
        let services: Vec<ServiceId> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| *service)
            .collect();
        let mut due = Moment::NEVER;
        for service in services {
            due = due.min(self.serve_queue(now, service));
        }
        due
    }

    /// Starts and expires requests of one service until the next one has to wait.
    fn serve_queue(&mut self, now: Moment, service: ServiceId) -> Moment {
        loop {
            let mut slots = self.slots(now, service);
            if !self.head_fits(now, service, Rank::Urgent) {
                slots.max_starts = 0;
            } else if !self.head_fits(now, service, Rank::Routine) {
                // Makes the routine rank look fully loaded, so that only urgent requests start.
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
                        let refusal = PlacementReply::Refused(PlacementRefusal::Busy);
                        waiting.reply_to.send(refusal);
                    }
                }
                QueueStep::Wait => return Moment::NEVER,
                // No message announces the end of an upstream's pause, so the queue is polled.
                QueueStep::WaitUntil(due) => return due.min(now.after(QUEUE_POLL_INTERVAL)),
            }
        }
    }

    /// Reports whether an upstream can take the next request of a rank, or the rank is empty.
    fn head_fits(&self, now: Moment, service: ServiceId, rank: Rank) -> bool {
        let head = self.queues.get(&service).and_then(|queue| queue.head(rank));
        let Some(waiting) = head.and_then(|ticket| self.waiting.get(&ticket)) else {
            return true;
        };
        !matches!(
            self.choose_upstream(now, &waiting.request),
            ChoiceOutcome::Full | ChoiceOutcome::Paused(_)
        )
    }

    /// Places a request that the queue has released, parks it, or refuses it.
    fn start_waiting(&mut self, now: Moment, ticket: Ticket) {
        let Some(WaitingRequest { request, reply_to }) = self.waiting.remove(&ticket) else {
            return;
        };
        if self.is_poisonous(now, &request) {
            if let Some(queue) = self.queues.get_mut(&request.service) {
                queue.record_end(ticket, 0);
            }
            reply_to.send(PlacementReply::Refused(PlacementRefusal::Poisonous));
            return;
        }
        if let Some(refusal) = self.over_quota(now, &request) {
            if let Some(queue) = self.queues.get_mut(&request.service) {
                queue.record_end(ticket, 0);
            }
            reply_to.send(PlacementReply::Refused(refusal));
            return;
        }
        match self.choose_upstream(now, &request) {
            ChoiceOutcome::Send(choice) => {
                let placement = self.start_placement(now, ticket, &request, choice);
                reply_to.send(PlacementReply::Placed(Box::new(placement)));
            }
            ChoiceOutcome::WaitForPrefill(_) => {
                if let Some(queue) = self.queues.get_mut(&request.service) {
                    queue.record_end(ticket, 0);
                }
                self.parked.push(WaitingRequest { request, reply_to });
            }
            ChoiceOutcome::Full | ChoiceOutcome::Paused(_) | ChoiceOutcome::NoUpstream => {
                if let Some(queue) = self.queues.get_mut(&request.service) {
                    queue.record_end(ticket, 0);
                }
                reply_to.send(PlacementReply::Refused(PlacementRefusal::Busy));
            }
        }
    }

    /// Returns the capacity that the upstreams of a service have for requests of this instance.
    fn slots(&self, now: Moment, service: ServiceId) -> RunningSlots {
        let routes = self.routes.as_ref();
        let rule = routes.and_then(|routes| routes.services.get(&service));
        let is_engine = rule.is_some_and(|rule| rule.engine.is_some());
        let mut slots = 0;
        let mut max_starts = 0;
        for (_, member) in self.fleet.of_service(service) {
            slots += member.capacity(is_engine);
            if member.is_open(now) {
                max_starts += member
                    .capacity(is_engine)
                    .saturating_sub(member.load(now).in_flight);
            }
        }
        let mut running = [0, 0];
        for request in self.running.values() {
            if request.service == service {
                running[request.rank] += 1;
            }
        }
        RunningSlots {
            slots,
            running,
            max_starts,
        }
    }
}

/// Returns a hash of the customer's name, by which the queue distinguishes customers.
fn customer_hash(customer: &str) -> u32 {
    u32::try_from(name_hash(customer) >> 32).unwrap_or(0)
}

/// Returns the estimated cost of a request; prefill of shared segments is not counted.
fn cost_us(request: &PlacementRequest) -> u64 {
    match request.prompt.as_deref() {
        None => PLAIN_COST_US,
        Some(prompt) => {
            let own = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
            own * PROMPT_TOKEN_US + prompt.answer_tokens * ANSWER_TOKEN_US
        }
    }
}

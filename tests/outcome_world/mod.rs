//! Simulation of requests over an unreliable network to upstreams that crash, restart, stop and
//! pause.

mod claims;
mod faults;
mod network;
mod request;
mod upstream;

use std::time::Duration;

use bulrushslip::decide::claims::{ClaimTarget, ClaimVerdict};
use bulrushslip::decide::config::UpstreamKey;
use bulrushslip::decide::ids::{Incarnation, Repeatability, Ticket};
use bulrushslip::decide::outcome::{RefusalReason, RunStatus};
use bulrushslip::decide::request_step::{RequestEvent, RequestStep, SidecarCall};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::{Moment, Signal};
use bulrushslip::services::common::mail::Mail;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use claims::ClaimModel;
pub use faults::FaultRates;
use network::{Packet, PendingReply, ReplyResult, ledger_mail};
use request::{RequestModel, new_request};
use upstream::{UPSTREAMS, UpstreamModel, configuration};

/// Virtual time that passes in one step.
const STEP: Duration = Duration::from_millis(10);

/// Time from the stop of a ledger to the end of its process.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Number of steps during which faults are injected.
const FAULT_STEPS: u32 = 800;

/// Number of steps after which every request must have ended.
const END_STEPS: u32 = 9_000;

/// Simulated fleet on virtual time.
pub struct Simulation {
    /// Requests of the simulated callers.
    pub requests: Vec<RequestModel>,
    now: Moment,
    random: StdRng,
    rates: FaultRates,
    upstreams: Vec<UpstreamModel>,
    keys: Vec<UpstreamKey>,
    /// Incarnation of each sidecar that the entry knows.
    known_incarnations: Vec<Incarnation>,
    packets: Vec<Packet>,
    /// Upstream, request, nonce and reply channel of each call that a sidecar has received.
    pending_replies: Vec<(usize, usize, u64, PendingReply)>,
    /// Arrival time, request, nonce and result of each reply on its way.
    replies: Vec<(Moment, usize, u64, ReplyResult)>,
    nonces: u64,
    ticket_sequence: u64,
    claims: ClaimModel,
}

impl Simulation {
    /// Creates a fleet and its requests from a seed.
    pub fn new(seed: u64, rates: FaultRates) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut upstreams: Vec<UpstreamModel> = (0..UPSTREAMS)
            .map(|index| UpstreamModel::new(index != 0))
            .collect();
        for (index, upstream) in upstreams.iter_mut().enumerate() {
            upstream.start_sidecar(random.random(), index);
        }
        let (_, keys) = configuration();
        let requests = (0..12).map(|_| new_request(&mut random)).collect();
        Self {
            requests,
            now: Moment::START,
            random,
            rates,
            upstreams,
            keys,
            known_incarnations: vec![Incarnation(0); UPSTREAMS],
            packets: Vec::new(),
            pending_replies: Vec::new(),
            replies: Vec::new(),
            nonces: 0,
            ticket_sequence: 0,
            claims: ClaimModel::default(),
        }
    }

    /// Makes every request non-idempotent and assigns it one of `keys` idempotency keys.
    pub fn with_keys(mut self, keys: u8) -> Self {
        for request in &mut self.requests {
            request.state.policy.repeatability = Repeatability::NonIdempotent;
            request.key = Some(self.random.random_range(0..keys));
        }
        self
    }

    /// Runs until every request has ended and every delayed packet has arrived, or the last step.
    pub fn run(&mut self) {
        for step in 0..END_STEPS {
            self.now = self.now.after(STEP);
            if step < FAULT_STEPS {
                self.inject_faults();
            } else {
                self.restore_processes();
            }
            self.claims.advance(self.now);
            self.deliver_packets();
            for upstream in &mut self.upstreams {
                upstream.run_until(self.now);
            }
            self.collect_replies();
            self.deliver_replies();
            for request in 0..self.requests.len() {
                self.advance(request);
            }
            let has_ended = self
                .requests
                .iter()
                .all(|request| request.reported.is_some());
            if has_ended && self.packets.is_empty() && step > FAULT_STEPS {
                return;
            }
        }
    }

    /// Returns how often a request ran, over all of its tickets and upstreams.
    pub fn runs(&self, request: &RequestModel) -> u32 {
        let engines = self.upstreams.iter().map(|upstream| &upstream.engine);
        let counts = engines.flat_map(|engine| {
            let engine = engine.lock().expect("the lock is not poisoned");
            let runs = request
                .tickets
                .iter()
                .filter_map(|ticket| engine.runs.get(ticket).copied());
            runs.collect::<Vec<u32>>()
        });
        counts.sum()
    }

    /// Returns true with the probability of `permille` in 1000.
    fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1000) < permille
    }

    /// Returns the arrival time of a message; `None` if it is lost.
    fn arrival(&mut self) -> Option<Moment> {
        if self.chance(self.rates.lost * 10) {
            return None;
        }
        let delay_ms = if self.chance(self.rates.delayed * 10) {
            self.random.random_range(0..8_000)
        } else {
            self.random.random_range(0..20)
        };
        Some(self.now.after(Duration::from_millis(delay_ms)))
    }

    fn deliver_packets(&mut self) {
        for packet in std::mem::take(&mut self.packets) {
            if !packet.arrives.is_due(self.now) {
                self.packets.push(packet);
                continue;
            }
            let Some(sidecar) = &mut self.upstreams[packet.upstream].sidecar else {
                continue;
            };
            let (mail, reply) = ledger_mail(&packet);
            let signal = Signal::Mail(Mail::Ledger(mail));
            sidecar.kernel.post(sidecar.ledger, signal);
            self.pending_replies
                .push((packet.upstream, packet.request, packet.nonce, reply));
        }
    }

    fn collect_replies(&mut self) {
        for (upstream, request, nonce, mut reply) in std::mem::take(&mut self.pending_replies) {
            match reply.poll() {
                None => self.pending_replies.push((upstream, request, nonce, reply)),
                Some((result, has_stopped)) => {
                    if has_stopped {
                        self.upstreams[upstream].end_by(self.now.after(STOP_TIME));
                    }
                    if let Some(arrives) = self.arrival() {
                        self.replies.push((arrives, request, nonce, result));
                    }
                }
            }
        }
    }

    fn deliver_replies(&mut self) {
        for (arrives, request, nonce, result) in std::mem::take(&mut self.replies) {
            let target = &mut self.requests[request];
            if !arrives.is_due(self.now) || !target.paused_until.is_due(self.now) {
                self.replies.push((arrives, request, nonce, result));
                continue;
            }
            if target
                .pending_call
                .is_some_and(|(wanted, _)| wanted == nonce)
            {
                target.handle(self.now, result);
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let is_paused = !request.arrives.is_due(self.now) || !request.paused_until.is_due(self.now);
        if is_paused || request.reported.is_some() {
            return;
        }
        if let Some((_, deadline)) = request.pending_call {
            if deadline.is_due(self.now) {
                request.handle(self.now, (RequestEvent::Lost, Vec::new()));
            }
            return;
        }
        match request.step {
            RequestStep::Finish(status, reason) => {
                request.reported = Some((status, reason));
                self.release_key(index, status);
            }
            RequestStep::Choose => self.choose(index),
            RequestStep::Call {
                upstream,
                incarnation,
                call,
                not_before,
            } if not_before.is_due(self.now) => self.send(index, upstream, incarnation, call),
            RequestStep::Call { .. } => {}
        }
    }

    fn choose(&mut self, index: usize) {
        let excluded = &self.requests[index].state.tried.excluded;
        let mut open: Vec<usize> = (0..UPSTREAMS)
            .filter(|upstream| !excluded.contains(&self.keys[*upstream]))
            .collect();
        if open.is_empty() {
            let event = RequestEvent::NoChoice(RefusalReason::NoUpstream);
            self.requests[index].handle(self.now, (event, Vec::new()));
            return;
        }
        let upstream = open.swap_remove(self.random.random_range(0..open.len()));
        // Most choices follow a quote; the others use the last known incarnation.
        if self.chance(700)
            && let Some(sidecar) = &self.upstreams[upstream].sidecar
        {
            self.known_incarnations[upstream] = sidecar.incarnation;
        }
        self.ticket_sequence += 1;
        let ticket = Ticket {
            entry: Incarnation(5),
            sequence: self.ticket_sequence,
        };
        self.requests[index].tickets.push(ticket);
        if self.requests[index].key.is_some() {
            self.claim(index, upstream, ticket);
            return;
        }
        let event = RequestEvent::Chosen(
            self.keys[upstream],
            self.known_incarnations[upstream],
            ticket,
        );
        self.requests[index].handle(self.now, (event, Vec::new()));
    }

    /// Claims the request's key as the request runner of an entry does; the verdict may be delayed.
    fn claim(&mut self, index: usize, upstream: usize, ticket: Ticket) {
        let request = &mut self.requests[index];
        let Some(key) = request.key else { return };
        let target = ClaimTarget {
            ticket,
            upstream: upstream.to_string(),
            sidecar: self.known_incarnations[upstream],
            fingerprint: Fingerprint(0),
        };
        let released = request.key_ticket.take();
        let claims = &mut self.claims;
        let event = match claims.claim(self.now, &mut self.random, key, released, target) {
            ClaimVerdict::Won => {
                request.key_ticket = Some(ticket);
                RequestEvent::Chosen(
                    self.keys[upstream],
                    self.known_incarnations[upstream],
                    ticket,
                )
            }
            ClaimVerdict::Held(holder) => {
                request.key_ticket = Some(holder.ticket);
                let upstream: usize = holder
                    .upstream
                    .parse()
                    .expect("the name of an upstream is its index");
                RequestEvent::Held(self.keys[upstream], holder.sidecar, holder.ticket)
            }
            ClaimVerdict::Released | ClaimVerdict::Unavailable => {
                request.key_ticket = Some(ticket);
                RequestEvent::NoChoice(RefusalReason::ClaimUnavailable)
            }
        };
        self.nonces += 1;
        request.pending_call = Some((self.nonces, Moment::NEVER));
        let delay_ms = self.random.random_range(0..10_u64).pow(4) / 3;
        let arrives = self.now.after(Duration::from_millis(delay_ms));
        self.replies
            .push((arrives, index, self.nonces, (event, Vec::new())));
    }

    fn release_key(&mut self, index: usize, status: RunStatus) {
        let request = &self.requests[index];
        if let (RunStatus::NotRun, Some(key), Some(ticket)) =
            (status, request.key, request.key_ticket)
        {
            self.claims.release(&mut self.random, key, ticket);
        }
    }

    fn send(
        &mut self,
        index: usize,
        upstream: UpstreamKey,
        incarnation: Incarnation,
        call: SidecarCall,
    ) {
        let upstream = upstream.index();
        if self.upstreams[upstream].sidecar.is_none() {
            self.requests[index].handle(self.now, (RequestEvent::Unsent, Vec::new()));
            return;
        }
        self.nonces += 1;
        let timeout_ms = match call {
            SidecarCall::Read(..) | SidecarCall::Attach(_) => 2_500,
            SidecarCall::Submit(_) | SidecarCall::Withdraw(_) => 1_000,
        };
        let request = &mut self.requests[index];
        request.pending_call = Some((
            self.nonces,
            self.now.after(Duration::from_millis(timeout_ms)),
        ));
        let policy = request.state.policy;
        let budget = policy.start_by.remaining(self.now);
        let packet = Packet {
            request: index,
            nonce: self.nonces,
            upstream,
            incarnation,
            call,
            repeatability: policy.repeatability,
            start_budget_us: u64::try_from(budget.as_micros()).unwrap_or(u64::MAX),
            arrives: self.now,
        };
        let copies = if self.chance(self.rates.duplicated * 10) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if let Some(arrives) = self.arrival() {
                self.packets.push(Packet { arrives, ..packet });
            }
        }
    }
}

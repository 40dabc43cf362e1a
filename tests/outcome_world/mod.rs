//! Many requests over a lossy network to upstreams that crash, restart, stop and pause.

mod network;
mod request;
mod upstream;

use std::time::Duration;

use bulrushslip::decide::attempt_step::{AttemptEvent, AttemptStep, SidecarCall};
use bulrushslip::decide::config::UpstreamKey;
use bulrushslip::decide::ids::{Incarnation, Ticket};
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::kernel::{Moment, Signal};
use bulrushslip::services::mail::Mail;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use network::{Heard, OwedReply, Packet, open_packet};
use request::{RequestModel, new_request};
use upstream::{UPSTREAMS, UpstreamModel, configuration};

/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(10);

/// Time from the stop of a ledger to the end of its process.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Time during which faults happen, in steps.
const FAULT_STEPS: u32 = 800;

/// Time after which every request must have ended, in steps.
const END_STEPS: u32 = 9_000;

/// How often things go wrong, in percent of the calls or in permille of the steps.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    /// Calls and replies that are lost, in percent.
    pub lost: u32,
    /// Calls and replies that are late, in percent.
    pub late: u32,
    /// Calls that arrive twice, in percent.
    pub doubled: u32,
    /// Sidecars killed and started anew, in permille of the steps.
    pub restarts: u32,
    /// Engines crashed, in permille of the steps.
    pub crashes: u32,
    /// Sidecars or entries paused, in permille of the steps.
    pub pauses: u32,
    /// Sidecars stopped as planned, in permille of the steps.
    pub stops: u32,
}

/// The model of a fleet.
pub struct World {
    /// The requests.
    pub requests: Vec<RequestModel>,
    now: Moment,
    random: StdRng,
    rates: FaultRates,
    upstreams: Vec<UpstreamModel>,
    keys: Vec<UpstreamKey>,
    known: Vec<Incarnation>,
    packets: Vec<Packet>,
    owed: Vec<(usize, usize, u64, OwedReply)>,
    replies: Vec<(Moment, usize, u64, Heard)>,
    nonces: u64,
    minted: u64,
}

impl World {
    /// Creates a fleet and its requests.
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
            known: vec![Incarnation(0); UPSTREAMS],
            packets: Vec::new(),
            owed: Vec::new(),
            replies: Vec::new(),
            nonces: 0,
            minted: 0,
        }
    }

    /// Runs until every request has ended and every late packet has arrived.
    pub fn run(&mut self) {
        for step in 0..END_STEPS {
            self.now = self.now.after(STEP);
            if step < FAULT_STEPS {
                self.cause_faults();
            } else {
                self.repair();
            }
            self.deliver_packets();
            for upstream in &mut self.upstreams {
                upstream.run_until(self.now);
            }
            self.collect_replies();
            self.deliver_replies();
            for request in 0..self.requests.len() {
                self.advance(request);
            }
            let is_over = self.requests.iter().all(|request| request.told.is_some());
            if is_over && self.packets.is_empty() && step > FAULT_STEPS {
                return;
            }
        }
    }

    /// Returns how often a request was run, over all of its tickets and upstreams.
    pub fn runs(&self, request: &RequestModel) -> u32 {
        let engines = self.upstreams.iter().map(|upstream| &upstream.engine);
        let counts = engines.flat_map(|engine| {
            let engine = engine.lock().expect("one thread");
            let runs = request
                .tickets
                .iter()
                .filter_map(|ticket| engine.runs.get(ticket).copied());
            runs.collect::<Vec<u32>>()
        });
        counts.sum()
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1000) < permille
    }

    fn cause_faults(&mut self) {
        let index = self.random.random_range(0..UPSTREAMS);
        let pause = self
            .now
            .after(Duration::from_millis(self.random.random_range(0..3000)));
        if self.chance(self.rates.restarts) {
            self.restart(index);
        }
        if self.chance(self.rates.crashes) {
            self.upstreams[index]
                .engine
                .lock()
                .expect("one thread")
                .crash();
        }
        if self.chance(20) {
            self.upstreams[index].engine.lock().expect("one thread").up = true;
        }
        if self.chance(self.rates.pauses) {
            if let Some(sidecar) = &mut self.upstreams[index].sidecar {
                sidecar.paused_until = pause;
            }
            let request = self.random.random_range(0..self.requests.len());
            self.requests[request].paused_until = pause;
        }
        if self.chance(self.rates.stops)
            && let Some(sidecar) = &mut self.upstreams[index].sidecar
        {
            sidecar.kernel.post(sidecar.ledger, Signal::Stop);
        }
        if self.chance(5) && self.upstreams[index].sidecar.is_none() {
            self.restart(index);
        }
    }

    fn restart(&mut self, index: usize) {
        // A killed process answers nothing any more.
        self.owed.retain(|(upstream, ..)| *upstream != index);
        if self.chance(500) {
            self.upstreams[index].sidecar = None;
            return;
        }
        let seed = self.random.random();
        self.upstreams[index].start_sidecar(seed, index);
    }

    fn repair(&mut self) {
        for index in 0..UPSTREAMS {
            self.upstreams[index].engine.lock().expect("one thread").up = true;
            if self.upstreams[index].sidecar.is_none() {
                self.restart(index);
            }
        }
    }

    /// Returns when a message arrives; `None` if it is lost.
    fn arrival(&mut self) -> Option<Moment> {
        if self.chance(self.rates.lost * 10) {
            return None;
        }
        let delay_ms = if self.chance(self.rates.late * 10) {
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
            let (mail, owed) = open_packet(&packet);
            let signal = Signal::Mail(Mail::Ledger(mail));
            sidecar.kernel.post(sidecar.ledger, signal);
            self.owed
                .push((packet.upstream, packet.request, packet.nonce, owed));
        }
    }

    fn collect_replies(&mut self) {
        for (upstream, request, nonce, mut owed) in std::mem::take(&mut self.owed) {
            match owed.poll() {
                None => self.owed.push((upstream, request, nonce, owed)),
                Some((heard, has_stopped)) => {
                    if has_stopped {
                        self.upstreams[upstream].end_by(self.now.after(STOP_TIME));
                    }
                    if let Some(arrives) = self.arrival() {
                        self.replies.push((arrives, request, nonce, heard));
                    }
                }
            }
        }
    }

    fn deliver_replies(&mut self) {
        for (arrives, request, nonce, heard) in std::mem::take(&mut self.replies) {
            let target = &mut self.requests[request];
            if !arrives.is_due(self.now) || !target.paused_until.is_due(self.now) {
                self.replies.push((arrives, request, nonce, heard));
                continue;
            }
            if target
                .outstanding
                .is_some_and(|(wanted, _)| wanted == nonce)
            {
                target.hear(self.now, heard);
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let is_asleep = !request.arrives.is_due(self.now) || !request.paused_until.is_due(self.now);
        if is_asleep || request.told.is_some() {
            return;
        }
        if let Some((_, deadline)) = request.outstanding {
            if deadline.is_due(self.now) {
                request.hear(self.now, (AttemptEvent::Lost, Vec::new()));
            }
            return;
        }
        match request.step {
            AttemptStep::Finish(status, reason) => request.told = Some((status, reason)),
            AttemptStep::Choose => self.choose(index),
            AttemptStep::Call {
                upstream,
                incarnation,
                call,
                not_before,
            } if not_before.is_due(self.now) => self.send(index, upstream, incarnation, call),
            AttemptStep::Call { .. } => {}
        }
    }

    fn choose(&mut self, index: usize) {
        let excluded = &self.requests[index].attempt.tried.excluded;
        let mut open: Vec<usize> = (0..UPSTREAMS)
            .filter(|upstream| !excluded.contains(&self.keys[*upstream]))
            .collect();
        if open.is_empty() {
            let event = AttemptEvent::NoChoice(RefusalReason::NoUpstream);
            self.requests[index].hear(self.now, (event, Vec::new()));
            return;
        }
        let upstream = open.swap_remove(self.random.random_range(0..open.len()));
        // Most choices follow a quote; the others go by what was heard earlier.
        if self.chance(700)
            && let Some(sidecar) = &self.upstreams[upstream].sidecar
        {
            self.known[upstream] = sidecar.incarnation;
        }
        self.minted += 1;
        let ticket = Ticket {
            entry: Incarnation(5),
            sequence: self.minted,
        };
        let request = &mut self.requests[index];
        request.tickets.push(ticket);
        let event = AttemptEvent::Chosen(self.keys[upstream], self.known[upstream], ticket);
        request.hear(self.now, (event, Vec::new()));
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
            self.requests[index].hear(self.now, (AttemptEvent::Unsent, Vec::new()));
            return;
        }
        self.nonces += 1;
        let timeout_ms = match call {
            SidecarCall::Read(..) | SidecarCall::Attach(_) => 2_500,
            SidecarCall::Submit(_) | SidecarCall::Withdraw(_) => 1_000,
        };
        let request = &mut self.requests[index];
        request.outstanding = Some((
            self.nonces,
            self.now.after(Duration::from_millis(timeout_ms)),
        ));
        let policy = request.attempt.policy;
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
        let copies = if self.chance(self.rates.doubled * 10) {
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

//! Model test of claims on idempotency keys against a naive replay, with lost, delayed, duplicated
//! and reordered appends, coordinator restarts and pauses.

mod property;

use std::collections::{BTreeSet, HashMap};

use bulrushslip::decide::claim_coordinator::{
    ClaimCoordinator, ClaimPage, ClaimStep, CoordinatorLimits, CoordinatorStep,
};
use bulrushslip::decide::claim_coordinator::{PendingKey, VerdictList};
use bulrushslip::decide::claims::{
    ClaimRecord, ClaimTable, ClaimTarget, ClaimVerdict, KeyHash, MAX_RELEASES,
};
use bulrushslip::decide::ids::{Incarnation, LogOffset, LogPosition, StoreEra, Ticket};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of generated action sequences.
const CASES: u64 = 2_000;

/// Number of simulated coordinators of the partition.
const HOMES: usize = 3;
const KEYS: u8 = 3;
const CLAIM_TIMEOUT_US: u64 = 400_000;

/// State of a ticket at its upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpstreamState {
    Unseen,
    Ran,
    Tombstone,
}

struct Request {
    key: u8,
    ticket: Ticket,
    upstream: UpstreamState,
    verdict: Option<ClaimVerdict>,
    released: Option<Ticket>,
    gave_up: bool,
}

/// Result of a call to the log that has taken effect but has not been returned yet.
enum LogResponse {
    Append(Option<LogPosition>),
    Read(Option<ClaimPage>),
}

struct Coordinator {
    state: ClaimCoordinator,
    response: Option<LogResponse>,
    waiting: HashMap<PendingKey, usize>,
}

impl Coordinator {
    fn new() -> Self {
        Self {
            state: ClaimCoordinator::new(CoordinatorLimits::default()),
            response: None,
            waiting: HashMap::new(),
        }
    }
}

struct Simulation {
    now: Moment,
    log: Vec<Vec<ClaimRecord>>,
    delayed: Vec<Vec<ClaimRecord>>,
    coordinators: Vec<Coordinator>,
    requests: Vec<Request>,
    /// Verdicts that have not been delivered to their entries yet; delivered in any order.
    undelivered: Vec<(usize, ClaimVerdict)>,
    delivered: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Moment::START,
            log: Vec::new(),
            delayed: Vec::new(),
            coordinators: (0..HOMES).map(|_| Coordinator::new()).collect(),
            requests: Vec::new(),
            undelivered: Vec::new(),
            delivered: 0,
        }
    }

    fn act(&mut self, (action, first, second): (u8, u8, u8)) {
        let coordinator = usize::from(second) % HOMES;
        let request = usize::from(first) % self.requests.len().max(1);
        match action % 16 {
            0 | 1 => self.add_request(first % KEYS, coordinator),
            2 => self.submit(request, coordinator),
            3..=6 => self.start_call(coordinator, first),
            7..=9 => self.finish_call(coordinator),
            10 if !self.delayed.is_empty() => {
                let picked = usize::from(first) % self.delayed.len();
                let records = self.delayed.swap_remove(picked);
                self.log.push(records);
            }
            // A restart loses the table and the pending claims; the effect of a call in progress
            // stays on the log.
            11 if first < 64 => self.coordinators[coordinator] = Coordinator::new(),
            12 => self.advance(u64::from(first) * 1000),
            13 if !self.undelivered.is_empty() => {
                let picked = usize::from(first) % self.undelivered.len();
                let (request, verdict) = self.undelivered.swap_remove(picked);
                self.receive(request, verdict);
            }
            14 => self.run_winner(usize::from(first)),
            15 if first < 160 => {
                self.take_over(
                    usize::from(second) % self.requests.len().max(1),
                    coordinator,
                );
            }
            15 if first < 200 => {
                self.give_up(
                    usize::from(second) % self.requests.len().max(1),
                    coordinator,
                );
            }
            _ => {}
        }
    }

    fn add_request(&mut self, key: u8, coordinator: usize) {
        let ticket = Ticket {
            entry: Incarnation(7),
            sequence: self.requests.len() as u64 + 1,
        };
        self.requests.push(Request {
            key,
            ticket,
            upstream: UpstreamState::Unseen,
            verdict: None,
            released: None,
            gave_up: false,
        });
        self.submit(self.requests.len() - 1, coordinator);
    }

    fn submit(&mut self, index: usize, coordinator: usize) {
        let Some(request) = self.requests.get(index) else {
            return;
        };
        if request.verdict == Some(ClaimVerdict::Won) && !request.gave_up {
            return;
        }
        let target = (!request.gave_up).then(|| ClaimTarget {
            ticket: request.ticket,
            upstream: format!("upstream-{}", request.ticket.sequence % 2),
            sidecar: Incarnation(1),
            fingerprint: Fingerprint(u64::from(request.key)),
        });
        let released = if request.gave_up {
            Some(request.ticket)
        } else {
            request.released
        };
        let record = ClaimRecord {
            customer: "wales".to_owned(),
            key: KeyHash(u128::from(request.key)),
            released,
            target,
            expires_s: 0,
        };
        let deadline = Moment::from_micros(self.now.as_micros() + CLAIM_TIMEOUT_US);
        match self.coordinators[coordinator]
            .state
            .submit(self.now, record, deadline)
        {
            ClaimStep::Answer(verdict) => self.undelivered.push((index, verdict)),
            ClaimStep::Pending(key) => {
                self.coordinators[coordinator].waiting.insert(key, index);
            }
        }
    }

    fn start_call(&mut self, coordinator: usize, fault: u8) {
        if self.coordinators[coordinator].response.is_some() {
            return;
        }
        let response = match self.coordinators[coordinator].state.next_step(self.now) {
            CoordinatorStep::WaitUntil(_) => return,
            CoordinatorStep::Append(records) => LogResponse::Append(self.append(records, fault)),
            CoordinatorStep::Read(from) => LogResponse::Read(self.read(from, fault)),
        };
        self.coordinators[coordinator].response = Some(response);
    }

    fn append(&mut self, records: Vec<ClaimRecord>, fault: u8) -> Option<LogPosition> {
        match fault % 8 {
            0 => return None,
            1 => {
                self.delayed.push(records);
                return None;
            }
            2 => self.delayed.push(records.clone()),
            _ => {}
        }
        self.log.push(records);
        let position = LogPosition {
            era: StoreEra(0),
            offset: LogOffset(self.log.len() as u64 - 1),
        };
        (fault % 8 != 3).then_some(position)
    }

    fn read(&self, from: LogOffset, fault: u8) -> Option<ClaimPage> {
        if fault.is_multiple_of(8) {
            return None;
        }
        let limit = if fault % 8 == 1 { 1 } else { usize::MAX };
        let batches = (0..).map(LogOffset).zip(self.log.iter().cloned());
        let wanted = batches.skip_while(|(offset, _)| *offset < from);
        Some(ClaimPage {
            era: StoreEra(0),
            first: LogOffset(0),
            next: LogOffset(self.log.len() as u64),
            batches: wanted.take(limit).collect(),
        })
    }

    fn finish_call(&mut self, coordinator: usize) {
        let now = self.now;
        let target = &mut self.coordinators[coordinator];
        let verdicts = match target.response.take() {
            None => return,
            Some(LogResponse::Append(position)) => target.state.finish_append(now, position),
            Some(LogResponse::Read(page)) => target.state.finish_read(now, page.as_ref()),
        };
        self.queue_verdicts(coordinator, verdicts);
    }

    fn advance(&mut self, micros: u64) {
        self.now = Moment::from_micros(self.now.as_micros() + micros);
        for coordinator in 0..HOMES {
            let verdicts = self.coordinators[coordinator].state.expire(self.now);
            self.queue_verdicts(coordinator, verdicts);
        }
    }

    fn queue_verdicts(&mut self, coordinator: usize, verdicts: VerdictList) {
        for (key, verdict) in verdicts {
            let request = self.coordinators[coordinator].waiting.remove(&key);
            self.undelivered
                .push((request.expect("each verdict belongs to a request"), verdict));
        }
    }

    fn receive(&mut self, index: usize, verdict: ClaimVerdict) {
        let request = &self.requests[index];
        let key = KeyHash(u128::from(request.key));
        self.delivered += 1;
        match &verdict {
            ClaimVerdict::Won => assert!(naive_holders(&self.log, key).contains(&request.ticket)),
            ClaimVerdict::Held(holder) => {
                assert_ne!(holder.ticket, request.ticket);
                assert!(naive_holders(&self.log, key).contains(&holder.ticket));
            }
            ClaimVerdict::Released => assert!(naive_released(&self.log, request.ticket)),
            ClaimVerdict::Unavailable => {}
        }
        let request = &mut self.requests[index];
        if request.verdict != Some(ClaimVerdict::Won) {
            request.verdict = Some(verdict);
        }
    }

    fn run_winner(&mut self, choice: usize) {
        let is_ready = |request: &&mut Request| {
            request.verdict == Some(ClaimVerdict::Won)
                && !request.gave_up
                && request.upstream == UpstreamState::Unseen
        };
        let mut winners: Vec<&mut Request> = self.requests.iter_mut().filter(is_ready).collect();
        let count = winners.len().max(1);
        if let Some(request) = winners.get_mut(choice % count) {
            request.upstream = UpstreamState::Ran;
        }
    }

    /// A request that lost withdraws the holder's ticket and, if that proves the ticket never runs,
    /// claims the key itself.
    fn take_over(&mut self, index: usize, coordinator: usize) {
        let Some(request) = self.requests.get(index) else {
            return;
        };
        let Some(ClaimVerdict::Held(holder)) = request.verdict.clone() else {
            return;
        };
        let held_by = usize::try_from(holder.ticket.sequence - 1).expect("few requests");
        let other = &mut self.requests[held_by];
        if other.upstream == UpstreamState::Ran {
            return;
        }
        other.upstream = UpstreamState::Tombstone;
        self.requests[index].released = Some(holder.ticket);
        self.submit(index, coordinator);
    }

    /// The entry reports to its caller that the request did not run, and never sends it.
    fn give_up(&mut self, index: usize, coordinator: usize) {
        let Some(request) = self.requests.get_mut(index) else {
            return;
        };
        if request.upstream == UpstreamState::Ran {
            return;
        }
        request.gave_up = true;
        self.submit(index, coordinator);
    }

    fn check(&self) {
        for key in 0..KEYS {
            let of_key = self.requests.iter().filter(|request| request.key == key);
            let ran = of_key.filter(|request| request.upstream == UpstreamState::Ran);
            assert!(ran.count() <= 1, "key {key} ran more than once");
        }
    }

    /// Checks that without further faults every claim gets a verdict, and that a replay from the
    /// start finds the same winners.
    fn drain(&mut self) {
        for coordinator in 0..HOMES {
            let mut calls = 0;
            while self.coordinators[coordinator].state.pending_len() > 0 {
                calls += 1;
                assert!(calls < 1000, "some claims get no verdict");
                self.finish_call(coordinator);
                self.start_call(coordinator, 7);
                self.advance(50_000);
            }
        }
        let mut table = ClaimTable::default();
        for (offset, records) in (0..).map(LogOffset).zip(&self.log) {
            table.apply(offset, records);
        }
        for key in (0..KEYS).map(|key| KeyHash(u128::from(key))) {
            let holder = table.holder(key).map(|target| target.ticket);
            assert_eq!(holder, naive_holder(&self.log, key));
        }
    }
}

/// Holder of a key in a direct implementation of the rule: the first claim in offset order whose
/// ticket has not been released.
fn naive_holder(log: &[Vec<ClaimRecord>], key: KeyHash) -> Option<Ticket> {
    let records: Vec<&ClaimRecord> = log.iter().flatten().filter(|r| r.key == key).collect();
    let mut holder: Option<Ticket> = None;
    for (position, record) in records.iter().enumerate() {
        let released = naive_releases(&records[..=position]);
        holder = holder.filter(|ticket| !released.contains(ticket));
        let claimed = record.target.as_ref().map(|target| target.ticket);
        holder = holder.or(claimed.filter(|ticket| !released.contains(ticket)));
    }
    holder
}

fn naive_releases(records: &[&ClaimRecord]) -> BTreeSet<Ticket> {
    let mut released = BTreeSet::new();
    for ticket in records.iter().filter_map(|record| record.released) {
        if released.len() < MAX_RELEASES {
            released.insert(ticket);
        }
    }
    released
}

fn naive_holders(log: &[Vec<ClaimRecord>], key: KeyHash) -> BTreeSet<Ticket> {
    let records: Vec<ClaimRecord> = log
        .iter()
        .flatten()
        .filter(|r| r.key == key)
        .cloned()
        .collect();
    let prefixes = (0..=records.len()).map(|end| vec![records[..end].to_vec()]);
    prefixes
        .filter_map(|prefix| naive_holder(&prefix, key))
        .collect()
}

fn naive_released(log: &[Vec<ClaimRecord>], ticket: Ticket) -> bool {
    log.iter()
        .flatten()
        .any(|record| record.released == Some(ticket))
}

fn run(actions: impl Iterator<Item = (u8, u8, u8)>) -> Simulation {
    let mut simulation = Simulation::new();
    for action in actions {
        simulation.act(action);
        simulation.check();
    }
    simulation.drain();
    simulation.check();
    simulation
}

#[test]
fn one_ticket_wins_each_key_for_generated_actions() {
    property::check(CASES, |actions: &Vec<(u8, u8, u8)>| {
        run(actions.iter().copied());
    });
}

#[test]
fn one_ticket_wins_each_key_for_random_seeds() {
    let (mut ran, mut releases, mut delivered, mut appends) = (0, 0, 0, 0);
    for seed in 0..2000 {
        let mut random = StdRng::seed_from_u64(seed);
        let simulation = run((0..400).map(|_| random.random()));
        let requests = &simulation.requests;
        ran += requests
            .iter()
            .filter(|r| r.upstream == UpstreamState::Ran)
            .count();
        releases += simulation
            .log
            .iter()
            .flatten()
            .filter(|r| r.released.is_some())
            .count();
        delivered += simulation.delivered;
        appends += simulation.log.len();
    }
    println!("2000 seeds: {ran} ran, {delivered} verdicts, {appends} appends, {releases} releases");
    assert!(ran > 1000 && releases > 1000);
}

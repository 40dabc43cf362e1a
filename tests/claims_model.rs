//! Claims on idempotency keys against a naive replay, under loss, delay, doubling, reordering,
//! restart and pause.

mod property;

use std::collections::{BTreeSet, HashMap};

use bulrushslip::decide::claim_home::{ClaimHome, ClaimPage, ClaimStep, HomeBounds, HomeStep};
use bulrushslip::decide::claim_home::{PendingKey, VerdictList};
use bulrushslip::decide::claims::{
    ClaimRecord, ClaimTable, ClaimTarget, ClaimVerdict, KeyHash, MAX_RELEASES,
};
use bulrushslip::decide::ids::{Incarnation, LogOffset, Ticket};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Generated inputs of the property.
const CASES: u64 = 2_000;

const HOMES: usize = 3;
const KEYS: u8 = 3;
const CLAIM_TIMEOUT_US: u64 = 400_000;

/// What the upstream did under a ticket.
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

/// A call to the log that has had its effect and whose answer is under way.
enum Answer {
    Append(Option<LogOffset>),
    Read(Option<ClaimPage>),
}

struct Home {
    state: ClaimHome,
    answer: Option<Answer>,
    askers: HashMap<PendingKey, usize>,
}

impl Home {
    fn new() -> Self {
        Self {
            state: ClaimHome::new(HomeBounds::default()),
            answer: None,
            askers: HashMap::new(),
        }
    }
}

struct World {
    now: Moment,
    log: Vec<Vec<ClaimRecord>>,
    delayed: Vec<Vec<ClaimRecord>>,
    homes: Vec<Home>,
    requests: Vec<Request>,
    /// Verdicts on their way to the entries, delivered in any order.
    mail: Vec<(usize, ClaimVerdict)>,
    told: u64,
}

impl World {
    fn new() -> Self {
        Self {
            now: Moment::START,
            log: Vec::new(),
            delayed: Vec::new(),
            homes: (0..HOMES).map(|_| Home::new()).collect(),
            requests: Vec::new(),
            mail: Vec::new(),
            told: 0,
        }
    }

    fn act(&mut self, (action, first, second): (u8, u8, u8)) {
        let home = usize::from(second) % HOMES;
        let request = usize::from(first) % self.requests.len().max(1);
        match action % 16 {
            0 | 1 => self.arrive(first % KEYS, home),
            2 => self.ask(request, home),
            3..=6 => self.begin_call(home, first),
            7..=9 => self.finish_call(home),
            10 if !self.delayed.is_empty() => {
                let picked = usize::from(first) % self.delayed.len();
                let records = self.delayed.swap_remove(picked);
                self.log.push(records);
            }
            // A restart loses the table and whoever waits; a call under way has had its effect.
            11 if first < 64 => self.homes[home] = Home::new(),
            12 => self.advance(u64::from(first) * 1000),
            13 if !self.mail.is_empty() => {
                let picked = usize::from(first) % self.mail.len();
                let (asker, verdict) = self.mail.swap_remove(picked);
                self.receive(asker, verdict);
            }
            14 => self.run_winner(usize::from(first)),
            15 if first < 160 => {
                self.follow(usize::from(second) % self.requests.len().max(1), home);
            }
            15 if first < 200 => {
                self.give_up(usize::from(second) % self.requests.len().max(1), home);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, key: u8, home: usize) {
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
        self.ask(self.requests.len() - 1, home);
    }

    fn ask(&mut self, asker: usize, home: usize) {
        let Some(request) = self.requests.get(asker) else {
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
        match self.homes[home].state.submit(self.now, record, deadline) {
            ClaimStep::Answer(verdict) => self.mail.push((asker, verdict)),
            ClaimStep::Pending(key) => {
                self.homes[home].askers.insert(key, asker);
            }
        }
    }

    fn begin_call(&mut self, home: usize, fate: u8) {
        if self.homes[home].answer.is_some() {
            return;
        }
        let answer = match self.homes[home].state.next_step(self.now) {
            HomeStep::WaitUntil(_) => return,
            HomeStep::Append(records) => Answer::Append(self.append(records, fate)),
            HomeStep::Read(from) => Answer::Read(self.read(from, fate)),
        };
        self.homes[home].answer = Some(answer);
    }

    fn append(&mut self, records: Vec<ClaimRecord>, fate: u8) -> Option<LogOffset> {
        match fate % 8 {
            0 => return None,
            1 => {
                self.delayed.push(records);
                return None;
            }
            2 => self.delayed.push(records.clone()),
            _ => {}
        }
        self.log.push(records);
        let offset = LogOffset(self.log.len() as u64 - 1);
        (fate % 8 != 3).then_some(offset)
    }

    fn read(&self, from: LogOffset, fate: u8) -> Option<ClaimPage> {
        if fate.is_multiple_of(8) {
            return None;
        }
        let limit = if fate % 8 == 1 { 1 } else { usize::MAX };
        let batches = (0..).map(LogOffset).zip(self.log.iter().cloned());
        let wanted = batches.skip_while(|(offset, _)| *offset < from);
        Some(ClaimPage {
            first: LogOffset(0),
            next: LogOffset(self.log.len() as u64),
            batches: wanted.take(limit).collect(),
        })
    }

    fn finish_call(&mut self, home: usize) {
        let now = self.now;
        let target = &mut self.homes[home];
        let verdicts = match target.answer.take() {
            None => return,
            Some(Answer::Append(offset)) => target.state.finish_append(now, offset),
            Some(Answer::Read(page)) => target.state.finish_read(now, page.as_ref()),
        };
        self.post(home, verdicts);
    }

    fn advance(&mut self, micros: u64) {
        self.now = Moment::from_micros(self.now.as_micros() + micros);
        for home in 0..HOMES {
            let verdicts = self.homes[home].state.expire(self.now);
            self.post(home, verdicts);
        }
    }

    fn post(&mut self, home: usize, verdicts: VerdictList) {
        for (key, verdict) in verdicts {
            let asker = self.homes[home].askers.remove(&key);
            self.mail
                .push((asker.expect("each verdict has an asker"), verdict));
        }
    }

    fn receive(&mut self, asker: usize, verdict: ClaimVerdict) {
        let request = &self.requests[asker];
        let key = KeyHash(u128::from(request.key));
        self.told += 1;
        match &verdict {
            ClaimVerdict::Won => assert!(naive_holders(&self.log, key).contains(&request.ticket)),
            ClaimVerdict::Held(holder) => {
                assert_ne!(holder.ticket, request.ticket);
                assert!(naive_holders(&self.log, key).contains(&holder.ticket));
            }
            ClaimVerdict::Released => assert!(naive_released(&self.log, request.ticket)),
            ClaimVerdict::Unavailable => {}
        }
        let request = &mut self.requests[asker];
        if request.verdict != Some(ClaimVerdict::Won) {
            request.verdict = Some(verdict);
        }
    }

    fn run_winner(&mut self, pick: usize) {
        let is_ready = |request: &&mut Request| {
            request.verdict == Some(ClaimVerdict::Won)
                && !request.gave_up
                && request.upstream == UpstreamState::Unseen
        };
        let mut winners: Vec<&mut Request> = self.requests.iter_mut().filter(is_ready).collect();
        let count = winners.len().max(1);
        if let Some(request) = winners.get_mut(pick % count) {
            request.upstream = UpstreamState::Ran;
        }
    }

    /// A loser withdraws the winner's ticket and takes over if that proves it never runs.
    fn follow(&mut self, asker: usize, home: usize) {
        let Some(request) = self.requests.get(asker) else {
            return;
        };
        let Some(ClaimVerdict::Held(holder)) = request.verdict.clone() else {
            return;
        };
        let index = usize::try_from(holder.ticket.sequence - 1).expect("small");
        let other = &mut self.requests[index];
        if other.upstream == UpstreamState::Ran {
            return;
        }
        other.upstream = UpstreamState::Tombstone;
        self.requests[asker].released = Some(holder.ticket);
        self.ask(asker, home);
    }

    /// The entry tells its caller that the request did not run, and never sends it.
    fn give_up(&mut self, asker: usize, home: usize) {
        let Some(request) = self.requests.get_mut(asker) else {
            return;
        };
        if request.upstream == UpstreamState::Ran {
            return;
        }
        request.gave_up = true;
        self.ask(asker, home);
    }

    fn check(&self) {
        for key in 0..KEYS {
            let of_key = self.requests.iter().filter(|request| request.key == key);
            let ran = of_key.filter(|request| request.upstream == UpstreamState::Ran);
            assert!(ran.count() <= 1, "key {key} ran more than once");
        }
    }

    /// Without further faults every claim is answered, and a restart reads the same winners.
    fn drain(&mut self) {
        for home in 0..HOMES {
            let mut calls = 0;
            while self.homes[home].state.pending_len() > 0 {
                calls += 1;
                assert!(calls < 1000, "claims are left without a verdict");
                self.finish_call(home);
                self.begin_call(home, 7);
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

/// The winner of a key by the rule alone: the first claim in offset order that is not released.
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

fn run(actions: impl Iterator<Item = (u8, u8, u8)>) -> World {
    let mut world = World::new();
    for action in actions {
        world.act(action);
        world.check();
    }
    world.drain();
    world.check();
    world
}

#[test]
fn one_ticket_wins_a_key_and_losers_learn_it_for_any_actions() {
    property::check(CASES, |actions: &Vec<(u8, u8, u8)>| {
        run(actions.iter().copied());
    });
}

#[test]
fn one_ticket_wins_a_key_and_losers_learn_it_for_many_seeds() {
    let (mut ran, mut moved, mut told, mut appends) = (0, 0, 0, 0);
    for seed in 0..2000 {
        let mut random = StdRng::seed_from_u64(seed);
        let world = run((0..400).map(|_| random.random()));
        let requests = &world.requests;
        ran += requests
            .iter()
            .filter(|r| r.upstream == UpstreamState::Ran)
            .count();
        moved += world
            .log
            .iter()
            .flatten()
            .filter(|r| r.released.is_some())
            .count();
        told += world.told;
        appends += world.log.len();
    }
    println!("2000 seeds: {ran} ran, {told} verdicts, {appends} appends, {moved} releases");
    assert!(ran > 1000 && moved > 1000);
}

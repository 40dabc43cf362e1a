//! Plays of upstreams that have started or recovered: what they are asked at once, and what callers get,
//! with their paces and without.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::fleet::{Fleet, FleetMember, MemberKey, MemberState, UpstreamEntry};
use bulrushslip::decide::route_table::{DataCentreId, ServiceId};
use bulrushslip::decide::software::SoftwareVersion;
use bulrushslip::decide::upstream_pace::{PaceLoad, PaceNews, PaceSeat};
use bulrushslip::kernel::Moment;

const SLOTS: u32 = 24;
const INSTANCES: u64 = 8;

/// Interval at which instances exchange loads and paces.
const EXCHANGE_MS: u64 = 100;

/// Time from the first token of an answer to its end.
const ANSWER_MS: u64 = 400;

/// Tokens of a long prompt whose prefix is not cached, and of a quick one.
const LONG: u64 = 16_000;
const QUICK: u64 = 300;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Upstream that reads one prompt after the other.
#[derive(Clone, Copy)]
struct Server {
    us_per_token: u64,
    base_ms: u64,
    /// Requests above which it refuses.
    most: u32,
    free_at_us: u64,
    in_flight: u32,
    peak: u32,
}

const FAST: Server = Server {
    us_per_token: 7,
    base_ms: 26,
    most: 96,
    free_at_us: 0,
    in_flight: 0,
    peak: 0,
};

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    tokens: u64,
}

struct Sent {
    instance: usize,
    server: usize,
    request: Request,
    placed_at: u64,
    asked: PaceLoad,
    first_at: u64,
    has_begun: bool,
}

struct Instance {
    fleet: Fleet,
    keys: Vec<MemberKey>,
    waiting: VecDeque<Request>,
}

/// What callers of one kind got.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Got {
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Play {
    servers: Vec<Server>,
    instances: Vec<Instance>,
    sent: Vec<Sent>,
    /// What long and quick requests got.
    got: [Got; 2],
    /// Time between two requests of an instance, and the share of long ones.
    every_ms: u64,
    long_each: u64,
    /// Times in which no exchange takes place.
    lost: std::ops::Range<u64>,
    is_paced: bool,
}

fn instance(servers: usize) -> Instance {
    let mut fleet = Fleet::default();
    let entry = |number: usize| UpstreamEntry {
        id: format!("u-{number}"),
        service: ServiceId::of("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: DataCentreId::of("near"),
        slots: SLOTS,
        state: MemberState::Ready,
        started_unix_ms: 1,
        software: SoftwareVersion(0),
        weights: None,
    };
    for number in 0..servers {
        fleet.apply(entry(number));
    }
    let key = |number| fleet.find(&format!("u-{number}")).expect("listed");
    let keys = (0..servers).map(key).collect();
    Instance {
        fleet,
        keys,
        waiting: VecDeque::new(),
    }
}

impl Play {
    fn new(servers: Vec<Server>, is_paced: bool) -> Self {
        Self {
            instances: (0..INSTANCES).map(|_| instance(servers.len())).collect(),
            servers,
            sent: Vec::new(),
            got: [Got::default(); 2],
            every_ms: 18,
            long_each: 12,
            lost: 0..0,
            is_paced,
        }
    }

    fn member(&mut self, instance: usize, server: usize) -> &mut FleetMember {
        let instance = &mut self.instances[instance];
        instance.fleet.get_mut(instance.keys[server]).expect("kept")
    }

    /// Begins the search for the pace of the first servers at all instances.
    fn recover(&mut self, now: u64, servers: usize) {
        for index in 0..self.instances.len() {
            self.seat(index);
            for server in 0..servers {
                if self.is_paced {
                    self.member(index, server).pace.begin(at(now), 0);
                }
            }
        }
    }

    /// Replaces an instance by one that knows nothing; its requests end.
    fn restart(&mut self, index: usize) {
        self.instances[index] = instance(self.servers.len());
        let servers = &mut self.servers;
        self.sent.retain(|sent| {
            let is_kept = sent.instance != index;
            servers[sent.server].in_flight -= u32::from(!is_kept);
            is_kept
        });
        self.seat(index);
    }

    fn seat(&mut self, index: usize) {
        let all: Vec<u64> = (0..INSTANCES).collect();
        for server in 0..self.servers.len() {
            let member = self.member(index, server);
            member.pace.seat = PaceSeat::among(all[index], &all, member.id_hash);
        }
    }

    /// Plays from `from` to `to`; returns when the first server first had all slots in use.
    fn run(&mut self, from: u64, to: u64) -> Option<u64> {
        let mut full_at = None;
        for now in from..to {
            if now.is_multiple_of(EXCHANGE_MS) && !self.lost.contains(&now) {
                self.exchange(now);
            }
            self.answer(now);
            for index in 0..self.instances.len() {
                let number = now / self.every_ms + index as u64;
                if (now + index as u64).is_multiple_of(self.every_ms) {
                    let is_long = number.is_multiple_of(self.long_each);
                    let tokens = if is_long { LONG } else { QUICK };
                    let request = Request {
                        arrived: now,
                        tokens,
                    };
                    self.instances[index].waiting.push_back(request);
                }
                self.place(now, index);
            }
            if self.servers[0].in_flight >= SLOTS {
                full_at.get_or_insert(now);
            }
        }
        full_at
    }

    fn exchange(&mut self, now: u64) {
        for server in 0..self.servers.len() {
            let known: Vec<_> = (0..self.instances.len())
                .map(|index| {
                    let member = self.member(index, server);
                    (member.own, member.pace.news(at(now)))
                })
                .collect();
            for (from, (load, news)) in known.iter().enumerate() {
                for to in (0..known.len()).filter(|to| *to != from) {
                    let member = self.member(to, server);
                    member.record_peer_load(at(now), from as u64, *load);
                    if let Some(news) = news {
                        let _change = member.pace.apply_news(at(now), *news, false);
                    }
                }
            }
        }
    }

    fn answer(&mut self, now: u64) {
        let mut sent = std::mem::take(&mut self.sent);
        sent.retain_mut(|sent| {
            if !sent.has_begun && sent.first_at <= now {
                sent.has_begun = true;
                let member = self.member(sent.instance, sent.server);
                member.own.unread_tokens -= sent.request.tokens;
                let _change =
                    member
                        .pace
                        .record_answer(at(now), at(sent.placed_at), sent.asked, SLOTS);
                let is_long = sent.request.tokens == LONG;
                let aim = if is_long { 1_000 } else { 250 };
                let got = &mut self.got[usize::from(!is_long)];
                if now - sent.request.arrived <= aim {
                    got.in_time += 1;
                } else {
                    got.late += 1;
                }
            }
            let is_over = sent.first_at + ANSWER_MS <= now;
            if is_over {
                self.member(sent.instance, sent.server).own.in_flight -= 1;
                self.servers[sent.server].in_flight -= 1;
            }
            !is_over
        });
        self.sent = sent;
    }

    /// Places waiting requests of an instance on the upstreams with room that look least busy.
    fn place(&mut self, now: u64, index: usize) {
        while let Some(request) = self.instances[index].waiting.front().copied() {
            let is_long = request.tokens == LONG;
            let instance = &self.instances[index];
            let members = instance
                .keys
                .iter()
                .map(|key| instance.fleet.get(*key).expect("kept"));
            let backlog = if is_long { 12_000 } else { 30_000 };
            let open = members.enumerate().filter(|(_, member)| {
                member.has_room(at(now), true) && member.load(at(now)).unread_tokens <= backlog
            });
            let chosen = open.min_by_key(|(_, member)| member.load(at(now)).in_flight);
            let chosen = chosen.map(|(server, _)| server);
            let is_expired = now - request.arrived > if is_long { 1_000 } else { 250 };
            let Some(server) = chosen.filter(|_| !is_expired) else {
                if is_expired {
                    self.instances[index].waiting.pop_front();
                    self.got[usize::from(!is_long)].refused += 1;
                    continue;
                }
                return;
            };
            self.instances[index].waiting.pop_front();
            self.send(now, index, server, request);
        }
    }

    fn send(&mut self, now: u64, index: usize, server: usize, request: Request) {
        let member = self.member(index, server);
        member.own.in_flight += 1;
        member.own.unread_tokens += request.tokens;
        let asked = member.asked(at(now));
        if self.servers[server].in_flight >= self.servers[server].most {
            let member = self.member(index, server);
            member.own.in_flight -= 1;
            member.own.unread_tokens -= request.tokens;
            member.pace.record_refusal(at(now), at(now), asked);
            self.got[usize::from(request.tokens != LONG)].refused += 1;
            return;
        }
        let upstream = &mut self.servers[server];
        upstream.in_flight += 1;
        upstream.peak = upstream.peak.max(upstream.in_flight);
        let read_at = upstream.free_at_us.max(now * 1_000) + request.tokens * upstream.us_per_token;
        upstream.free_at_us = read_at;
        self.sent.push(Sent {
            instance: index,
            server,
            request,
            placed_at: now,
            asked,
            first_at: read_at / 1_000 + upstream.base_ms,
            has_begun: false,
        });
    }
}

#[test]
fn a_fresh_upstream_that_answers_fast_reaches_full_work_within_a_few_answers() {
    let mut play = Play::new(vec![FAST], true);
    play.every_ms = 5;
    play.recover(0, 1);
    let full_at = play.run(0, 3_000).expect("full work");
    // Some five answers of 28 ms and exchanges after two of them.
    assert!(full_at <= 500, "{full_at} ms");
}

#[test]
fn a_fresh_upstream_that_answers_slowly_or_refuses_is_not_flooded() {
    let slow = Server {
        base_ms: 1_500,
        ..FAST
    };
    let refusing = Server { most: 3, ..FAST };
    for (server, most) in [(slow, 3), (refusing, 3)] {
        let mut peaks = [0; 2];
        let mut refused = [0; 2];
        for is_paced in [false, true] {
            let mut play = Play::new(vec![server], is_paced);
            play.recover(0, 1);
            play.run(0, 5_000);
            peaks[usize::from(is_paced)] = play.servers[0].peak;
            refused[usize::from(is_paced)] = play.got[1].refused;
        }
        println!("peaks {peaks:?}, refused {refused:?} (without, with)");
        assert!(peaks[1] <= most, "{peaks:?}");
    }
}

/// Prints what callers get while three of ten upstreams recover at once.
#[test]
fn callers_get_no_less_while_a_third_of_the_fleet_recovers() {
    let got = [false, true].map(|is_paced| {
        let mut play = Play::new(vec![FAST; 10], is_paced);
        play.recover(0, 3);
        play.run(0, 4_000);
        println!(
            "paced {is_paced}: long {:?}, quick {:?}",
            play.got[0], play.got[1]
        );
        play.got
    });
    let in_time = got.map(|[long, quick]| long.in_time + quick.in_time);
    assert!(in_time[1] * 100 >= in_time[0] * 98, "{in_time:?}");
}

#[test]
fn lost_messages_and_a_restarted_instance_neither_flood_nor_starve_an_upstream() {
    let slow = Server {
        base_ms: 400,
        ..FAST
    };
    let mut play = Play::new(vec![slow], true);
    play.recover(0, 1);
    (play.every_ms, play.long_each) = (200, 40);
    play.lost = 300..3_000;
    play.run(0, 200);
    play.restart(0);
    let search = play.member(1, 0).pace.search().expect("a search");
    let news = PaceNews::Searching(search);
    let _change = play.member(0, 0).pace.apply_news(at(200), news, true);
    assert_eq!(play.member(0, 0).pace.search(), Some(search));
    play.run(200, 3_000);
    let peak = play.servers[0].peak;
    assert!(peak <= SLOTS, "{peak} at once");
    play.run(3_000, 8_000);
    let before = play.got[1].late;
    play.run(8_000, 12_000);
    // Of 40 requests a second; the upstream answers 30 a second.
    let begun = play.got[1].late - before;
    println!("{peak} at once without messages, {begun} begun in the last 4 s");
    assert!(begun >= 90, "{begun} of 120");
}

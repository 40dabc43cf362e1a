//! Propagation of configuration changes through a fleet of 1,140 processes in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::propagation::{
    CallKind, DEFAULT_POLICY, LogStep, PeerStep, PropagationPolicy, PropagationState, ReaderId,
};
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SIDECARS: usize = 770;
const ENTRIES: usize = 370;
/// Network latency of one message.
const LATENCY: Duration = Duration::from_millis(2);
/// Time for which a sidecar holds a call open while it has nothing newer.
const PEER_WAIT: Duration = Duration::from_secs(2);
/// Time for which the log holds a read open while it has no new record.
const LOG_WAIT: Duration = Duration::from_secs(2);
/// Time added to [`PEER_WAIT`] before a call without a response fails.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time until a change is in force at every live process.
const TARGET: Duration = Duration::from_secs(4);
/// Time after the end of an outage within which a designated reader reads the log: half of the second
/// for which operators wait; the other half is for the way to the other processes.
const AFTER_OUTAGE_LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Append,
    LogTurn(usize),
    PeerTurn(usize, usize),
    LogReadArrives {
        reader: usize,
        follow: bool,
    },
    LogResponse {
        reader: usize,
        number: u64,
    },
    CallArrives {
        caller: usize,
        slot: usize,
        peer: usize,
        number: u64,
    },
    WaitEnds {
        caller: usize,
        slot: usize,
        peer: usize,
        number: u64,
    },
    Response {
        caller: usize,
        slot: usize,
        peer: usize,
        number: u64,
        offset: u64,
        evidence: Option<(u64, u64)>,
    },
    CallFails {
        caller: usize,
        slot: usize,
        peer: usize,
        number: u64,
    },
}

struct Process {
    propagation: PropagationState,
    offset: u64,
    reaches_log: bool,
    alive: bool,
    calls: [u64; 2],
    log_call: u64,
    waiters: Vec<(usize, usize, u64)>,
}

struct Fleet {
    processes: Vec<Process>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    random: StdRng,
    now: Moment,
    sequence: u64,
    log_next: u64,
    log_waiters: Vec<(usize, u64)>,
    calls: u64,
    log_reads: u64,
}

fn address(sidecar: usize) -> SocketAddr {
    SocketAddr::from((
        [
            10,
            0,
            u8::try_from(sidecar / 250).unwrap(),
            u8::try_from(sidecar % 250).unwrap(),
        ],
        7_000,
    ))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("not an address of a sidecar")
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    fn new(seed: u64, policy: PropagationPolicy, log_percent: u32, dead_percent: u32) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let declared: Vec<_> = (0..SIDECARS).map(address).collect();
        let mut processes = Vec::new();
        for number in 0..SIDECARS + ENTRIES {
            let own = (number < SIDECARS).then(|| address(number));
            let mut propagation = PropagationState::new(policy, &format!("p{number}"), Vec::new());
            propagation.set_sidecars(&declared, own);
            let designated = propagation.is_designated();
            let reaches_log = random.random_range(0..100) < log_percent;
            processes.push(Process {
                propagation,
                offset: 0,
                reaches_log: log_percent == 100 || (!designated && reaches_log),
                alive: random.random_range(0..100) >= dead_percent,
                calls: [0; 2],
                log_call: 0,
                waiters: Vec::new(),
            });
        }
        let mut fleet = Self {
            processes,
            events: BinaryHeap::new(),
            random,
            now: Moment::START,
            sequence: 0,
            log_next: 1,
            log_waiters: Vec::new(),
            calls: 0,
            log_reads: 0,
        };
        for number in 0..SIDECARS + ENTRIES {
            let jitter = Duration::from_millis(fleet.random.random_range(0..2_000));
            fleet.after(jitter, Event::PeerTurn(number, 0));
            fleet.after(jitter / 2, Event::PeerTurn(number, 1));
            fleet.after(jitter, Event::LogTurn(number));
        }
        fleet
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now.after(delay), self.sequence, event)));
    }

    fn run_until(&mut self, end: Moment) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Append => {
                self.log_next += 1;
                for (reader, number) in std::mem::take(&mut self.log_waiters) {
                    self.after(LATENCY, Event::LogResponse { reader, number });
                }
            }
            Event::LogTurn(p) => self.log_turn(p),
            Event::PeerTurn(p, slot) => self.peer_turn(p, slot),
            Event::LogReadArrives { reader, follow } => self.log_read_arrives(reader, follow),
            Event::LogResponse { reader, number } => {
                if self.processes[reader].log_call == number {
                    self.processes[reader].log_call += 1;
                    let random = self.random.random();
                    self.processes[reader]
                        .propagation
                        .on_log_read(self.now, random);
                    self.advance(reader, self.log_next);
                    self.log_turn(reader);
                }
            }
            Event::CallArrives {
                caller,
                slot,
                peer,
                number,
            } => {
                let newer = self.processes[peer].offset > self.processes[caller].offset;
                if newer {
                    self.respond(caller, slot, peer, number);
                    return;
                }
                self.processes[peer].waiters.push((caller, slot, number));
                self.after(
                    PEER_WAIT,
                    Event::WaitEnds {
                        caller,
                        slot,
                        peer,
                        number,
                    },
                );
            }
            Event::WaitEnds {
                caller,
                slot,
                peer,
                number,
            } => {
                let waiters = &mut self.processes[peer].waiters;
                if let Some(at) = waiters
                    .iter()
                    .position(|waiter| *waiter == (caller, slot, number))
                {
                    waiters.remove(at);
                    self.respond(caller, slot, peer, number);
                }
            }
            Event::Response {
                caller,
                slot,
                number,
                offset,
                evidence,
                ..
            } => {
                if self.processes[caller].calls[slot] == number {
                    if let Some((reader, age_ms)) = evidence {
                        let propagation = &mut self.processes[caller].propagation;
                        propagation.on_peer_evidence(self.now, ReaderId(reader), age_ms);
                    }
                    self.advance(caller, offset);
                    self.peer_turn(caller, slot);
                }
            }
            Event::CallFails {
                caller,
                slot,
                peer,
                number,
            } => {
                if self.processes[caller].calls[slot] == number {
                    self.processes[caller]
                        .propagation
                        .on_peer_failed(self.now, address(peer));
                    self.peer_turn(caller, slot);
                }
            }
        }
    }

    fn log_turn(&mut self, p: usize) {
        if !self.processes[p].alive {
            return;
        }
        let random = self.random.random();
        let offset = LogOffset(self.processes[p].offset);
        match self.processes[p]
            .propagation
            .log_step(self.now, offset, random)
        {
            LogStep::WaitUntil(at) => {
                let delay = at.remaining(self.now).max(Duration::from_millis(1));
                self.after(delay, Event::LogTurn(p));
            }
            step => {
                let follow = step == LogStep::Follow;
                self.log_reads += 1;
                self.after(LATENCY, Event::LogReadArrives { reader: p, follow });
            }
        }
    }

    fn log_read_arrives(&mut self, reader: usize, follow: bool) {
        let process = &mut self.processes[reader];
        if !process.reaches_log {
            let random = self.random.random();
            process.propagation.on_log_failed(self.now, random);
            self.log_turn(reader);
            return;
        }
        let number = process.log_call;
        if follow && process.offset == self.log_next {
            self.log_waiters.push((reader, number));
            self.after(LOG_WAIT, Event::LogResponse { reader, number });
        } else {
            self.after(LATENCY, Event::LogResponse { reader, number });
        }
    }

    fn peer_turn(&mut self, p: usize, slot: usize) {
        if !self.processes[p].alive {
            return;
        }
        let random = self.random.random();
        let process = &mut self.processes[p];
        process.calls[slot] += 1;
        let number = process.calls[slot];
        let kind = [CallKind::Parent, CallKind::Random][slot];
        let next = LogPosition {
            era: StoreEra(0),
            offset: LogOffset(process.offset),
        };
        match process.propagation.peer_step(self.now, next, kind, random) {
            PeerStep::WaitUntil(at) => {
                self.after(at.remaining(self.now), Event::PeerTurn(p, slot));
            }
            PeerStep::FetchFromPeer(address) => {
                self.calls += 1;
                let peer = index(address);
                let timeout = PEER_WAIT + RESPONSE_MARGIN;
                if self.processes[peer].alive {
                    self.after(
                        LATENCY,
                        Event::CallArrives {
                            caller: p,
                            slot,
                            peer,
                            number,
                        },
                    );
                } else {
                    self.after(
                        timeout,
                        Event::CallFails {
                            caller: p,
                            slot,
                            peer,
                            number,
                        },
                    );
                }
            }
        }
    }

    fn respond(&mut self, caller: usize, slot: usize, peer: usize, number: u64) {
        let newest = self.processes[peer].propagation.newest_evidence();
        let evidence = newest.map(|evidence| {
            let age = self.now.since(evidence.at).as_millis();
            (evidence.reader.0, u64::try_from(age).expect("a short run"))
        });
        let offset = self.processes[peer].offset;
        self.after(
            LATENCY,
            Event::Response {
                caller,
                slot,
                peer,
                number,
                offset,
                evidence,
            },
        );
    }

    fn advance(&mut self, p: usize, offset: u64) {
        if offset <= self.processes[p].offset {
            return;
        }
        self.processes[p].offset = offset;
        for (caller, slot, number) in std::mem::take(&mut self.processes[p].waiters) {
            self.respond(caller, slot, p, number);
        }
    }

    fn behind(&self) -> usize {
        let live = self.processes.iter().filter(|process| process.alive);
        live.filter(|process| process.offset < self.log_next)
            .count()
    }

    /// Appends a record and returns the time until it is in force at every live process, or ten
    /// times the target if it is not by then.
    fn propagation_time(&mut self) -> Duration {
        let appended_at = self.now;
        self.after(Duration::ZERO, Event::Append);
        self.run_until(self.now.after(Duration::from_millis(1)));
        while self.behind() > 0 && self.now.since(appended_at) < 10 * TARGET {
            self.run_until(self.now.after(Duration::from_millis(10)));
        }
        self.now.since(appended_at)
    }
}

/// Checks the propagation time of changes at random times.
fn check_propagation(log_percent: u32, dead_percent: u32) {
    let mut fleet = Fleet::new(7, DEFAULT_POLICY, log_percent, dead_percent);
    fleet.run_until(Moment::from_micros(40_000_000));
    for _ in 0..8 {
        let pause = Duration::from_millis(fleet.random.random_range(1_000..9_000));
        fleet.run_until(fleet.now.after(pause));
        let time = fleet.propagation_time();
        println!(
            "in force everywhere after {} ms; {} calls, {} log reads in {} s",
            time.as_millis(),
            fleet.calls,
            fleet.log_reads,
            fleet.now.as_micros() / 1_000_000
        );
        assert!(
            time <= TARGET,
            "{} ms, {} processes behind",
            time.as_millis(),
            fleet.behind()
        );
    }
}

#[test]
fn a_change_reaches_all_processes_from_a_few_readers() {
    check_propagation(100, 0);
}

#[test]
fn a_change_reaches_all_processes_when_most_cannot_reach_the_log() {
    check_propagation(5, 2);
}

#[test]
fn a_change_reaches_all_processes_when_many_sidecars_do_not_respond() {
    check_propagation(100, 10);
}

/// Guards against a backoff that uses up the time in which a change has to be in force everywhere:
/// operators wait a second for the processes after an outage of the log has ended.
#[test]
fn a_designated_reader_reads_the_log_soon_after_an_outage_of_any_length() {
    for (failures, random) in (1..40).flat_map(|failures| [0, 7, u64::MAX].map(|r| (failures, r))) {
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut reader = PropagationState::new(DEFAULT_POLICY, "sidecar-0", Vec::new());
        reader.set_sidecars(&[own], Some(own));
        let mut now = Moment::START;
        for _ in 0..failures {
            now = now.after(Duration::from_secs(3));
            reader.on_log_failed(now, random);
        }
        let LogStep::WaitUntil(probe_at) = reader.log_step(now, LogOffset(1), random) else {
            panic!("it reads without a pause");
        };
        assert!(
            probe_at.since(now) <= AFTER_OUTAGE_LIMIT,
            "{:?} after {failures} failures",
            probe_at.since(now)
        );
    }
}

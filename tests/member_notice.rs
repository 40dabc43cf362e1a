//! What upstreams say of themselves, in the decision where a request goes: seeded days of leaves,
//! pauses, restarts, lost entries and reused addresses, checked against a list of what was said.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::decide::cache_scope::CacheScope;
use bulrushslip::decide::fleet::{Fleet, MemberKey, MemberOutcome, MemberState, UpstreamEntry};
use bulrushslip::decide::member_choice::{ChoiceContext, ChoiceOutcome, ChoiceRequest, choose};
use bulrushslip::decide::member_notice::{MemberNotice, UpstreamNotice};
use bulrushslip::decide::prompt_parts::PrefixIndex;
use bulrushslip::decide::request_limit::LimitNotice;
use bulrushslip::decide::route_table::{DataCentreId, ServiceId};
use bulrushslip::decide::software::{SoftwareFilter, SoftwareVersion};
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of simulated days.
const SEEDS: u64 = 2_000;

/// Requests that may be sent to an upstream in the time for which it wants none.
const MAX_SENDS_IN_PAUSE: u32 = 2;

const UPSTREAMS: u64 = 4;
const STEPS: u64 = 200;
const STEP_MS: u64 = 50;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn pause(ms: u64) -> UpstreamNotice {
    UpstreamNotice {
        is_leaving: false,
        pause: Some(Duration::from_millis(ms)),
        limit: LimitNotice::Unstated,
    }
}

const LEAVING: UpstreamNotice = UpstreamNotice {
    is_leaving: true,
    pause: None,
    limit: LimitNotice::Unstated,
};

fn entry(name: u64, born: u64, port: u64) -> UpstreamEntry {
    let port = u16::try_from(port).expect("a small number");
    UpstreamEntry {
        id: format!("i-{name}"),
        service: ServiceId::of("s"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: DataCentreId::of("near"),
        slots: 8,
        state: MemberState::Ready,
        started_unix_ms: born,
        software: SoftwareVersion(0),
        weights: None,
    }
}

/// What one run of an upstream has said, by the test's own account.
#[derive(Debug, Clone, Copy, Default)]
struct Said {
    left: bool,
    paused_until_ms: u64,
    sends_in_pause: u32,
}

struct Day {
    random: StdRng,
    fleet: Fleet,
    /// Present run of each upstream, and whether it is listed.
    runs: Vec<(u64, bool)>,
    said: HashMap<(u64, u64), Said>,
    running: Vec<(MemberKey, u64, u64)>,
}

impl Day {
    fn change(&mut self, ms: u64) {
        let name = self.random.random_range(0..UPSTREAMS);
        let (born, is_listed) = self.runs[usize::try_from(name).expect("a small number")];
        let key = self.fleet.find(&format!("i-{name}"));
        let said = self.said.entry((name, born)).or_default();
        let run = &mut self.runs[usize::try_from(name).expect("a small number")];
        match (self.random.random_range(0..20), key) {
            (0, Some(key)) => {
                said.left = true;
                let member = self.fleet.get_mut(key).expect("a listed upstream");
                member.notice.apply(at(ms), LEAVING);
            }
            (1 | 2, Some(key)) => {
                let pause_ms = self.random.random_range(0..4_000);
                said.paused_until_ms = said.paused_until_ms.max(ms + pause_ms);
                said.sends_in_pause = 0;
                let member = self.fleet.get_mut(key).expect("a listed upstream");
                member.notice.apply(at(ms), pause(pause_ms));
            }
            // The entry expires, as in an outage of the store.
            (3, Some(key)) => {
                self.fleet.remove(key);
                *run = (born, false);
            }
            (4 | 5, None) => {
                self.fleet.apply(entry(name, born, 1 + name));
                *run = (born, true);
            }
            // Another run starts at the same address, or at that of another upstream.
            (6, _) => {
                let port = 1 + self.random.random_range(0..UPSTREAMS);
                self.fleet.apply(entry(name, born + 1, port));
                *run = (born + 1, true);
            }
            // A heartbeat repeats that the upstream is ready.
            (_, Some(key)) if is_listed => {
                let known = self
                    .fleet
                    .get(key)
                    .expect("a listed upstream")
                    .entry
                    .clone();
                self.fleet.apply(known);
            }
            _ => {}
        }
    }

    fn send(&mut self, seed: u64, ms: u64) {
        let index = PrefixIndex::default();
        let context = ChoiceContext {
            now: at(ms),
            data_centre: DataCentreId::of("near"),
            fleet: &self.fleet,
            prefix_index: &index,
            engine: None,
            kv_stores: &[],
            newest: None,
        };
        let request = ChoiceRequest {
            service: ServiceId::of("s"),
            prompt: None,
            cache_scope: CacheScope::Shared(None),
            body_bytes: 100,
            excluded: &[],
            software: SoftwareFilter::Except(&[]),
            prefill_deadline: at(ms),
            request_hash: self.random.random(),
        };
        let choice = choose(context, request);
        let ChoiceOutcome::Send(choice) = choice else {
            self.check_refusal(seed, ms, &choice);
            return;
        };
        let member = self
            .fleet
            .get_mut(choice.member)
            .expect("a listed upstream");
        member.own.in_flight += 1;
        member.notice.record_sent(at(ms));
        let name: u64 = member.entry.id[2..].parse().expect("a number");
        let born = member.entry.started_unix_ms;
        self.running.push((choice.member, name, born));
        let said = self.said.entry((name, born)).or_default();
        assert!(!said.left, "seed {seed}: sent to i-{name} that leaves");
        if ms < said.paused_until_ms {
            said.sends_in_pause += 1;
        }
        let sends = said.sends_in_pause;
        assert!(
            sends <= MAX_SENDS_IN_PAUSE,
            "seed {seed}: {sends} to i-{name}"
        );
    }

    /// Checks that an upstream that is well is not left out, and that a pause is told as one.
    fn check_refusal(&self, seed: u64, ms: u64, choice: &ChoiceOutcome) {
        let listed = (0..)
            .zip(&self.runs)
            .filter(|(_, (_, is_listed))| *is_listed);
        let mut pauses = Vec::new();
        for (name, (born, _)) in listed {
            let said = self.said.get(&(name, *born)).copied().unwrap_or_default();
            let in_flight = self
                .running
                .iter()
                .filter(|(_, other, run)| (*other, *run) == (name, *born))
                .count();
            let is_well = !said.left && ms >= said.paused_until_ms;
            assert!(
                !is_well || in_flight > 0,
                "seed {seed}: i-{name} is left out"
            );
            if !said.left {
                pauses.push(said.paused_until_ms);
            }
        }
        if let ChoiceOutcome::Paused(until) = choice {
            let earliest = pauses.iter().min().copied();
            assert_eq!(Some(*until), earliest.map(at), "seed {seed}");
        }
    }

    fn finish_some(&mut self, ms: u64) {
        let outcomes = [
            MemberOutcome::Answered,
            MemberOutcome::Answered,
            MemberOutcome::Failed,
        ];
        for _ in 0..self.random.random_range(0..3) {
            let Some((key, ..)) = self.running.pop() else {
                return;
            };
            let outcome = outcomes[self.random.random_range(0..outcomes.len())];
            if let Some(member) = self.fleet.get_mut(key) {
                member.own.in_flight -= 1;
                let has_begun = self.random.random();
                if has_begun {
                    member.record_answer(at(ms));
                }
                member.record_end(at(ms), outcome, has_begun);
            }
        }
    }
}

#[test]
fn neither_leaving_nor_paused_upstreams_get_requests_and_no_other_is_left_out() {
    for seed in 0..SEEDS {
        let mut day = Day {
            random: StdRng::seed_from_u64(seed),
            fleet: Fleet::default(),
            runs: vec![(1, true); usize::try_from(UPSTREAMS).expect("a small number")],
            said: HashMap::new(),
            running: Vec::new(),
        };
        for name in 0..UPSTREAMS {
            day.fleet.apply(entry(name, 1, 1 + name));
        }
        for step in 0..STEPS {
            day.change(step * STEP_MS);
            day.finish_some(step * STEP_MS);
            day.send(seed, step * STEP_MS);
        }
    }
}

#[test]
fn few_requests_go_first_after_a_pause_and_each_answer_lets_more_follow() {
    let mut notice = MemberNotice::default();
    notice.apply(at(0), pause(1_000));
    // Those that were sent before the pause tell nothing of the time after it.
    for _ in 0..8 {
        notice.record_answer(at(500), 8);
    }
    assert!(!notice.is_open(at(999)));
    let mut sent = Vec::new();
    for round in 1..=3 {
        let mut count = 0;
        while count < 8 && notice.is_open(at(1_000 + round)) {
            notice.record_sent(at(1_000 + round));
            count += 1;
        }
        for _ in 0..count {
            notice.record_answer(at(1_000 + round), 8);
        }
        sent.push(count);
    }
    assert_eq!(sent, [1, 2, 4]);
    assert!(notice.is_open(at(2_000)));
}

/// Guards against an upstream that is left with one request for as long as its first stream runs.
#[test]
fn a_stream_that_has_begun_after_a_pause_lets_more_follow_and_its_end_none() {
    let mut fleet = Fleet::default();
    fleet.apply(entry(0, 1, 1));
    let key = fleet.find("i-0").expect("a listed upstream");
    let member = fleet.get_mut(key).expect("a listed upstream");
    member.notice.apply(at(0), pause(1_000));
    member.notice.record_sent(at(1_100));
    assert!(!member.notice.is_open(at(1_100)));
    member.record_answer(at(1_100));
    for _ in 0..2 {
        assert!(member.notice.is_open(at(1_100)));
        member.notice.record_sent(at(1_100));
    }
    member.record_end(at(1_200), MemberOutcome::Answered, true);
    assert!(!member.notice.is_open(at(1_200)));
}

#[test]
fn an_upstream_that_is_ready_again_by_its_entry_no_longer_leaves() {
    let mut fleet = Fleet::default();
    fleet.apply(entry(0, 1, 1));
    let key = fleet.find("i-0").expect("a listed upstream");
    let member = fleet.get_mut(key).expect("a listed upstream");
    member.notice.apply(at(0), LEAVING);
    fleet.apply(entry(0, 1, 1));
    assert!(!fleet.get(key).expect("a listed upstream").is_open(at(10)));
    let draining = UpstreamEntry {
        state: MemberState::Draining,
        ..entry(0, 1, 1)
    };
    fleet.apply(draining);
    fleet.apply(entry(0, 1, 1));
    assert!(fleet.get(key).expect("a listed upstream").is_open(at(20)));
}

#[test]
fn a_failed_probe_does_not_count_as_the_end_of_the_first_request_after_a_pause() {
    let mut fleet = Fleet::default();
    fleet.apply(entry(0, 1, 1));
    let key = fleet.find("i-0").expect("a listed upstream");
    let member = fleet.get_mut(key).expect("a listed upstream");
    member.notice.apply(at(0), pause(1_000));
    member.notice.record_sent(at(1_100));
    member.record_outcome(at(1_100), MemberOutcome::Unreachable);
    assert!(!member.notice.is_open(at(1_100)));
    member.record_end(at(1_200), MemberOutcome::Unreachable, false);
    assert!(member.notice.is_open(at(1_200)));
}

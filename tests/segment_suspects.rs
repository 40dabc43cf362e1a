//! Detection of prompt segments that crash engines: verdicts, clearances, trials and limits.

use std::time::Duration;

use bulrushslip::decide::ids::{EngineEpoch, Incarnation};
use bulrushslip::decide::segment_entry::{SegmentKey, SegmentPolicy};
use bulrushslip::decide::segment_suspects::{SegmentCrash, SegmentSuspects, SegmentVerdict};
use bulrushslip::decide::suspects::CrashId;
use bulrushslip::kernel::Moment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Number of simulated days.
const SEEDS: u64 = 100;

/// Crashes after which the users' limits apply, and requests that may reach engines later.
const CRASH_LIMIT: usize = 5;
const SENDS_AFTER_LIMIT: usize = 3;

/// Time that news of a crash takes to all instances; the users allow three seconds.
const NEWS_MS: u64 = 1_500;

/// Segments of the simulated prompts: one that all share, then callers, then units.
const PREAMBLE: SegmentKey = SegmentKey(1);
const CALLERS: u64 = 6;
const UNITS: u64 = 40;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn crash(number: u64) -> CrashId {
    CrashId {
        sidecar: Incarnation(number),
        epoch: EngineEpoch(1),
    }
}

fn table() -> SegmentSuspects {
    SegmentSuspects::new(SegmentPolicy::default())
}

fn report(table: &mut SegmentSuspects, ms: u64, segment: SegmentKey, number: u64) -> bool {
    let report = SegmentCrash {
        segment,
        depth: 0,
        crash: crash(number),
        at: at(ms),
    };
    let is_news = table.report(at(ms), report, None);
    table.review(at(ms));
    is_news
}

fn verdict(table: &SegmentSuspects, ms: u64, segment: SegmentKey) -> SegmentVerdict {
    table.verdict(at(ms), [segment].into_iter(), 0)
}

/// Returns a table that refuses a segment since 3,000 ms.
fn refusing(segment: SegmentKey) -> SegmentSuspects {
    let mut table = table();
    for number in 1..=3 {
        report(&mut table, number * 1_000, segment, number);
    }
    table
}

#[test]
fn a_segment_is_refused_after_three_crashes_and_tried_again_later() {
    let segment = SegmentKey(7);
    let mut table = refusing(segment);
    let until = at(3_000 + SegmentPolicy::default().refuse_ms);
    assert_eq!(
        verdict(&table, 3_000, segment),
        SegmentVerdict::Refused(until)
    );
    let trial_ms = 3_000 + SegmentPolicy::default().refuse_ms;
    assert_eq!(verdict(&table, trial_ms, segment), SegmentVerdict::Trial);
    table.record_send(at(trial_ms), [segment].into_iter());
    assert!(matches!(
        verdict(&table, trial_ms, segment),
        SegmentVerdict::Refused(_)
    ));
    // A failed trial doubles the time.
    report(&mut table, trial_ms + 100, segment, 4);
    let again_ms = trial_ms + 2 * SegmentPolicy::default().refuse_ms;
    assert!(matches!(
        verdict(&table, again_ms, segment),
        SegmentVerdict::Refused(_)
    ));
    assert_eq!(
        verdict(&table, again_ms + 100, segment),
        SegmentVerdict::Trial
    );
    table.complete([segment].into_iter());
    table.review(at(again_ms + 101));
    assert_eq!(
        verdict(&table, again_ms + 101, segment),
        SegmentVerdict::Free
    );
}

#[test]
fn a_segment_that_explains_more_crashes_takes_the_place_of_another() {
    let (sound, deadly) = (SegmentKey(7), SegmentKey(8));
    let mut table = refusing(sound);
    for number in 1..=3 {
        report(&mut table, number * 1_000, deadly, number);
    }
    assert_eq!(verdict(&table, 3_000, deadly), SegmentVerdict::Free);
    report(&mut table, 4_000, deadly, 4);
    assert_eq!(verdict(&table, 4_000, sound), SegmentVerdict::Free);
    assert!(matches!(
        verdict(&table, 4_000, deadly),
        SegmentVerdict::Refused(_)
    ));
}

#[test]
fn an_answer_on_a_refused_segment_leaves_its_crashes_to_the_others() {
    let (sound, deadly) = (SegmentKey(7), SegmentKey(8));
    let mut table = refusing(sound);
    for number in 1..=3 {
        report(&mut table, number * 1_000, deadly, number);
    }
    table.complete([sound].into_iter());
    table.review(at(3_000));
    assert_eq!(verdict(&table, 3_000, sound), SegmentVerdict::Free);
    assert!(matches!(
        verdict(&table, 3_000, deadly),
        SegmentVerdict::Refused(_)
    ));
}

#[test]
fn crashes_of_one_event_count_once() {
    let mut table = table();
    for number in 0..20 {
        report(&mut table, 1_000 + number * 10, SegmentKey(7), number);
        let verdict = verdict(&table, 2_000, SegmentKey(7));
        assert_eq!(verdict, SegmentVerdict::Free);
    }
}

#[test]
fn a_clearance_that_arrives_before_its_report_counts() {
    let mut table = table();
    table.clear(at(0), SegmentKey(7), crash(1));
    assert!(!report(&mut table, 10, SegmentKey(7), 1));
}

#[test]
fn an_answer_of_the_same_run_refutes_its_crash_and_ends_the_refusal() {
    let segment = SegmentKey(7);
    let mut table = refusing(segment);
    assert!(!table.refute(at(3_400), crash(3)));
    assert!(matches!(
        verdict(&table, 3_400, segment),
        SegmentVerdict::Refused(_)
    ));
    assert!(table.refute(at(3_600), crash(3)));
    table.review(at(3_600));
    assert_eq!(verdict(&table, 3_600, segment), SegmentVerdict::Free);
}

#[test]
fn segments_made_up_by_callers_evict_no_refused_one_and_stay_within_the_limit() {
    let segment = SegmentKey(7);
    let mut table = refusing(segment);
    for number in 0..10_000 {
        report(&mut table, 4_000, SegmentKey(100 + number), 9);
    }
    assert_eq!(table.len(), SegmentPolicy::default().max_segments);
    assert!(matches!(
        verdict(&table, 4_000, segment),
        SegmentVerdict::Refused(_)
    ));
}

/// One simulated request: its segments and when it began.
struct Running {
    engine: usize,
    segments: [SegmentKey; 3],
    ends_ms: u64,
}

/// Simulated fleet of engines with a number of instances that share news late.
struct Fleet {
    random: StdRng,
    tables: Vec<SegmentSuspects>,
    /// Reports and clearances that have not reached all instances, with the time they do.
    news: Vec<(u64, SegmentKey, u64, Option<u64>)>,
    running: Vec<Vec<Running>>,
    down_until_ms: Vec<u64>,
    crashes: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = random.random_range(1..=10);
        Self {
            tables: (0..instances).map(|_| table()).collect(),
            running: (0..instances).map(|_| Vec::new()).collect(),
            news: Vec::new(),
            down_until_ms: vec![0; random.random_range(6..=20)],
            crashes: 0,
            random,
        }
    }

    fn deliver_news(&mut self, ms: u64) {
        let due: Vec<_> = self.news.extract_if(.., |news| news.0 <= ms).collect();
        let mut has_news = false;
        for (_, segment, number, crashed_ms) in due {
            for table in &mut self.tables {
                match crashed_ms {
                    Some(crashed_ms) => {
                        let report = SegmentCrash {
                            segment,
                            depth: 0,
                            crash: crash(number),
                            at: at(crashed_ms),
                        };
                        table.report(at(ms), report, None);
                    }
                    None => drop(table.clear(at(ms), segment, crash(number))),
                }
            }
            has_news = true;
        }
        if has_news {
            for table in &mut self.tables {
                table.review(at(ms));
            }
        }
    }

    /// Sends a request from a random instance; returns whether it may be sent.
    fn send(&mut self, ms: u64, segments: [SegmentKey; 3], run_ms: u64) -> bool {
        let up: Vec<usize> = (0..self.down_until_ms.len())
            .filter(|engine| self.down_until_ms[*engine] <= ms)
            .collect();
        let Some(engine) = up.choose(&mut self.random).copied() else {
            return false;
        };
        let instance = self.random.random_range(0..self.tables.len());
        let table = &self.tables[instance];
        let innermost_first = segments.into_iter().rev();
        if matches!(
            table.verdict(at(ms), innermost_first, instance),
            SegmentVerdict::Refused(_)
        ) {
            return false;
        }
        self.tables[instance].record_send(at(ms), segments.into_iter());
        self.running[instance].push(Running {
            engine,
            segments,
            ends_ms: ms + run_ms,
        });
        true
    }

    fn crash(&mut self, ms: u64, engine: usize) {
        self.crashes += 1;
        self.down_until_ms[engine] = ms + 3_000;
        for instance in 0..self.tables.len() {
            let lost: Vec<Running> = self.running[instance]
                .extract_if(.., |running| running.engine == engine)
                .collect();
            for (request, depth) in lost.iter().flat_map(|lost| (0..3).map(move |d| (lost, d))) {
                let report = SegmentCrash {
                    segment: request.segments[2 - usize::from(depth)],
                    depth,
                    crash: crash(self.crashes),
                    at: at(ms),
                };
                if self.tables[instance].report(at(ms), report, None) {
                    self.news
                        .push((ms + NEWS_MS, report.segment, self.crashes, Some(ms)));
                }
            }
            self.tables[instance].review(at(ms));
        }
    }

    fn finish(&mut self, ms: u64) {
        for instance in 0..self.tables.len() {
            let ended: Vec<Running> = self.running[instance]
                .extract_if(.., |running| running.ends_ms <= ms)
                .collect();
            for request in ended {
                let cleared = self.tables[instance].complete(request.segments.into_iter());
                if !cleared.is_empty() {
                    self.tables[instance].review(at(ms));
                }
                for (segment, crash) in cleared {
                    self.news
                        .push((ms + NEWS_MS, segment, crash.sidecar.0, None));
                }
            }
        }
    }
}

#[test]
fn a_deadly_segment_is_found_by_all_instances_and_no_sound_one_is_refused_for_it() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let deadly = SegmentKey(1_000 + seed % UNITS);
        let other_crashes = fleet.random.random_bool(0.5);
        let mut limit_ms = u64::MAX;
        let (mut deadly_crashes, mut sends_after_limit) = (0, 0);
        let (mut sound, mut refused) = (0_u32, 0_u32);
        for ms in (0..40_000).step_by(10) {
            fleet.deliver_news(ms);
            fleet.finish(ms);
            let caller = SegmentKey(10 + fleet.random.random_range(0..CALLERS));
            let unit = SegmentKey(1_000 + fleet.random.random_range(0..UNITS));
            if unit != deadly {
                sound += 1;
                let run_ms = fleet.random.random_range(50..600);
                refused += u32::from(!fleet.send(ms, [PREAMBLE, caller, unit], run_ms));
            }
            if ms > 4_000 && ms % 300 == 0 && fleet.send(ms, [PREAMBLE, caller, deadly], 600_000) {
                sends_after_limit += usize::from(ms > limit_ms);
            }
            // An engine begins to answer on the segment about 60 ms after it got the request.
            let dead = fleet.running.iter().flatten().find(|running| {
                running.segments[2] == deadly && running.ends_ms <= ms + 600_000 - 60
            });
            if let Some(engine) = dead.map(|running| running.engine) {
                fleet.crash(ms, engine);
                deadly_crashes += 1;
                if deadly_crashes == CRASH_LIMIT {
                    limit_ms = ms + 3_000;
                }
            }
            if other_crashes && ms % 4_000 == 2_000 {
                let engine = fleet.random.random_range(0..fleet.down_until_ms.len());
                fleet.crash(ms, engine);
            }
        }
        assert!(sends_after_limit <= SENDS_AFTER_LIMIT, "seed {seed}");
        assert!(refused * 4 < sound, "seed {seed}: {refused} of {sound}");
        let table = &fleet.tables[0];
        assert_eq!(verdict(table, 40_000, PREAMBLE), SegmentVerdict::Free);
    }
}

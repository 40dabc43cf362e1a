//! Plays of instances that come to know at which software versions streams began, while versions come and
//! go and instances are killed, cut off or stand still.

use std::time::Duration;

use bulrushslip::decide::route_table::ServiceId;
use bulrushslip::decide::software::{SoftwareFilter, SoftwareVersion};
use bulrushslip::decide::stream_origins::{
    ORIGIN_LIFETIME, OriginRecord, PublishedVersion, SETTLE_TIME, StreamKey, StreamOrigin,
    StreamOrigins,
};
use bulrushslip::kernel::Moment;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVICE: ServiceId = ServiceId(7);
const INSTANCES: usize = 4;
const SEEDS: u64 = 300;

/// Time between two steps of a play.
const STEP_MS: u64 = 50;

/// Length of a play.
const PLAY_MS: u64 = 40_000;

/// Age of the list of upstreams from which an instance sends nothing, and counts as out of step.
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// Time for which the store keeps records.
const HISTORY_MS: u64 = 20_000;

/// Time within which streams are taken up.
const LONGEST_STREAM_MS: u64 = 8_000;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn version(number: u64) -> SoftwareVersion {
    SoftwareVersion(number)
}

fn stream(request: u64) -> StreamKey {
    StreamKey {
        service: SERVICE,
        request,
    }
}

/// Instance with its list of upstreams.
#[derive(Default)]
struct Instance {
    origins: StreamOrigins,
    listed: Vec<SoftwareVersion>,
    confirmed_ms: Option<u64>,
    checked_ms: Option<u64>,
    read_to: usize,
    cut_until: u64,
    frozen_until: u64,
    next_publish: u64,
}

impl Instance {
    fn has_list_since(&self, ms: u64, limit: Duration) -> bool {
        let is_recent = |confirmed| at(ms).since(at(confirmed)) < limit;
        self.confirmed_ms.is_some_and(is_recent)
    }

    fn read(&mut self, ms: u64, log: &[(u64, OriginRecord)]) {
        for (appended, record) in &log[self.read_to..] {
            if appended + HISTORY_MS >= ms {
                self.origins.apply(at(ms), record);
            }
        }
        self.read_to = log.len();
    }

    /// Lists, checks, reads and publishes, as an instance that reaches the store does.
    fn step(&mut self, ms: u64, store: &[SoftwareVersion], log: &mut Vec<(u64, OriginRecord)>) {
        self.listed = store.to_vec();
        self.confirmed_ms = Some(ms);
        self.check(ms);
        if !self.origins.is_informed() {
            self.read(ms, log);
            self.origins.record_informed();
        }
        if ms < self.next_publish && self.origins.is_published(at(ms)) {
            return;
        }
        self.next_publish = ms + 250;
        self.read(ms, log);
        let repeat_interval = Duration::from_millis(HISTORY_MS / 4);
        let record = self.origins.due_record(at(ms), repeat_interval);
        if !record.is_empty() {
            self.origins.record_published(at(ms), &record);
            log.push((ms, record));
        }
    }

    fn check(&mut self, ms: u64) {
        for software in &self.listed {
            self.origins.record_listed(at(ms), SERVICE, *software);
        }
        let stood_still = self
            .checked_ms
            .is_none_or(|checked| at(ms).since(at(checked)) >= LIST_LIMIT);
        if stood_still || !self.has_list_since(ms, LIST_LIMIT) {
            self.origins.lose_track();
        }
        self.checked_ms = Some(ms);
    }

    /// Returns a version at which a stream may begin.
    fn placement(&self, ms: u64, random: &mut StdRng) -> Option<SoftwareVersion> {
        if !self.has_list_since(ms, LIST_LIMIT) {
            return None;
        }
        let unsettled = self.origins.unsettled(at(ms), SERVICE, LIST_LIMIT);
        let filter = SoftwareFilter::Except(&unsettled);
        let open = self.listed.iter().copied();
        let open: Vec<_> = open.filter(|listed| filter.admits(*listed)).collect();
        (!open.is_empty()).then(|| open[random.random_range(0..open.len())])
    }

    fn origin(&mut self, ms: u64, key: StreamKey, log: &[(u64, OriginRecord)]) -> StreamOrigin {
        let is_checked = |checked| at(ms).since(at(checked)) < SETTLE_TIME;
        let is_checked = self.checked_ms.is_some_and(is_checked);
        let is_current = is_checked && self.has_list_since(ms, SETTLE_TIME);
        let known = self.origins.origin(at(ms), SERVICE, Some(key), is_current);
        if known != StreamOrigin::Unknown || ms < self.cut_until {
            return known;
        }
        self.read(ms, log);
        let is_current = is_checked && self.has_list_since(ms, LIST_LIMIT);
        self.origins.origin(at(ms), SERVICE, Some(key), is_current)
    }
}

/// What became of the streams of a play.
#[derive(Debug, Default)]
struct Counts {
    taken_up: usize,
    known: usize,
}

fn play(seed: u64) -> Counts {
    let mut random = StdRng::seed_from_u64(seed);
    let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
    let mut log = Vec::new();
    let mut store = vec![version(1)];
    let mut begun: Vec<(u64, StreamKey, SoftwareVersion)> = Vec::new();
    let mut counts = Counts::default();
    for ms in (0..PLAY_MS).step_by(usize::try_from(STEP_MS).expect("a small number")) {
        match random.random_range(0..600) {
            0..3 if store.len() < 2 => store.push(version(ms + 2)),
            3..6 if store.len() == 2 => drop(store.remove(random.random_range(0..2))),
            6 => instances
                .iter_mut()
                .for_each(|instance| *instance = Instance::default()),
            7..11 => instances[random.random_range(0..INSTANCES)] = Instance::default(),
            11..15 => {
                let instance = &mut instances[random.random_range(0..INSTANCES)];
                instance.cut_until = ms + random.random_range(100..6_000);
            }
            15..19 => {
                let instance = &mut instances[random.random_range(0..INSTANCES)];
                instance.frozen_until = ms + random.random_range(100..6_000);
            }
            _ => {}
        }
        for instance in &mut instances {
            if ms < instance.frozen_until || random.random_range(0..10) < 3 {
                continue;
            }
            if ms < instance.cut_until {
                instance.check(ms);
            } else {
                instance.step(ms, &store, &mut log);
            }
        }
        let instance = &mut instances[random.random_range(0..INSTANCES)];
        if ms >= instance.frozen_until
            && let Some(software) = instance.placement(ms, &mut random)
        {
            instance.origins.record_stream(at(ms), stream(ms), software);
            begun.push((ms, stream(ms), software));
        }
        begun.retain(|(began, _, _)| began + LONGEST_STREAM_MS > ms);
        let instance = &mut instances[random.random_range(0..INSTANCES)];
        if begun.is_empty() || ms < instance.frozen_until {
            continue;
        }
        let (_, key, software) = begun[random.random_range(0..begun.len())];
        let is_in_touch = ms >= instance.cut_until && instance.confirmed_ms.is_some();
        match instance.origin(ms, key, &log) {
            StreamOrigin::Known(known) => {
                assert_eq!(known, software, "seed {seed}, stream {key:?} at {ms} ms");
                counts.known += usize::from(is_in_touch);
            }
            StreamOrigin::Unknown => {}
        }
        counts.taken_up += usize::from(is_in_touch);
    }
    counts
}

#[test]
fn no_stream_is_taken_up_at_another_version_than_its_own() {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let counts = play(seed);
        total.taken_up += counts.taken_up;
        total.known += counts.known;
    }
    assert!(total.taken_up > 10_000, "{total:?}");
    assert!(total.known * 2 >= total.taken_up, "{total:?}");
}

#[test]
fn a_stream_is_forgotten_once_it_cannot_be_taken_up() {
    let mut origins = StreamOrigins::default();
    origins.record_stream(at(0), stream(1), version(1));
    origins.record_stream(at(10), stream(1), version(2));
    let origin = |origins: &StreamOrigins, now| origins.origin(now, SERVICE, Some(stream(1)), true);
    assert_eq!(origin(&origins, at(20)), StreamOrigin::Known(version(1)));
    let late = at(0).after(ORIGIN_LIFETIME);
    assert_eq!(origin(&origins, late), StreamOrigin::Unknown);
    origins.record_stream(late, stream(2), version(1));
    assert_eq!(origins.len(), 1);
}

#[test]
fn streams_are_published_once_their_service_has_two_versions() {
    let mut origins = StreamOrigins::default();
    let repeat_interval = Duration::from_secs(5);
    origins.record_listed(at(0), SERVICE, version(1));
    origins.record_stream(at(0), stream(1), version(1));
    let record = origins.due_record(at(10), repeat_interval);
    assert_eq!((record.listed.len(), record.streams.len()), (1, 0));
    origins.record_published(at(10), &record);
    assert!(origins.due_record(at(20), repeat_interval).is_empty());
    origins.record_listed(at(30), SERVICE, version(2));
    let record = origins.due_record(at(30), repeat_interval);
    assert_eq!(record.streams, [(stream(1), version(1))]);
    origins.record_published(at(30), &record);
    assert!(origins.due_record(at(40), repeat_interval).is_empty());
    origins.publish_again();
    let record = origins.due_record(at(50), repeat_interval);
    assert_eq!((record.listed.len(), record.streams.len()), (2, 1));
}

#[test]
fn streams_do_not_begin_at_a_version_that_others_may_not_know() {
    let mut origins = StreamOrigins::default();
    let limit = Duration::from_secs(2);
    origins.record_listed(at(0), SERVICE, version(1));
    assert_eq!(origins.unsettled(at(0), SERVICE, limit), [version(1)]);
    let record = origins.due_record(at(0), Duration::MAX);
    origins.record_published(at(20), &record);
    assert!(origins.unsettled(at(20), SERVICE, limit).is_empty());
    origins.record_listed(at(100), SERVICE, version(2));
    let record = origins.due_record(at(100), Duration::MAX);
    origins.record_published(at(120), &record);
    assert_eq!(origins.unsettled(at(599), SERVICE, limit), [version(2)]);
    assert!(origins.unsettled(at(600), SERVICE, limit).is_empty());
    assert!(!origins.has_only_joined(at(599)));
    let mut started = StreamOrigins::default();
    started.record_listed(at(0), SERVICE, version(1));
    assert!(!started.has_only_joined(at(0)));
    started.record_listed(at(0), SERVICE, version(2));
    assert!(started.has_only_joined(at(499)));
    assert!(!started.has_only_joined(at(500)));
}

#[test]
fn instances_in_touch_are_told_of_new_streams_of_services_with_two_versions() {
    let mut origins = StreamOrigins::default();
    origins.record_listed(at(0), SERVICE, version(1));
    origins.record_stream(at(0), stream(1), version(1));
    assert!(origins.news(at(10), 2).is_empty());
    origins.record_listed(at(20), SERVICE, version(2));
    let told = OriginRecord {
        listed: Vec::new(),
        streams: vec![(stream(2), version(2))],
    };
    origins.apply(at(30), &told);
    assert_eq!(origins.news(at(40), 2), [(stream(1), version(1))]);
    assert!(origins.news(at(1_000), 2).is_empty());
    assert!(origins.news(at(40), 370).is_empty());
}

#[test]
fn published_records_are_read_as_they_were_written() {
    let record = OriginRecord {
        listed: vec![PublishedVersion {
            service: SERVICE,
            software: version(u64::MAX),
            first_ago: Duration::from_mins(9),
            last_ago: Duration::from_millis(20),
        }],
        streams: vec![(stream(u64::MAX), version(1))],
    };
    let written = Bytes::from(&record);
    assert_eq!(
        OriginRecord::try_from(written.as_ref()).expect("a record"),
        record
    );
    OriginRecord::try_from(b"{}".as_slice()).expect_err("missing fields");
}

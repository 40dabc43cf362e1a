//! Benchmarks of single decisions in this process: cache index, placement and queue.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use super::options::MeasureOptions;
use crate::decide::cache_index::{CacheChange, CacheEvent, CacheIndex, CacheList, CachePage};
use crate::decide::config::{Upstream, UpstreamKind};
use crate::decide::ids::{EngineEpoch, Incarnation, PrefixKey, Rank, Ticket};
use crate::decide::placement::{PlacementTarget, STANDARD, ScoringInput};
use crate::decide::queue::{
    CustomerId, CustomerShare, FairQueue, QueueDiscipline, QueueItem, QueuePolicy, QueueStep,
    RunningSlots,
};
use crate::kernel::{Arena, Moment};
use crate::wire::cache_feed::{WireCacheEvent, WireCachePage, WireChangeKind};

/// Epoch of the simulated engine.
const EPOCH: EngineEpoch = EngineEpoch(1);

/// Number of pieces in one prompt.
const PROMPT_PIECES: usize = 16;

/// Number of cache events in one page.
const PAGE_EVENTS: u32 = 256;

/// Numbers of upstreams for which placement is measured.
const FLEET_SIZES: [u32; 3] = [12, 200, 770];

/// Numbers of waiting requests for which the queue is measured.
const QUEUE_LENGTHS: [u32; 3] = [16, 256, 4_096];

/// Number of customers whose requests wait in the queue.
const CUSTOMERS: u32 = 100;

/// Multiplier that spreads consecutive numbers over all 64 bits; odd, so that keys stay distinct.
const KEY_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Measures all decisions and returns the results as text, one line for each measurement.
#[must_use]
pub fn measure(options: &MeasureOptions) -> String {
    let mut text = String::new();
    for pieces in [options.pieces, options.pieces * 10] {
        measure_index(&mut text, pieces, options.repetitions);
    }
    measure_page(&mut text, options.repetitions);
    for fleet in FLEET_SIZES {
        measure_placement(&mut text, fleet, options.repetitions);
    }
    for length in QUEUE_LENGTHS {
        measure_queue(&mut text, length, options.repetitions);
    }
    text
}

fn piece_key(number: u64) -> PrefixKey {
    PrefixKey(number.wrapping_mul(KEY_MULTIPLIER))
}

/// Measures the memory of a cache index, and the time of an event and of a prompt lookup.
fn measure_index(text: &mut String, pieces: usize, repetitions: u32) {
    let before = resident_bytes();
    let mut index = CacheIndex::new(pieces);
    let keys: Vec<PrefixKey> = (0..pieces as u64).map(piece_key).collect();
    let bytes_with_keys = resident_bytes();
    let list = CacheList {
        epoch: EPOCH,
        keys,
        next: 0,
    };
    index.resync(&list);
    let bytes = resident_bytes().saturating_sub(bytes_with_keys);
    let prompt: Vec<PrefixKey> = list.keys.iter().take(PROMPT_PIECES).copied().collect();
    let per_lookup = mean_nanoseconds(repetitions, |_| {
        black_box(index.missing(black_box(&prompt)));
    });
    // Each pair of events evicts the oldest piece and stores a new one.
    let event = |sequence: u64| CacheEvent {
        sequence,
        change: if sequence.is_multiple_of(2) {
            CacheChange::Evicted
        } else {
            CacheChange::Stored
        },
        key: piece_key(sequence / 2 + (sequence % 2) * pieces as u64),
    };
    let per_event = mean_nanoseconds(repetitions, |iteration| {
        index.apply(&CachePage {
            epoch: EPOCH,
            events: vec![event(iteration)],
            next: iteration + 1,
        });
    });
    let _written = writeln!(
        text,
        "cache index, {pieces} pieces: {per_event} ns an event, {per_lookup} ns a look-up of \
         {PROMPT_PIECES} pieces, {} bytes resident ({} a piece), process before {before}",
        bytes,
        bytes / pieces.max(1) as u64,
    );
}

/// Measures the time of a page of cache events, from JSON to the updated index.
fn measure_page(text: &mut String, repetitions: u32) {
    let event = |seq: u64| WireCacheEvent {
        seq,
        kind: WireChangeKind::Stored,
        key: format!("{:016x}", piece_key(seq).0),
    };
    let page = WireCachePage {
        epoch: EPOCH.0,
        next: PAGE_EVENTS.into(),
        events: (0..PAGE_EVENTS.into()).map(event).collect(),
    };
    let bytes = serde_json::to_vec(&page).expect("a page can be encoded as JSON");
    let list = CacheList {
        epoch: EPOCH,
        keys: Vec::new(),
        next: 0,
    };
    let pages = repetitions / PAGE_EVENTS;
    let per_page = mean_nanoseconds(pages, |_| {
        let mut index = CacheIndex::new(PAGE_EVENTS as usize);
        index.resync(&list);
        let page =
            serde_json::from_slice::<WireCachePage>(&bytes).expect("the page was encoded above");
        index.apply(&CachePage::try_from(page).expect("the keys are valid"));
    });
    let _written = writeln!(
        text,
        "cache page of {PAGE_EVENTS} events in JSON: {} ns and {} bytes an event",
        per_page / u128::from(PAGE_EVENTS),
        bytes.len() / PAGE_EVENTS as usize,
    );
}

/// Measures the time to rank the upstreams for one request.
fn measure_placement(text: &mut String, fleet: u32, repetitions: u32) {
    let mut upstreams = Arena::new();
    let upstream = Upstream {
        name: String::new(),
        data_centre: String::new(),
        sidecar: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: UpstreamKind::Plain {
            service: String::new(),
        },
        slots: 1,
        retired: false,
    };
    let target = |number: u32| PlacementTarget {
        upstream: upstreams.insert(upstream.clone()),
        name_hash: u64::from(number).wrapping_mul(KEY_MULTIPLIER),
        data_centre: number % 4,
        leaving: false,
    };
    let targets: Vec<PlacementTarget> = (0..fleet).map(target).collect();
    let per_choice = mean_nanoseconds(repetitions / 10, |iteration| {
        let keys = [piece_key(iteration)];
        let request = ScoringInput {
            keys: &keys,
            placement_pieces: 1,
            draw: iteration,
        };
        black_box(STANDARD.candidates(&request, &targets));
    });
    let _written = writeln!(text, "placement among {fleet} upstreams: {per_choice} ns");
}

/// Measures the time of offer, start and end of a request, and of an expected wait.
fn measure_queue(text: &mut String, length: u32, repetitions: u32) {
    let mut queue = FairQueue::new(QueuePolicy {
        discipline: QueueDiscipline::RankedFair,
        rank_capacity: length as usize + 1,
        floor_percent: [20, 20],
    });
    let slots = RunningSlots {
        slots: 8,
        running: [0, 0],
        max_starts: u32::MAX,
    };
    let now = Moment::START;
    for sequence in 0..u64::from(length) {
        queue.offer(now, queue_item(sequence), u64::MAX, &slots);
    }
    let per_item = mean_nanoseconds(repetitions, |iteration| {
        let item = queue_item(u64::from(length) + iteration);
        queue.offer(now, item, u64::MAX, &slots);
        if let QueueStep::Start(item) = queue.next(now, &slots) {
            queue.record_end(item.ticket, item.cost_us);
        }
    });
    let probe = queue_item(0);
    let per_wait = mean_nanoseconds(repetitions, |_| {
        black_box(queue.expected_wait_us(now, black_box(&probe), &slots));
    });
    let _written = writeln!(
        text,
        "queue of {length} requests of {CUSTOMERS} customers: {per_item} ns for offer, start and \
         finish, {per_wait} ns for an expected wait",
    );
}

fn queue_item(sequence: u64) -> QueueItem {
    let customer = u32::try_from(sequence % u64::from(CUSTOMERS)).unwrap_or(0);
    QueueItem {
        ticket: Ticket {
            entry: Incarnation(1),
            sequence,
        },
        customer: CustomerId(customer),
        share: CustomerShare {
            weight: 1 + customer % 4,
            max_in_flight: u32::MAX,
        },
        rank: Rank::Routine,
        cost_us: 100_000 + sequence % 7 * 1_000,
        start_by: Moment::from_micros(1_000_000_000 + sequence),
    }
}

/// Runs a function repeatedly and returns the mean time of a call in nanoseconds.
fn mean_nanoseconds(repetitions: u32, mut function: impl FnMut(u64)) -> u128 {
    let started = Instant::now();
    for iteration in 0..u64::from(repetitions) {
        function(iteration);
    }
    started.elapsed().as_nanos() / u128::from(repetitions.max(1))
}

/// Returns the resident memory of this process in bytes, or 0 if `/proc` is not available.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

//! The cache index against the engine's true cache, with lost, repeated and late events.

mod property;

use std::collections::BTreeSet;

use bulrushslip::decide::cache_index::{
    CacheChange, CacheEvent, CacheIndex, CacheList, CachePage, IndexStep,
};
use bulrushslip::decide::ids::{EngineEpoch, PrefixKey};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

const CAPACITY: usize = 1_000;

/// An engine: all events of its present life.
#[derive(Default)]
struct NaiveEngine {
    epoch: EngineEpoch,
    events: Vec<CacheEvent>,
}

impl NaiveEngine {
    fn toggle(&mut self, key: PrefixKey) {
        let cached = self.cached_before(self.next()).contains(&key);
        let change = if cached {
            CacheChange::Evicted
        } else {
            CacheChange::Stored
        };
        self.events.push(CacheEvent {
            sequence: self.next(),
            change,
            key,
        });
    }

    fn page(&self, events: Vec<CacheEvent>, next: u64) -> CachePage {
        CachePage {
            epoch: self.epoch,
            events,
            next,
        }
    }

    fn next(&self) -> u64 {
        self.events.len() as u64
    }

    fn cached_before(&self, next: u64) -> BTreeSet<PrefixKey> {
        let mut cached = BTreeSet::new();
        for event in self.events.iter().filter(|event| event.sequence < next) {
            match event.change {
                CacheChange::Stored => cached.insert(event.key),
                CacheChange::Evicted => cached.remove(&event.key),
            };
        }
        cached
    }
}

#[test]
fn never_believes_a_piece_that_the_engine_dropped_before_the_last_known_event() {
    property::check::<Vec<(u8, u8)>>(CASES, |steps| {
        let mut engine = NaiveEngine::default();
        let mut index = CacheIndex::new(CAPACITY);
        let mut furthest = (engine.epoch, 0);
        for (kind, amount) in steps {
            let from = match index.step() {
                IndexStep::Follow(sequence) => sequence,
                IndexStep::Resync => 0,
            };
            // Up to three events before the wanted one come again, and a tail comes late.
            let from = from.saturating_sub(u64::from(amount & 3));
            let late = engine.next().saturating_sub(u64::from(amount >> 6));
            let batch = engine.events.iter().copied();
            let mut batch: Vec<CacheEvent> = batch
                .filter(|event| (from..late).contains(&event.sequence))
                .collect();
            match kind % 8 {
                0..=2 => engine.toggle(PrefixKey(u64::from(amount % 16))),
                3 => drop(index.apply(&engine.page(batch, late))),
                4 if !batch.is_empty() => {
                    batch.remove(usize::from(*amount) % batch.len());
                    index.apply(&engine.page(batch, late));
                }
                5 => {
                    let keys: Vec<_> = engine.cached_before(late).into_iter().collect();
                    index.resync(&CacheList {
                        epoch: engine.epoch,
                        keys,
                        next: late,
                    });
                }
                6 if *amount > 200 => {
                    engine = NaiveEngine {
                        epoch: EngineEpoch(engine.epoch.0 + 1),
                        events: Vec::new(),
                    };
                    index.observe_epoch(engine.epoch);
                }
                _ => {
                    let step = index.apply(&engine.page(Vec::new(), engine.next()));
                    let current = step == IndexStep::Follow(engine.next());
                    assert!(current || step == IndexStep::Resync, "all events were lost");
                }
            }
            if let IndexStep::Follow(sequence) = index.step() {
                let reached = (engine.epoch, sequence);
                assert!(reached >= furthest, "an older list replaced newer events");
                furthest = reached;
            }
            let truth = match index.step() {
                IndexStep::Follow(sequence) => engine.cached_before(sequence),
                IndexStep::Resync => BTreeSet::new(),
            };
            assert_eq!(index.len(), truth.len());
            assert!(truth.iter().all(|key| index.missing(&[*key]) == 0));
        }
    });
}

#[test]
fn counts_everything_after_the_first_missing_piece() {
    let mut index = CacheIndex::new(2);
    let keys = [1, 2, 3, 4].map(PrefixKey);
    index.resync(&CacheList {
        epoch: EngineEpoch(1),
        keys: vec![keys[0], keys[2]],
        next: 0,
    });
    assert_eq!(index.missing(&keys), 3);
    assert_eq!(index.missing(&keys[2..]), 1);
    // Beyond its capacity the index believes less, never more.
    let stored = CacheEvent {
        sequence: 0,
        change: CacheChange::Stored,
        key: keys[1],
    };
    index.apply(&CachePage {
        epoch: EngineEpoch(1),
        events: vec![stored],
        next: 1,
    });
    assert_eq!((index.len(), index.missing(&keys)), (2, 3));
}

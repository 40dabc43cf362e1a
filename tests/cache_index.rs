//! Compares the cache index with the contents of a simulated engine cache, with lost, repeated and
//! delayed events.

mod property;

use std::collections::BTreeSet;

use bulrushslip::decide::cache_index::{
    CacheChange, CacheEvent, CacheIndex, CacheList, CachePage, IndexStep,
};
use bulrushslip::decide::ids::{EngineEpoch, PrefixKey};

/// Generated inputs per property.
const CASES: u64 = 2_000;

const CAPACITY: usize = 1_000;

/// Simulated engine that keeps all cache events of its current epoch.
#[derive(Default)]
struct SimulatedEngine {
    epoch: EngineEpoch,
    events: Vec<CacheEvent>,
}

impl SimulatedEngine {
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
fn never_lists_a_piece_evicted_before_the_last_applied_event() {
    property::check::<Vec<(u8, u8)>>(CASES, |steps| {
        let mut engine = SimulatedEngine::default();
        let mut index = CacheIndex::new(CAPACITY);
        let mut highest_applied = (engine.epoch, 0);
        for (kind, amount) in steps {
            let from = match index.step() {
                IndexStep::Follow(sequence) => sequence,
                IndexStep::Resync => 0,
            };
            // A batch repeats up to three events and lacks up to three of the latest ones.
            let from = from.saturating_sub(u64::from(amount & 3));
            let published = engine.next().saturating_sub(u64::from(amount >> 6));
            let batch = engine.events.iter().copied();
            let mut batch: Vec<CacheEvent> = batch
                .filter(|event| (from..published).contains(&event.sequence))
                .collect();
            match kind % 8 {
                0..=2 => engine.toggle(PrefixKey(u64::from(amount % 16))),
                3 => drop(index.apply(&engine.page(batch, published))),
                4 if !batch.is_empty() => {
                    batch.remove(usize::from(*amount) % batch.len());
                    index.apply(&engine.page(batch, published));
                }
                5 => {
                    let keys: Vec<_> = engine.cached_before(published).into_iter().collect();
                    index.resync(&CacheList {
                        epoch: engine.epoch,
                        keys,
                        next: published,
                    });
                }
                6 if *amount > 200 => {
                    engine = SimulatedEngine {
                        epoch: EngineEpoch(engine.epoch.0 + 1),
                        events: Vec::new(),
                    };
                    index.observe_epoch(engine.epoch);
                }
                _ => {
                    let step = index.apply(&engine.page(Vec::new(), engine.next()));
                    let current = step == IndexStep::Follow(engine.next());
                    assert!(
                        current || step == IndexStep::Resync,
                        "a batch without the published events was accepted"
                    );
                }
            }
            if let IndexStep::Follow(sequence) = index.step() {
                let position = (engine.epoch, sequence);
                assert!(
                    position >= highest_applied,
                    "an older list replaced newer events"
                );
                highest_applied = position;
            }
            let expected = match index.step() {
                IndexStep::Follow(sequence) => engine.cached_before(sequence),
                IndexStep::Resync => BTreeSet::new(),
            };
            assert_eq!(index.len(), expected.len());
            assert!(expected.iter().all(|key| index.missing(&[*key]) == 0));
        }
    });
}

#[test]
fn counts_all_pieces_from_the_first_missing_one() {
    let mut index = CacheIndex::new(2);
    let keys = [1, 2, 3, 4].map(PrefixKey);
    index.resync(&CacheList {
        epoch: EngineEpoch(1),
        keys: vec![keys[0], keys[2]],
        next: 0,
    });
    assert_eq!(index.missing(&keys), 3);
    assert_eq!(index.missing(&keys[2..]), 1);
    // At capacity the index may miss a cached piece, but never lists one that is not cached.
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

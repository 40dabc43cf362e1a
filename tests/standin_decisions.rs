//! Decisions of the stand-ins without processes: cache against a naive version, lags and rates.

mod property;

use std::time::Duration;

use bulrushslip::kernel::Moment;
use bulrushslip::standin::append_log::{AppendLog, AppendOutcome, LogLimits};
use bulrushslip::standin::prefix_cache::{CacheChange, PrefixCache};
use bulrushslip::standin::weight_store::{WeightLimits, WeightStore};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Keys from the most to the least recently used, scanned in full.
fn naive_store(used: &mut Vec<u64>, keys: &[u64], capacity: usize) {
    let keys = &keys[..keys.len().min(capacity)];
    for key in keys.iter().rev() {
        used.retain(|known| known != key);
        used.insert(0, *key);
    }
    used.truncate(capacity);
}

#[test]
fn the_prefix_cache_agrees_with_a_naive_one_and_its_changes_tell_its_content() {
    property::check::<(u8, Vec<(u8, u8)>)>(CASES, |(capacity, prompts)| {
        let capacity = usize::from(capacity % 12);
        let mut cache = PrefixCache::new(capacity);
        let (mut used, mut told): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for (tenant, length) in prompts {
            let first = u64::from(tenant % 4) * 100;
            let keys: Vec<u64> = (first..first + u64::from(length % 16)).collect();
            let leading = keys.iter().take_while(|key| used.contains(key)).count();
            assert_eq!(cache.touch_prefix(&keys), leading);
            naive_store(&mut used, &keys, capacity);
            for change in cache.store(&keys) {
                match change {
                    CacheChange::Stored(key) => told.push(key),
                    CacheChange::Evicted(key) => told.retain(|known| *known != key),
                }
            }
            let cached: Vec<u64> = cache.keys().into_iter().rev().collect();
            assert_eq!(cached, used);
            told.sort_unstable();
            used.sort_unstable();
            assert_eq!(told, used);
            used = cached;
        }
    });
}

#[test]
fn transfers_of_weights_slow_down_in_proportion() {
    let limits = WeightLimits {
        load_ms: 600,
        concurrent_loads: 3,
    };
    let mut store = WeightStore::new(limits);
    for _ in 0..3 {
        store.start(at(0));
    }
    assert_eq!(store.next_due(), at(600));
    for _ in 0..3 {
        store.start(at(300));
    }
    assert_eq!(store.next_due(), at(900));
    assert_eq!(store.finish(at(900)).len(), 3);
    assert_eq!(store.next_due(), at(1_200));
    assert_eq!(store.finish(at(1_200)).len(), 3);
    assert_eq!(store.next_due(), Moment::NEVER);
}

#[test]
fn the_log_takes_no_more_appends_than_its_rate() {
    let mut log = AppendLog::new(LogLimits {
        retention_records: 10,
        appends_per_second: 400,
    });
    let tries = (0..10_000).map(|try_at_ms| log.append(at(try_at_ms), "s", "x", None));
    let accepted = tries.filter(|outcome| *outcome != AppendOutcome::Unavailable);
    let accepted = accepted.count();
    assert!(
        (4_000..=4_101).contains(&accepted),
        "{accepted} appends in 10 s"
    );
}

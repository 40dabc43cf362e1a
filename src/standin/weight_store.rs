//! Simulated weight store: concurrent transfers share a limited bandwidth.

use std::time::Duration;

use crate::kernel::{Arena, Key, Moment};

/// Bandwidth of a weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightLimits {
    /// Duration in milliseconds of a transfer at full speed.
    pub load_ms: u64,
    /// Number of concurrent transfers that still run at full speed.
    pub concurrent_loads: u64,
}

/// A running transfer of weights.
#[derive(Debug, Clone, Copy)]
pub struct WeightTransfer {
    remaining_us: u64,
}

/// Arena key of a running transfer.
pub type TransferKey = Key<WeightTransfer>;

/// Running transfers and their remaining time.
#[derive(Debug, Clone)]
pub struct WeightStore {
    limits: WeightLimits,
    transfers: Arena<WeightTransfer>,
    updated: Moment,
}

impl WeightStore {
    /// Creates a weight store without transfers.
    #[must_use]
    pub fn new(limits: WeightLimits) -> Self {
        Self {
            limits,
            transfers: Arena::new(),
            updated: Moment::START,
        }
    }

    /// Starts a transfer.
    pub fn start(&mut self, now: Moment) -> TransferKey {
        self.update_progress(now);
        let remaining_us = self.limits.load_ms * 1_000;
        self.transfers.insert(WeightTransfer { remaining_us })
    }

    /// Removes the transfers that are complete and returns their keys.
    pub fn finish(&mut self, now: Moment) -> Vec<TransferKey> {
        self.update_progress(now);
        let transfers = self.transfers.iter();
        let done: Vec<TransferKey> = transfers
            .filter(|(_, transfer)| transfer.remaining_us == 0)
            .map(|(key, _)| key)
            .collect();
        for key in &done {
            self.transfers.remove(*key);
        }
        done
    }

    /// Returns when the next transfer completes if no other one is started.
    #[must_use]
    pub fn next_due(&self) -> Moment {
        let transfers = self.transfers.iter();
        let shortest = transfers.map(|(_, transfer)| transfer.remaining_us).min();
        let (slow, full) = self.slowdown();
        shortest.map_or(Moment::NEVER, |remaining_us| {
            let time_us = (remaining_us * slow).div_ceil(full);
            self.updated.after(Duration::from_micros(time_us))
        })
    }

    /// Returns the number of running transfers.
    #[must_use]
    pub fn running(&self) -> usize {
        self.transfers.len()
    }

    // Returns the factor by which transfers are slowed down, as a fraction. All transfers share the
    // bandwidth evenly, and none is faster than full speed.
    fn slowdown(&self) -> (u64, u64) {
        let full = self.limits.concurrent_loads.max(1);
        (full.max(self.transfers.len() as u64), full)
    }

    fn update_progress(&mut self, now: Moment) {
        let elapsed_us = now.as_micros().saturating_sub(self.updated.as_micros());
        let (slow, full) = self.slowdown();
        let done_us = elapsed_us * full / slow;
        for (_, transfer) in self.transfers.iter_mut() {
            transfer.remaining_us = transfer.remaining_us.saturating_sub(done_us);
        }
        self.updated = now;
    }
}

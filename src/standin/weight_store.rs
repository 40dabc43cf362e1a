//! Weight store: transfers that share a limited bandwidth.

use std::time::Duration;

use crate::kernel::{Arena, Key, Moment};

/// Bandwidth of a store.
#[derive(Debug, Clone, Copy)]
pub struct WeightLimits {
    /// Time in milliseconds of one transfer.
    pub load_ms: u64,
    /// Transfers that run at full speed at the same time.
    pub concurrent_loads: u64,
}

/// One running transfer.
#[derive(Debug, Clone, Copy)]
pub struct WeightTransfer {
    remaining_us: u64,
}

/// Addresses one transfer.
pub type TransferKey = Key<WeightTransfer>;

/// Running transfers.
#[derive(Debug, Clone)]
pub struct WeightStore {
    limits: WeightLimits,
    transfers: Arena<WeightTransfer>,
    updated: Moment,
}

impl WeightStore {
    /// Creates a store without transfers.
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
        self.progress(now);
        let remaining_us = self.limits.load_ms * 1_000;
        self.transfers.insert(WeightTransfer { remaining_us })
    }

    /// Removes and returns the transfers that are done.
    pub fn finish(&mut self, now: Moment) -> Vec<TransferKey> {
        self.progress(now);
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

    /// Returns when the next transfer is done if none is added.
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

    // All transfers share the bandwidth evenly, at most at full speed each.
    fn slowdown(&self) -> (u64, u64) {
        let full = self.limits.concurrent_loads.max(1);
        (full.max(self.transfers.len() as u64), full)
    }

    fn progress(&mut self, now: Moment) {
        let elapsed_us = now.as_micros().saturating_sub(self.updated.as_micros());
        let (slow, full) = self.slowdown();
        let done_us = elapsed_us * full / slow;
        for (_, transfer) in self.transfers.iter_mut() {
            transfer.remaining_us = transfer.remaining_us.saturating_sub(done_us);
        }
        self.updated = now;
    }
}

//! Faults of processes: kills, engine crashes, planned stops and pauses.

use std::time::Duration;

use bulrushslip::kernel::Signal;
use rand::RngExt;

use super::Simulation;
use super::upstream::UPSTREAMS;

/// Frequency of faults, in percent of the messages or in permille of the steps.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    /// Calls and replies that are lost, in percent.
    pub lost: u32,
    /// Calls and replies that are delayed, in percent.
    pub delayed: u32,
    /// Calls that arrive twice, in percent.
    pub duplicated: u32,
    /// Sidecars killed and restarted, in permille of the steps.
    pub restarts: u32,
    /// Engines crashed, in permille of the steps.
    pub crashes: u32,
    /// Sidecars or entries paused, in permille of the steps.
    pub pauses: u32,
    /// Planned stops of sidecars, in permille of the steps.
    pub stops: u32,
}

impl Simulation {
    /// Injects the faults of one step.
    pub fn inject_faults(&mut self) {
        let index = self.random.random_range(0..UPSTREAMS);
        let pause = self
            .now
            .after(Duration::from_millis(self.random.random_range(0..3000)));
        if self.chance(self.rates.restarts) {
            self.restart(index);
        }
        if self.chance(self.rates.crashes) {
            self.upstreams[index]
                .engine
                .lock()
                .expect("the lock is not poisoned")
                .crash();
        }
        if self.chance(20) {
            self.upstreams[index]
                .engine
                .lock()
                .expect("the lock is not poisoned")
                .up = true;
        }
        if self.chance(self.rates.pauses) {
            if let Some(sidecar) = &mut self.upstreams[index].sidecar {
                sidecar.paused_until = pause;
            }
            let request = self.random.random_range(0..self.requests.len());
            self.requests[request].paused_until = pause;
        }
        if self.chance(self.rates.stops)
            && let Some(sidecar) = &mut self.upstreams[index].sidecar
        {
            sidecar.kernel.post(sidecar.ledger, Signal::Stop);
        }
        if self.chance(5) && self.upstreams[index].sidecar.is_none() {
            self.restart(index);
        }
    }

    /// Kills a sidecar; a new one starts now or in a later step.
    fn restart(&mut self, index: usize) {
        // A killed process sends no more replies.
        self.pending_replies
            .retain(|(upstream, ..)| *upstream != index);
        if self.chance(500) {
            self.upstreams[index].sidecar = None;
            return;
        }
        let seed = self.random.random();
        self.upstreams[index].start_sidecar(seed, index);
    }

    /// Starts all engines, and the sidecars that do not run.
    pub fn restore_processes(&mut self) {
        for index in 0..UPSTREAMS {
            self.upstreams[index]
                .engine
                .lock()
                .expect("the lock is not poisoned")
                .up = true;
            if self.upstreams[index].sidecar.is_none() {
                self.restart(index);
            }
        }
    }
}

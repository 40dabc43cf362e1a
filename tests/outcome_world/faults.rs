//! Faults of processes: kills, crashes, planned stops and pauses.

use std::time::Duration;

use bulrushslip::kernel::Signal;
use rand::RngExt;

use super::World;
use super::upstream::UPSTREAMS;

/// How often things go wrong, in percent of the calls or in permille of the steps.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    /// Calls and replies that are lost, in percent.
    pub lost: u32,
    /// Calls and replies that are late, in percent.
    pub late: u32,
    /// Calls that arrive twice, in percent.
    pub doubled: u32,
    /// Sidecars killed and started anew, in permille of the steps.
    pub restarts: u32,
    /// Engines crashed, in permille of the steps.
    pub crashes: u32,
    /// Sidecars or entries paused, in permille of the steps.
    pub pauses: u32,
    /// Sidecars stopped as planned, in permille of the steps.
    pub stops: u32,
}

impl World {
    /// Lets things go wrong, now and then.
    pub fn cause_faults(&mut self) {
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
                .expect("one thread")
                .crash();
        }
        if self.chance(20) {
            self.upstreams[index].engine.lock().expect("one thread").up = true;
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

    /// Kills a sidecar; a new one starts at once or later.
    fn restart(&mut self, index: usize) {
        // A killed process answers nothing any more.
        self.owed.retain(|(upstream, ..)| *upstream != index);
        if self.chance(500) {
            self.upstreams[index].sidecar = None;
            return;
        }
        let seed = self.random.random();
        self.upstreams[index].start_sidecar(seed, index);
    }

    /// Brings everything up again.
    pub fn repair(&mut self) {
        for index in 0..UPSTREAMS {
            self.upstreams[index].engine.lock().expect("one thread").up = true;
            if self.upstreams[index].sidecar.is_none() {
                self.restart(index);
            }
        }
    }
}

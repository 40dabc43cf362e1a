//! Drills of the store: it comes back from a copy some seconds old, and what operators and upstreams wrote
//! is written again.

use std::time::{Duration, Instant};

use super::dice::Dice;
use super::ledger::{DRAIN_LIMIT, Scope};
use super::{Repair, Soak};

/// User of the draws of drills, so that they do not change those of other parts.
const DICE_USER: u64 = 501;

/// Records of each writer that the last drill loses, more than what is written after it.
const LOST_RECORDS: usize = 8;

/// Time for which callers go on after the last drill, beyond that in which a leave takes effect.
const CALLS_AFTER_LEAVE: Duration = Duration::from_millis(1_500);

/// Drills of one soak.
#[derive(Debug)]
pub struct StoreDrills {
    dice: Dice,
    /// When the store comes back from the copy that it has made last.
    due: Option<Instant>,
}

impl StoreDrills {
    /// Creates the drills of a seed.
    pub const fn new(seed: u64) -> Self {
        Self {
            dice: Dice::new(seed, DICE_USER),
            due: None,
        }
    }

    /// Draws how old the copy is when the store comes back from it.
    fn draw_age(&mut self) -> Duration {
        Duration::from_millis(500 + self.dice.below(4_500))
    }
}

impl Soak {
    /// Makes a copy of the store, or lets the store come back from it when it is old enough.
    pub(super) async fn drill_if_due(&mut self) {
        let now = Instant::now();
        let Some(drills) = &mut self.drills else {
            return;
        };
        let Some(due) = drills.due else {
            drills.due = Some(now + drills.draw_age());
            return self.ask_store("copy").await;
        };
        if due > now {
            return;
        }
        drills.due = None;
        let away = Duration::from_millis(drills.dice.below(2_000));
        self.restore(away).await;
    }

    /// Lets the store be away for a time and come back from its copy.
    pub(super) async fn restore(&mut self, away: Duration) {
        self.hold(Scope::Store, away, Repair::Store);
        self.come_back(away).await;
    }

    /// Lets the store come back from its copy; operators and upstreams write again.
    async fn come_back(&self, away: Duration) {
        let fault = format!("restore?ms={}", away.as_millis());
        self.ask_store(&fault).await;
        self.write_configuration().await;
        if self.weights > 1 {
            self.write_weights().await;
        }
        self.write_entries().await;
    }

    async fn write_entries(&self) {
        for linked in &self.upstreams {
            linked.upstream.entry.write().await;
        }
    }

    /// Lets the store lose many records while nothing is disturbed; what is written next has to take
    /// effect as at any time.
    pub(super) async fn lose_records(&mut self) {
        if self.drills.is_none() {
            return;
        }
        self.ask_store("copy").await;
        for _ in 0..LOST_RECORDS {
            self.configure().await;
            self.write_entries().await;
        }
        self.configure_and_check().await;
        self.come_back(Duration::ZERO).await;
        self.leave(0, Duration::ZERO).await;
        self.configure_and_check().await;
        tokio::time::sleep(DRAIN_LIMIT + CALLS_AFTER_LEAVE).await;
        self.repair(Instant::now() + DRAIN_LIMIT).await;
    }
}

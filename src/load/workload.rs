//! Seeded requests: who asks for what, and when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Customers by their share of the requests in percent; the first [`LARGE_CUSTOMERS`] are large.
const CUSTOMER_SHARES: [u32; 8] = [40, 25, 6, 6, 6, 6, 6, 5];

/// Customers that count as large.
pub const LARGE_CUSTOMERS: usize = 2;

/// Sites of each customer.
const SITES: u32 = 20;

/// Units of each site.
const UNITS: u32 = 30;

/// Weight of the most frequent site or unit; the n-th has an n-th of it.
const TOP_WEIGHT: u32 = 10_000;

/// Part of the run in percent after which other sites become the frequent ones.
const SHIFT_PERCENT: u32 = 50;

/// Part of the run in percent in which routine requests flood.
const ROUTINE_FLOOD: std::ops::Range<u32> = 30..45;

/// Part of the run in percent in which urgent requests flood.
const URGENT_FLOOD: std::ops::Range<u32> = 65..80;

/// Output tokens of an urgent request.
const URGENT_TOKENS: std::ops::RangeInclusive<u32> = 4..=12;

/// Output tokens of a routine request.
const ROUTINE_TOKENS: std::ops::RangeInclusive<u32> = 16..=48;

/// What determines the requests of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkloadSpec {
    /// Seed of all random choices.
    pub seed: u64,
    /// Requests a second outside floods.
    pub rate: u32,
    /// Length in seconds.
    pub seconds: u32,
    /// Share of urgent requests outside floods in percent.
    pub urgent_percent: u32,
    /// Rate of a rank in its flood, as a multiple of its usual rate.
    pub flood_factor: u32,
    /// Whether the requests of the large customers are left out.
    pub without_large: bool,
}

/// Pieces of each level of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixDepths {
    /// Regulatory preamble.
    pub preamble: usize,
    /// Site or fleet.
    pub site: usize,
    /// Unit.
    pub unit: usize,
}

/// Part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPhase {
    /// Outside floods.
    Steady,
    /// Flood of routine requests.
    RoutineFlood,
    /// Flood of urgent requests.
    UrgentFlood,
}

impl LoadPhase {
    /// All phases.
    pub const ALL: [Self; 3] = [Self::Steady, Self::RoutineFlood, Self::UrgentFlood];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::RoutineFlood => "routine flood",
            Self::UrgentFlood => "urgent flood",
        }
    }
}

/// One request of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When it is sent, from the start of the run.
    pub due: Moment,
    /// Part of the run in which it is due.
    pub phase: LoadPhase,
    /// Number of the customer, from 0.
    pub customer: usize,
    /// Rank.
    pub rank: Rank,
    /// Number of the site.
    pub site: u32,
    /// Number of the unit within the site.
    pub unit: u32,
    /// Output tokens asked for.
    pub tokens: u32,
    /// Makes the end of the prompt differ from all others.
    pub question: u64,
}

impl WorkloadSpec {
    /// Returns all requests in the order in which they are due.
    #[must_use]
    pub fn plan(&self) -> Vec<PlannedRequest> {
        let mut requests = Vec::new();
        for rank in Rank::ALL {
            let seed = self.seed * 2 + u64::from(rank == Rank::Urgent);
            let mut random = StdRng::seed_from_u64(seed);
            self.plan_rank(rank, &mut random, &mut requests);
        }
        requests.sort_by_key(|request| request.due);
        requests
    }

    fn plan_rank(&self, rank: Rank, random: &mut StdRng, requests: &mut Vec<PlannedRequest>) {
        let percent = match rank {
            Rank::Urgent => self.urgent_percent,
            Rank::Routine => 100_u32.saturating_sub(self.urgent_percent),
        };
        // Requests are drawn at the flood's rate throughout and thinned out outside the flood.
        let factor = self.flood_factor.max(1);
        let rate = f64::from(self.rate * factor) * f64::from(percent) / 100.0;
        if rate <= 0.0 {
            return;
        }
        let end = Moment::START.after(Duration::from_secs(self.seconds.into()));
        let mut due = Moment::START;
        loop {
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            due = due.after(Duration::from_secs_f64(gap));
            if end.is_due(due) {
                return;
            }
            let phase = self.phase(due);
            let request = self.draw(rank, due, phase, random);
            let kept = floods(phase, rank) || random.random_range(0..factor) == 0;
            if kept && !(self.without_large && request.customer < LARGE_CUSTOMERS) {
                requests.push(request);
            }
        }
    }

    fn draw(
        &self,
        rank: Rank,
        due: Moment,
        phase: LoadPhase,
        random: &mut StdRng,
    ) -> PlannedRequest {
        let customer = pick(random, CUSTOMER_SHARES.into_iter());
        let site = pick_frequent(random, SITES);
        let shift = if self.percent(due) < SHIFT_PERCENT {
            0
        } else {
            SITES / 2
        };
        let tokens = match rank {
            Rank::Urgent => URGENT_TOKENS,
            Rank::Routine => ROUTINE_TOKENS,
        };
        PlannedRequest {
            due,
            phase,
            customer,
            rank,
            site: (site + shift) % SITES,
            unit: pick_frequent(random, UNITS),
            tokens: random.random_range(tokens),
            question: random.random(),
        }
    }

    fn percent(&self, due: Moment) -> u32 {
        let micros = u64::from(self.seconds.max(1)) * 10_000;
        u32::try_from(due.as_micros() / micros).unwrap_or(u32::MAX)
    }

    fn phase(&self, due: Moment) -> LoadPhase {
        let percent = self.percent(due);
        if self.flood_factor <= 1 {
            return LoadPhase::Steady;
        }
        if ROUTINE_FLOOD.contains(&percent) {
            return LoadPhase::RoutineFlood;
        }
        if URGENT_FLOOD.contains(&percent) {
            return LoadPhase::UrgentFlood;
        }
        LoadPhase::Steady
    }
}

fn floods(phase: LoadPhase, rank: Rank) -> bool {
    match phase {
        LoadPhase::Steady => false,
        LoadPhase::RoutineFlood => rank == Rank::Routine,
        LoadPhase::UrgentFlood => rank == Rank::Urgent,
    }
}

fn pick_frequent(random: &mut StdRng, count: u32) -> u32 {
    let position = pick(random, (1..=count).map(|place| TOP_WEIGHT / place));
    u32::try_from(position).unwrap_or(0)
}

fn pick(random: &mut StdRng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let mut rest = random.random_range(0..weights.clone().sum());
    for (position, weight) in weights.enumerate() {
        if rest < weight {
            return position;
        }
        rest -= weight;
    }
    0
}

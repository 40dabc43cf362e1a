//! Generates the requests of a run from a seed: time, customer, rank, prompt and output length.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::decide::ids::Rank;
use crate::kernel::Moment;

/// Percentage of the requests by customer; the first [`LARGE_CUSTOMERS`] customers are large.
const CUSTOMER_SHARES_PERCENT: [u32; 8] = [40, 25, 6, 6, 6, 6, 6, 5];

/// Number of customers that count as large, the ones with the lowest numbers.
pub const LARGE_CUSTOMERS: usize = 2;

/// Number of sites of each customer.
const SITES: u32 = 20;

/// Number of units of each site.
const UNITS: u32 = 30;

/// Weight of the most frequent site or unit; the n-th most frequent one has 1/n of it (Zipf's law).
const MAX_ZIPF_WEIGHT: u32 = 10_000;

/// Percentage of the run after which other sites are the most frequent ones.
const SITE_CHANGE_PERCENT: u32 = 50;

/// Percentages of the run between which the rate of routine requests is raised.
const ROUTINE_FLOOD_PERCENT: std::ops::Range<u32> = 30..45;

/// Percentages of the run between which the rate of urgent requests is raised.
const URGENT_FLOOD_PERCENT: std::ops::Range<u32> = 65..80;

/// Range of the output tokens of an urgent request.
const URGENT_TOKENS: std::ops::RangeInclusive<u32> = 4..=12;

/// Range of the output tokens of a routine request.
const ROUTINE_TOKENS: std::ops::RangeInclusive<u32> = 16..=48;

/// Parameters from which the requests of a run are generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkloadSpec {
    /// Seed of the random generator.
    pub seed: u64,
    /// Requests per second outside floods.
    pub rate: u32,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// Percentage of urgent requests outside floods.
    pub urgent_percent: u32,
    /// Rate of a rank in its flood, as a multiple of its usual rate.
    pub flood_factor: u32,
    /// Whether the requests of the large customers are left out.
    pub without_large: bool,
}

/// Number of cache pieces in each level of a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLengths {
    /// Pieces of the preamble, which all prompts share.
    pub preamble: usize,
    /// Pieces of the site, which prompts of the same site share.
    pub site: usize,
    /// Pieces of the unit, which prompts of the same unit share.
    pub unit: usize,
}

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPhase {
    /// Both ranks have their usual rates.
    Steady,
    /// The rate of routine requests is raised.
    RoutineFlood,
    /// The rate of urgent requests is raised.
    UrgentFlood,
}

impl LoadPhase {
    /// All phases, in the order of reports.
    pub const ALL: [Self; 3] = [Self::Steady, Self::RoutineFlood, Self::UrgentFlood];

    /// Returns the name of the phase in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::RoutineFlood => "routine flood",
            Self::UrgentFlood => "urgent flood",
        }
    }
}

/// One generated request of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Time at which the request is sent, relative to the start of the run.
    pub due: Moment,
    /// Phase of the run in which the request is due.
    pub phase: LoadPhase,
    /// Number of the customer, from 0.
    pub customer: usize,
    /// Rank of the request.
    pub rank: Rank,
    /// Number of the site, from 0.
    pub site: u32,
    /// Number of the unit within the site, from 0.
    pub unit: u32,
    /// Number of output tokens requested.
    pub tokens: u32,
    /// Random number at the end of the prompt, which makes the prompt unique.
    pub question: u64,
}

impl WorkloadSpec {
    /// Generates all requests in the order in which they are due.
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
        // Poisson arrivals are generated at the flood rate; outside the flood of this rank, one in
        // `factor` is kept.
        let factor = self.flood_factor.max(1);
        let rate = f64::from(self.rate * factor) * f64::from(percent) / 100.0;
        if rate <= 0.0 {
            return;
        }
        let end = Moment::START.after(Duration::from_secs(self.seconds.into()));
        let mut due = Moment::START;
        loop {
            let interval = -(1.0 - random.random::<f64>()).ln() / rate;
            due = due.after(Duration::from_secs_f64(interval));
            if end.is_due(due) {
                return;
            }
            let phase = self.phase(due);
            let request = self.random_request(rank, due, phase, random);
            let is_kept = is_flood_of(phase, rank) || random.random_range(0..factor) == 0;
            if is_kept && !(self.without_large && request.customer < LARGE_CUSTOMERS) {
                requests.push(request);
            }
        }
    }

    fn random_request(
        &self,
        rank: Rank,
        due: Moment,
        phase: LoadPhase,
        random: &mut StdRng,
    ) -> PlannedRequest {
        let customer = weighted_index(random, CUSTOMER_SHARES_PERCENT.into_iter());
        let site = zipf_number(random, SITES);
        let site_offset = if self.elapsed_percent(due) < SITE_CHANGE_PERCENT {
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
            site: (site + site_offset) % SITES,
            unit: zipf_number(random, UNITS),
            tokens: random.random_range(tokens),
            question: random.random(),
        }
    }

    /// Returns the percentage of the run that has passed at a moment.
    fn elapsed_percent(&self, due: Moment) -> u32 {
        let micros = u64::from(self.seconds.max(1)) * 10_000;
        u32::try_from(due.as_micros() / micros).unwrap_or(u32::MAX)
    }

    fn phase(&self, due: Moment) -> LoadPhase {
        let percent = self.elapsed_percent(due);
        if self.flood_factor <= 1 {
            return LoadPhase::Steady;
        }
        if ROUTINE_FLOOD_PERCENT.contains(&percent) {
            return LoadPhase::RoutineFlood;
        }
        if URGENT_FLOOD_PERCENT.contains(&percent) {
            return LoadPhase::UrgentFlood;
        }
        LoadPhase::Steady
    }
}

fn is_flood_of(phase: LoadPhase, rank: Rank) -> bool {
    match phase {
        LoadPhase::Steady => false,
        LoadPhase::RoutineFlood => rank == Rank::Routine,
        LoadPhase::UrgentFlood => rank == Rank::Urgent,
    }
}

/// Returns a random number below `count` with Zipf-distributed frequency; 0 is the most frequent.
fn zipf_number(random: &mut StdRng, count: u32) -> u32 {
    let index = weighted_index(
        random,
        (1..=count).map(|position| MAX_ZIPF_WEIGHT / position),
    );
    u32::try_from(index).unwrap_or(0)
}

/// Returns a random index into a list of weights, with a probability in proportion to its weight.
fn weighted_index(random: &mut StdRng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let mut remaining = random.random_range(0..weights.clone().sum());
    for (index, weight) in weights.enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

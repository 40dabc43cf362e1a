//! Named combinations of placement and queue; all but the first are baselines for measurements.

use super::placement::{ONE_LEVEL, PlacementPolicy, RANDOM, STANDARD, TWO_CHOICES};
use super::queue::QueueDiscipline;

/// How a fleet places and queues requests; entries and sidecars have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Rendezvous on the middle level with quotes, and the fair queue.
    Standard,
    /// Random placement and queues in order of arrival.
    RandomFifo,
    /// The shorter of two random queues, in order of arrival.
    TwoChoices,
    /// Rendezvous on the whole prefix without spill, and the fair queue.
    OneLevel,
}

impl RoutingPolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Standard,
        Self::RandomFifo,
        Self::TwoChoices,
        Self::OneLevel,
    ];

    /// Returns the name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.placement().name
    }

    /// Reads the form returned by [`RoutingPolicy::name`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == text)
    }

    /// Returns how entries place requests.
    #[must_use]
    pub const fn placement(self) -> PlacementPolicy {
        match self {
            Self::Standard => STANDARD,
            Self::RandomFifo => RANDOM,
            Self::TwoChoices => TWO_CHOICES,
            Self::OneLevel => ONE_LEVEL,
        }
    }

    /// Returns how sidecars order waiting requests.
    #[must_use]
    pub const fn discipline(self) -> QueueDiscipline {
        match self {
            Self::Standard | Self::OneLevel => QueueDiscipline::RankedFair,
            Self::RandomFifo | Self::TwoChoices => QueueDiscipline::Fifo,
        }
    }
}

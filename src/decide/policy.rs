//! Combinations of placement policy and queue discipline that the `policy` setting selects.

use super::placement::{ONE_LEVEL, PlacementPolicy, RANDOM, STANDARD, TWO_CHOICES};
use super::queue::QueueDiscipline;

/// Placement policy and queue discipline of a fleet; the same in all entries and sidecars. All but
/// `Standard` are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Rendezvous hashing on the leading pieces with quotes and spill; fair queues.
    Standard,
    /// Random placement; queues in order of arrival.
    RandomFifo,
    /// Random choice of two upstreams, the one with the shorter wait; queues in order of arrival.
    TwoChoices,
    /// Rendezvous hashing on the whole prefix without spill; fair queues.
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

    /// Returns the name used in the `policy` setting.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.placement().name
    }

    /// Parses a name returned by [`RoutingPolicy::name`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == text)
    }

    /// Returns the policy by which entries select upstreams.
    #[must_use]
    pub const fn placement(self) -> PlacementPolicy {
        match self {
            Self::Standard => STANDARD,
            Self::RandomFifo => RANDOM,
            Self::TwoChoices => TWO_CHOICES,
            Self::OneLevel => ONE_LEVEL,
        }
    }

    /// Returns the order in which sidecars serve waiting requests.
    #[must_use]
    pub const fn discipline(self) -> QueueDiscipline {
        match self {
            Self::Standard | Self::OneLevel => QueueDiscipline::RankedFair,
            Self::RandomFifo | Self::TwoChoices => QueueDiscipline::Fifo,
        }
    }
}

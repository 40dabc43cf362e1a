//! Small `Copy` identifiers shared by all decisions.

use std::fmt;

/// One life of a process; drawn at random at its start, so a restart is always visible.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One life of an upstream engine; a crash or restart changes it and empties its prefix cache.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineEpoch(pub u64);

/// Position of a record on the platform's log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogOffset(pub u64);

/// Identifies one attempt to run a request: the entry's incarnation and its sequence number.
///
/// ```
/// use bulrushslip::decide::ids::{Incarnation, Ticket};
/// let ticket = Ticket { entry: Incarnation(0xab), sequence: 7 };
/// assert_eq!(Ticket::parse(&ticket.to_string()), Some(ticket));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The entry process that minted the ticket.
    pub entry: Incarnation,
    /// Counts up within the entry process, from 1.
    pub sequence: u64,
}

impl Ticket {
    /// Reads the form written by `Display`; `None` for anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (entry, sequence) = text.split_once('-')?;
        let entry = Incarnation(u64::from_str_radix(entry, 16).ok()?);
        let sequence = u64::from_str_radix(sequence, 16).ok()?;
        Some(Self { entry, sequence })
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.entry.0, self.sequence)
    }
}

/// Identifies a prompt prefix that ends at a piece boundary, for one customer and one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u64);

/// Rank of a request; urgent work is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Short work that people wait for, such as operator queries and status reads.
    Urgent,
    /// Long work that can wait, such as reviews and audit summaries.
    Routine,
}

impl Rank {
    /// All ranks, first served first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Routine];

    /// Returns the name used in headers and configuration.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        }
    }

    /// Reads the form returned by [`Rank::name`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == text)
    }

    /// Returns a dense index for tables by rank.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once, such as a clone command or a test filing.
    NonIdempotent,
}

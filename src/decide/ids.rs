//! Identifiers and small enums that all decision modules share; all are `Copy`.

use std::fmt;

/// Identifies one run of a process; drawn at random at its start, so a restart is detectable.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifies one run of an engine; a restart changes the epoch and empties the prefix cache.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineEpoch(pub u64);

/// Position of a record on the platform's log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogOffset(pub u64);

/// Number of times that the platform's log has come back from an older copy. Offsets of different eras
/// cannot be compared.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// Position of a record on the log over all eras.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Era in which the record was appended.
    pub era: StoreEra,
    /// Position in that era.
    pub offset: LogOffset,
}

impl LogPosition {
    /// Returns the position after this one in the same era.
    #[must_use]
    pub const fn following(self) -> Self {
        Self {
            era: self.era,
            offset: LogOffset(self.offset.0.saturating_add(1)),
        }
    }

    /// Returns the last position before this one, which is in an earlier era if this era has none.
    #[must_use]
    pub const fn preceding(self) -> Self {
        match self.offset.0.checked_sub(1) {
            Some(offset) => Self {
                era: self.era,
                offset: LogOffset(offset),
            },
            None if self.era.0 == 0 => self,
            None => Self {
                era: StoreEra(self.era.0 - 1),
                offset: LogOffset(u64::MAX),
            },
        }
    }

    /// Returns the fencing token of a claim or a lease at this position, which is higher for each later
    /// position; `None` if there is none, after 2^32 eras or records.
    ///
    /// ```
    /// use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
    /// let at = |era, offset| LogPosition { era: StoreEra(era), offset: LogOffset(offset) };
    /// assert!(at(1, 7).fence() < at(2, 0).fence());
    /// assert_eq!(at(0, 7).fence(), Some(7));
    /// ```
    #[must_use]
    pub fn fence(self) -> Option<u64> {
        let era = u32::try_from(self.era.0).ok()?;
        let offset = u32::try_from(self.offset.0).ok()?;
        Some(u64::from(era) << u32::BITS | u64::from(offset))
    }
}

/// An offset of a store that has never come back from an older copy.
impl From<LogOffset> for LogPosition {
    fn from(offset: LogOffset) -> Self {
        Self {
            era: StoreEra(0),
            offset,
        }
    }
}

/// Identifies one attempt to run a request: incarnation of the entry and a sequence number.
///
/// ```
/// use bulrushslip::decide::ids::{Incarnation, Ticket};
/// let ticket = Ticket { entry: Incarnation(0xab), sequence: 7 };
/// assert_eq!(Ticket::parse(&ticket.to_string()), Some(ticket));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Incarnation of the entry process that issued the ticket.
    pub entry: Incarnation,
    /// Sequence number within that entry process, from 1, or from
    /// [`ACKNOWLEDGED_SEQUENCES`](Self::ACKNOWLEDGED_SEQUENCES) + 1.
    pub sequence: u64,
}

impl Ticket {
    /// Start of the sequence numbers of entries that acknowledge the end of each response. Entries
    /// of builds that do not count from 0, so sidecars tell them apart without a further message.
    pub const ACKNOWLEDGED_SEQUENCES: u64 = 1 << 63;

    /// Returns whether the entry acknowledges the end of the response once it has received it.
    #[must_use]
    pub const fn acknowledges_end(self) -> bool {
        self.sequence >= Self::ACKNOWLEDGED_SEQUENCES
    }

    /// Parses the form written by `Display`; returns `None` for anything else.
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

/// Hash key of a prompt prefix that ends at a piece boundary, per customer and weights version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u64);

/// Priority class of a request; urgent requests are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Short interactive work, such as operator queries and status reads.
    Urgent,
    /// Long work without a waiting user, such as reviews and audit summaries.
    Routine,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Routine];

    /// Returns the name of the rank in headers and in the configuration.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        }
    }

    /// Parses a name returned by [`Rank::name`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == text)
    }

    /// Returns the index of the rank in arrays with one element for each rank.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// Repeated execution has the same effect as one execution.
    Idempotent,
    /// The request must run at most once, such as a clone command or a test filing.
    NonIdempotent,
}

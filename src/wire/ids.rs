//! Encoded forms of tickets, ranks and refusal reasons.

use serde::{Deserialize, Serialize};

use crate::decide::ids::{Incarnation, Rank, Ticket};
use crate::decide::outcome::RefusalReason;

/// Error for an encoded value that this version cannot decode, such as an unknown rank or code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownValue;

/// Encoded form of a [`Ticket`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireTicket {
    /// Incarnation of the entry that issued the ticket.
    pub entry: u64,
    /// Sequence number of the ticket within that incarnation; its highest bit says that the entry
    /// acknowledges the ends of responses.
    pub sequence: u64,
}

impl From<Ticket> for WireTicket {
    fn from(ticket: Ticket) -> Self {
        Self {
            entry: ticket.entry.0,
            sequence: ticket.sequence,
        }
    }
}

impl From<WireTicket> for Ticket {
    fn from(ticket: WireTicket) -> Self {
        Self {
            entry: Incarnation(ticket.entry),
            sequence: ticket.sequence,
        }
    }
}

/// Encoded form of a [`Rank`]: 0 for urgent, 1 for routine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireRank(pub u8);

impl From<Rank> for WireRank {
    fn from(rank: Rank) -> Self {
        Self(match rank {
            Rank::Urgent => 0,
            Rank::Routine => 1,
        })
    }
}

impl TryFrom<WireRank> for Rank {
    type Error = UnknownValue;

    fn try_from(rank: WireRank) -> Result<Self, Self::Error> {
        match rank.0 {
            0 => Ok(Self::Urgent),
            1 => Ok(Self::Routine),
            _ => Err(UnknownValue),
        }
    }
}

/// Encoded form of a [`RefusalReason`]: its index in [`RefusalReason::TABLE`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireRefusalReason(pub u8);

impl From<RefusalReason> for WireRefusalReason {
    fn from(reason: RefusalReason) -> Self {
        let position = RefusalReason::TABLE
            .iter()
            .position(|(row, _)| *row == reason);
        Self(
            position
                .and_then(|p| u8::try_from(p).ok())
                .unwrap_or(u8::MAX),
        )
    }
}

impl TryFrom<WireRefusalReason> for RefusalReason {
    type Error = UnknownValue;

    fn try_from(reason: WireRefusalReason) -> Result<Self, Self::Error> {
        let row = Self::TABLE.get(usize::from(reason.0)).ok_or(UnknownValue)?;
        Ok(row.0)
    }
}

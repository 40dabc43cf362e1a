//! Position of a record of the platform's store, as it is sent to other processes.

use serde::{Deserialize, Serialize};

use crate::decide::ids::{LogOffset, LogPosition, StoreEra};

/// Number of bits of the offset; the era has the rest.
const OFFSET_BITS: u32 = 48;

/// Highest offset that can be sent; higher ones are sent as this one.
const MAX_OFFSET: u64 = (1 << OFFSET_BITS) - 1;

/// Highest era that can be sent; later ones are sent as this one.
const MAX_ERA: u64 = (1 << (u64::BITS - OFFSET_BITS)) - 1;

/// Era and offset of a record in one number, which orders positions of all eras. In era 0 it equals the
/// offset, which is all that builds without eras send.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WirePosition(pub u64);

impl From<LogPosition> for WirePosition {
    fn from(position: LogPosition) -> Self {
        let era = position.era.0.min(MAX_ERA);
        Self(era << OFFSET_BITS | position.offset.0.min(MAX_OFFSET))
    }
}

impl From<WirePosition> for LogPosition {
    fn from(wire: WirePosition) -> Self {
        Self {
            era: StoreEra(wire.0 >> OFFSET_BITS),
            offset: LogOffset(wire.0 & MAX_OFFSET),
        }
    }
}

//! What customers use, as instances report it to each other. Encoded in bincode, so the order of fields
//! is part of the format.

use serde::{Deserialize, Serialize};

use crate::decide::customer_use::{CustomerHash, UseReport};
use crate::decide::route_table::DataCentreId;

/// Use of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCustomerUse {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Units used, decayed to the time of the report.
    pub used: u64,
    /// Units a second that the customer asks for.
    pub asked_per_s: u64,
    /// What the sender takes to be left of the customer's quota; 0 if it does not know.
    pub level: u64,
}

/// Use of customers, as counted by one source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUseReport {
    /// Hash of the name of the data centre for which the report is; `None` for the sender alone.
    pub place: Option<u64>,
    /// Time since the report was built, in milliseconds.
    pub ago_ms: u64,
    /// Use of the customers that were active lately.
    pub uses: Vec<WireCustomerUse>,
}

/// Reports that one instance sends to another: its own and those of other data centres to one in its
/// data centre, that of its data centre to one in another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUseCall {
    /// Random number of the sender's run.
    pub sender: u64,
    /// Hash of the name of the sender's data centre.
    pub place: u64,
    /// The reports.
    pub reports: Vec<WireUseReport>,
}

impl WireUseCall {
    /// Returns the data centre of the sender.
    #[must_use]
    pub const fn data_centre(&self) -> DataCentreId {
        DataCentreId(self.place)
    }
}

impl From<&UseReport> for WireCustomerUse {
    fn from(report: &UseReport) -> Self {
        Self {
            customer: report.customer.0,
            used: whole(report.used),
            asked_per_s: whole(report.asked_per_s),
            level: whole(report.level),
        }
    }
}

impl From<&WireCustomerUse> for UseReport {
    fn from(wire: &WireCustomerUse) -> Self {
        Self {
            customer: CustomerHash(wire.customer),
            used: units(wire.used),
            asked_per_s: units(wire.asked_per_s),
            level: units(wire.level),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
const fn whole(units: f64) -> u64 {
    units.clamp(0.0, 1e15) as u64
}

#[expect(clippy::cast_precision_loss, reason = "units are far below 2^52")]
const fn units(whole: u64) -> f64 {
    whole as f64
}

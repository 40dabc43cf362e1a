//! Claims of the model: one partition whose records may be lost or late.

use std::time::Duration;

use bulrushslip::decide::claims::{ClaimRecord, ClaimTable, ClaimTarget, ClaimVerdict, KeyHash};
use bulrushslip::decide::ids::{LogOffset, Ticket};
use bulrushslip::kernel::Moment;
use rand::RngExt;
use rand::rngs::StdRng;

/// Longest delay of a record whose claim was answered as unavailable, in milliseconds.
const MAX_LATE_MS: u64 = 5_000;

/// The log and what it says.
#[derive(Default)]
pub struct ClaimModel {
    table: ClaimTable,
    late: Vec<(Moment, ClaimRecord)>,
}

impl ClaimModel {
    /// Records a claim; one in ten gets no verdict, and its record never comes or comes late.
    pub fn claim(
        &mut self,
        now: Moment,
        random: &mut StdRng,
        key: u8,
        released: Option<Ticket>,
        target: ClaimTarget,
    ) -> ClaimVerdict {
        let record = record(key, released, Some(target));
        if random.random_bool(0.1) {
            if random.random_bool(0.5) {
                let delay = Duration::from_millis(random.random_range(0..MAX_LATE_MS));
                self.late.push((now.after(delay), record));
            }
            return ClaimVerdict::Unavailable;
        }
        if let Some(verdict) = self.table.final_verdict(&record) {
            return verdict;
        }
        self.append(&record);
        let verdict = self.table.final_verdict(&record);
        verdict.expect("an appended claim is decided")
    }

    /// Records a release, unless it is lost.
    pub fn release(&mut self, random: &mut StdRng, key: u8, ticket: Ticket) {
        if random.random_bool(0.7) {
            self.append(&record(key, Some(ticket), None));
        }
    }

    /// Appends the late records that have come.
    pub fn advance(&mut self, now: Moment) {
        for (due, record) in std::mem::take(&mut self.late) {
            if due.is_due(now) {
                self.append(&record);
            } else {
                self.late.push((due, record));
            }
        }
    }

    fn append(&mut self, record: &ClaimRecord) {
        let offset = self.table.next_offset();
        self.table
            .apply(LogOffset(offset.0), std::slice::from_ref(record));
    }
}

fn record(key: u8, released: Option<Ticket>, target: Option<ClaimTarget>) -> ClaimRecord {
    ClaimRecord {
        customer: "wales".to_owned(),
        key: KeyHash(u128::from(key)),
        released,
        target,
        expires_s: 0,
    }
}

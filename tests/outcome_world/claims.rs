//! Claims on idempotency keys: one log partition whose records may be lost or delayed.

use std::time::Duration;

use bulrushslip::decide::claims::{ClaimRecord, ClaimTable, ClaimTarget, ClaimVerdict, KeyHash};
use bulrushslip::decide::ids::{LogOffset, Ticket};
use bulrushslip::kernel::Moment;
use rand::RngExt;
use rand::rngs::StdRng;

/// Maximum delay of the record of a claim that was reported as unavailable, in milliseconds.
const MAX_LATE_MS: u64 = 5_000;

/// Claim table and the delayed records that it has not received yet.
#[derive(Default)]
pub struct ClaimModel {
    table: ClaimTable,
    delayed: Vec<(Moment, ClaimRecord)>,
}

impl ClaimModel {
    /// Records a claim. One in ten is reported as unavailable; its record is lost or delayed.
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
                self.delayed.push((now.after(delay), record));
            }
            return ClaimVerdict::Unavailable;
        }
        if let Some(verdict) = self.table.final_verdict(&record) {
            return verdict;
        }
        self.append(&record);
        let verdict = self.table.final_verdict(&record);
        verdict.expect("an appended claim has a verdict")
    }

    /// Records a release; three in ten are lost.
    pub fn release(&mut self, random: &mut StdRng, key: u8, ticket: Ticket) {
        if random.random_bool(0.7) {
            self.append(&record(key, Some(ticket), None));
        }
    }

    /// Appends the delayed records that are due.
    pub fn advance(&mut self, now: Moment) {
        for (due, record) in std::mem::take(&mut self.delayed) {
            if due.is_due(now) {
                self.append(&record);
            } else {
                self.delayed.push((due, record));
            }
        }
    }

    fn append(&mut self, record: &ClaimRecord) {
        let offset = self.table.next().offset;
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

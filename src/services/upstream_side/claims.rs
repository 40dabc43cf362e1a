//! Service `claims` of a sidecar: decides on idempotency keys for the partitions it is home of.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::{Value, json};

use super::claim_log::CLAIM_LOG;
use crate::decide::claim_coordinator::{
    ClaimCoordinator, ClaimStep, CoordinatorLimits, CoordinatorStep, PendingKey, VerdictList,
};
use crate::decide::claims::{ClaimRecord, ClaimVerdict, PartitionId};
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal, Turn};
use crate::services::common::mail::{ClaimLogMail, ClaimsMail, Mail};

/// Name of the service.
pub const CLAIMS: &str = "claims";

/// Longest time for which a claim waits for its verdict.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Partitions held at the same time; bounds the memory of a sidecar that stands in for others.
const MAX_HOMES: usize = 4;

struct PartitionState {
    home: ClaimCoordinator,
    askers: HashMap<PendingKey, ReplyTo<ClaimVerdict>>,
    /// Number of the last claim that came in, to find the partition idle longest.
    touched: u64,
    /// Whether a call to the log is under way.
    calling: bool,
}

#[derive(Default)]
struct ClaimsState {
    bounds: CoordinatorLimits,
    partitions: BTreeMap<PartitionId, PartitionState>,
    touches: u64,
}

/// Creates the service `claims`.
#[must_use]
pub fn claims_service(bounds: CoordinatorLimits) -> Service<Mail> {
    let mut state = ClaimsState {
        bounds,
        ..ClaimsState::default()
    };
    Service::new(CLAIMS, move |turn, signal| {
        match signal {
            Signal::Mail(Mail::Claims(mail)) => state.handle(turn.now, mail),
            Signal::Dump(reply_to) => reply_to.send(state.dump()),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        state.advance(turn)
    })
}

impl ClaimsState {
    fn handle(&mut self, now: Moment, mail: ClaimsMail) {
        match mail {
            ClaimsMail::Claim {
                record,
                deadline,
                reply_to,
            } => self.claim(now, record, deadline, reply_to),
            ClaimsMail::Appended(id, offset) => {
                self.finish(id, |home| home.finish_append(now, offset));
            }
            ClaimsMail::Page(id, page) => {
                self.finish(id, |home| home.finish_read(now, page.as_ref()));
            }
        }
    }

    fn claim(
        &mut self,
        now: Moment,
        record: ClaimRecord,
        deadline: Moment,
        reply_to: ReplyTo<ClaimVerdict>,
    ) {
        let id = record.key.partition();
        if !self.open(id) {
            reply_to.send(ClaimVerdict::Unavailable);
            return;
        }
        let Some(partition) = self.partitions.get_mut(&id) else {
            return;
        };
        let deadline = deadline.min(now.after(MAX_CLAIM_WAIT));
        match partition.home.submit(now, record, deadline) {
            ClaimStep::Answer(verdict) => reply_to.send(verdict),
            ClaimStep::Pending(key) => {
                partition.askers.insert(key, reply_to);
            }
        }
    }

    /// Opens a partition, closing the one idle longest at the bound; `false` if all are in use.
    fn open(&mut self, id: PartitionId) -> bool {
        self.touches += 1;
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.touched = self.touches;
            return true;
        }
        if self.partitions.len() >= MAX_HOMES && !self.close_idle() {
            return false;
        }
        let state = PartitionState {
            home: ClaimCoordinator::new(self.bounds),
            askers: HashMap::new(),
            touched: self.touches,
            calling: false,
        };
        self.partitions.insert(id, state);
        true
    }

    fn close_idle(&mut self) -> bool {
        let is_idle = |state: &PartitionState| !state.calling && state.home.pending_len() == 0;
        let idle = self.partitions.iter().filter(|(_, state)| is_idle(state));
        let oldest = idle.min_by_key(|(_, state)| state.touched);
        match oldest.map(|(id, _)| *id) {
            Some(id) => self.partitions.remove(&id).is_some(),
            None => false,
        }
    }

    fn finish(
        &mut self,
        id: PartitionId,
        finish: impl FnOnce(&mut ClaimCoordinator) -> VerdictList,
    ) {
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.calling = false;
            let verdicts = finish(&mut partition.home);
            partition.answer(verdicts);
        }
    }

    fn advance(&mut self, turn: &mut Turn<'_, Mail>) -> NextStep {
        let mut deadline = Moment::NEVER;
        for (id, partition) in &mut self.partitions {
            deadline = deadline.min(partition.advance(turn, *id));
        }
        if deadline == Moment::NEVER {
            return NextStep::Wait;
        }
        NextStep::WaitUntil(deadline)
    }

    fn dump(&self) -> Value {
        let partitions = self.partitions.iter().map(|(id, partition)| {
            json!({
                "partition": id.0,
                "next_offset": partition.home.table.next_offset().0,
                "keys": partition.home.table.len(),
                "pending": partition.home.pending_len(),
                "appends": partition.home.appends,
            })
        });
        partitions.collect()
    }
}

impl PartitionState {
    fn advance(&mut self, turn: &mut Turn<'_, Mail>, id: PartitionId) -> Moment {
        let verdicts = self.home.expire(turn.now);
        self.answer(verdicts);
        let mail = match self.home.next_step(turn.now) {
            CoordinatorStep::WaitUntil(deadline) => return deadline,
            CoordinatorStep::Append(records) => ClaimLogMail::Append(id, records),
            CoordinatorStep::Read(from) => ClaimLogMail::Read(id, from),
        };
        self.calling = true;
        turn.send(CLAIM_LOG, Mail::ClaimLog(mail));
        match self.home.next_step(turn.now) {
            CoordinatorStep::WaitUntil(deadline) => deadline,
            CoordinatorStep::Append(_) | CoordinatorStep::Read(_) => Moment::NEVER,
        }
    }

    fn answer(&mut self, verdicts: VerdictList) {
        for (key, verdict) in verdicts {
            if let Some(reply_to) = self.askers.remove(&key) {
                reply_to.send(verdict);
            }
        }
    }
}

//! Service `claims` of a sidecar: decides on idempotency keys as coordinator of claim partitions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::{Value, json};

use super::claim_log::CLAIM_LOG;
use crate::decide::claim_coordinator::{
    ClaimCoordinator, ClaimStep, CoordinatorLimits, CoordinatorStep, PendingKey, VerdictList,
};
use crate::decide::claims::{ClaimRecord, ClaimVerdict, PartitionId};
use crate::decide::ids::LogPosition;
use crate::events::{STORE_RESTORED, log_event};
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal, Turn};
use crate::services::common::mail::{ClaimLogMail, ClaimsMail, Mail};

/// Name of the service `claims`.
pub const CLAIMS: &str = "claims";

/// Maximum time that a claim waits for its verdict.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of open partitions; bounds the memory of a sidecar that takes over for others.
const MAX_PARTITIONS: usize = 4;

/// An open partition: its coordinator and the callers that wait for verdicts.
struct PartitionState {
    coordinator: ClaimCoordinator,
    pending_replies: HashMap<PendingKey, ReplyTo<ClaimVerdict>>,
    /// Value of `claim_count` at its latest claim; the lowest one marks the least recently used.
    last_used: u64,
    /// Whether an append or a read is in flight.
    call_in_flight: bool,
}

/// State of the service `claims`.
#[derive(Default)]
struct ClaimsState {
    limits: CoordinatorLimits,
    partitions: BTreeMap<PartitionId, PartitionState>,
    /// Number of claims received since the start.
    claim_count: u64,
}

/// Creates the service `claims`.
#[must_use]
pub fn claims_service(limits: CoordinatorLimits) -> Service<Mail> {
    let mut state = ClaimsState {
        limits,
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
            ClaimsMail::Appended(id, position) => {
                self.finish(id, |coordinator| coordinator.finish_append(now, position));
            }
            ClaimsMail::Page(id, page) => {
                self.finish(id, |coordinator| {
                    coordinator.finish_read(now, page.as_ref())
                });
            }
        }
    }

    /// Submits a claim to the coordinator of its partition; replies at once if it can.
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
        match partition.coordinator.submit(now, record, deadline) {
            ClaimStep::Answer(verdict) => reply_to.send(verdict),
            ClaimStep::Pending(key) => {
                partition.pending_replies.insert(key, reply_to);
            }
        }
    }

    /// Opens a partition, if need be in place of the least recently used idle one.
    ///
    /// Returns `false` if `MAX_PARTITIONS` are open and none of them is idle.
    fn open(&mut self, id: PartitionId) -> bool {
        self.claim_count += 1;
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.last_used = self.claim_count;
            return true;
        }
        if self.partitions.len() >= MAX_PARTITIONS && !self.close_idle() {
            return false;
        }
        let state = PartitionState {
            coordinator: ClaimCoordinator::new(self.limits),
            pending_replies: HashMap::new(),
            last_used: self.claim_count,
            call_in_flight: false,
        };
        self.partitions.insert(id, state);
        true
    }

    /// Closes the least recently used idle partition; returns `false` if none is idle.
    fn close_idle(&mut self) -> bool {
        let is_idle = |state: &PartitionState| {
            let coordinator = &state.coordinator;
            let has_work = coordinator.pending_len() > 0 || coordinator.table.has_lost_records();
            !state.call_in_flight && !has_work
        };
        let idle = self.partitions.iter().filter(|(_, state)| is_idle(state));
        let least_recent = idle.min_by_key(|(_, state)| state.last_used);
        match least_recent.map(|(id, _)| *id) {
            Some(id) => self.partitions.remove(&id).is_some(),
            None => false,
        }
    }

    /// Passes the result of a call to the coordinator of a partition and replies with its verdicts.
    fn finish(
        &mut self,
        id: PartitionId,
        finish: impl FnOnce(&mut ClaimCoordinator) -> VerdictList,
    ) {
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.call_in_flight = false;
            let before = partition.coordinator.table.next();
            let verdicts = finish(&mut partition.coordinator);
            let table = &partition.coordinator.table;
            if table.next().era > before.era && before != LogPosition::default() {
                let (era, keys) = (table.next().era.0, table.len());
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("era", &era), ("partition", &id.0), ("keys", &keys)];
                log_event(&STORE_RESTORED, &fields);
            }
            partition.reply(verdicts);
        }
    }

    /// Advances each partition and returns the step that waits for the earliest deadline.
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
                "era": partition.coordinator.table.next().era.0,
                "next_offset": partition.coordinator.table.next().offset.0,
                "keys": partition.coordinator.table.len(),
                "has_lost_records": partition.coordinator.table.has_lost_records(),
                "pending": partition.coordinator.pending_len(),
                "appends": partition.coordinator.appends,
            })
        });
        partitions.collect()
    }
}

impl PartitionState {
    /// Expires claims, starts a call to the log if one is due, and returns the next deadline.
    fn advance(&mut self, turn: &mut Turn<'_, Mail>, id: PartitionId) -> Moment {
        let verdicts = self.coordinator.expire(turn.now);
        self.reply(verdicts);
        let mail = match self.coordinator.next_step(turn.now) {
            CoordinatorStep::WaitUntil(deadline) => return deadline,
            CoordinatorStep::Append(records) => ClaimLogMail::Append(id, records),
            CoordinatorStep::Read(from) => ClaimLogMail::Read(id, from),
        };
        self.call_in_flight = true;
        turn.send(CLAIM_LOG, Mail::ClaimLog(mail));
        match self.coordinator.next_step(turn.now) {
            CoordinatorStep::WaitUntil(deadline) => deadline,
            CoordinatorStep::Append(_) | CoordinatorStep::Read(_) => Moment::NEVER,
        }
    }

    /// Replies with verdicts to the callers that wait for them.
    fn reply(&mut self, verdicts: VerdictList) {
        for (key, verdict) in verdicts {
            if let Some(reply_to) = self.pending_replies.remove(&key) {
                reply_to.send(verdict);
            }
        }
    }
}

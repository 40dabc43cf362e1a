//! Submissions: whether the ledger queues a request or refuses it.

use std::sync::Arc;
use std::time::Duration;

use super::job::new_job;
use super::state::LedgerState;
use crate::decide::ids::{Rank, Repeatability, Ticket};
use crate::decide::ledger::SubmitStep;
use crate::decide::outcome::{RefusalReason, StreamEnd};
use crate::decide::queue::{OfferOutcome, QueueDiscipline};
use crate::decide::suspects::Fingerprint;
use crate::decide::upstream_queue::WorkRequest;
use crate::kernel::Moment;
use crate::wire::rpc::{SubmitCall, SubmitReply, SubmitVerdict};

impl LedgerState {
    /// Queues a submission or refuses it.
    pub fn submit(&mut self, now: Moment, call: SubmitCall) -> SubmitReply {
        let verdict = match self.admit(now, call) {
            Ok(()) => SubmitVerdict::Accepted,
            Err(reason) => SubmitVerdict::NotRun {
                reason: reason.into(),
                retry_after_ms: 0,
            },
        };
        SubmitReply {
            head: self.reply_head(now),
            verdict,
        }
    }

    fn admit(&mut self, now: Moment, mut call: SubmitCall) -> Result<(), RefusalReason> {
        if call.incarnation != self.settings.incarnation.0 {
            return Err(RefusalReason::WrongIncarnation);
        }
        let ticket = Ticket::from(call.ticket);
        let rank = Rank::try_from(call.rank).unwrap_or(Rank::Routine);
        let start_by = now.after(Duration::from_micros(call.start_budget_us));
        let repeatability = call.repeatability();
        let key = match self.ledger.submit(now, ticket, repeatability, start_by) {
            SubmitStep::Known(_) => return Ok(()),
            SubmitStep::Refused(reason) => return Err(reason),
            SubmitStep::Queued(key) => key,
        };
        if let Some(reason) = self.refusal_reason(now, &call.version) {
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        let Some(limit_us) = self.wait_limit_us(now, &call) else {
            let reason = RefusalReason::Paused;
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        };
        let fingerprint = Fingerprint(call.fingerprint);
        let keys = call.keys();
        if self.guard.is_poisonous(now, fingerprint, &keys) {
            let reason = RefusalReason::Poisonous;
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        let request = WorkRequest {
            customer: &call.customer,
            share: self.customer_share(&call.customer),
            rank,
            keys: &keys,
            output_tokens: call.output_tokens,
        };
        let outcome = self.queue.offer(now, ticket, &request, start_by, limit_us);
        if let OfferOutcome::Refused(reason) = outcome {
            self.ledger.end(now, key, StreamEnd::NotRun(reason));
            return Err(reason);
        }
        if self.settings.queue.discipline == QueueDiscipline::Fifo {
            // The FIFO baseline ignores ranks, so the engine gets the same one for all requests.
            call.rank = Rank::Routine.into();
        }
        self.queued.insert(ticket, key);
        let keep_all = repeatability == Repeatability::NonIdempotent;
        self.jobs
            .insert(key, new_job(ticket, Some(Arc::new(call)), keep_all));
        Ok(())
    }
}

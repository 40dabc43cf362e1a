//! Service `tickets` of an entry: issues tickets in sequence and limits retries by a budget.

use crate::decide::ids::{Incarnation, Ticket};
use crate::decide::request_step::SubmitCause;
use crate::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
use crate::kernel::{NextStep, Service, Signal};
use crate::services::common::mail::{Mail, MintOutcome, TicketsMail};

/// State of the service `tickets`.
#[derive(Debug)]
struct TicketIssuer {
    incarnation: Incarnation,
    minted: u64,
    budget: RetryBudget,
    spills: u64,
    retries: u64,
    refused: u64,
}

/// Creates the service `tickets` for one run of an entry process.
#[must_use]
pub fn tickets_service(incarnation: Incarnation, policy: RetryPolicy) -> Service<Mail> {
    let mut issuer = TicketIssuer {
        incarnation,
        minted: 0,
        budget: RetryBudget::new(policy),
        spills: 0,
        retries: 0,
        refused: 0,
    };
    Service::new("tickets", move |_turn, signal| {
        match signal {
            Signal::Mail(Mail::Tickets(TicketsMail::Mint(cause, reply_to))) => {
                reply_to.send(issuer.issue(cause));
            }
            Signal::Dump(reply_to) => reply_to.send(issuer.dump()),
            Signal::Stop => return NextStep::Stopped,
            _ => {}
        }
        NextStep::Wait
    })
}

impl TicketIssuer {
    fn issue(&mut self, cause: SubmitCause) -> MintOutcome {
        match cause {
            SubmitCause::First => self.budget.record_new_request(),
            SubmitCause::Spill => self.spills += 1,
            SubmitCause::Retry(retries) => match self.budget.try_retry(retries) {
                RetryStep::Retry => self.retries += 1,
                RetryStep::RequestExhausted | RetryStep::BudgetExhausted => {
                    self.refused += 1;
                    return MintOutcome::OverBudget;
                }
            },
        }
        self.minted += 1;
        MintOutcome::Minted(Ticket {
            entry: self.incarnation,
            sequence: Ticket::ACKNOWLEDGED_SEQUENCES + self.minted,
        })
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "incarnation": format!("{:016x}", self.incarnation.0),
            "minted": self.minted,
            "spills": self.spills,
            "retries": self.retries,
            "retries_refused": self.refused,
        })
    }
}

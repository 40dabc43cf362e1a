//! Service `tickets` of an entry: mints tickets in sequence.

use super::mail::{Mail, MintOutcome, TicketsMail};
use crate::decide::ids::{Incarnation, Ticket};
use crate::kernel::{NextStep, Service, Signal};

/// Creates the service `tickets` for one life of an entry.
#[must_use]
pub fn tickets_service(incarnation: Incarnation) -> Service<Mail> {
    let mut sequence = 0_u64;
    Service::new("tickets", move |_turn, signal| {
        match signal {
            Signal::Mail(Mail::Tickets(TicketsMail::Mint(_submission, reply_to))) => {
                sequence += 1;
                reply_to.send(MintOutcome::Minted(Ticket {
                    entry: incarnation,
                    sequence,
                }));
            }
            Signal::Dump(reply_to) => reply_to.send(serde_json::json!({
                "incarnation": format!("{:016x}", incarnation.0),
                "minted": sequence,
            })),
            Signal::Stop => return NextStep::Stopped,
            _ => {}
        }
        NextStep::Wait
    })
}

//! One request of the model and what its caller is told.

use std::time::Duration;

use bulrushslip::decide::attempt::RequestAttempt;
use bulrushslip::decide::attempt_step::{AttemptEvent, AttemptPolicy, AttemptStep};
use bulrushslip::decide::ids::{Repeatability, Ticket};
use bulrushslip::decide::outcome::{RefusalReason, RunStatus};
use bulrushslip::kernel::Moment;
use bulrushslip::wire::rpc::StreamItem;
use rand::RngExt;
use rand::rngs::StdRng;

use super::network::Heard;
use super::upstream::{ANSWER_ITEMS, item};

/// One request and what its caller has been told.
pub struct RequestModel {
    /// Its state machine.
    pub attempt: RequestAttempt,
    /// What the caller was told at the end.
    pub told: Option<(RunStatus, Option<RefusalReason>)>,
    /// Items that the caller has received.
    pub received: Vec<StreamItem>,
    /// All tickets minted for it.
    pub tickets: Vec<Ticket>,
    /// Its idempotency key.
    pub key: Option<u8>,
    /// The ticket that may hold the key on its behalf.
    pub key_ticket: Option<Ticket>,
    /// The ticket whose answer is being read.
    pub source: Option<Ticket>,
    /// What it does next.
    pub step: AttemptStep,
    /// Number and deadline of the call under way.
    pub outstanding: Option<(u64, Moment)>,
    /// When it comes in.
    pub arrives: Moment,
    /// Its entry does nothing before this moment.
    pub paused_until: Moment,
}

/// Draws a request.
pub fn new_request(random: &mut StdRng) -> RequestModel {
    let arrives = Moment::from_micros(random.random_range(0..6_000_000));
    let idempotent = random.random_bool(0.4);
    let policy = AttemptPolicy {
        repeatability: if idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::NonIdempotent
        },
        continuable: false,
        start_by: arrives.after(Duration::from_millis(random.random_range(200..3000))),
        max_submissions: 3,
    };
    RequestModel {
        attempt: RequestAttempt::new(policy),
        told: None,
        received: Vec::new(),
        tickets: Vec::new(),
        key: None,
        key_ticket: None,
        source: None,
        step: AttemptStep::Choose,
        outstanding: None,
        arrives,
        paused_until: Moment::START,
    }
}

impl RequestModel {
    /// Tells whether the caller has the whole answer of one ticket in order.
    pub fn is_whole(&self) -> bool {
        let Some(ticket) = self.source else {
            return false;
        };
        let whole: Vec<StreamItem> = (0..ANSWER_ITEMS).map(|index| item(ticket, index)).collect();
        self.received == whole
    }

    /// Takes in what has been heard.
    pub fn hear(&mut self, now: Moment, (event, items): Heard) {
        self.outstanding = None;
        if let AttemptEvent::Chosen(_, _, ticket) | AttemptEvent::Held(_, _, ticket) = event {
            self.source = Some(ticket);
        }
        // As the entry's request runner does: only what continues the answer is passed on.
        if let AttemptEvent::Items { from_index, .. } = event
            && from_index == self.attempt.next_index()
        {
            self.received.extend(items);
        }
        self.step = self.attempt.handle(now, event);
    }
}

//! Request of the simulation, and the status that its caller receives.

use std::time::Duration;

use bulrushslip::decide::ids::{Repeatability, Ticket};
use bulrushslip::decide::outcome::{RefusalReason, RunStatus};
use bulrushslip::decide::request_state::RequestState;
use bulrushslip::decide::request_step::{RequestEvent, RequestPolicy, RequestStep};
use bulrushslip::kernel::Moment;
use bulrushslip::wire::rpc::StreamItem;
use rand::RngExt;
use rand::rngs::StdRng;

use super::network::ReplyResult;
use super::upstream::{ANSWER_ITEMS, item};

/// Request with the state of its entry and its caller.
pub struct RequestModel {
    /// State machine under test.
    pub state: RequestState,
    /// Final status that the caller has received.
    pub reported: Option<(RunStatus, Option<RefusalReason>)>,
    /// Items that the caller has received.
    pub received: Vec<StreamItem>,
    /// All tickets issued for the request.
    pub tickets: Vec<Ticket>,
    /// Idempotency key of the request.
    pub key: Option<u8>,
    /// Ticket of the latest claim on the key, or the ticket that holds the key.
    pub key_ticket: Option<Ticket>,
    /// Ticket whose answer the request reads.
    pub source: Option<Ticket>,
    /// Next step of the state machine.
    pub step: RequestStep,
    /// Nonce and deadline of the call in progress.
    pub pending_call: Option<(u64, Moment)>,
    /// Arrival time of the request.
    pub arrives: Moment,
    /// Time until which the entry is paused.
    pub paused_until: Moment,
}

/// Creates a random request.
pub fn new_request(random: &mut StdRng) -> RequestModel {
    let arrives = Moment::from_micros(random.random_range(0..6_000_000));
    let idempotent = random.random_bool(0.4);
    let policy = RequestPolicy {
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
        state: RequestState::new(policy),
        reported: None,
        received: Vec::new(),
        tickets: Vec::new(),
        key: None,
        key_ticket: None,
        source: None,
        step: RequestStep::Choose,
        pending_call: None,
        arrives,
        paused_until: Moment::START,
    }
}

impl RequestModel {
    /// Returns whether the caller has received the complete answer of one ticket in order.
    pub fn has_complete_answer(&self) -> bool {
        let Some(ticket) = self.source else {
            return false;
        };
        let expected: Vec<StreamItem> =
            (0..ANSWER_ITEMS).map(|index| item(ticket, index)).collect();
        self.received == expected
    }

    /// Handles the result of a call or choice.
    pub fn handle(&mut self, now: Moment, (event, items): ReplyResult) {
        self.pending_call = None;
        if let RequestEvent::Chosen(_, _, ticket) | RequestEvent::Held(_, _, ticket) = event {
            self.source = Some(ticket);
        }
        // Like the request runner of an entry: forwards only items that continue the answer.
        if let RequestEvent::Items { from_index, .. } = event
            && from_index == self.state.next_index()
        {
            self.received.extend(items);
        }
        self.step = self.state.handle(now, event);
    }
}

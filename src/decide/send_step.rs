//! What follows the outcome of one send: another send, or which answer to the caller.

use super::route_table::RouteKind;

/// Upstreams that one request is offered to at most, those included that did not run it.
pub const MAX_OFFERS: u32 = 5;

/// How a send ended, as far as it decides what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The upstream certainly has not run the request and was not reached.
    NotArrived,
    /// The upstream was reached and certainly has not run the request.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The upstream ran it and answered with a failure of its own.
    Failed,
}

/// What is known of a request's sends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendHistory {
    /// Sends so far.
    pub offers: u32,
    /// Sends after which it may have run.
    pub runs: u32,
    /// Sends that reached an upstream, whether it ran the request or not.
    pub arrivals: u32,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextSend {
    /// Send it again; charged to the retry budget if it arrived before.
    Again,
    /// Tell the caller that it has not run and never will.
    RefuseNotRun,
    /// Tell the caller that it failed and may have run.
    FailUnknown,
    /// Hand on the upstream's own failure.
    HandOn,
}

impl SendHistory {
    /// Notes a send and its end.
    pub const fn note(&mut self, end: SendEnd) {
        self.offers += 1;
        match end {
            SendEnd::NotArrived => {}
            SendEnd::NotRun => self.arrivals += 1,
            SendEnd::MayHaveRun | SendEnd::Failed => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
    }

    /// Says what follows a send that did not bring a success.
    #[must_use]
    pub const fn next(self, end: SendEnd, kind: RouteKind, max_attempts: u32) -> NextSend {
        let may_offer = self.offers < MAX_OFFERS;
        match end {
            SendEnd::NotArrived | SendEnd::NotRun if may_offer => NextSend::Again,
            SendEnd::NotArrived | SendEnd::NotRun => self.give_up(),
            SendEnd::MayHaveRun | SendEnd::Failed => {
                if may_offer && kind.is_repeatable() && self.runs < max_attempts {
                    return NextSend::Again;
                }
                match end {
                    SendEnd::Failed => NextSend::HandOn,
                    _ => NextSend::FailUnknown,
                }
            }
        }
    }

    /// Says how a request ends that is not sent again.
    #[must_use]
    pub const fn give_up(self) -> NextSend {
        if self.runs == 0 {
            NextSend::RefuseNotRun
        } else {
            NextSend::FailUnknown
        }
    }
}

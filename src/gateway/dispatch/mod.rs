//! Service `dispatch`: owns routes, upstreams, idle connections, queues and retry budgets.

mod news;
mod place;
mod pool;
mod queueing;
mod reading;
mod records;
mod release;
mod state;

pub use state::{DispatchState, NamedVersion};

use std::time::Duration;

use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail};
use crate::decide::ids::Incarnation;
use crate::decide::route_table::RouteQuery;
use crate::kernel::{Directory, NextStep, Service, Signal, Turn};
use crate::log_queue::DroppedLines;

/// Name of the service.
pub const NAME: &str = "dispatch";

/// Time between sweeps over idle connections and deferred removals.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// What the service needs to know at its start.
#[derive(Debug)]
pub struct DispatchSettings {
    /// Who this instance is.
    pub identity: InstanceIdentity,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Retries allowed for each fresh request.
    pub retry_ratio: f64,
    /// Retries allowed beyond that for the whole fleet.
    pub extra_retries: f64,
    /// Log lines that were dropped.
    pub dropped_lines: DroppedLines,
}

/// Creates the service.
#[must_use]
pub fn dispatch_service(settings: DispatchSettings) -> Service<GatewayMail> {
    let mut state = DispatchState::new(settings);
    Service::new(NAME, move |turn, signal| handle(&mut state, turn, signal))
}

fn handle(
    state: &mut DispatchState,
    turn: &mut Turn<'_, GatewayMail>,
    signal: Signal<GatewayMail>,
) -> NextStep {
    match signal {
        Signal::Mail(GatewayMail::Dispatch(mail)) => take(state, turn, *mail),
        Signal::Dump(reply_to) => reply_to.send(state.dump(turn.now)),
        Signal::Stop => return NextStep::Stopped,
        Signal::Start | Signal::Due | Signal::Mail(_) => {}
    }
    if state.next_sweep.is_due(turn.now) {
        state.next_sweep = turn.now.after(SWEEP_INTERVAL);
        state.sweep_links(turn.now);
        state.settle_removals(turn);
    }
    let parked_due = state.pump_parked(turn.now);
    let queue_due = state.pump_queues(turn.now);
    NextStep::WaitUntil(state.next_sweep.min(queue_due).min(parked_due))
}

fn take(state: &mut DispatchState, turn: &mut Turn<'_, GatewayMail>, mail: DispatchMail) {
    let now = turn.now;
    match mail {
        DispatchMail::Route(ask, reply_to) => {
            let draw = state.draw();
            let question = RouteQuery {
                host: &ask.host,
                path: &ask.path,
                key: ask.key.as_deref(),
                draw,
            };
            reply_to.send(state.routes.as_ref().map(|routes| routes.find(question)));
        }
        DispatchMail::Place(ask, reply_to) => state.place(now, *ask, reply_to),
        DispatchMail::Producing(ticket) => state.note_producing(now, ticket),
        DispatchMail::Released(end) => state.release(now, *end),
        DispatchMail::SeenWeights(member, version) => state.note_weights(now, member, version),
        DispatchMail::Hold(member, until) => state.hold(member, until),
        DispatchMail::Records(records) => state.take_records(turn, &records),
        DispatchMail::Newest(records) => state.take_newest(turn, &records),
        DispatchMail::StoreFailed(topic, reason) => {
            state.note_store_failure(now, topic, &reason);
        }
        DispatchMail::ReadNeed(topic, reply_to) => reply_to.send(state.read_need(now, topic)),
        DispatchMail::News(news) => state.take_news(turn, &news),
        DispatchMail::NewsFor(progress, reply_to) => reply_to.send(state.news_for(now, progress)),
        DispatchMail::Ended(end) => state.counters.note_end(end),
        DispatchMail::Metrics(reply_to) => reply_to.send(state.metrics_text(now)),
        DispatchMail::IsReady(reply_to) => reply_to.send(state.is_ready()),
        DispatchMail::Leaving => state.is_leaving = true,
        DispatchMail::Rollout(ask) => (ask.look)(now, state),
        DispatchMail::Settings(settings) => {
            state.extra_retries = settings.extra_retries;
            state.retry_ratio = settings.retry_ratio;
        }
    }
}

/// Sends mail to the service without waiting; a full mailbox is the sender's to handle.
pub fn tell(directory: &Directory<GatewayMail>, mail: DispatchMail) {
    // Whoever waits for a reply sees its handle dropped when the mailbox is full.
    let _outcome = directory.send(NAME, GatewayMail::Dispatch(Box::new(mail)));
}

/// Asks the service and waits for its reply; `None` when it is gone or overloaded.
pub async fn ask<T: Send + 'static>(
    directory: &Directory<GatewayMail>,
    question: impl FnOnce(crate::kernel::ReplyTo<T>) -> DispatchMail,
) -> Option<T> {
    directory
        .ask(NAME, |reply_to| {
            GatewayMail::Dispatch(Box::new(question(reply_to)))
        })
        .await
}

//! Service `dispatch`: routes requests and places them on upstreams; owns the route table, the
//! upstreams, their idle connections, the request queues and the retry budgets.

mod crashes;
mod digests;
mod gossip;
mod health;
mod limits;
mod memory;
mod notices;
mod origins;
mod paces;
mod peer_loads;
mod place;
mod placed;
mod pool;
mod queueing;
mod quotas;
mod reading;
mod records;
mod release;
mod removals;
mod report;
mod routing;
mod send_check;
mod start_deadline;
mod state;
mod suspicions;
mod transfers;
mod view_check;
mod weights;

pub use memory::UnreadResponse;
pub use state::{DispatchState, TargetVersion};

use std::time::Duration;

use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail, PeersMail};
use crate::decide::customer_quota::QuotaTolerance;
use crate::decide::ids::Incarnation;
use crate::decide::load_features::LoadFeatures;
use crate::kernel::{Directory, Moment, NextStep, Service, Signal, Turn};
use crate::log_queue::DroppedLines;

/// Name under which the service is registered.
pub const NAME: &str = "dispatch";

/// Time between two sweeps over idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Settings with which the service starts.
#[derive(Debug)]
pub struct DispatchSettings {
    /// Identity of this instance.
    pub identity: InstanceIdentity,
    /// Incarnation of this process; part of each ticket that it issues.
    pub incarnation: Incarnation,
    /// Retries allowed per first attempt, as a ratio.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make beyond `retry_ratio`.
    pub extra_retries: f64,
    /// Counter of log lines that were dropped.
    pub dropped_lines: DroppedLines,
    /// Bytes that requests may hold together.
    pub request_memory: u64,
    /// Longest time for which an upstream may ask to get no requests.
    pub max_upstream_pause: Duration,
    /// How far the use of customers may exceed their quotas.
    pub quota_tolerance: QuotaTolerance,
    /// Features that the settings ask for.
    pub features: LoadFeatures,
}

/// Creates the service `dispatch`.
#[must_use]
pub fn dispatch_service(settings: DispatchSettings) -> Service<GatewayMail> {
    let mut state = DispatchState::new(settings);
    Service::new(NAME, move |turn, signal| {
        handle_signal(&mut state, turn, signal)
    })
}

fn handle_signal(
    state: &mut DispatchState,
    turn: &mut Turn<'_, GatewayMail>,
    signal: Signal<GatewayMail>,
) -> NextStep {
    state.apply_due_removals(turn.now);
    match signal {
        Signal::Mail(GatewayMail::Dispatch(mail)) => handle_message(state, turn, *mail),
        Signal::Dump(reply_to) => reply_to.send(state.dump(turn.now)),
        Signal::Stop => return NextStep::Stopped,
        Signal::Start | Signal::Due | Signal::Mail(_) => {}
    }
    if state.next_sweep.is_due(turn.now) {
        state.next_sweep = turn.now.after(SWEEP_INTERVAL);
        state.sweep_connections(turn.now);
        state.divide_limits(turn.now);
        state.record_quota_fleet(turn.now);
        state.divide_paces(turn.now);
        state.check_statements(turn.now);
        state.check_empty_list(turn.now);
        state.check_software(turn.now);
    }
    state.cancel_unstarted(turn.now);
    let parked_due = state.retry_parked(turn.now);
    let queue_due = state.serve_queues(turn.now);
    if std::mem::take(&mut state.has_urgent_news) {
        turn.send("peers", GatewayMail::Peers(PeersMail::LoadsChanged));
    }
    state.log_outdated_list(turn.now);
    let sweep_due = state.next_sweep.min(state.next_removal());
    let dues = [sweep_due, state.next_cancellation, parked_due, queue_due];
    NextStep::WaitUntil(dues.into_iter().min().unwrap_or(Moment::NEVER))
}

fn handle_message(state: &mut DispatchState, turn: &mut Turn<'_, GatewayMail>, mail: DispatchMail) {
    let now = turn.now;
    match mail {
        DispatchMail::Route(lookup, reply_to) => {
            reply_to.send(state.find_route(now, &lookup));
        }
        DispatchMail::GrowMemory(reservation, bytes, purpose, reply_to) => {
            reply_to.send(state.grow_memory(now, reservation, bytes, purpose));
        }
        DispatchMail::ReleaseMemory(reservation) => state.release_memory(reservation),
        DispatchMail::ResponseUnread(reservation, response) => {
            state.mark_unread(now, reservation, response);
        }
        DispatchMail::ReleaseBacklog(reservation) => state.release_backlog(reservation),
        DispatchMail::Place(ask, reply_to) => state.place(now, *ask, reply_to),
        DispatchMail::CheckSend(ticket, reply_to) => reply_to.send(state.check_send(now, ticket)),
        DispatchMail::FirstOutput(ticket) => state.record_first_output(now, ticket),
        DispatchMail::PlacementEnded(end) => state.release(now, *end),
        DispatchMail::UpstreamNotice(member, notice) => state.record_notice(now, member, notice),
        DispatchMail::NoticeIgnored => state.counters.count_notice("ignored"),
        DispatchMail::ProbeFailed(member) => state.record_failed_probe(now, member),
        DispatchMail::WeightsStated(member, statement) => {
            state.record_statement(now, member, statement);
        }
        DispatchMail::Hold(member, until) => state.hold(member, until),
        DispatchMail::Records(records) => state.apply_records(turn, &records),
        DispatchMail::Snapshot(records) => state.apply_snapshot(turn, &records),
        DispatchMail::PartialSnapshot(records) => state.apply_partial_snapshot(turn, &records),
        DispatchMail::StoreFailed(topic, reason) => {
            state.record_store_failure(now, topic, &reason);
        }
        DispatchMail::ReadNeed(topic, reply_to) => reply_to.send(state.read_need(now, topic)),
        DispatchMail::Gossip(gossip) => state.apply_gossip(turn, &gossip, None),
        DispatchMail::GossipResponse(gossip, called_at) => {
            state.apply_gossip(turn, &gossip, Some(called_at));
        }
        DispatchMail::ReadRecords(call, reply_to) => reply_to.send(state.read_records(now, &call)),
        DispatchMail::TransferredRecords(transferred, reply_to) => {
            state.apply_transferred(turn, &transferred);
            reply_to.send(state.view(transferred.topic).next);
        }
        DispatchMail::ExchangeEnded(outcome) => state.counters.count_exchange(outcome),
        DispatchMail::BuildGossip(from, reply_to) => reply_to.send(state.build_gossip(now, from)),
        DispatchMail::Loads(call) => state.apply_peer_requests(now, &call),
        DispatchMail::BuildLoads(reply_to) => reply_to.send(state.own_loads()),
        DispatchMail::Digests(call) => state.apply_digests(now, &call),
        DispatchMail::BuildDigests(receiver, reply_to) => {
            reply_to.send(state.digests_for(now, receiver));
        }
        DispatchMail::Uses(call) => state.apply_uses(now, &call),
        DispatchMail::BuildUses(receiver, reply_to) => {
            reply_to.send(state.use_call(now, receiver));
        }
        DispatchMail::LimitNews(news) => state.apply_limit_news(now, &news),
        DispatchMail::BuildLimitNews(reply_to) => reply_to.send(state.limit_news(now)),
        DispatchMail::PaceNews(news) => state.apply_pace_news(now, &news),
        DispatchMail::BuildPaceNews(reply_to) => reply_to.send(state.pace_news(now)),
        DispatchMail::SegmentNews(news) => state.apply_segment_news(now, &news),
        DispatchMail::BuildSegmentNews(reply_to) => reply_to.send(state.segment_news(now)),
        DispatchMail::SuspectNews(news) => state.apply_suspect_news(now, &news),
        DispatchMail::BuildSuspectNews(reply_to) => reply_to.send(state.suspect_news(now)),
        DispatchMail::StreamBegan(stream, software) => state.record_stream(now, stream, software),
        DispatchMail::FindOrigin(query, reply_to) => {
            reply_to.send(state.find_origin(now, query));
        }
        DispatchMail::BuildOriginNews(repeat_interval, reply_to) => {
            reply_to.send(state.origin_news(now, repeat_interval));
        }
        DispatchMail::OriginNews(news) => state.apply_origin_news(now, news),
        DispatchMail::BuildStreamNews(reply_to) => reply_to.send(state.stream_news(now)),
        DispatchMail::RecordedOrigins(streams, reply_to) => {
            reply_to.send(state.recorded_origins(now, &streams));
        }
        DispatchMail::OriginSources(reply_to) => reply_to.send(state.origin_sources()),
        DispatchMail::OriginsPublished(record) => {
            let origins = &mut state.stream_origins.origins;
            origins.record_published(now, &record);
        }
        DispatchMail::OriginsRead(records, complete_since) => {
            state.apply_origins(now, &records, complete_since);
        }
        DispatchMail::OriginsLost => state.stream_origins.origins.publish_again(),
        DispatchMail::RequestEnded(end) => state.counters.count_request(end),
        DispatchMail::StreamBodyEnded(framing, position) => {
            state
                .counters
                .count_body_end(framing.name(), position.name());
        }
        DispatchMail::Metrics(reply_to) => reply_to.send(state.metrics_text(now)),
        DispatchMail::IsReady(reply_to) => {
            let awaits_versions = state.stream_origins.origins.has_only_joined(now);
            reply_to.send(state.is_ready() && !awaits_versions);
        }
        DispatchMail::Leaving => state.leave(now),
        DispatchMail::Inspect(query) => (query.inspect)(now, state),
        DispatchMail::Settings(settings) => {
            state.extra_retries = settings.extra_retries;
            state.retry_ratio = settings.retry_ratio;
        }
    }
}

/// Sends a message to the service without waiting. A message that finds the mailbox full is
/// dropped.
pub fn tell(directory: &Directory<GatewayMail>, mail: DispatchMail) {
    // Dropping the message drops its reply handle, which the waiting task sees as a closed
    // channel.
    let _outcome = directory.send(NAME, GatewayMail::Dispatch(Box::new(mail)));
}

/// Sends a request to the service and waits for the reply; `None` when the service has stopped or
/// its mailbox is full.
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

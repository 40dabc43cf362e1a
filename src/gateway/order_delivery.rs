//! Delivery of one order to one upstream: waits until its running requests have ended, sends the
//! order and waits until the upstream runs the weights or no longer carries the order out.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::time::sleep;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::orders::MAX_HOLD;
use super::upstream_notices::report_notice;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::LogPosition;
use crate::decide::order_progress::{OrderProgress, ReportedWeights};
use crate::decide::stated_weights::{StatementSource, WeightsStatement};
use crate::events::{ORDER_ENDED, ORDER_SENT, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::engine_calls::{
    EngineState, MAX_REPORT_BYTES, OrderReply, WeightsOrder, order_request, report_request,
};
use crate::platform::http_connection::HttpConnection;

/// Time for which an upstream gets no requests before the order is sent, so that running requests
/// can end.
const DRAIN_WAIT: Duration = Duration::from_millis(250);

/// Time for which an upstream stays held after it refused an order because it is carrying out
/// another one.
const CONFLICT_HOLD: Duration = Duration::from_millis(400);

/// Time between two state reports from an upstream that carries out an order.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the order to the first state report; a load takes about this long.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(600);

/// Number of state reports without a response, one after the other, after which the order counts as
/// lost.
const MAX_MISSED_REPORTS: u32 = 3;

/// Timeout of an order or a state report.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Upstream that is to load weights.
#[derive(Debug, Clone)]
pub(super) struct OrderTarget {
    pub(super) member: MemberKey,
    pub(super) id: String,
    pub(super) address: SocketAddr,
    /// Whether running requests get time to end before the order is sent.
    pub(super) needs_drain: bool,
}

/// Order to one upstream, with the claim that permits it.
#[derive(Debug, Clone)]
pub(super) struct ClaimedOrder {
    pub(super) target: OrderTarget,
    pub(super) model: String,
    pub(super) version: u64,
    /// Name of the instance that made the claim.
    pub(super) holder: String,
    /// Position of the claim on the log.
    pub(super) claim: LogPosition,
    /// Fencing token of the order.
    pub(super) fence: u64,
    /// Time until which the order may be sent.
    pub(super) usable_until: Moment,
}

/// How an order has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderEnd {
    /// The upstream runs the version.
    Loaded,
    /// The upstream did not report its state, so that the order was not sent.
    Unreachable,
    /// The claim expired before the order was sent.
    ClaimExpired,
    /// The order got no response, and the upstream's report shows no sign of it.
    Unanswered,
    /// The upstream refused the order.
    Refused(OrderReply),
    /// The upstream no longer carries the order out and runs an older version.
    Dropped,
    /// The upstream stopped responding while it carried the order out.
    Lost,
    /// The upstream did not finish within `MAX_HOLD`.
    TimedOut,
}

impl OrderEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Unreachable => "unreachable",
            Self::ClaimExpired => "claim_expired",
            Self::Unanswered => "unanswered",
            Self::Refused(_) => "refused",
            Self::Dropped => "dropped",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Result of an order.
#[derive(Debug)]
pub(super) struct OrderResult {
    pub(super) upstream: String,
    pub(super) is_loaded: bool,
}

/// Sends an order to one upstream and waits until it runs the version.
pub(super) async fn deliver_order(
    directory: Directory<GatewayMail>,
    order: ClaimedOrder,
) -> OrderResult {
    if order.target.needs_drain {
        sleep(DRAIN_WAIT).await;
    }
    let connection = HttpConnection::new(order.target.address, MAX_REPORT_BYTES);
    let mut connection = connection.with_delivery_limit(RESPONSE_TIMEOUT);
    let end = carry_out(&directory, &order, &mut connection).await;
    let is_loaded = end == OrderEnd::Loaded;
    if is_loaded {
        let statement = WeightsStatement {
            version: order.version,
            source: StatementSource::Order,
        };
        let mail = DispatchMail::WeightsStated(order.target.member, statement);
        dispatch::tell(&directory, mail);
    }
    let pause = if end == OrderEnd::Refused(OrderReply::Conflict) {
        CONFLICT_HOLD
    } else {
        Duration::ZERO
    };
    let until = directory.now().after(pause);
    dispatch::tell(&directory, DispatchMail::Hold(order.target.member, until));
    log_event(
        &ORDER_ENDED,
        &[
            ("upstream", &order.target.id),
            ("version", &order.version),
            ("loaded", &is_loaded),
            ("end", &end.name()),
        ],
    );
    OrderResult {
        upstream: order.target.id,
        is_loaded,
    }
}

/// Sends an order unless the upstream already carries one out, and waits for its end.
async fn carry_out(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> OrderEnd {
    let Some(before) = request_state(directory, order, connection).await else {
        return OrderEnd::Unreachable;
    };
    match before.progress(order.version) {
        OrderProgress::Loaded => return OrderEnd::Loaded,
        // An earlier order without a response is being carried out.
        OrderProgress::Loading => {
            let progress = |state: ReportedWeights, _| state.progress(order.version);
            return wait_for_load(directory, order, connection, REPORT_INTERVAL, progress).await;
        }
        OrderProgress::Idle => {}
    }
    if order.usable_until.is_due(directory.now()) {
        return OrderEnd::ClaimExpired;
    }
    let sent = directory.now();
    let reply = send_order(directory, order, before, connection).await;
    log_event(
        &ORDER_SENT,
        &[
            ("upstream", &order.target.id),
            ("version", &order.version),
            ("era", &order.claim.era.0),
            ("claim", &order.claim.offset.0),
            ("fence", &order.fence),
            ("reply", &format_args!("{reply:?}")),
        ],
    );
    let progress = |state: ReportedWeights, since_accepted| {
        state.progress_since(before, since_accepted, order.version)
    };
    match reply {
        Some(OrderReply::Holds) => OrderEnd::Loaded,
        Some(OrderReply::Accepted) => {
            wait_for_load(directory, order, connection, FIRST_REPORT_DELAY, progress).await
        }
        Some(refusal) => OrderEnd::Refused(refusal),
        None => {
            // The connection may have broken at once, and reports lag.
            sleep(sent.after(RESPONSE_TIMEOUT).remaining(directory.now())).await;
            let state = request_state(directory, order, connection).await;
            if state.is_some_and(|state| state.has_accepted_since(before)) {
                wait_for_load(directory, order, connection, REPORT_INTERVAL, progress).await
            } else {
                OrderEnd::Unanswered
            }
        }
    }
}

/// Sends the order; `None` if no response came.
///
/// The order names the number of orders that the upstream has accepted so far, so that an order
/// which arrives late has no effect after a newer one.
async fn send_order(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    before: ReportedWeights,
    connection: &mut HttpConnection,
) -> Option<OrderReply> {
    let wire = WeightsOrder {
        upstream: &order.target.id,
        model: &order.model,
        version: order.version,
        holder: &order.holder,
        fence: order.fence,
        expected_orders: before.accepted_orders,
    };
    let request = order_request(&wire).ok()?;
    let response = connection.exchange(request, RESPONSE_TIMEOUT).await.ok()?;
    respect_notice(directory, order, &response).await;
    Some(OrderReply::from(response.status()))
}

/// Waits until the upstream runs the version, no longer carries an order out, does not respond, or
/// `MAX_HOLD` is over; `progress` judges a report by the time since the wait began.
async fn wait_for_load(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
    first_delay: Duration,
    progress: impl Fn(ReportedWeights, Duration) -> OrderProgress,
) -> OrderEnd {
    let start = directory.now();
    let deadline = start.after(MAX_HOLD);
    let mut missed_reports = 0;
    sleep(first_delay).await;
    while !deadline.is_due(directory.now()) {
        let waited = directory.now().since(start);
        let state = request_state(directory, order, connection).await;
        match state.map(|state| progress(state, waited)) {
            Some(OrderProgress::Loaded) => return OrderEnd::Loaded,
            Some(OrderProgress::Idle) => return OrderEnd::Dropped,
            Some(OrderProgress::Loading) => missed_reports = 0,
            None => missed_reports += 1,
        }
        if missed_reports == MAX_MISSED_REPORTS {
            return OrderEnd::Lost;
        }
        sleep(REPORT_INTERVAL).await;
    }
    OrderEnd::TimedOut
}

/// Requests what the upstream reports of the model's weights; `None` if it does not respond with
/// success.
async fn request_state(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> Option<ReportedWeights> {
    let request = report_request(&order.target.id).ok()?;
    let response = connection.exchange(request, RESPONSE_TIMEOUT).await.ok()?;
    respect_notice(directory, order, &response).await;
    if !response.status().is_success() {
        return None;
    }
    let state: EngineState = serde_json::from_slice(response.body()).ok()?;
    Some(state.weights_of(&order.model))
}

/// Waits as long as the upstream wants no requests, at most for the longest hold of an order.
async fn respect_notice(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    response: &Response<Bytes>,
) {
    let (member, id) = (order.target.member, &order.target.id);
    // Reports and answers to orders may leave the limit out.
    let (status, headers) = (response.status(), response.headers());
    let notice = report_notice(directory, member, id, status, headers, false);
    if let Some(pause) = notice.pause {
        sleep(pause.min(MAX_HOLD)).await;
    }
}

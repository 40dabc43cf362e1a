//! Delivery of one order to one upstream: waits until its running requests have ended, sends the
//! order and waits until the upstream runs the weights.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::orders::MAX_HOLD;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::LogOffset;
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
    /// Offset of the claim on the log, which is the fencing token of the order.
    pub(super) fence: LogOffset,
    /// Time until which the order may be sent.
    pub(super) usable_until: Moment,
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
    let mut connection = HttpConnection::new(order.target.address, MAX_REPORT_BYTES);
    let reply = send_order(&directory, &order, &mut connection).await;
    log_event(
        &ORDER_SENT,
        &[
            ("upstream", &order.target.id),
            ("version", &order.version),
            ("fence", &order.fence.0),
            ("reply", &format_args!("{reply:?}")),
        ],
    );
    let is_loaded = match reply {
        Some(OrderReply::Holds) => true,
        Some(OrderReply::Accepted) => wait_for_load(&directory, &order, &mut connection).await,
        _ => false,
    };
    if is_loaded {
        let report = DispatchMail::WeightsSeen(order.target.member, order.version);
        dispatch::tell(&directory, report);
    }
    let pause = if reply == Some(OrderReply::Conflict) {
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
        ],
    );
    OrderResult {
        upstream: order.target.id,
        is_loaded,
    }
}

/// Sends the order unless the claim has expired; `None` if it was not sent or no response came.
///
/// The order names the number of orders that the upstream has accepted so far, so that an order
/// which arrives late has no effect after a newer one.
async fn send_order(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> Option<OrderReply> {
    let state = request_state(order, connection).await?;
    let wire = WeightsOrder {
        upstream: &order.target.id,
        model: &order.model,
        version: order.version,
        holder: &order.holder,
        fence: order.fence.0,
        expected_orders: state.orders,
    };
    let request = order_request(&wire).ok()?;
    if order.usable_until.is_due(directory.now()) {
        return None;
    }
    let response = connection.call(request, RESPONSE_TIMEOUT).await.ok()?;
    Some(OrderReply::from(response.0))
}

/// Waits until the upstream runs the version; false if it does not within `MAX_HOLD`.
async fn wait_for_load(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> bool {
    let deadline = directory.now().after(MAX_HOLD);
    sleep(FIRST_REPORT_DELAY).await;
    while !deadline.is_due(directory.now()) {
        if let Some(state) = request_state(order, connection).await {
            let runs = state
                .models
                .iter()
                .any(|model| model.name == order.model && model.version >= order.version);
            if runs && !state.busy {
                return true;
            }
        }
        sleep(REPORT_INTERVAL).await;
    }
    false
}

/// Requests the state of the upstream; `None` if it does not respond with success.
async fn request_state(
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> Option<EngineState> {
    let request = report_request(&order.target.id).ok()?;
    let (status, body) = connection.call(request, RESPONSE_TIMEOUT).await.ok()?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

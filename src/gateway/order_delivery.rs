//! One order to one upstream, from the wait for its runs to the weights in force.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::orders::HOLD_TIME;
use crate::decide::fleet::MemberKey;
use crate::decide::ids::LogOffset;
use crate::events::{ORDER_ENDED, ORDER_SENT, log_event};
use crate::kernel::{Directory, Moment};
use crate::platform::engine_calls::{
    EngineState, OrderReply, WeightsOrder, order_request, report_request,
};
use crate::platform::http_connection::HttpConnection;

/// Time for which an upstream is not sent work before it is ordered, so that what runs ends.
const DRAIN_WAIT: Duration = Duration::from_millis(250);

/// Time for which an upstream stays held that carries out another order.
const CONFLICT_PAUSE: Duration = Duration::from_millis(400);

/// Time between two looks at an upstream that carries out an order.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// First look after the order, about the time that a load takes.
const FIRST_REPORT: Duration = Duration::from_millis(600);

/// Longest time for an answer to an order or a report.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// One upstream to order.
#[derive(Debug, Clone)]
pub(super) struct OrderTarget {
    pub(super) member: MemberKey,
    pub(super) id: String,
    pub(super) address: SocketAddr,
}

/// One order with the claim that allows it.
#[derive(Debug, Clone)]
pub(super) struct ClaimedOrder {
    pub(super) target: OrderTarget,
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) holder: String,
    pub(super) fence: LogOffset,
    pub(super) usable_until: Moment,
}

/// How an order ended.
#[derive(Debug)]
pub(super) struct OrderEnd {
    pub(super) upstream: String,
    pub(super) is_loaded: bool,
}

/// Orders one upstream and watches until it runs the version.
pub(super) async fn carry_out(directory: Directory<GatewayMail>, order: ClaimedOrder) -> OrderEnd {
    sleep(DRAIN_WAIT).await;
    let mut connection = HttpConnection::new(order.target.address);
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
        Some(OrderReply::Accepted) => watch_load(&order, &mut connection).await,
        _ => false,
    };
    if is_loaded {
        let seen = DispatchMail::SeenWeights(order.target.member, order.version);
        dispatch::tell(&directory, seen);
    }
    let pause = if reply == Some(OrderReply::Conflict) {
        CONFLICT_PAUSE
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
    OrderEnd {
        upstream: order.target.id,
        is_loaded,
    }
}

/// Sends the order unless the claim's time is up; `None` when no answer came.
///
/// The order names how many the upstream has accepted, so that one that is carried out late does
/// nothing after a newer one.
async fn send_order(
    directory: &Directory<GatewayMail>,
    order: &ClaimedOrder,
    connection: &mut HttpConnection,
) -> Option<OrderReply> {
    let state = report(order, connection).await?;
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
    let answer = connection.call(request, ANSWER_LIMIT).await.ok()?;
    Some(OrderReply::from(answer.0))
}

/// Looks at the upstream until it runs the version or the hold is over.
async fn watch_load(order: &ClaimedOrder, connection: &mut HttpConnection) -> bool {
    sleep(FIRST_REPORT).await;
    let looks = HOLD_TIME.as_millis() / REPORT_PAUSE.as_millis();
    for _ in 0..looks {
        if let Some(state) = report(order, connection).await {
            let runs = state
                .models
                .iter()
                .any(|model| model.name == order.model && model.version >= order.version);
            if runs && !state.busy {
                return true;
            }
        }
        sleep(REPORT_PAUSE).await;
    }
    false
}

/// Asks the upstream for its state; `None` when it does not answer.
async fn report(order: &ClaimedOrder, connection: &mut HttpConnection) -> Option<EngineState> {
    let request = report_request(&order.target.id).ok()?;
    let (status, body) = connection.call(request, ANSWER_LIMIT).await.ok()?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

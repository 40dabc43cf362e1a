//! Weights of the soak's upstreams: reports, orders, loads, and requests that wait to begin.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::entry::{EntryWriter, UpstreamState};
use super::ledger::Order;
use super::upstream::{AnswerBody, Mood, Place, not_run, text, whole};

/// The model that all upstreams run.
pub const MODEL: &str = "m";

/// Time that an upstream takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(570);

/// Time after which an order that got no answer is carried out.
const LATE_ORDER: Duration = Duration::from_millis(1_500);

/// Steps of the time that a request waits at a slow upstream before it begins.
const WAIT_STEP: Duration = Duration::from_millis(250);

/// Largest number of such steps.
const MAX_WAIT_STEPS: u64 = 14;

/// Order to load weights, as it arrives.
#[derive(Debug, Clone, Deserialize)]
struct WireOrder {
    op: String,
    model: String,
    version: u64,
    mode: String,
    holder: String,
    fence: u64,
    expect: Option<u64>,
}

impl WireOrder {
    /// Applies the order to the state of an upstream; returns the status of the answer.
    fn apply(&self, state: &mut UpstreamState) -> StatusCode {
        if self.fence < state.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.fence = self.fence;
        if state.is_busy || self.expect.is_some_and(|expect| expect != state.orders) {
            return StatusCode::CONFLICT;
        }
        if state.version >= self.version {
            return StatusCode::OK;
        }
        state.is_busy = true;
        state.orders += 1;
        StatusCode::ACCEPTED
    }
}

/// Counts a run on an upstream's weights until it is dropped.
#[derive(Debug)]
pub struct WeightsRun {
    entry: Arc<EntryWriter>,
    life: u64,
    /// Version that the run began on.
    pub version: u64,
}

impl Drop for WeightsRun {
    fn drop(&mut self) {
        self.entry.state.send_modify(|state| {
            if state.life == self.life {
                state.running -= 1;
            }
        });
    }
}

/// Returns what an upstream reports of itself.
pub fn report(place: &Place) -> Response<AnswerBody> {
    let state = *place.entry.state.borrow();
    let report = json!({"stage": "both", "models": [{"name": MODEL, "version": state.version}],
        "busy": state.is_busy, "sequence": state.orders, "running": state.running});
    Response::new(whole(report.to_string()))
}

/// Takes an order of weights. In the mood for it, the order gets no answer and is carried out late.
pub async fn take_order(place: &Place, body: &Bytes) -> Response<AnswerBody> {
    let order = serde_json::from_slice::<WireOrder>(body).ok();
    let is_known = |order: &WireOrder| {
        let ledger = place.ledger.lock().expect("not poisoned");
        let is_named = ledger
            .named
            .iter()
            .any(|named| named.version == order.version);
        is_named && order.op == "version" && order.model == MODEL && order.mode == "wait"
    };
    let Some(order) = order.filter(is_known) else {
        return with_status(StatusCode::BAD_REQUEST);
    };
    let noted = Order {
        upstream: place.index,
        at: Instant::now(),
        holder: order.holder.clone(),
        fence: order.fence,
    };
    place
        .ledger
        .lock()
        .expect("not poisoned")
        .orders
        .push(noted);
    if *place.mood.borrow() == Mood::LateOrders {
        let entry = Arc::clone(&place.entry);
        let life = entry.state.borrow().life;
        tokio::spawn(async move {
            tokio::time::sleep(LATE_ORDER).await;
            if entry.state.borrow().life == life {
                carry_out(&entry, &order);
            }
        });
        return std::future::pending().await;
    }
    with_status(carry_out(&place.entry, &order))
}

/// Applies an order, and starts the load if it is accepted.
fn carry_out(entry: &Arc<EntryWriter>, order: &WireOrder) -> StatusCode {
    let mut status = StatusCode::OK;
    entry.state.send_modify(|state| status = order.apply(state));
    if status == StatusCode::ACCEPTED {
        let life = entry.state.borrow().life;
        tokio::spawn(load(Arc::clone(entry), order.version, life));
    }
    status
}

/// Loads weights once no request runs on the old ones, unless the upstream crashes before.
async fn load(entry: Arc<EntryWriter>, version: u64, life: u64) {
    let mut states = entry.state.subscribe();
    let is_free = |state: &UpstreamState| state.running == 0 || state.life != life;
    if states.wait_for(is_free).await.is_err() {
        return;
    }
    tokio::time::sleep(LOAD_TIME).await;
    let is_loaded = entry.state.send_if_modified(|state| {
        if state.life != life {
            return false;
        }
        state.is_busy = false;
        state.version = version;
        true
    });
    if is_loaded {
        entry.write().await;
    }
}

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream carries out an order.
    Loading,
    /// The upstream has weights of this version, not of the one that the request expects.
    OtherWeights(u64),
}

impl Refusal {
    /// Returns the answer to a request that was refused.
    pub fn answer(self, place: &Place, id: &str) -> Response<AnswerBody> {
        let version = match self {
            Self::Loading => return not_run(StatusCode::SERVICE_UNAVAILABLE, id),
            Self::OtherWeights(version) => version,
        };
        let builder = Response::builder()
            .status(StatusCode::MISDIRECTED_REQUEST)
            .header("x-request-id", id)
            .header("x-instance-id", &place.name)
            .header("x-weight-versions", version);
        builder.body(whole(String::new())).expect("a response")
    }
}

/// Begins a request on the weights that it expects, after a wait if the upstream is slow.
pub async fn begin(place: &Place, headers: &HeaderMap, draw: u64) -> Result<WeightsRun, Refusal> {
    let expected = text(headers, "x-expect-version").parse::<u64>().ok();
    let mut states = place.entry.state.subscribe();
    let life = states.borrow().life;
    let admit = |state: UpstreamState| {
        // A crash ends what waits, whose connection is gone.
        if state.is_busy || state.life != life {
            return Err(Refusal::Loading);
        }
        if expected.is_some_and(|expected| expected != state.version) {
            return Err(Refusal::OtherWeights(state.version));
        }
        Ok(())
    };
    admit(*states.borrow())?;
    if *place.mood.borrow() == Mood::Waiting {
        let mut closed = place.closed.clone();
        let steps = u32::try_from(1 + draw % MAX_WAIT_STEPS).expect("few steps");
        tokio::select! {
            () = tokio::time::sleep(WAIT_STEP * steps) => {}
            _ordered = states.wait_for(|state| state.is_busy) => {}
            // Some begin just as they are withdrawn.
            _closed = closed.wait_for(|is_closed| *is_closed), if draw.is_multiple_of(3) => {}
        }
    }
    let mut begun = Err(Refusal::Loading);
    place.entry.state.send_modify(|state| {
        begun = admit(*state).map(|()| {
            state.running += 1;
            WeightsRun {
                entry: Arc::clone(&place.entry),
                life: state.life,
                version: state.version,
            }
        });
    });
    begun
}

fn with_status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(String::new()));
    *response.status_mut() = status;
    response
}

//! HTTP front of the engine.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream::poll_fn;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use super::cache_feed::{FeedEvent, FeedPage};
use super::engine_mail::{
    EngineAdmin, EngineAnswer, EngineMail, EngineQuestion, EngineRefusal, EngineReply, EngineStats,
    LoadOrder, LoadReport, RunCounts,
};
use super::engine_request::{ChunkKind, OpenStream, RunOrder, StreamPart};
use super::engine_wire::{CompletionCall, OrderBody, encode_event};
use super::front::{
    FrontError, FrontRequest, StandinDirectory, done_response, dump_response, error_response,
};
use super::mail::StandinMail;
use super::prefix_cache::CacheChange;
use crate::platform::http_client;
use crate::platform::http_server::{
    RequestHandler, ResponseBody, close_connection_response, json_response,
};

/// Longest time to wait for the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(1);

/// What the front tells of an engine beside what the engine itself knows.
#[derive(Debug, Clone)]
pub struct EngineFront {
    /// Name of the engine.
    pub name: String,
    /// Weight store to ask before a load, if there is one.
    pub weights: Option<SocketAddr>,
    /// Time in milliseconds that a load takes without a weight store.
    pub load_ms: u64,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Capacity of the prefix cache in pieces.
    pub cache_pieces: usize,
    /// Lag of the load report in milliseconds.
    pub load_lag_ms: u64,
}

/// Creates the handler of an engine's calls.
#[must_use]
pub fn engine_handler(directory: StandinDirectory, front: EngineFront) -> RequestHandler {
    RequestHandler::new(move |request| {
        let directory = directory.clone();
        let front = front.clone();
        async move { handle(&directory, &front, request).await }
    })
}

async fn handle(
    directory: &StandinDirectory,
    front: &EngineFront,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let request = match FrontRequest::read(request).await {
        Ok(request) => request,
        Err(error) => return error.into(),
    };
    if request.method == Method::GET && request.path == "/admin/dump" {
        return dump_response(directory).await;
    }
    let question = match question(directory, &request) {
        Ok(question) => question,
        Err(error) => return error.into(),
    };
    let reply = match question {
        EngineQuestion::BeginLoad(order) => load(directory, front, order).await,
        question => ask(directory, question).await,
    };
    match reply {
        Some(reply) => encode(front, reply),
        None => close_connection_response(),
    }
}

async fn ask(directory: &StandinDirectory, question: EngineQuestion) -> Option<EngineReply> {
    let mail = |reply| StandinMail::Engine(EngineMail { question, reply });
    directory.ask("engine", mail).await
}

fn question(
    directory: &StandinDirectory,
    request: &FrontRequest,
) -> Result<EngineQuestion, FrontError> {
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("POST", ["v1", "chat", "completions"]) => run_order(request, ChunkKind::Chat),
        ("POST", ["v1", "completions"]) => run_order(request, ChunkKind::Text),
        ("GET", ["requests", id, "stream"]) => Ok(EngineQuestion::Resume(
            (*id).to_owned(),
            request.number("from", 0),
        )),
        ("DELETE", ["requests", id]) => Ok(EngineQuestion::Cancel((*id).to_owned())),
        ("GET", ["cache", "events"]) => Ok(EngineQuestion::ReadFeed(
            request.number("from", 0),
            request.deadline("wait_ms", directory.now()),
        )),
        ("GET", ["cache", "keys"]) => Ok(EngineQuestion::CachedKeys),
        ("GET", ["load"]) => Ok(EngineQuestion::Load),
        ("POST", ["orders", "load"]) => load_order(request),
        ("POST", ["admin", "crash"]) => Ok(EngineQuestion::Admin(EngineAdmin::Crash)),
        ("POST", ["admin", "freeze"]) => Ok(EngineQuestion::Admin(EngineAdmin::Freeze(
            request.deadline("ms", directory.now()),
        ))),
        ("POST", ["admin", "silence"]) => Ok(EngineQuestion::Admin(EngineAdmin::Silence)),
        ("GET", ["admin", "runs"]) => Ok(EngineQuestion::Admin(EngineAdmin::Runs)),
        ("GET", ["admin", "stats"]) => Ok(EngineQuestion::Admin(EngineAdmin::Stats)),
        _ => Err(FrontError::UnknownPath),
    }
}

fn run_order(request: &FrontRequest, kind: ChunkKind) -> Result<EngineQuestion, FrontError> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let id = request.header("x-request-id").map(str::to_owned);
    let order = RunOrder::try_from(CompletionCall {
        id: id.unwrap_or_else(|| format!("unnamed-{:016x}", rand::random::<u64>())),
        kind,
        priority: request.header("x-priority"),
        version: request.header("x-weights-version"),
        pieces: request.header("x-prefix-keys"),
        created: since_1970.unwrap_or_default().as_secs(),
        body: &request.body,
    });
    let bad = |_error| FrontError::BadBody;
    order.map(EngineQuestion::Run).map_err(bad)
}

fn load_order(request: &FrontRequest) -> Result<EngineQuestion, FrontError> {
    let body: OrderBody =
        serde_json::from_slice(&request.body).map_err(|_error| FrontError::BadBody)?;
    Ok(EngineQuestion::BeginLoad(body.into()))
}

// A load that has begun goes on when its caller goes away.
async fn load(
    directory: &StandinDirectory,
    front: &EngineFront,
    order: LoadOrder,
) -> Option<EngineReply> {
    let reply = ask(directory, EngineQuestion::BeginLoad(order)).await?;
    let epoch = reply.epoch;
    let EngineAnswer::Accepted(order) = reply.answer else {
        return Some(reply);
    };
    let directory = directory.clone();
    let front = front.clone();
    let loading = tokio::spawn(async move {
        if !fetch_weights(&front, &order).await {
            let answer = EngineAnswer::Refused(EngineRefusal::NoWeights);
            return Some(EngineReply { epoch, answer });
        }
        ask(&directory, EngineQuestion::FinishLoad(order, epoch)).await
    });
    loading.await.ok().flatten()
}

async fn fetch_weights(front: &EngineFront, order: &LoadOrder) -> bool {
    let Some(address) = front.weights else {
        tokio::time::sleep(Duration::from_millis(front.load_ms)).await;
        return true;
    };
    let path = format!("/weights/{}/{}", order.model, order.version);
    let request = http_client::request(Method::GET, address, &path);
    let Ok(request) = request.body(Full::default()) else {
        return false;
    };
    let fetched = http_client::call(address, request, WEIGHTS_TIMEOUT).await;
    fetched.is_ok_and(|response| response.status.is_success())
}

fn encode(front: &EngineFront, reply: EngineReply) -> Response<ResponseBody> {
    let epoch = reply.epoch;
    let mut response = match reply.answer {
        EngineAnswer::Stream(stream) => stream_response(stream),
        EngineAnswer::Cancelled(started) => ok(&json!({ "started": started })),
        EngineAnswer::Feed(page) => ok(&feed_json(epoch, &page)),
        EngineAnswer::Keys(next, keys) => {
            let keys: Vec<String> = keys.into_iter().map(hex).collect();
            ok(&json!({ "epoch": epoch, "next": next, "keys": keys }))
        }
        EngineAnswer::Load(report) => ok(&load_json(front, epoch, &report)),
        EngineAnswer::Accepted(order) => ok(&json!(OrderBody::from(order))),
        EngineAnswer::Refused(refusal) => refusal_response(refusal),
        EngineAnswer::Done => done_response(),
        EngineAnswer::Runs(runs) => ok(&runs_json(&runs)),
        EngineAnswer::Stats(stats) => ok(&stats_json(front, stats)),
    };
    let headers = response.headers_mut();
    headers.insert("x-engine-epoch", HeaderValue::from(epoch));
    response
}

fn ok(value: &Value) -> Response<ResponseBody> {
    json_response(StatusCode::OK, value)
}

fn hex(key: u64) -> String {
    format!("{key:016x}")
}

fn refusal_response(refusal: EngineRefusal) -> Response<ResponseBody> {
    let (status, code) = match refusal {
        EngineRefusal::WrongVersion => (StatusCode::CONFLICT, "wrong_version"),
        EngineRefusal::OldFence => (StatusCode::CONFLICT, "old_fence"),
        EngineRefusal::UnknownRequest => (StatusCode::NOT_FOUND, "unknown_request"),
        EngineRefusal::Cancelled => (StatusCode::GONE, "cancelled"),
        EngineRefusal::NoWeights => (StatusCode::SERVICE_UNAVAILABLE, "no_weights"),
    };
    error_response(status, code)
}

fn stream_response(stream: OpenStream) -> Response<ResponseBody> {
    let cached_pieces = stream.cached_pieces;
    let mut response = Response::new(stream_body(stream));
    let headers = response.headers_mut();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(hyper::header::CONTENT_TYPE, event_stream);
    if let Some(cached_pieces) = cached_pieces {
        headers.insert("x-cached-pieces", HeaderValue::from(cached_pieces));
    }
    response
}

fn stream_body(stream: OpenStream) -> ResponseBody {
    let OpenStream {
        from,
        order,
        mut parts,
        ..
    } = stream;
    let frames = poll_fn(move |context| {
        parts.poll_recv(context).map(|part| match part? {
            StreamPart::Event(number, _) if number < from => Some(Ok(Frame::data(Bytes::new()))),
            StreamPart::Event(number, event) => {
                let text = encode_event(&order, number, &event);
                Some(Ok(Frame::data(Bytes::from(text))))
            }
            StreamPart::Cut => Some(Err(std::io::ErrorKind::ConnectionAborted.into())),
        })
    });
    StreamBody::new(frames).boxed()
}

fn feed_json(epoch: u64, page: &FeedPage) -> Value {
    let events: Vec<Value> = page.events.iter().map(event_json).collect();
    json!({ "epoch": epoch, "first": page.first, "next": page.next, "events": events })
}

fn event_json(event: &FeedEvent) -> Value {
    let (kind, key) = match event.change {
        CacheChange::Stored(key) => ("stored", key),
        CacheChange::Evicted(key) => ("evicted", key),
    };
    json!({ "seq": event.seq, "kind": kind, "key": hex(key) })
}

fn load_json(front: &EngineFront, epoch: u64, report: &LoadReport) -> Value {
    json!({
        "epoch": epoch,
        "version": report.version,
        "running": report.running,
        "waiting": report.waiting,
        "slots": front.slots,
        "cached_pieces": report.cached_pieces,
        "capacity_pieces": front.cache_pieces,
        "lag_ms": front.load_lag_ms,
    })
}

fn runs_json(runs: &RunCounts) -> Value {
    let mut counts = std::collections::BTreeMap::new();
    for id in &runs.order {
        *counts.entry(id).or_insert(0_u64) += 1;
    }
    json!({ "runs": counts, "order": runs.order })
}

fn stats_json(front: &EngineFront, stats: EngineStats) -> Value {
    let loads: Vec<OrderBody> = stats.loads.into_iter().map(OrderBody::from).collect();
    json!({
        "name": front.name,
        "hit_pieces": stats.hit_pieces,
        "missing_pieces": stats.missing_pieces,
        "started": stats.started,
        "finished": stats.finished,
        "cancelled": stats.cancelled,
        "crashes": stats.crashes,
        "running": stats.running,
        "waiting": stats.waiting,
        "loads": loads,
    })
}

//! HTTP API of the simulated engine.

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
    EngineAdmin, EngineCall, EngineMail, EngineRefusal, EngineReply, EngineResponse, EngineStats,
    LoadOrder, LoadReport, StartedRequests,
};
use super::engine_request::{ChunkKind, CompletionRequest, OpenStream, StreamItem};
use super::engine_wire::{CompletionCall, OrderBody, encode_event};
use super::http_call::{
    BufferedRequest, CallError, StandinDirectory, done_response, dump_response, error_response,
};
use super::mail::StandinMail;
use super::notice;
use super::prefix_cache::CacheChange;
use crate::platform::http_client;
use crate::platform::http_server::{
    RequestHandler, ResponseBody, close_connection_response, json_response,
};

/// Timeout of a call to the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(1);

/// Settings of the HTTP side of an engine.
#[derive(Debug, Clone)]
pub struct EngineHttpSettings {
    /// Name of the engine, reported in the statistics.
    pub name: String,
    /// Address of the weight store from which weights are fetched, if there is one.
    pub weights: Option<SocketAddr>,
    /// Duration in milliseconds of a weight load without a weight store.
    pub load_ms: u64,
    /// Number of batch slots, reported with the load.
    pub slots: usize,
    /// Capacity of the prefix cache in pieces, reported with the load.
    pub cache_pieces: usize,
    /// Lag in milliseconds of the load report, reported with the load.
    pub load_lag_ms: u64,
}

/// Creates the HTTP request handler of an engine.
#[must_use]
pub fn engine_handler(directory: StandinDirectory, settings: EngineHttpSettings) -> RequestHandler {
    RequestHandler::new(move |request| {
        let directory = directory.clone();
        let settings = settings.clone();
        async move { handle(&directory, &settings, request).await }
    })
}

async fn handle(
    directory: &StandinDirectory,
    settings: &EngineHttpSettings,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let request = match BufferedRequest::read(request).await {
        Ok(request) => request,
        Err(error) => return error.into(),
    };
    if request.method == Method::GET && request.path == "/admin/dump" {
        return dump_response(directory).await;
    }
    if let Some(response) = notice::handle_admin(directory, &request).await {
        return response;
    }
    if request.path.starts_with("/admin/") {
        return answer(directory, settings, &request).await;
    }
    let Some(notice) = notice::arrive(directory).await else {
        return close_connection_response();
    };
    match notice.rejection() {
        Some(rejection) => rejection,
        None => notice.mark(answer(directory, settings, &request).await),
    }
}

async fn answer(
    directory: &StandinDirectory,
    settings: &EngineHttpSettings,
    request: &BufferedRequest,
) -> Response<ResponseBody> {
    let call = match parse_call(directory, request) {
        Ok(call) => call,
        Err(error) => return error.into(),
    };
    let reply = match call {
        EngineCall::BeginWeightLoad(order) => load_weights(directory, settings, order).await,
        call => call_engine(directory, call).await,
    };
    match reply {
        Some(reply) => encode_reply(settings, reply),
        None => close_connection_response(),
    }
}

async fn call_engine(directory: &StandinDirectory, call: EngineCall) -> Option<EngineReply> {
    let mail = |reply| StandinMail::Engine(EngineMail { call, reply });
    directory.ask("engine", mail).await
}

fn parse_call(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Result<EngineCall, CallError> {
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("POST", ["v1", "chat", "completions"]) => parse_completion(request, ChunkKind::Chat),
        ("POST", ["v1", "completions"]) => parse_completion(request, ChunkKind::Text),
        ("GET", ["requests", id, "stream"]) => Ok(EngineCall::Resume(
            (*id).to_owned(),
            request.number("from", 0),
        )),
        ("DELETE", ["requests", id]) => Ok(EngineCall::Cancel((*id).to_owned())),
        ("GET", ["cache", "events"]) => Ok(EngineCall::ReadFeed(
            request.number("from", 0),
            request.deadline("wait_ms", directory.now()),
        )),
        ("GET", ["cache", "keys"]) => Ok(EngineCall::CachedKeys),
        ("GET", ["load"]) => Ok(EngineCall::LoadReport),
        ("POST", ["orders", "load"]) => parse_load_order(request),
        ("POST", ["admin", "crash"]) => Ok(EngineCall::Admin(EngineAdmin::Crash)),
        ("POST", ["admin", "freeze"]) => Ok(EngineCall::Admin(EngineAdmin::Freeze(
            request.deadline("ms", directory.now()),
        ))),
        ("POST", ["admin", "silence"]) => Ok(EngineCall::Admin(EngineAdmin::Silence)),
        ("GET", ["admin", "runs"]) => Ok(EngineCall::Admin(EngineAdmin::Runs)),
        ("GET", ["admin", "stats"]) => Ok(EngineCall::Admin(EngineAdmin::Stats)),
        _ => Err(CallError::UnknownPath),
    }
}

fn parse_completion(request: &BufferedRequest, kind: ChunkKind) -> Result<EngineCall, CallError> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let id = request.header("x-request-id").map(str::to_owned);
    let completion = CompletionRequest::try_from(CompletionCall {
        id: id.unwrap_or_else(|| format!("unnamed-{:016x}", rand::random::<u64>())),
        kind,
        priority: request.header("x-priority"),
        version: request.header("x-weights-version"),
        pieces: request.header("x-prefix-keys"),
        created: since_1970.unwrap_or_default().as_secs(),
        body: &request.body,
    });
    let bad = |_error| CallError::BadBody;
    completion.map(EngineCall::Run).map_err(bad)
}

fn parse_load_order(request: &BufferedRequest) -> Result<EngineCall, CallError> {
    let body: OrderBody =
        serde_json::from_slice(&request.body).map_err(|_error| CallError::BadBody)?;
    Ok(EngineCall::BeginWeightLoad(body.into()))
}

// The load runs in a task of its own, so that it completes even if the caller disconnects.
async fn load_weights(
    directory: &StandinDirectory,
    settings: &EngineHttpSettings,
    order: LoadOrder,
) -> Option<EngineReply> {
    let reply = call_engine(directory, EngineCall::BeginWeightLoad(order)).await?;
    let epoch = reply.epoch;
    let EngineResponse::Accepted(order) = reply.response else {
        return Some(reply);
    };
    let directory = directory.clone();
    let settings = settings.clone();
    let loading = tokio::spawn(async move {
        if !fetch_weights(&settings, &order).await {
            let response = EngineResponse::Refused(EngineRefusal::NoWeights);
            return Some(EngineReply { epoch, response });
        }
        call_engine(&directory, EngineCall::FinishWeightLoad(order, epoch)).await
    });
    loading.await.ok().flatten()
}

async fn fetch_weights(settings: &EngineHttpSettings, order: &LoadOrder) -> bool {
    let Some(address) = settings.weights else {
        tokio::time::sleep(Duration::from_millis(settings.load_ms)).await;
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

fn encode_reply(settings: &EngineHttpSettings, reply: EngineReply) -> Response<ResponseBody> {
    let epoch = reply.epoch;
    let mut response = match reply.response {
        EngineResponse::Stream(stream) => stream_response(stream),
        EngineResponse::Cancelled(started) => ok(&json!({ "started": started })),
        EngineResponse::Feed(page) => ok(&feed_json(epoch, &page)),
        EngineResponse::Keys(next, keys) => {
            let keys: Vec<String> = keys.into_iter().map(hex).collect();
            ok(&json!({ "epoch": epoch, "next": next, "keys": keys }))
        }
        EngineResponse::LoadReport(report) => ok(&load_report_json(settings, epoch, &report)),
        EngineResponse::Accepted(order) => ok(&json!(OrderBody::from(order))),
        EngineResponse::Refused(refusal) => refusal_response(refusal),
        EngineResponse::Done => done_response(),
        EngineResponse::Runs(started) => ok(&runs_json(&started)),
        EngineResponse::Stats(stats) => ok(&stats_json(settings, stats)),
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
        request,
        mut items,
        ..
    } = stream;
    let frames = poll_fn(move |context| {
        items.poll_recv(context).map(|item| match item? {
            StreamItem::Event(number, _) if number < from => Some(Ok(Frame::data(Bytes::new()))),
            StreamItem::Event(number, event) => {
                let text = encode_event(&request, number, &event);
                Some(Ok(Frame::data(Bytes::from(text))))
            }
            StreamItem::Aborted => Some(Err(std::io::ErrorKind::ConnectionAborted.into())),
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

fn load_report_json(settings: &EngineHttpSettings, epoch: u64, report: &LoadReport) -> Value {
    json!({
        "epoch": epoch,
        "version": report.version,
        "running": report.running,
        "waiting": report.waiting,
        "slots": settings.slots,
        "cached_pieces": report.cached_pieces,
        "capacity_pieces": settings.cache_pieces,
        "lag_ms": settings.load_lag_ms,
    })
}

fn runs_json(started: &StartedRequests) -> Value {
    let mut counts = std::collections::BTreeMap::new();
    for id in &started.ids {
        *counts.entry(id).or_insert(0_u64) += 1;
    }
    json!({ "runs": counts, "order": started.ids })
}

fn stats_json(settings: &EngineHttpSettings, stats: EngineStats) -> Value {
    let loads: Vec<OrderBody> = stats.loads.into_iter().map(OrderBody::from).collect();
    json!({
        "name": settings.name,
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

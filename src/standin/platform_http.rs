//! HTTP API of the simulated platform: log, consumer groups, weight store and KV store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::time::sleep_until;

use super::append_log::{AppendOutcome, LogPage};
use super::group_calls;
use super::http_call::{
    BufferedRequest, CallError, StandinDirectory, done_response, dump_response, error_response,
};
use super::kv_store::KvStoreMail;
use super::log_service::{LogFault, LogMail, LogReader, LogReply, LogResponse};
use super::mail::StandinMail;
use super::weight_service::WeightMail;
use crate::kernel::ReplyTo;
use crate::platform::http_server::{
    RequestHandler, ResponseBody, close_connection_response, full_body, json_response,
};
use crate::platform::store_client::STORE_ERA;

/// Maximum size in bytes of the body of an append.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Maximum number of records in one page.
const PAGE_RECORDS: usize = 1_000;

/// Size in bytes of the length field before each record.
const FRAME_BYTES: usize = 4;

/// Creates the HTTP request handler of the platform.
#[must_use]
pub fn platform_handler(directory: StandinDirectory) -> RequestHandler {
    RequestHandler::new(move |request| {
        let directory = directory.clone();
        async move {
            let response = handle(&directory, request).await;
            response.unwrap_or_else(close_connection_response)
        }
    })
}

async fn handle(
    directory: &StandinDirectory,
    request: Request<Incoming>,
) -> Option<Response<ResponseBody>> {
    let request = match BufferedRequest::read(request).await {
        Ok(request) => request,
        Err(error) => return Some(error.into()),
    };
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("GET", ["admin", "dump"]) => Some(dump_response(directory).await),
        ("POST", ["log-append"]) => append(directory, &request).await,
        ("GET", ["log-read"]) => read(directory, &request).await,
        ("GET", ["log-newest"]) => {
            let topic = topic(&request);
            call_log(directory, |reply| LogMail::Newest(topic, reply)).await
        }
        ("POST", ["log-trim"]) => {
            let (topic, before) = (topic(&request), request.number("before", 0));
            call_log(directory, |reply| LogMail::Trim(topic, before, reply)).await
        }
        ("POST", ["log-join"]) => group_calls::join(directory, &request).await,
        ("POST", ["log-leave"]) => group_calls::leave(directory, &request).await,
        ("POST", ["log-commit"]) => group_calls::commit(directory, &request).await,
        ("GET", ["log-owners"]) => group_calls::owners(directory, &request).await,
        ("GET", ["weights", _model, _version]) => {
            let mail = |reply| StandinMail::Weights(WeightMail::Fetch(reply));
            directory.ask("weights", mail).await?;
            Some(done_response())
        }
        ("PUT", ["kv", key]) => {
            let (key, value) = ((*key).to_owned(), request.body.clone());
            let mail = |reply| StandinMail::KvStore(KvStoreMail::Put(key, value, reply));
            directory.ask("kept-cache", mail).await?;
            Some(done_response())
        }
        ("GET" | "HEAD", ["kv", key]) => get_value(directory, key).await,
        ("POST", ["admin", fault]) => admin(directory, fault, &request).await,
        _ => Some(CallError::UnknownPath.into()),
    }
}

fn topic(request: &BufferedRequest) -> String {
    request.parameter("topic").unwrap_or_default().to_owned()
}

/// Appends the single record of a call; the record must be valid UTF-8.
async fn append(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    if request.body.len() > MAX_RECORD_BYTES {
        let response = error_response(StatusCode::PAYLOAD_TOO_LARGE, "record_too_large");
        return Some(response);
    }
    let framed = request.body.get(FRAME_BYTES..).unwrap_or_default();
    let Ok(body) = String::from_utf8(framed.to_vec()) else {
        return Some(CallError::BadBody.into());
    };
    let at = request.parameter("at").and_then(|at| at.parse().ok());
    let topic = topic(request);
    call_log(directory, |reply| LogMail::Append(topic, body, at, reply)).await
}

async fn read(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let from = request.number("from", 0);
    let reader = |reply| LogReader {
        topic: topic(request),
        from,
        limit: PAGE_RECORDS,
        until: request.deadline("wait-ms", directory.now()),
        reply,
    };
    call_log_from(directory, from, |reply| LogMail::Read(reader(reply))).await
}

async fn admin(
    directory: &StandinDirectory,
    fault: &str,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let fault = match fault {
        "outage" => LogFault::Outage(request.number("ms", 0)),
        "lose-answers" => LogFault::LoseResponses(request.number("next", 1)),
        "delay" => LogFault::Delay(request.number("ms", 0)),
        "copy" => LogFault::Copy,
        "restore" => LogFault::Restore(request.number("ms", 0)),
        _ => return Some(CallError::UnknownPath.into()),
    };
    call_log(directory, |reply| LogMail::Fault(fault, reply)).await
}

async fn call_log(
    directory: &StandinDirectory,
    mail: impl FnOnce(ReplyTo<LogReply>) -> LogMail,
) -> Option<Response<ResponseBody>> {
    call_log_from(directory, 0, mail).await
}

/// Calls the service `log` and encodes the response with the era; `from` is the offset that a read
/// begins at.
async fn call_log_from(
    directory: &StandinDirectory,
    from: u64,
    mail: impl FnOnce(ReplyTo<LogReply>) -> LogMail,
) -> Option<Response<ResponseBody>> {
    let log_mail = |reply| StandinMail::Log(mail(reply));
    let LogReply {
        not_before,
        response,
        era,
    } = directory.ask("log", log_mail).await?;
    sleep_until(directory.clock().instant(not_before).into()).await;
    let mut encoded = encode_response(response, from)?;
    encoded.headers_mut().insert(STORE_ERA, era.into());
    Some(encoded)
}

/// Encodes a response; `None` if it is lost.
fn encode_response(response: LogResponse, from: u64) -> Option<Response<ResponseBody>> {
    match response {
        LogResponse::Append(AppendOutcome::Appended(offset)) => {
            let json_body = json!({ "offset": offset, "end": offset + 1 });
            Some(json_response(StatusCode::OK, &json_body))
        }
        LogResponse::Append(AppendOutcome::OffsetMismatch(end)) => {
            let json_body = json!({ "end": end });
            Some(json_response(StatusCode::PRECONDITION_FAILED, &json_body))
        }
        LogResponse::Append(AppendOutcome::ResponseLost) => None,
        LogResponse::Append(AppendOutcome::Unavailable) | LogResponse::Unavailable => {
            let response = error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
            Some(response)
        }
        LogResponse::Page(page) if from < page.first || from > page.next => {
            let json_body = json!({ "first": page.first });
            Some(json_response(StatusCode::GONE, &json_body))
        }
        LogResponse::Page(page) => Some(Response::new(full_body(page_bytes(&page)))),
        LogResponse::Newest(records, end) => {
            let items = records.into_iter().map(|(key, record)| {
                let value = STANDARD.encode(record.body.as_bytes());
                json!({ "key": key, "value": value, "offset": record.offset })
            });
            let items: Vec<_> = items.collect();
            let json_body = json!({ "items": items, "more": false, "end": end });
            Some(json_response(StatusCode::OK, &json_body))
        }
        LogResponse::Done => Some(done_response()),
    }
}

/// Encodes a page: the end offset, the first retained offset, and the length-prefixed records.
fn page_bytes(page: &LogPage) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&page.next.to_be_bytes());
    bytes.extend_from_slice(&page.first.to_be_bytes());
    for record in &page.records {
        let length = u32::try_from(record.body.len()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(record.body.as_bytes());
    }
    bytes
}

async fn get_value(directory: &StandinDirectory, key: &str) -> Option<Response<ResponseBody>> {
    let key = key.to_owned();
    let mail = |reply| StandinMail::KvStore(KvStoreMail::Get(key, reply));
    match directory.ask("kept-cache", mail).await? {
        Some(value) => Some(Response::new(full_body(value))),
        None => Some(error_response(StatusCode::NOT_FOUND, "unknown_key")),
    }
}

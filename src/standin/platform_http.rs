//! HTTP front of the platform: log, weight store and kept-cache store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::time::sleep_until;

use super::append_log::{AppendOutcome, LogPage};
use super::front::{
    FrontError, FrontRequest, StandinDirectory, done_response, dump_response, error_response,
};
use super::group_calls;
use super::kept_cache::KeptMail;
use super::log_service::{LogAnswer, LogFault, LogMail, LogReader, LogReply};
use super::mail::StandinMail;
use super::weight_service::WeightMail;
use crate::kernel::ReplyTo;
use crate::platform::http_server::{
    RequestHandler, ResponseBody, close_connection_response, full_body, json_response,
};

/// Largest body of a record in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Records of one page.
const PAGE_RECORDS: usize = 1_000;

/// Length of the frame before a record, in bytes.
const FRAME_BYTES: usize = 4;

/// Creates the handler of the platform's calls.
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
    let request = match FrontRequest::read(request).await {
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
            ask_log(directory, |reply| LogMail::Newest(topic, reply)).await
        }
        ("POST", ["log-trim"]) => {
            let (topic, before) = (topic(&request), request.number("before", 0));
            ask_log(directory, |reply| LogMail::Retain(topic, before, reply)).await
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
            let mail = |reply| StandinMail::Kept(KeptMail::Put(key, value, reply));
            directory.ask("kept-cache", mail).await?;
            Some(done_response())
        }
        ("GET" | "HEAD", ["kv", key]) => get_value(directory, key).await,
        ("POST", ["admin", fault]) => admin(directory, fault, &request).await,
        _ => Some(FrontError::UnknownPath.into()),
    }
}

fn topic(request: &FrontRequest) -> String {
    request.parameter("topic").unwrap_or_default().to_owned()
}

/// Appends the one record of a call; records are texts here.
async fn append(
    directory: &StandinDirectory,
    request: &FrontRequest,
) -> Option<Response<ResponseBody>> {
    if request.body.len() > MAX_RECORD_BYTES {
        let response = error_response(StatusCode::PAYLOAD_TOO_LARGE, "record_too_large");
        return Some(response);
    }
    let framed = request.body.get(FRAME_BYTES..).unwrap_or_default();
    let Ok(body) = String::from_utf8(framed.to_vec()) else {
        return Some(FrontError::BadBody.into());
    };
    let at = request.parameter("at").and_then(|at| at.parse().ok());
    let topic = topic(request);
    ask_log(directory, |reply| LogMail::Append(topic, body, at, reply)).await
}

async fn read(
    directory: &StandinDirectory,
    request: &FrontRequest,
) -> Option<Response<ResponseBody>> {
    let from = request.number("from", 0);
    let reader = |reply| LogReader {
        stream: topic(request),
        from,
        limit: PAGE_RECORDS,
        until: request.deadline("wait-ms", directory.now()),
        reply,
    };
    ask_log_for(directory, from, |reply| LogMail::Read(reader(reply))).await
}

async fn admin(
    directory: &StandinDirectory,
    fault: &str,
    request: &FrontRequest,
) -> Option<Response<ResponseBody>> {
    let fault = match fault {
        "outage" => LogFault::Outage(request.number("ms", 0)),
        "lose-answers" => LogFault::LoseAnswers(request.number("next", 1)),
        "delay" => LogFault::Delay(request.number("ms", 0)),
        _ => return Some(FrontError::UnknownPath.into()),
    };
    ask_log(directory, |reply| LogMail::Fault(fault, reply)).await
}

async fn ask_log(
    directory: &StandinDirectory,
    mail: impl FnOnce(ReplyTo<LogReply>) -> LogMail,
) -> Option<Response<ResponseBody>> {
    ask_log_for(directory, 0, mail).await
}

/// Asks the log; `from` is the offset that a read wants.
async fn ask_log_for(
    directory: &StandinDirectory,
    from: u64,
    mail: impl FnOnce(ReplyTo<LogReply>) -> LogMail,
) -> Option<Response<ResponseBody>> {
    let question = |reply| StandinMail::Log(mail(reply));
    let LogReply { not_before, answer } = directory.ask("log", question).await?;
    sleep_until(directory.clock().instant(not_before).into()).await;
    match answer {
        LogAnswer::Append(AppendOutcome::Appended(offset)) => {
            let answer = json!({ "offset": offset, "end": offset + 1 });
            Some(json_response(StatusCode::OK, &answer))
        }
        LogAnswer::Append(AppendOutcome::Moved(end)) => {
            let answer = json!({ "end": end });
            Some(json_response(StatusCode::PRECONDITION_FAILED, &answer))
        }
        LogAnswer::Append(AppendOutcome::AnswerLost) => None,
        LogAnswer::Append(AppendOutcome::Unavailable) | LogAnswer::Unavailable => {
            let response = error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
            Some(response)
        }
        LogAnswer::Page(page) if from < page.first => {
            let answer = json!({ "first": page.first });
            Some(json_response(StatusCode::GONE, &answer))
        }
        LogAnswer::Page(page) => Some(Response::new(full_body(page_bytes(&page)))),
        LogAnswer::Newest(records, end) => {
            let items = records.into_iter().map(|(key, record)| {
                let value = STANDARD.encode(record.body.as_bytes());
                json!({ "key": key, "value": value, "offset": record.offset })
            });
            let items: Vec<_> = items.collect();
            let answer = json!({ "items": items, "more": false, "end": end });
            Some(json_response(StatusCode::OK, &answer))
        }
        LogAnswer::Done => Some(done_response()),
    }
}

/// Encodes a page: the end, the first offset that is kept, and framed records.
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
    let mail = |reply| StandinMail::Kept(KeptMail::Get(key, reply));
    match directory.ask("kept-cache", mail).await? {
        Some(value) => Some(Response::new(full_body(value))),
        None => Some(error_response(StatusCode::NOT_FOUND, "unknown_key")),
    }
}

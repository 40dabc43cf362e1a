//! Answers to callers: whole, streamed, passed through, or an error that says what ran.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;

use super::request_runner::{RequestRunner, RunnerOutput};
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::platform::http_server::{ResponseBody, full_body, json_response};
use crate::wire::openai::{
    CallerError, CallerRequest, ChunkAction, ContinuationBody, DONE, ErrorBody, ErrorStatus,
    ResponseAccumulator, refusal_status,
};
use crate::wire::rpc::StreamItem;
use crate::wire::sse::encode_data;

/// Header and trailer that say whether the request ran.
pub(super) const RUN_STATUS: HeaderName = HeaderName::from_static("x-run-status");

/// Header that client libraries obey on errors.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Value of the status header of a stream whose end is still to come.
pub(super) const PENDING: HeaderValue = HeaderValue::from_static("pending");

/// Parts of a streamed answer that wait for a slow caller.
const STREAM_BACKLOG: usize = 32;

/// Sends the parts of a body; an error closes the connection, so a cut body never ends cleanly.
pub(super) type FrameSender = mpsc::Sender<std::io::Result<Frame<Bytes>>>;

/// How a model's answer goes on.
enum AnswerStep {
    /// Payload for a caller who streams.
    Payload(Vec<u8>),
    /// The upstream answered with an error of its own; status, headers and body.
    Rejected(u16, Vec<(String, String)>, Vec<u8>),
    /// Nothing further comes.
    Finished(RunStatus, Option<RefusalReason>),
}

/// A model's answer in the making.
struct ModelAnswer {
    runner: RequestRunner,
    request: CallerRequest,
    accumulator: ResponseAccumulator,
}

/// Runs a model request and answers it in the way that the caller asked for.
pub async fn model_answer(runner: RequestRunner, request: CallerRequest) -> Response<ResponseBody> {
    let id = format!("chatcmpl-{:016x}", rand::random::<u64>());
    let accumulator = ResponseAccumulator::new(&request, id, unix_seconds());
    let streams = request.stream;
    let mut answer = ModelAnswer {
        runner,
        request,
        accumulator,
    };
    if streams {
        return stream_model(answer).await;
    }
    loop {
        match answer.next().await {
            AnswerStep::Payload(_) => {}
            AnswerStep::Rejected(status, headers, body) => {
                return passed_response(status, &headers, full_body(body), RunStatus::Complete);
            }
            AnswerStep::Finished(RunStatus::Complete, _) => {
                let mut response = json_response(StatusCode::OK, &answer.accumulator.response());
                set_run_status(response.headers_mut(), RunStatus::Complete);
                return response;
            }
            AnswerStep::Finished(status, reason) => return refusal_response(status, reason),
        }
    }
}

async fn stream_model(mut answer: ModelAnswer) -> Response<ResponseBody> {
    let payload = match answer.next().await {
        AnswerStep::Payload(payload) => Some(payload),
        AnswerStep::Rejected(status, headers, body) => {
            return passed_response(status, &headers, full_body(body), RunStatus::Complete);
        }
        AnswerStep::Finished(RunStatus::Complete, _) => None,
        AnswerStep::Finished(status, reason) => return refusal_response(status, reason),
    };
    let (sender, body) = streamed_body();
    tokio::spawn(pump_model(answer, payload, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    headers.insert("trailer", HeaderValue::from_static("x-run-status"));
    headers.insert(RUN_STATUS, PENDING);
    response
}

async fn pump_model(mut answer: ModelAnswer, first: Option<Vec<u8>>, sender: FrameSender) {
    let (status, reason) = match first {
        None => (RunStatus::Complete, None),
        Some(mut payload) => loop {
            let frame = Frame::data(Bytes::from(encode_data(&payload)));
            if sender.send(Ok(frame)).await.is_err() {
                return;
            }
            let step = tokio::select! {
                step = answer.next() => step,
                // The caller has gone away; dropping the answer withdraws the request.
                () = sender.closed() => return,
            };
            match step {
                AnswerStep::Payload(next) => payload = next,
                AnswerStep::Finished(status, reason) => break (status, reason),
                AnswerStep::Rejected(..) => break (RunStatus::Incomplete, None),
            }
        },
    };
    let ending = if status == RunStatus::Complete {
        DONE.to_vec()
    } else {
        error_body(status, reason)
            .to_json()
            .to_string()
            .into_bytes()
    };
    let mut trailers = HeaderMap::new();
    set_run_status(&mut trailers, status);
    let last = Frame::data(Bytes::from(encode_data(&ending)));
    if sender.send(Ok(last)).await.is_ok() {
        // A caller that has left by now has the whole answer.
        drop(sender.send(Ok(Frame::trailers(trailers))).await);
    }
}

impl ModelAnswer {
    async fn next(&mut self) -> AnswerStep {
        loop {
            match self.runner.next().await {
                RunnerOutput::Item(StreamItem::Head { status, headers }) => {
                    if !(200..300).contains(&status) {
                        return self.reject(status, headers).await;
                    }
                }
                RunnerOutput::Item(StreamItem::Data(payload)) => {
                    match self.accumulator.accept(&payload) {
                        ChunkAction::Forward(payload) => return AnswerStep::Payload(payload),
                        ChunkAction::Withhold | ChunkAction::Done => {}
                        ChunkAction::Failed(_) => {
                            return AnswerStep::Finished(RunStatus::Incomplete, None);
                        }
                    }
                }
                RunnerOutput::NeedsContinuation => {
                    if let Some(step) = self.continue_elsewhere() {
                        return step;
                    }
                }
                RunnerOutput::Finished(status, reason) => {
                    return AnswerStep::Finished(status, reason);
                }
            }
        }
    }

    /// Prepares the rest of a cut answer; returns the step if there is no rest to run.
    fn continue_elsewhere(&mut self) -> Option<AnswerStep> {
        if self.accumulator.is_finished() {
            return Some(AnswerStep::Finished(RunStatus::Complete, None));
        }
        let body = match self.accumulator.delivered() {
            None => ContinuationBody::Unsupported,
            Some(delivered) => self.request.continuation(&delivered.text, delivered.tokens),
        };
        match body {
            ContinuationBody::Body(body) => {
                self.accumulator.begin_attempt();
                self.runner.continue_with(body);
                None
            }
            ContinuationBody::AtLimit => {
                Some(AnswerStep::Payload(self.accumulator.finish_at_limit()))
            }
            ContinuationBody::Unsupported => {
                self.runner.abandon_rest();
                None
            }
        }
    }

    async fn reject(&mut self, status: u16, headers: Vec<(String, String)>) -> AnswerStep {
        let mut body = Vec::new();
        loop {
            match self.runner.next().await {
                RunnerOutput::Item(StreamItem::Data(bytes)) => body.extend_from_slice(&bytes),
                RunnerOutput::Item(StreamItem::Head { .. }) => {}
                RunnerOutput::Finished(RunStatus::Complete, _) => {
                    return AnswerStep::Rejected(status, headers, body);
                }
                RunnerOutput::Finished(status, reason) => {
                    return AnswerStep::Finished(status, reason);
                }
                RunnerOutput::NeedsContinuation => self.runner.abandon_rest(),
            }
        }
    }
}

/// Builds the response to a request that was turned away as faulty.
#[must_use]
pub fn fault_response(fault: CallerError, message: &str) -> Response<ResponseBody> {
    error_response(
        fault.status(),
        &ErrorBody::new(fault.status(), message),
        RunStatus::NotRun,
    )
}

/// Builds the response to a request that was refused or could not be answered whole.
#[must_use]
pub fn refusal_response(
    status: RunStatus,
    reason: Option<RefusalReason>,
) -> Response<ResponseBody> {
    error_response(
        ending_status(status, reason),
        &error_body(status, reason),
        status,
    )
}

fn error_body(status: RunStatus, reason: Option<RefusalReason>) -> ErrorBody {
    let message = match status {
        RunStatus::NotRun => "the request was not run",
        RunStatus::Complete => "the request was answered",
        RunStatus::Incomplete => "the request ran and its answer cannot be completed",
        RunStatus::Unknown => "the request may have run and its answer is lost",
    };
    ErrorBody::new(ending_status(status, reason), message)
}

fn ending_status(status: RunStatus, reason: Option<RefusalReason>) -> ErrorStatus {
    let mut fault = refusal_status(status, reason.unwrap_or(RefusalReason::NoUpstream));
    if status != RunStatus::NotRun && reason != Some(RefusalReason::KeyExpired) {
        fault.code = status.name();
    }
    fault
}

fn error_response(fault: ErrorStatus, body: &ErrorBody, run: RunStatus) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(fault.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json_response(status, &body.to_json());
    let headers = response.headers_mut();
    set_run_status(headers, run);
    let should_retry = if fault.should_retry() {
        "true"
    } else {
        "false"
    };
    headers.insert(SHOULD_RETRY, HeaderValue::from_static(should_retry));
    if let Some(seconds) = fault.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

pub(super) fn passed_response(
    status: u16,
    headers: &[(String, String)],
    body: ResponseBody,
    run: RunStatus,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    set_run_status(response.headers_mut(), run);
    response
}

pub(super) fn set_run_status(headers: &mut HeaderMap, status: RunStatus) {
    headers.insert(RUN_STATUS, HeaderValue::from_static(status.name()));
}

pub(super) fn streamed_body() -> (FrameSender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(STREAM_BACKLOG);
    let frames = stream::unfold(receiver, |mut receiver: mpsc::Receiver<_>| async {
        let frame = receiver.recv().await?;
        Some((frame, receiver))
    });
    (sender, BodyExt::boxed(StreamBody::new(Box::pin(frames))))
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

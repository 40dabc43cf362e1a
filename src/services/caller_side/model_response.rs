//! Responses to model requests, complete or streamed, and error responses with a run status.

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

/// Header and trailer with the run status of the request.
pub(super) const RUN_STATUS: HeaderName = HeaderName::from_static("x-run-status");

/// Header on errors that tells client libraries whether to retry.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Value of [`RUN_STATUS`] in the header of a stream, whose trailer has the final status.
pub(super) const PENDING: HeaderValue = HeaderValue::from_static("pending");

/// Number of frames that are buffered for a slow caller.
const STREAM_BACKLOG: usize = 32;

/// Sends the frames of a body; an error aborts the connection, so that the caller can tell an
/// incomplete body from a complete one.
pub(super) type FrameSender = mpsc::Sender<std::io::Result<Frame<Bytes>>>;

/// Next step of a model response.
enum ResponseStep {
    /// Payload of the next event, for a streaming caller.
    Payload(Vec<u8>),
    /// The upstream responded with an error status; the status, headers and body to forward.
    UpstreamError(u16, Vec<(String, String)>, Vec<u8>),
    /// The request has ended.
    Finished(RunStatus, Option<RefusalReason>),
}

/// State of a model request whose response is being built.
struct ModelExchange {
    runner: RequestRunner,
    request: CallerRequest,
    accumulator: ResponseAccumulator,
}

/// Runs a model request and returns its response, streamed if the caller requested it.
pub async fn model_response(
    runner: RequestRunner,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let id = format!("chatcmpl-{:016x}", rand::random::<u64>());
    let accumulator = ResponseAccumulator::new(&request, id, unix_seconds());
    let is_streamed = request.stream;
    let mut exchange = ModelExchange {
        runner,
        request,
        accumulator,
    };
    if is_streamed {
        return model_stream_response(exchange).await;
    }
    loop {
        match exchange.next().await {
            ResponseStep::Payload(_) => {}
            ResponseStep::UpstreamError(status, headers, body) => {
                return forwarded_response(status, &headers, full_body(body), RunStatus::Complete);
            }
            ResponseStep::Finished(RunStatus::Complete, _) => {
                let mut response = json_response(StatusCode::OK, &exchange.accumulator.response());
                set_run_status(response.headers_mut(), RunStatus::Complete);
                return response;
            }
            ResponseStep::Finished(status, reason) => {
                return runner_refusal(&exchange.runner, status, reason);
            }
        }
    }
}

async fn model_stream_response(mut exchange: ModelExchange) -> Response<ResponseBody> {
    let payload = match exchange.next().await {
        ResponseStep::Payload(payload) => Some(payload),
        ResponseStep::UpstreamError(status, headers, body) => {
            return forwarded_response(status, &headers, full_body(body), RunStatus::Complete);
        }
        ResponseStep::Finished(RunStatus::Complete, _) => None,
        ResponseStep::Finished(status, reason) => {
            return runner_refusal(&exchange.runner, status, reason);
        }
    };
    let (sender, body) = streamed_body();
    tokio::spawn(stream_model(exchange, payload, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    headers.insert("trailer", HeaderValue::from_static("x-run-status"));
    headers.insert(RUN_STATUS, PENDING);
    response
}

async fn stream_model(mut exchange: ModelExchange, first: Option<Vec<u8>>, sender: FrameSender) {
    let (status, reason) = match first {
        None => (RunStatus::Complete, None),
        Some(mut payload) => loop {
            let frame = Frame::data(Bytes::from(encode_data(&payload)));
            if sender.send(Ok(frame)).await.is_err() {
                return;
            }
            let step = tokio::select! {
                step = exchange.next() => step,
                // The caller has disconnected; dropping the runner withdraws the request.
                () = sender.closed() => return,
            };
            match step {
                ResponseStep::Payload(next) => payload = next,
                ResponseStep::Finished(status, reason) => break (status, reason),
                ResponseStep::UpstreamError(..) => break (RunStatus::Incomplete, None),
            }
        },
    };
    let last_event = if status == RunStatus::Complete {
        DONE.to_vec()
    } else {
        error_body(status, reason)
            .to_json()
            .to_string()
            .into_bytes()
    };
    let mut trailers = HeaderMap::new();
    set_run_status(&mut trailers, status);
    let frame = Frame::data(Bytes::from(encode_data(&last_event)));
    if sender.send(Ok(frame)).await.is_ok() {
        // The send fails if the caller has disconnected after the last event.
        drop(sender.send(Ok(Frame::trailers(trailers))).await);
    }
}

impl ModelExchange {
    async fn next(&mut self) -> ResponseStep {
        loop {
            match self.runner.next().await {
                RunnerOutput::Item(StreamItem::Head { status, headers }) => {
                    if !(200..300).contains(&status) {
                        return self.collect_error(status, headers).await;
                    }
                }
                RunnerOutput::Item(StreamItem::Data(payload)) => {
                    match self.accumulator.accept(&payload) {
                        ChunkAction::Forward(payload) => return ResponseStep::Payload(payload),
                        ChunkAction::Withhold | ChunkAction::Done => {}
                        ChunkAction::Failed(_) => {
                            return ResponseStep::Finished(RunStatus::Incomplete, None);
                        }
                    }
                }
                RunnerOutput::NeedsContinuation => {
                    if let Some(step) = self.prepare_continuation() {
                        return step;
                    }
                }
                RunnerOutput::Finished(status, reason) => {
                    return ResponseStep::Finished(status, reason);
                }
            }
        }
    }

    /// Prepares a request for the rest of an interrupted response, or returns the last step if the
    /// response needs no further output.
    fn prepare_continuation(&mut self) -> Option<ResponseStep> {
        if self.accumulator.is_finished() {
            return Some(ResponseStep::Finished(RunStatus::Complete, None));
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
                Some(ResponseStep::Payload(self.accumulator.finish_at_limit()))
            }
            ContinuationBody::Unsupported => {
                self.runner.fail_continuation();
                None
            }
        }
    }

    /// Collects the body of an error response of the upstream.
    async fn collect_error(&mut self, status: u16, headers: Vec<(String, String)>) -> ResponseStep {
        let mut body = Vec::new();
        loop {
            match self.runner.next().await {
                RunnerOutput::Item(StreamItem::Data(bytes)) => body.extend_from_slice(&bytes),
                RunnerOutput::Item(StreamItem::Head { .. }) => {}
                RunnerOutput::Finished(RunStatus::Complete, _) => {
                    return ResponseStep::UpstreamError(status, headers, body);
                }
                RunnerOutput::Finished(status, reason) => {
                    return ResponseStep::Finished(status, reason);
                }
                RunnerOutput::NeedsContinuation => self.runner.fail_continuation(),
            }
        }
    }
}

/// Builds the response to an invalid or forbidden request, which was not run.
#[must_use]
pub fn caller_error_response(error: CallerError, message: &str) -> Response<ResponseBody> {
    error_response(
        error.status(),
        &ErrorBody::new(error.status(), message),
        RunStatus::NotRun,
    )
}

/// Builds the response to a request that was refused or whose response is incomplete or lost.
#[must_use]
pub fn refusal_response(
    status: RunStatus,
    reason: Option<RefusalReason>,
) -> Response<ResponseBody> {
    error_response(
        error_status(status, reason),
        &error_body(status, reason),
        status,
    )
}

/// Builds the response to a request whose upstreams have refused it or have not completed the response.
pub(super) fn runner_refusal(
    runner: &RequestRunner,
    status: RunStatus,
    reason: Option<RefusalReason>,
) -> Response<ResponseBody> {
    let mut response = refusal_response(status, reason);
    let headers = response.headers_mut();
    if let Some(wait) = runner.retry_after()
        && headers.contains_key(RETRY_AFTER)
    {
        // The header has whole seconds; an earlier return would be refused again.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn error_body(status: RunStatus, reason: Option<RefusalReason>) -> ErrorBody {
    let message = match status {
        RunStatus::NotRun => "the request was not run",
        RunStatus::Complete => "the request was answered",
        RunStatus::Incomplete => "the request ran and its answer cannot be completed",
        RunStatus::Unknown => "the request may have run and its answer is lost",
    };
    ErrorBody::new(error_status(status, reason), message)
}

fn error_status(status: RunStatus, reason: Option<RefusalReason>) -> ErrorStatus {
    let mut error = refusal_status(status, reason.unwrap_or(RefusalReason::NoUpstream));
    if status != RunStatus::NotRun && reason != Some(RefusalReason::KeyExpired) {
        error.code = status.name();
    }
    error
}

fn error_response(error: ErrorStatus, body: &ErrorBody, run: RunStatus) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json_response(status, &body.to_json());
    let headers = response.headers_mut();
    set_run_status(headers, run);
    let should_retry = if error.should_retry() {
        "true"
    } else {
        "false"
    };
    headers.insert(SHOULD_RETRY, HeaderValue::from_static(should_retry));
    if let Some(seconds) = error.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds a response from the status, headers and body of an upstream.
pub(super) fn forwarded_response(
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

/// Sets the header or trailer with the run status.
pub(super) fn set_run_status(headers: &mut HeaderMap, status: RunStatus) {
    headers.insert(RUN_STATUS, HeaderValue::from_static(status.name()));
}

/// Creates a streamed body and the sender of its frames.
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
        .map_or(0, |elapsed| elapsed.as_secs())
}

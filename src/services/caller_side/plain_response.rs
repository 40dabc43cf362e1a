//! Responses of plain services: buffered if they are short and fast, streamed otherwise.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use tokio::time::{Instant, timeout_at};

use super::model_response::{
    FrameSender, PENDING, RUN_STATUS, forwarded_response, runner_refusal, set_run_status,
    streamed_body,
};
use super::request_runner::{RequestRunner, RunnerOutput};
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::platform::http_server::{ResponseBody, full_body};
use crate::wire::rpc::StreamItem;

/// Time after the head for which a response is buffered; if it ends by then, its run status is sent
/// in a header instead of a trailer.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(50);

/// Bytes of a body beyond which a response is streamed instead of buffered.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// State of a response at the end of buffering.
enum BufferedBody {
    /// The response has ended; its body, and its status and refusal reason unless it is complete.
    Ended(Vec<u8>, Option<(RunStatus, Option<RefusalReason>)>),
    /// The response continues; the part of the body that has arrived.
    Partial(Vec<u8>),
}

/// Runs a request to a plain service and forwards its response.
pub async fn plain_response(mut runner: RequestRunner) -> Response<ResponseBody> {
    let (status, headers) = loop {
        match runner.next().await {
            RunnerOutput::Item(StreamItem::Head { status, headers }) => break (status, headers),
            RunnerOutput::Item(StreamItem::Data(_)) => {}
            RunnerOutput::NeedsContinuation => runner.fail_continuation(),
            RunnerOutput::Finished(status, reason) => {
                return runner_refusal(&runner, status, reason);
            }
        }
    };
    match buffer_body(&mut runner).await {
        BufferedBody::Ended(bytes, None) => {
            forwarded_response(status, &headers, full_body(bytes), RunStatus::Complete)
        }
        BufferedBody::Ended(_, Some((status, reason))) => runner_refusal(&runner, status, reason),
        BufferedBody::Partial(bytes) => {
            let (sender, body) = streamed_body();
            tokio::spawn(stream_plain(runner, bytes, sender));
            let mut response = forwarded_response(status, &headers, body, RunStatus::Complete);
            let headers = response.headers_mut();
            headers.insert(RUN_STATUS, PENDING);
            headers.insert("trailer", HeaderValue::from_static("x-run-status"));
            response
        }
    }
}

async fn buffer_body(runner: &mut RequestRunner) -> BufferedBody {
    let deadline = Instant::now() + BUFFER_TIMEOUT;
    let mut bytes = Vec::new();
    while bytes.len() <= MAX_BUFFERED_BYTES {
        // A read that the timeout cancels is repeated from the same index.
        let Ok(output) = timeout_at(deadline, runner.next()).await else {
            break;
        };
        match output {
            RunnerOutput::Item(StreamItem::Data(part)) => bytes.extend_from_slice(&part),
            RunnerOutput::Item(StreamItem::Head { .. }) => {}
            RunnerOutput::NeedsContinuation => runner.fail_continuation(),
            RunnerOutput::Finished(RunStatus::Complete, _) => {
                return BufferedBody::Ended(bytes, None);
            }
            RunnerOutput::Finished(status, reason) => {
                return BufferedBody::Ended(bytes, Some((status, reason)));
            }
        }
    }
    BufferedBody::Partial(bytes)
}

async fn stream_plain(mut runner: RequestRunner, first: Vec<u8>, sender: FrameSender) {
    if !first.is_empty()
        && sender
            .send(Ok(Frame::data(Bytes::from(first))))
            .await
            .is_err()
    {
        return;
    }
    loop {
        let output = tokio::select! {
            output = runner.next() => output,
            () = sender.closed() => return,
        };
        match output {
            RunnerOutput::Item(StreamItem::Data(bytes)) => {
                let frame = Frame::data(Bytes::from(bytes));
                if sender.send(Ok(frame)).await.is_err() {
                    return;
                }
            }
            RunnerOutput::Item(StreamItem::Head { .. }) => {}
            RunnerOutput::NeedsContinuation => runner.fail_continuation(),
            RunnerOutput::Finished(status, _) => {
                // The send fails if the caller has disconnected.
                drop(sender.send(last_frame(status)).await);
                return;
            }
        }
    }
}

/// Returns the last frame of a streamed body: the run status as a trailer, or an error that closes
/// the connection.
fn last_frame(status: RunStatus) -> std::io::Result<Frame<Bytes>> {
    if status != RunStatus::Complete {
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    let mut trailers = HeaderMap::new();
    set_run_status(&mut trailers, status);
    Ok(Frame::trailers(trailers))
}

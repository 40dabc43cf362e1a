//! Answers of plain services: whole where they come at once, passed through where they do not.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use tokio::time::{Instant, timeout_at};

use super::caller_answer::{
    FrameSender, PENDING, RUN_STATUS, passed_response, refusal_response, set_run_status,
    streamed_body,
};
use super::request_runner::{RequestRunner, RunnerOutput};
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::platform::http_server::{ResponseBody, full_body};
use crate::wire::rpc::StreamItem;

/// Time after the head for which the rest of an answer is waited for, so that it goes out whole
/// with its status.
const WHOLE_WAIT: Duration = Duration::from_millis(50);

/// Largest answer that goes out whole, in bytes.
const WHOLE_BYTES: usize = 256 * 1024;

/// What the first part of an answer came to.
enum FirstPart {
    /// The answer has ended; `None` for one that is complete.
    Ended(Vec<u8>, Option<(RunStatus, Option<RefusalReason>)>),
    /// There is more to come.
    Begun(Vec<u8>),
}

/// Runs a request to a plain service and passes the response on.
pub async fn plain_answer(mut runner: RequestRunner) -> Response<ResponseBody> {
    let (status, headers) = loop {
        match runner.next().await {
            RunnerOutput::Item(StreamItem::Head { status, headers }) => break (status, headers),
            RunnerOutput::Item(StreamItem::Data(_)) => {}
            RunnerOutput::NeedsContinuation => runner.abandon_rest(),
            RunnerOutput::Finished(status, reason) => return refusal_response(status, reason),
        }
    };
    match first_part(&mut runner).await {
        FirstPart::Ended(bytes, None) => {
            passed_response(status, &headers, full_body(bytes), RunStatus::Complete)
        }
        FirstPart::Ended(_, Some((status, reason))) => refusal_response(status, reason),
        FirstPart::Begun(bytes) => {
            let (sender, body) = streamed_body();
            tokio::spawn(pump_plain(runner, bytes, sender));
            let mut response = passed_response(status, &headers, body, RunStatus::Complete);
            let headers = response.headers_mut();
            headers.insert(RUN_STATUS, PENDING);
            headers.insert("trailer", HeaderValue::from_static("x-run-status"));
            response
        }
    }
}

async fn first_part(runner: &mut RequestRunner) -> FirstPart {
    let deadline = Instant::now() + WHOLE_WAIT;
    let mut bytes = Vec::new();
    while bytes.len() <= WHOLE_BYTES {
        // A read that is given up here is sent again from the same index.
        let Ok(output) = timeout_at(deadline, runner.next()).await else {
            break;
        };
        match output {
            RunnerOutput::Item(StreamItem::Data(part)) => bytes.extend_from_slice(&part),
            RunnerOutput::Item(StreamItem::Head { .. }) => {}
            RunnerOutput::NeedsContinuation => runner.abandon_rest(),
            RunnerOutput::Finished(RunStatus::Complete, _) => {
                return FirstPart::Ended(bytes, None);
            }
            RunnerOutput::Finished(status, reason) => {
                return FirstPart::Ended(bytes, Some((status, reason)));
            }
        }
    }
    FirstPart::Begun(bytes)
}

async fn pump_plain(mut runner: RequestRunner, first: Vec<u8>, sender: FrameSender) {
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
            RunnerOutput::NeedsContinuation => runner.abandon_rest(),
            RunnerOutput::Finished(status, _) => {
                // A caller that has left by now needs no ending.
                drop(sender.send(plain_ending(status)).await);
                return;
            }
        }
    }
}

/// Returns the end of a passed-through body, which has no other place for its status.
fn plain_ending(status: RunStatus) -> std::io::Result<Frame<Bytes>> {
    if status != RunStatus::Complete {
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    let mut trailers = HeaderMap::new();
    set_run_status(&mut trailers, status);
    Ok(Frame::trailers(trailers))
}

//! One request over HTTP, from its sending to the end of its stream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Method;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::timeout;

use super::sample::{RequestSample, SampleOutcome};
use crate::kernel::Clock;
use crate::platform::http_client;
use crate::wire::openai::DONE;
use crate::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};

/// Longest time until the response head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time between two parts of a response body.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request ready to be sent.
#[derive(Debug)]
pub struct EntryCall {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Bearer key of the customer.
    pub bearer: String,
    /// Body.
    pub body: String,
}

/// Sends a request, reads its stream and completes the sample.
pub async fn call(clock: Clock, request: EntryCall, mut sample: RequestSample) -> RequestSample {
    sample.outcome = exchange(clock, request, &mut sample).await;
    sample.ended = clock.now();
    sample
}

async fn exchange(clock: Clock, request: EntryCall, sample: &mut RequestSample) -> SampleOutcome {
    let path = "/v1/chat/completions";
    let built = http_client::request(Method::POST, request.entry, path)
        .header("authorization", format!("Bearer {}", request.bearer))
        .header("content-type", "application/json")
        .header("x-rank", sample.rank.name())
        .body(Full::new(Bytes::from(request.body)));
    let Ok(built) = built else {
        return SampleOutcome::Failed;
    };
    let Ok(open) = http_client::open(request.entry, built, HEAD_TIMEOUT).await else {
        return SampleOutcome::Failed;
    };
    let status = open.response.status();
    let body = open.response.into_body();
    if !status.is_success() {
        return SampleOutcome::Refused(format!("{} {}", status.as_u16(), error_code(body).await));
    }
    read_stream(clock, body, sample).await
}

async fn read_stream(
    clock: Clock,
    mut body: Incoming,
    sample: &mut RequestSample,
) -> SampleOutcome {
    let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
    while let Ok(Some(Ok(frame))) = timeout(SILENCE_TIMEOUT, body.frame()).await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        decoder.push(&bytes);
        while let SseStep::Event(event) = decoder.next_event() {
            if event.data == DONE {
                return SampleOutcome::Complete;
            }
            match refusal_code(&event.data) {
                Some(code) if sample.first_token.is_none() => return SampleOutcome::Refused(code),
                Some(_) => return SampleOutcome::Incomplete,
                None => sample.first_token = sample.first_token.or_else(|| Some(clock.now())),
            }
        }
    }
    SampleOutcome::Incomplete
}

async fn error_code(body: Incoming) -> String {
    let collected = timeout(SILENCE_TIMEOUT, body.collect()).await;
    let bytes = collected.map(|body| body.map(http_body_util::Collected::to_bytes));
    let Ok(Ok(bytes)) = bytes else {
        return String::new();
    };
    refusal_code(&bytes).unwrap_or_default()
}

/// Returns the code of an error body or of an error event.
fn refusal_code(data: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(data).ok()?;
    let error = value.get("error")?;
    Some(error["code"].as_str().unwrap_or_default().to_owned())
}

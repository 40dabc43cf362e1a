//! One request to an entry over HTTP, from the connection to the end of the response stream.

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

/// Time limit for the response head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit between two frames of a response body, and for the body of an error response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Chat request with the address and the key it is sent with.
#[derive(Debug)]
pub struct EntryCall {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Bearer key of the customer.
    pub bearer: String,
    /// JSON body of the request.
    pub body: String,
}

/// Sends a request, reads its response stream and returns the sample with the outcome filled in.
pub async fn call(clock: Clock, request: EntryCall, mut sample: RequestSample) -> RequestSample {
    sample.outcome = send_and_read(clock, request, &mut sample).await;
    sample.ended = clock.now();
    sample
}

async fn send_and_read(
    clock: Clock,
    request: EntryCall,
    sample: &mut RequestSample,
) -> SampleOutcome {
    let path = "/v1/chat/completions";
    let http_request = http_client::request(Method::POST, request.entry, path)
        .header("authorization", format!("Bearer {}", request.bearer))
        .header("content-type", "application/json")
        .header("x-rank", sample.rank.name())
        .body(Full::new(Bytes::from(request.body)));
    let Ok(http_request) = http_request else {
        return SampleOutcome::Failed;
    };
    let Ok(exchange) = http_client::open(request.entry, http_request, HEAD_TIMEOUT).await else {
        return SampleOutcome::Failed;
    };
    let status = exchange.response.status();
    let body = exchange.response.into_body();
    if !status.is_success() {
        return SampleOutcome::Refused(format!(
            "{} {}",
            status.as_u16(),
            read_error_code(body).await
        ));
    }
    read_stream(clock, body, sample).await
}

async fn read_stream(
    clock: Clock,
    mut body: Incoming,
    sample: &mut RequestSample,
) -> SampleOutcome {
    let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, body.frame()).await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        decoder.push(&bytes);
        while let SseStep::Event(event) = decoder.next_event() {
            if event.data == DONE {
                return SampleOutcome::Complete;
            }
            match error_code(&event.data) {
                Some(code) if sample.first_token.is_none() => return SampleOutcome::Refused(code),
                Some(_) => return SampleOutcome::Incomplete,
                None => sample.first_token = sample.first_token.or_else(|| Some(clock.now())),
            }
        }
    }
    SampleOutcome::Incomplete
}

/// Reads an error response and returns its error code; empty if it cannot be read.
async fn read_error_code(body: Incoming) -> String {
    let collected = timeout(IDLE_TIMEOUT, body.collect()).await;
    let bytes = collected.map(|body| body.map(http_body_util::Collected::to_bytes));
    let Ok(Ok(bytes)) = bytes else {
        return String::new();
    };
    error_code(&bytes).unwrap_or_default()
}

/// Returns the `code` of the error in a response body or an event, or `None` if there is no error.
fn error_code(data: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(data).ok()?;
    let error = value.get("error")?;
    Some(error["code"].as_str().unwrap_or_default().to_owned())
}

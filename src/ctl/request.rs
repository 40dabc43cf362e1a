//! Command `request`: sends one streamed chat request to an entry and prints the response.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::Error;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};

use super::exit::ExitStatus;
use crate::platform::http_client::{open, request};
use crate::wire::openai::{ApiKind, DONE};
use crate::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};

/// Time limit for the head of the response.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Time limit between two frames of the response body.
const FRAME_TIMEOUT: Duration = Duration::from_mins(1);

/// Sends one streamed chat request to an entry and prints the response as it arrives.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestArgs {
    /// IP address and port of the entry
    #[argh(option)]
    pub entry: SocketAddr,
    /// bearer key of the customer
    #[argh(option)]
    pub api_key: String,
    /// name of the model
    #[argh(option)]
    pub model: String,
    /// rank, urgent or routine; the customer's first rank if not given
    #[argh(option)]
    pub rank: Option<String>,
    /// maximum number of output tokens
    #[argh(option, default = "64")]
    pub max_tokens: u32,
    /// text of the system message, a prompt prefix that requests can share
    #[argh(option)]
    pub system: Option<String>,
    /// text of the user message
    #[argh(positional)]
    pub text: String,
}

/// How the stream of a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The stream ended with its end marker.
    Complete,
    /// The stream ended or stalled before its end marker.
    Truncated,
}

/// Runs the command `request`.
pub async fn run(args: &RequestArgs) -> ExitStatus {
    let request = match build_request(args) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("the request cannot be built: {error}");
            return ExitStatus::BadInput;
        }
    };
    let exchange = match open(args.entry, request, HEAD_TIMEOUT).await {
        Ok(exchange) => exchange,
        Err(error) if error.is_unsent() => {
            eprintln!("{}: {error}", args.entry);
            return ExitStatus::Unavailable;
        }
        Err(error) => {
            eprintln!("{}: {error}", args.entry);
            return ExitStatus::Unknown;
        }
    };
    let run_status = header(&exchange.response, "x-run-status");
    if !exchange.response.status().is_success() {
        eprintln!("{}, run status {run_status}", exchange.response.status());
        eprintln!("{}", body_text(exchange.response).await);
        return ExitStatus::Refused;
    }
    match print_stream(exchange.response).await {
        StreamEnd::Complete => {
            println!();
            ExitStatus::Done
        }
        StreamEnd::Truncated => {
            eprintln!("the response ended before its end marker");
            ExitStatus::Unknown
        }
    }
}

fn build_request(args: &RequestArgs) -> Result<Request<Full<Bytes>>, Error> {
    let mut messages = Vec::new();
    if let Some(system) = &args.system {
        messages.push(json!({"role": "system", "content": system}));
    }
    messages.push(json!({"role": "user", "content": args.text}));
    let body = json!({
        "model": args.model,
        "messages": messages,
        "max_tokens": args.max_tokens,
        "stream": true,
    });
    let mut builder = request(Method::POST, args.entry, ApiKind::Chat.path())
        .header("authorization", format!("Bearer {}", args.api_key))
        .header("content-type", "application/json");
    if let Some(rank) = &args.rank {
        builder = builder.header("x-rank", rank);
    }
    builder.body(Full::new(Bytes::from(body.to_string())))
}

async fn print_stream(response: Response<Incoming>) -> StreamEnd {
    let mut body = response.into_body();
    let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
    loop {
        let frame = tokio::time::timeout(FRAME_TIMEOUT, body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else {
            return StreamEnd::Truncated;
        };
        if let Some(bytes) = frame.data_ref() {
            decoder.push(bytes);
        }
        loop {
            match decoder.next_event() {
                SseStep::Event(event) if event.data == DONE => return StreamEnd::Complete,
                SseStep::Event(event) => print_chunk(&event.data),
                SseStep::NeedMore => break,
                SseStep::TooLarge => return StreamEnd::Truncated,
            }
        }
    }
}

fn print_chunk(payload: &[u8]) {
    let chunk: Value = serde_json::from_slice(payload).unwrap_or_default();
    if let Some(error) = chunk.get("error") {
        eprintln!("{error}");
    }
    let text = chunk["choices"][0]["delta"]["content"].as_str();
    print!("{}", text.unwrap_or_default());
    // An error is ignored: if standard output is closed, the next write reports it.
    drop(std::io::stdout().flush());
}

async fn body_text(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await;
    let bytes = body.map(http_body_util::Collected::to_bytes);
    String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned()
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("not stated").to_owned()
}

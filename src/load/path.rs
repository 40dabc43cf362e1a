//! Latency that the path through an entry adds, measured against direct calls to an engine.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Method;
use serde_json::json;
use tokio::time::timeout;

use crate::kernel::{Clock, Moment};
use crate::platform::http_client::{open, request};
use crate::wire::openai::{ApiKind, DONE};
use crate::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};

/// Time limit for the response head, and between two frames of the body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of unmeasured requests on each path before the measured ones.
const WARM_UP: u32 = 20;

/// Measure the latency that an entry adds to calls to an engine, one request at a time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct PathOptions {
    /// IP address and port of the entry
    #[argh(option)]
    pub entry: SocketAddr,
    /// IP address and port of an engine stand-in behind the entry
    #[argh(option)]
    pub engine: SocketAddr,
    /// bearer key of a customer
    #[argh(option)]
    pub api_key: String,
    /// name of the model
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// number of measured requests, each sent on both paths
    #[argh(option, default = "500")]
    pub requests: u32,
    /// output tokens of each response
    #[argh(option, default = "16")]
    pub tokens: u32,
}

/// Latencies measured on one path, in microseconds.
#[derive(Debug, Default, Clone)]
struct PathLatencies {
    first_token_us: Vec<u64>,
    between_tokens_us: Vec<u64>,
    failed: u32,
}

/// Sends requests alternately on both paths and returns the latencies as text.
pub async fn measure(options: &PathOptions) -> String {
    let clock = Clock::start();
    let mut latencies = [PathLatencies::default(), PathLatencies::default()];
    let addresses = [options.engine, options.entry];
    for iteration in 0..WARM_UP + options.requests {
        for (path, address) in latencies.iter_mut().zip(addresses) {
            let moments = send_and_read(clock, address, options).await;
            if iteration >= WARM_UP {
                path.record(moments);
            }
        }
    }
    let mut text = String::new();
    let [direct, path] = latencies;
    let rows = [
        ("first token", direct.first_token_us, path.first_token_us),
        (
            "between tokens",
            direct.between_tokens_us,
            path.between_tokens_us,
        ),
    ];
    for (name, direct, path) in rows {
        write_row(&mut text, name, direct, path);
    }
    let failed = direct.failed + path.failed;
    let _written = writeln!(text, "failed: {failed} of {}", 2 * options.requests);
    text
}

impl PathLatencies {
    fn record(&mut self, moments: Option<Vec<Moment>>) {
        let Some(moments) = moments else {
            self.failed += 1;
            return;
        };
        let mut intervals = moments.windows(2).map(|pair| micros(pair[0], pair[1]));
        self.first_token_us.extend(intervals.next());
        self.between_tokens_us.extend(intervals);
    }
}

/// Sends one request and returns the moments of sending and of each output event.
///
/// Returns `None` if the response is not complete.
async fn send_and_read(
    clock: Clock,
    address: SocketAddr,
    options: &PathOptions,
) -> Option<Vec<Moment>> {
    let body = json!({
        "model": options.model,
        "messages": [{"role": "user", "content": "state of gate four"}],
        "max_tokens": options.tokens,
        "stream": true,
    });
    let request = request(Method::POST, address, ApiKind::Chat.path())
        .header("authorization", format!("Bearer {}", options.api_key))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let mut moments = vec![clock.now()];
    let exchange = open(address, request, IDLE_TIMEOUT).await.ok()?;
    if !exchange.response.status().is_success() {
        return None;
    }
    let mut body = exchange.response.into_body();
    let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, body.frame()).await {
        decoder.push(frame.data_ref()?);
        while let SseStep::Event(event) = decoder.next_event() {
            if event.data == DONE {
                return Some(moments);
            }
            if has_text(&event.data) {
                moments.push(clock.now());
            }
        }
    }
    None
}

fn has_text(payload: &[u8]) -> bool {
    let chunk: serde_json::Value = serde_json::from_slice(payload).unwrap_or_default();
    chunk["choices"][0]["delta"]["content"].is_string()
}

/// Writes the 50th and 99th percentiles on both paths and their differences.
fn write_row(text: &mut String, name: &str, mut direct: Vec<u64>, mut path: Vec<u64>) {
    direct.sort_unstable();
    path.sort_unstable();
    for percent in [50, 99] {
        let [direct, path] = [&direct, &path].map(|times| percentile(times, percent));
        let added = i128::from(path) - i128::from(direct);
        let _written = writeln!(
            text,
            "{name} p{percent}: direct {direct} us, path {path} us, added {added} us"
        );
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() * percent / 100).min(last);
    sorted.get(index).copied().unwrap_or(0)
}

fn micros(from: Moment, until: Moment) -> u64 {
    until.as_micros().saturating_sub(from.as_micros())
}

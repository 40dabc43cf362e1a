//! Added latency of the path: the same requests through an entry and straight to an engine.

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

/// Longest time until the response head or between two parts of the body.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests of each kind before the measured ones.
const WARM_UP: u32 = 20;

/// Measure the latency that the path adds to calls of an engine, one request at a time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct PathOptions {
    /// IP address and port of the entry
    #[argh(option)]
    pub entry: SocketAddr,
    /// IP address and port of an engine stand-in behind it
    #[argh(option)]
    pub engine: SocketAddr,
    /// bearer key of a customer
    #[argh(option)]
    pub api_key: String,
    /// name of the model
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// measured requests of each kind
    #[argh(option, default = "500")]
    pub requests: u32,
    /// tokens of each answer
    #[argh(option, default = "16")]
    pub tokens: u32,
}

/// Times of one way of calling, in microseconds.
#[derive(Debug, Default, Clone)]
struct WayTimes {
    first_token: Vec<u64>,
    between_tokens: Vec<u64>,
    failed: u32,
}

/// Sends the requests by turns and returns the figures as text.
pub async fn measure(options: &PathOptions) -> String {
    let clock = Clock::start();
    let mut ways = [WayTimes::default(), WayTimes::default()];
    let addresses = [options.engine, options.entry];
    for turn in 0..WARM_UP + options.requests {
        for (way, address) in ways.iter_mut().zip(addresses) {
            let moments = exchange(clock, address, options).await;
            if turn >= WARM_UP {
                way.take(moments);
            }
        }
    }
    let mut text = String::new();
    let [direct, path] = ways;
    let rows = [
        ("first token", direct.first_token, path.first_token),
        ("between tokens", direct.between_tokens, path.between_tokens),
    ];
    for (name, direct, path) in rows {
        row(&mut text, name, direct, path);
    }
    let failed = direct.failed + path.failed;
    let _written = writeln!(text, "failed: {failed} of {}", 2 * options.requests);
    text
}

impl WayTimes {
    fn take(&mut self, moments: Option<Vec<Moment>>) {
        let Some(moments) = moments else {
            self.failed += 1;
            return;
        };
        let mut steps = moments.windows(2).map(|pair| micros(pair[0], pair[1]));
        self.first_token.extend(steps.next());
        self.between_tokens.extend(steps);
    }
}

/// Returns the moments of sending and of each event with text; `None` if the answer was not whole.
async fn exchange(clock: Clock, address: SocketAddr, options: &PathOptions) -> Option<Vec<Moment>> {
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
    let exchange = open(address, request, SILENCE_TIMEOUT).await.ok()?;
    if !exchange.response.status().is_success() {
        return None;
    }
    let mut body = exchange.response.into_body();
    let mut decoder = SseDecoder::new(MAX_EVENT_BYTES);
    while let Ok(Some(Ok(frame))) = timeout(SILENCE_TIMEOUT, body.frame()).await {
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

fn row(text: &mut String, name: &str, mut direct: Vec<u64>, mut path: Vec<u64>) {
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

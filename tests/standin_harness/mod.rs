//! Starts stand-ins as processes and calls them over HTTP.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bulrushslip::platform::http_client::{self, CompleteResponse, HttpError, OpenResponse};
use bulrushslip::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::time::timeout;

/// Timeout of every call; far longer than any of them takes.
pub const LIMIT: Duration = Duration::from_secs(10);

/// A running stand-in process, killed on drop.
pub struct Standin {
    child: Child,
    /// Address that the process listens on.
    pub address: SocketAddr,
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.child.kill().expect("the process is ours");
        self.child.wait().expect("the process is ours");
    }
}

impl Standin {
    /// Starts a role on a free port with additional flags.
    pub fn start(role: &str, flags: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bulrushslip-standin"))
            .args([role, "--listen", "127.0.0.1:0"])
            .args(flags.split_whitespace())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary has been built");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("readable");
        let expected = format!("listening {role} ");
        let address = line
            .trim()
            .strip_prefix(&expected)
            .expect("the address line");
        let address = address.parse().expect("an address");
        Self { child, address }
    }

    /// Sends a request and returns the events of the response stream.
    pub async fn open(&self, request: hyper::Request<Full<Bytes>>) -> Events {
        let open = http_client::open(self.address, request, LIMIT).await;
        Events::new(open.expect("a stream"))
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<CompleteResponse, HttpError> {
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        let request = self.request(method, path, &[], body);
        http_client::call(self.address, request, LIMIT).await
    }

    /// Sends a request and reads the JSON body of the response, whatever its status.
    pub async fn json(&self, method: &str, path: &str, body: &str) -> Value {
        let response = self.call(method, path, body).await.expect("a response");
        serde_json::from_slice(&response.body).expect("a JSON body")
    }

    /// Builds a request with headers and a body.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> hyper::Request<Full<Bytes>> {
        let mut builder = http_client::request(method, self.address, path);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder
            .body(Full::from(body.to_owned()))
            .expect("a valid request")
    }

    /// Runs a chat completion with a request id and prefix keys.
    pub async fn run(&self, id: &str, keys: &str, body: &Value) -> Events {
        let headers = [("x-request-id", id), ("x-prefix-keys", keys)];
        let path = "/v1/chat/completions";
        let request = self.request(Method::POST, path, &headers, &body.to_string());
        self.open(request).await
    }

    /// Reads the stream of a known request from an event number on.
    pub async fn resume(&self, id: &str, from: u64) -> Events {
        let path = format!("/requests/{id}/stream?from={from}");
        self.open(self.request(Method::GET, &path, &[], "")).await
    }

    /// Waits until the engine answers after a crash and returns its cached keys.
    pub async fn wait_up(&self) -> Value {
        let mut poll = tokio::time::interval(Duration::from_millis(5));
        let restarted = async {
            loop {
                poll.tick().await;
                if let Ok(response) = self.call("GET", "/cache/keys", "").await {
                    return serde_json::from_slice(&response.body).expect("a JSON body");
                }
            }
        };
        timeout(LIMIT, restarted)
            .await
            .expect("the engine restarts")
    }
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamClose {
    /// With `[DONE]`.
    Done,
    /// With the end of the body but without `[DONE]`.
    Truncated,
    /// With an aborted connection.
    Aborted,
}

/// Reader of the server-sent events of an open response.
pub struct Events {
    open: OpenResponse,
    decoder: SseDecoder,
    close: StreamClose,
}

impl Events {
    /// Creates the reader of an open response, whose status must be 200.
    pub fn new(open: OpenResponse) -> Self {
        assert_eq!(open.response.status(), StatusCode::OK);
        let decoder = SseDecoder::new(MAX_EVENT_BYTES);
        Self {
            open,
            decoder,
            close: StreamClose::Truncated,
        }
    }

    /// Returns the value of a response header, which must be present.
    pub fn header(&self, name: &str) -> &str {
        let value = self.open.response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .expect("the header")
    }

    /// Returns the number and data of the next event, or `None` at the end of the body or after an
    /// abort of the connection.
    pub async fn next(&mut self) -> Option<(u64, String)> {
        loop {
            if let SseStep::Event(event) = self.decoder.next_event() {
                let number = event
                    .id
                    .and_then(|id| id.parse().ok())
                    .expect("an event number");
                return Some((number, String::from_utf8(event.data).expect("text")));
            }
            let Ok(frame) = self.open.response.body_mut().frame().await? else {
                self.close = StreamClose::Aborted;
                return None;
            };
            self.decoder.push(&frame.into_data().expect("no trailers"));
        }
    }

    /// Reads the stream to its end and returns the text and how the stream ended.
    ///
    /// The events must be numbered from `number` on without gaps.
    pub async fn rest(mut self, mut number: u64) -> (String, StreamClose) {
        let mut text = String::new();
        while let Some((found, data)) = self.next().await {
            assert_eq!(found, number, "events are numbered without gaps");
            number += 1;
            if data == "[DONE]" {
                return (text, StreamClose::Done);
            }
            let chunk: Value = serde_json::from_str(&data).expect("a chunk");
            text += chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or("");
        }
        (text, self.close)
    }
}

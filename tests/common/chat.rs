//! Model requests whose answers can be checked token by token.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::platform::http_client::{OpenResponse, open};
use bulrushslip::standin::token_text::{text_seed, token};
use bulrushslip::wire::sse::{MAX_EVENT_BYTES, SseDecoder, SseStep};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};

use super::fleet::{API_KEY, MODEL};
use super::http::build;

/// Time allowed for the response head.
const HEAD_LIMIT: Duration = Duration::from_secs(40);

/// A streamed request.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// Text of the only message.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl ChatCall {
    /// Creates a request that may run more than once.
    pub fn repeatable(prompt: &str, tokens: u64) -> Self {
        Self {
            prompt: prompt.to_owned(),
            tokens,
            idempotent: true,
        }
    }

    /// Creates a request that may not run more than once.
    pub fn once(prompt: &str, tokens: u64) -> Self {
        Self {
            idempotent: false,
            ..Self::repeatable(prompt, tokens)
        }
    }

    /// Returns the whole answer to the request.
    pub fn expected(&self) -> String {
        let seed = text_seed(&format!("user: {}\n", self.prompt));
        (0..self.tokens).map(|index| token(seed, index)).collect()
    }

    /// Sends the request and waits for the response head.
    pub async fn open(&self, entry: SocketAddr) -> ChatStream {
        let bearer = format!("Bearer {API_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("te", "trailers"),
            (
                "x-idempotent",
                if self.idempotent { "true" } else { "false" },
            ),
        ];
        let body = json!({"model": MODEL, "max_tokens": self.tokens, "stream": true,
            "messages": [{"role": "user", "content": self.prompt}]});
        let path = "/v1/chat/completions";
        let request = build(Method::POST, entry, path, &headers, body.to_string());
        let open = open(entry, request, HEAD_LIMIT).await.expect("a head");
        let headers = open.response.headers();
        let run_status = headers.get("x-run-status").expect("a run status");
        let report = ChatReport {
            status: open.response.status().as_u16(),
            run_status: run_status.to_str().expect("text").to_owned(),
            ..ChatReport::default()
        };
        ChatStream {
            open,
            decoder: SseDecoder::new(MAX_EVENT_BYTES),
            report,
        }
    }

    /// Sends the request and reads the whole answer.
    pub async fn run(&self, entry: SocketAddr) -> ChatReport {
        self.open(entry).await.finish().await
    }

    /// Fails unless the answer is whole, in order, this request's own and ended once.
    pub fn assert_whole(&self, report: &ChatReport) {
        assert!(self.expected().starts_with(&report.text), "{report:?}");
        let told = (report.status, &*report.run_status, report.dones);
        let length = report.text.len();
        let code = report.code.as_str();
        assert_eq!(
            (told, length, code),
            ((200, "complete", 1), self.expected().len(), "")
        );
    }
}

/// What a caller has been told.
#[derive(Debug, Clone, Default)]
pub struct ChatReport {
    /// Status code.
    pub status: u16,
    /// Run status of the header, or of the trailer once there is one.
    pub run_status: String,
    /// Text of the answer.
    pub text: String,
    /// Code of the error that ended the answer; empty without one.
    pub code: String,
    /// Events `[DONE]`.
    pub dones: usize,
}

/// An open answer.
#[derive(Debug)]
pub struct ChatStream {
    open: OpenResponse,
    decoder: SseDecoder,
    report: ChatReport,
}

impl ChatStream {
    /// Reads until the answer has some text.
    pub async fn begin(&mut self) {
        while self.report.text.is_empty() {
            assert!(self.read_frame().await, "no text: {:?}", self.report);
        }
    }

    /// Reads the rest.
    pub async fn finish(mut self) -> ChatReport {
        if self.report.status != 200 {
            let body = self.open.response.body_mut().collect().await;
            let body: Value =
                serde_json::from_slice(&body.expect("a body").to_bytes()).expect("an error body");
            self.report.code = error_code(&body);
            return self.report;
        }
        while self.read_frame().await {}
        self.report
    }

    /// Reads one frame; tells whether there was one.
    async fn read_frame(&mut self) -> bool {
        let Some(frame) = self.open.response.body_mut().frame().await else {
            return false;
        };
        let frame = frame.unwrap_or_else(|error| panic!("cut: {error}"));
        match frame.into_data() {
            Ok(bytes) => self.take_data(&bytes),
            Err(frame) => {
                let trailers = frame.into_trailers().expect("data or trailers");
                let status = trailers["x-run-status"].to_str().expect("text");
                status.clone_into(&mut self.report.run_status);
            }
        }
        true
    }

    fn take_data(&mut self, bytes: &[u8]) {
        self.decoder.push(bytes);
        while let SseStep::Event(event) = self.decoder.next_event() {
            if event.data == b"[DONE]" {
                self.report.dones += 1;
                continue;
            }
            let chunk: Value = serde_json::from_slice(&event.data).expect("a chunk");
            self.report.code += &error_code(&chunk);
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            self.report.text += content.unwrap_or("");
        }
    }
}

fn error_code(body: &Value) -> String {
    body["error"]["code"].as_str().unwrap_or("").to_owned()
}

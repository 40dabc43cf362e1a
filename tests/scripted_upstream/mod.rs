//! Upstream that writes scripted bytes in response to each request, framed or not.

#![allow(dead_code, reason = "each test file uses a part of these helpers")]

#[path = "../raw_request/mod.rs"]
mod raw_request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use raw_request::read_request;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Bytes that an upstream writes in response to one request.
#[derive(Debug, Clone)]
pub struct ScriptedResponse {
    /// Bytes of the response; `{id}` stands for the identifier of the request, and `{first}` for the
    /// one of the first request of the connection.
    pub text: String,
    /// Whether the connection stays open for another request.
    pub is_kept: bool,
}

impl ScriptedResponse {
    /// Creates a response after which the upstream closes the connection.
    pub fn closing(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            is_kept: false,
        }
    }

    /// Creates a response after which the connection stays open.
    pub fn kept(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            is_kept: true,
        }
    }
}

/// What an upstream responds.
#[derive(Debug, Clone)]
struct UpstreamScript {
    responses: Vec<ScriptedResponse>,
    /// Response to requests to resume a stream, if it differs.
    resumed: Option<ScriptedResponse>,
    /// Number of requests so far, if the responses are given in turn on all connections together.
    total: Option<Arc<AtomicUsize>>,
}

/// Running upstream.
#[derive(Debug)]
pub struct ScriptedUpstream {
    /// Address of the upstream.
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<String>,
}

impl ScriptedUpstream {
    /// Starts an upstream that answers the n-th request of each connection by the n-th response, and
    /// later ones by the last.
    pub async fn start(responses: Vec<ScriptedResponse>) -> Self {
        Self::start_resumable(responses, None).await
    }

    /// Starts an upstream that answers requests to resume a stream by `resumed`, if there is one.
    pub async fn start_resumable(
        responses: Vec<ScriptedResponse>,
        resumed: Option<ScriptedResponse>,
    ) -> Self {
        Self::play(UpstreamScript {
            responses,
            resumed,
            total: None,
        })
        .await
    }

    /// Starts an upstream that answers the n-th of all its requests by the n-th response, and later
    /// ones by the last.
    pub async fn start_in_turn(responses: Vec<ScriptedResponse>) -> Self {
        Self::play(UpstreamScript {
            responses,
            resumed: None,
            total: Some(Arc::default()),
        })
        .await
    }

    async fn play(script: UpstreamScript) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script.clone(), sender.clone()));
            }
        });
        Self { address, requests }
    }

    /// Returns the identifiers of the requests received since the last call.
    pub fn received(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.requests.try_recv().ok()).collect()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: UpstreamScript,
    requests: mpsc::UnboundedSender<String>,
) {
    let UpstreamScript {
        responses,
        resumed,
        total,
    } = script;
    let mut first = None;
    for position in 0.. {
        let Some((text, id)) = read_request(&mut stream).await else {
            return;
        };
        let number = total
            .as_ref()
            .map_or(position, |total| total.fetch_add(1, Ordering::Relaxed));
        let is_resumption = text.contains("\r\nlast-event-id:");
        // The receiver is gone if the test has ended.
        drop(requests.send(id.clone()));
        let first = first.get_or_insert_with(|| id.clone());
        let response = &responses[number.min(responses.len() - 1)];
        let response = resumed
            .as_ref()
            .filter(|_| is_resumption)
            .unwrap_or(response);
        let text = response.text.replace("{id}", &id).replace("{first}", first);
        // If the write fails, the caller's response fails the test.
        drop(stream.write_all(text.as_bytes()).await);
        if !response.is_kept {
            return;
        }
    }
}

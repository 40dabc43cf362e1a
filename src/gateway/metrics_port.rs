//! I/O task `metrics`: serves counters, histograms and the state dump as text.

use hyper::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_server::{
    RequestHandler, ServerLimits, json_response, serve, whole_body,
};

/// Connections of collectors served at the same time.
const MAX_CONNECTIONS: usize = 16;

/// Path of the counters; `/dump` shows the state of every part.
pub const METRICS_PATH: &str = "/metrics";

/// Creates the I/O task.
#[must_use]
pub fn metrics_task(listener: TcpListener) -> IoTask<GatewayMail> {
    IoTask::new("metrics", move |inbox, directory| {
        run(listener, inbox, directory)
    })
}

async fn run(
    listener: TcpListener,
    mut inbox: Inbox<GatewayMail>,
    directory: Directory<GatewayMail>,
) {
    let handler = RequestHandler::new(move |request| {
        let directory = directory.clone();
        async move {
            match request.uri().path() {
                METRICS_PATH => {
                    let text = dispatch::ask(&directory, DispatchMail::Metrics).await;
                    Response::new(whole_body(text.unwrap_or_default()))
                }
                "/dump" => json_response(StatusCode::OK, &directory.dump().await),
                _ => {
                    let mut response = Response::new(whole_body("unknown path"));
                    *response.status_mut() = StatusCode::NOT_FOUND;
                    response
                }
            }
        }
    });
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        leave_ms: 0,
        drain_ms: 0,
    };
    // The port stays open until the process ends, so that the last counts can be collected.
    let (_running, stopped) = oneshot::channel();
    let serving = serve(listener, handler, limits, stopped);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            () = &mut serving => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Stop) | None => return,
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::json!({})),
                Some(_) => {}
            },
        }
    }
}

//! I/O task `readiness`: tells the balancer whether this instance serves callers.

use hyper::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_server::{RequestHandler, ServerLimits, serve, whole_body};

/// Connections of balancers served at the same time.
const MAX_CONNECTIONS: usize = 16;

/// Creates the I/O task; it ends at once when the process is told to stop, which the balancer
/// takes as not ready.
#[must_use]
pub fn readiness_task(listener: TcpListener) -> IoTask<GatewayMail> {
    IoTask::new("readiness", move |inbox, directory| {
        run(listener, inbox, directory)
    })
}

async fn run(
    listener: TcpListener,
    mut inbox: Inbox<GatewayMail>,
    directory: Directory<GatewayMail>,
) {
    let asking = directory.clone();
    let handler = RequestHandler::new(move |_request| {
        let directory = directory.clone();
        async move {
            let ready = dispatch::ask(&directory, DispatchMail::IsReady).await;
            let mut response = Response::new(whole_body(""));
            if ready != Some(true) {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    });
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        leave_ms: 0,
        drain_ms: 0,
    };
    // The server is never asked to leave: its connections end with it.
    let (_running, stopped) = oneshot::channel();
    let serving = serve(listener, handler, limits, stopped);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            () = &mut serving => return,
            signal = inbox.receive() => match signal {
                // Open connections of balancers outlive the task and are told so too.
                Some(Signal::Stop) => return dispatch::tell(&asking, DispatchMail::Leaving),
                None => return,
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::json!({})),
                Some(_) => {}
            },
        }
    }
}

//! I/O task `readiness`: HTTP server for the balancer's readiness checks.

use hyper::{Response, StatusCode};
use tokio::net::TcpListener;

use super::dispatch;
use super::internal_server::serve_until_stop;
use super::mail::{DispatchMail, GatewayMail};
use crate::kernel::{Directory, Inbox, IoTask};
use crate::platform::http_server::{RequestHandler, full_body};

/// Creates the I/O task `readiness`, which responds with status 200 or 503 on `listener`.
///
/// The task ends when the process begins to stop; the balancer counts a closed port as not ready.
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
    let stop_directory = directory.clone();
    let handler = RequestHandler::new(move |_request| {
        let directory = directory.clone();
        async move {
            let ready = dispatch::ask(&directory, DispatchMail::IsReady).await;
            let mut response = Response::new(full_body(""));
            if ready != Some(true) {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    });
    serve_until_stop(listener, handler, &mut inbox).await;
    // Connections that are still open outlive the task and must get 503 from now on.
    dispatch::tell(&stop_directory, DispatchMail::Leaving);
}

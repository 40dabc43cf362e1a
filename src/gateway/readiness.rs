//! I/O task `readiness`: tells the balancer whether this instance serves callers.

use hyper::{Response, StatusCode};
use tokio::net::TcpListener;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail};
use super::small_port::serve_until_stop;
use crate::kernel::{Directory, Inbox, IoTask};
use crate::platform::http_server::{RequestHandler, whole_body};

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
    serve_until_stop(listener, handler, &mut inbox).await;
    // Open connections of balancers outlive the task and are told so too.
    dispatch::tell(&asking, DispatchMail::Leaving);
}

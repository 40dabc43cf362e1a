//! I/O task `metrics`: HTTP server for metrics and the state dump.

use hyper::{Response, StatusCode};
use tokio::net::TcpListener;

use super::dispatch;
use super::internal_server::serve_until_stop;
use super::mail::{DispatchMail, GatewayMail};
use crate::kernel::{Directory, Inbox, IoTask};
use crate::platform::http_server::{RequestHandler, ResponseBody, full_body, json_response};

/// Path of the metrics in text format; `/dump` returns the state of all services and tasks.
pub const METRICS_PATH: &str = "/metrics";

/// Creates the I/O task `metrics`, which serves requests on `listener`.
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
                METRICS_PATH => match dispatch::ask(&directory, DispatchMail::Metrics).await {
                    Some(text) => Response::new(full_body(text)),
                    None => error_response(StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
                },
                "/dump" => json_response(StatusCode::OK, &directory.dump().await),
                _ => error_response(StatusCode::NOT_FOUND, "unknown path"),
            }
        }
    });
    serve_until_stop(listener, handler, &mut inbox).await;
}

fn error_response(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(reason));
    *response.status_mut() = status;
    response
}
